package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/wire/space"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// Guards against requests that are cut at the end of a drain, and against ones that are refused though they would end
// before.
func TestTimeLeftOfADrain(t *testing.T) {
	begin := time.Now()
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	d := NewDrain()
	require.Equal(t, unbounded, d.left(begin, begin, at(100), 0), "no drain has begun")
	d.Begin(at(2.5), at(7.7))
	for name, c := range map[string]struct {
		now, read, deadline, took float64
		want                      time.Duration
	}{
		"its deadline is before the end":    {5, 5, 7.7, 0, unbounded},
		"nothing is known of its route":     {0.1, 0.1, 8, 0, 0},
		"in time":                           {1, 1, 8, 2, second(4.7)},
		"in time, after a wait":             {5, 2.4, 8, 2, second(0.7)},
		"in time, but too long":             {2, 2, 8, 6, 0},
		"late":                              {3, 3, 8, 1, second(1.7)},
		"late, and quick":                   {3, 3, 8, 0.1, second(3.7)},
		"late, and too long":                {3, 3, 8, 2, 0},
		"after the end of what it may take": {7, 7, 8, 0.1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := d.left(at(c.now), at(c.read), at(c.deadline), second(c.took))
			require.InDelta(t, c.want, got, float64(time.Millisecond))
		})
	}
}

// Guards against a memory of routes that grows with each configuration.
func TestSlowestIsBounded(t *testing.T) {
	var s slowest
	now := time.Now()
	require.Zero(t, s.of("r"))
	for n := range 3 * maxRoutes {
		s.add(now, fmt.Sprint("r", n), time.Second)
		require.LessOrEqual(t, len(s.routes), maxRoutes)
	}
	last := fmt.Sprint("r", 3*maxRoutes-1)
	require.Equal(t, time.Second, s.of(last))
	s.add(now, last, time.Millisecond)
	require.Equal(t, time.Second, s.of(last))
}

// Guards against requests that wait in the queue, or whose body is being written, until the process ends: what can't
// be sent any more is refused at once, as not run.
func TestWhatCannotBeSentIsRefused(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	s := standin.NewServer(t, func(_ standin.Reply, r standin.Request) {
		select {
		case <-ended:
		case <-r.Done:
		}
	})
	b := newTestbed(t, s)
	b.Space = &space.Budget{Total: spaceBytes}
	const slots, waiting = 4, 2
	answers := make(chan answer, slots+waiting)
	for n := range slots + waiting {
		go func() { answers <- b.do(t.Context(), http.MethodPost, "/unsafe/x", "", fmt.Sprint(n)) }()
	}
	require.Eventually(t, func() bool { return len(s.Seen()) == slots }, 5*time.Second, time.Millisecond)
	u := b.beginUpload("/unsafe/x", 60<<10)
	begin := time.Now()
	b.Drain.Begin(begin, begin.Add(100*time.Millisecond))
	b.Drain.Late()
	for range waiting {
		requireRefused(t, <-answers, http.StatusServiceUnavailable)
	}
	require.True(t, u.refused(t))
	require.Less(t, time.Since(begin), 300*time.Millisecond, "at once")
	require.Len(t, s.Seen(), slots)
}
