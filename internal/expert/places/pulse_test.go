package places

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
)

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// A group with work makes progress. A group that has lost a rank for good stalls, and so does
// one whose step is held: nothing is sent to it. An idle group need not make progress.
func TestPulse(t *testing.T) {
	report := func(step int64, running int) []changeover.Report {
		return []changeover.Report{{Step: step, Running: running}, {}}
	}
	var p Progress
	require.True(t, p.Advancing(start, report(7, 3)))
	require.True(t, p.Advancing(start.Add(progressTimeout/2), report(7, 3)), "a long step")
	require.False(t, p.Advancing(start.Add(progressTimeout), report(7, 3)))
	require.True(t, p.Advancing(start.Add(2*progressTimeout), report(8, 3)), "it goes on")
	require.True(t, p.Advancing(start.Add(9*progressTimeout), report(8, 0)), "it is idle")
	require.True(t, p.Advancing(start.Add(9*progressTimeout+time.Millisecond), report(8, 2)), "the first request came")
}

// Guards against requests that are sent to a group while its step is held by a frozen host.
func TestPulseOfAGroupThatIsHeld(t *testing.T) {
	report := func(step, held int64) []changeover.Report {
		return []changeover.Report{{Step: step, Running: 3}, {Step: step, Held: held}}
	}
	var p Progress
	require.False(t, p.Advancing(start, report(7, 8)))
	require.False(t, p.Advancing(start.Add(time.Millisecond), report(7, 0)), "it was released, and no step has begun yet")
	require.True(t, p.Advancing(start.Add(2*time.Millisecond), report(8, 0)))
	require.True(t, p.Advancing(start.Add(3*time.Millisecond), report(8, 9)), "a map switch of this planner")
	var ahead Progress
	require.True(t, ahead.Advancing(start, report(7, 9)), "the next step is not held")
}
