package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// policy chooses targets at one entry.
type policy struct {
	pick   func(r *request) (int, bool)
	finish func(i int, r *request, end target.End)
	report func(i int, l workspace.Load, age time.Duration)
}

// newPolicy makes the policy of one entry.
type newPolicy func(w *world, entry int, rnd *rand.Rand) policy

func targetName(i int) target.Name { return target.Name(fmt.Sprint("target-", i)) }

func indexOf(n target.Name) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(string(n), "target-"))
	return i
}

func dataCentre(i int) host.DataCentre { return host.DataCentre(fmt.Sprint("dc-", i%3)) }

func noFinish(int, *request, target.End)          {}
func noReport(int, workspace.Load, time.Duration) {}
func tried(r *request, i int) bool                { return slices.Contains(r.tried, targetName(i)) }
func untried(r *request, n int, next func() int) (int, bool) {
	for range 4 * n {
		if i := next(); !tried(r, i) {
			return i, true
		}
	}
	return 0, false
}

// roundRobin takes the targets in turn.
func roundRobin(w *world, entry int, _ *rand.Rand) policy {
	n := w.sc.targets
	i := entry * n / w.sc.entries
	return policy{
		pick: func(r *request) (int, bool) {
			return untried(r, n, func() int { i++; return i % n })
		},
		finish: noFinish,
		report: noReport,
	}
}

// random takes any target.
func random(w *world, _ int, rnd *rand.Rand) policy {
	n := w.sc.targets
	return policy{
		pick: func(r *request) (int, bool) {
			return untried(r, n, func() int { return rnd.IntN(n) })
		},
		finish: noFinish,
		report: noReport,
	}
}

// leastRequests takes the target with the fewest of the entry's own requests.
func leastRequests(w *world, _ int, rnd *rand.Rand) policy {
	n := w.sc.targets
	inFlight := make([]int, n)
	return policy{
		pick: func(r *request) (int, bool) {
			best := -1
			first := rnd.IntN(n)
			for k := range n {
				i := (first + k) % n
				if !tried(r, i) && (best < 0 || inFlight[i] < inFlight[best]) {
					best = i
				}
			}
			if best < 0 {
				return 0, false
			}
			inFlight[best]++
			return best, true
		},
		finish: func(i int, _ *request, _ target.End) { inFlight[i]-- },
		report: noReport,
	}
}

// chooser is the policy of package target with the given settings. The targets
// are ranks of the group, if it has a name.
func chooser(cfg target.Config, affinity bool, group target.GroupName) newPolicy {
	return func(w *world, entry int, rnd *rand.Rand) policy {
		cfg.DataCentre = dataCentre(entry)
		cfg.Sharers = w.sc.entries
		c := target.New(epoch, cfg, rnd)
		var cands []target.Candidate
		for i := range w.sc.targets {
			cands = append(cands, target.Candidate{Name: targetName(i), DataCentre: dataCentre(i), Weight: 1, Group: group, Incarnation: 1})
		}
		c.Update(cands)
		open := make(map[*request]target.Choice)
		return policy{
			pick: func(r *request) (int, bool) {
				q := target.Query{Tokens: r.tokens, Tried: r.tried}
				if affinity {
					q.Prefix = r.prefix
				}
				ch, ok := c.Pick(w.time(), q)
				if ok {
					open[r] = ch
				}
				return indexOf(ch.Name), ok
			},
			finish: func(_ int, r *request, end target.End) {
				c.Finish(w.time(), open[r], end)
				delete(open, r)
				if v := c.Violations(); len(v) > 0 {
					panic(fmt.Sprint(v))
				}
			},
			report: func(i int, l workspace.Load, age time.Duration) {
				c.Report(w.time(), target.Report{Name: targetName(i), Incarnation: 1, Outstanding: l.Outstanding, Capacity: l.Capacity, Limit: l.Limit, Age: age})
			},
		}
	}
}
