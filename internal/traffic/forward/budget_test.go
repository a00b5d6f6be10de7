package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more repeats in a window than the platform allows, when entries restart one
// after the other or all at once while every request fails. A new incarnation of an entry does
// not know how many repeats the earlier one has just sent.
func TestRepeatsOfEntriesThatRestart(t *testing.T) {
	const (
		entries = 5
		ratio   = 0.2
		slack   = 94.0
		window  = 10 * time.Second
		tick    = 10 * time.Millisecond
		perTick = 0.05 // requests of an entry in a tick
	)
	limits := func() Limits {
		return Limits{Ratio: ratio, Window: window, Fixed: slack / (entries*1.25 + 1)}
	}
	for name, restarts := range map[string]func(entry int, at time.Duration) bool{
		"none": func(int, time.Duration) bool { return false },
		"one after another": func(i int, at time.Duration) bool {
			return at > window && (at/tick)%200 == 0 && int(at/tick/200)%entries == i
		},
		"all at once": func(_ int, at time.Duration) bool { return at == 3*window/2 },
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
			budgets := make([]*Budget, entries)
			var requests, repeats []time.Duration
			due := make([]float64, entries)
			for at := time.Duration(0); at < 4*window; at += tick {
				now := begin.Add(at)
				for i := range budgets {
					if budgets[i] == nil || restarts(i, at) {
						budgets[i] = &Budget{Limits: limits, Started: now}
					}
					for due[i] += perTick; due[i] >= 1; due[i]-- {
						budgets[i].CountRequest(now, "svc")
						requests = append(requests, at)
					}
					if budgets[i].AllowRepeat(now, "svc") {
						repeats = append(repeats, at)
					}
				}
			}
			count := func(list []time.Duration, until time.Duration) (n int) {
				for _, at := range list {
					if at > until-window && at <= until {
						n++
					}
				}
				return n
			}
			for at := time.Second; at < 4*window; at += 100 * time.Millisecond {
				most := ratio*float64(count(requests, at)) + slack
				require.LessOrEqual(t, float64(count(repeats, at)), most, "in the window to %s", at)
			}
		})
	}
}
