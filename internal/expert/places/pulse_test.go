package places

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
)

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// A group with work makes passes. One that lost a rank for good stalls, and one whose
// pass is held does, so nothing is sent to it; one without work has nothing to show.
func TestPulse(t *testing.T) {
	report := func(step int64, running int) []changeover.Report {
		return []changeover.Report{{Step: step, Running: running}, {}}
	}
	var p Pulse
	require.True(t, p.Beats(start, report(7, 3)))
	require.True(t, p.Beats(start.Add(pulseGrace/2), report(7, 3)), "a long pass")
	require.False(t, p.Beats(start.Add(pulseGrace), report(7, 3)))
	require.True(t, p.Beats(start.Add(2*pulseGrace), report(8, 3)), "it goes on")
	require.True(t, p.Beats(start.Add(9*pulseGrace), report(8, 0)), "it is idle")
	require.True(t, p.Beats(start.Add(9*pulseGrace+time.Millisecond), report(8, 2)), "the first request came")
}

// Guards against requests that are sent on to a group which waits for the host that holds its pass.
func TestPulseOfAGroupThatIsHeld(t *testing.T) {
	report := func(step, held int64) []changeover.Report {
		return []changeover.Report{{Step: step, Running: 3}, {Step: step, Held: held}}
	}
	var p Pulse
	require.False(t, p.Beats(start, report(7, 8)))
	require.False(t, p.Beats(start.Add(time.Millisecond), report(7, 0)), "it was let go, and no pass has begun yet")
	require.True(t, p.Beats(start.Add(2*time.Millisecond), report(8, 0)))
	require.True(t, p.Beats(start.Add(3*time.Millisecond), report(8, 9)), "a change of the planner's own")
	var ahead Pulse
	require.True(t, ahead.Beats(start, report(7, 9)), "the next pass is not held")
}
