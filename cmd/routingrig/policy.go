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

// policy chooses targets for one entry.
type policy struct {
	// pick returns the index of a target, false if none is left.
	pick func(r *request) (int, bool)
	// finish records the end of an attempt at target i.
	finish func(i int, r *request, end target.End)
	// report handles a load report of target i.
	report func(i int, l workspace.Load, age time.Duration)
}

// newPolicy creates the policy of one entry.
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

// untried calls next until it returns a target that the request has not tried, at
// most four times for each of the n targets.
func untried(r *request, n int, next func() int) (int, bool) {
	for range 4 * n {
		if i := next(); !tried(r, i) {
			return i, true
		}
	}
	return 0, false
}

// roundRobin chooses the targets in turn.
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

// random chooses a target with equal probability.
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

// leastRequests chooses the target with the fewest requests in flight from this
// entry.
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

// chooser returns the policy of package target with the given settings. If the
// group has a name, the targets are its ranks.
func chooser(cfg target.Config, affinity bool, group target.GroupName) newPolicy {
	return func(w *world, entry int, rnd *rand.Rand) policy {
		cfg.DataCentre = dataCentre(entry)
		cfg.Entries = w.sc.entries
		c := target.New(epoch, cfg, rnd)
		var cands []target.Candidate
		for i := range w.sc.targets {
			cands = append(cands, target.Candidate{Name: targetName(i), DataCentre: dataCentre(i), Weight: 1, Group: group, Incarnation: 1})
		}
		c.Update(cands)
		choices := make(map[*request]target.Choice)
		return policy{
			pick: func(r *request) (int, bool) {
				q := target.Query{Tokens: r.estimate, Tried: r.tried}
				if affinity {
					q.Prefix = r.prefix
				}
				ch, ok := c.Pick(w.time(), q)
				if ok {
					choices[r] = ch
				}
				return indexOf(ch.Name), ok
			},
			finish: func(_ int, r *request, end target.End) {
				c.Finish(w.time(), choices[r], end)
				delete(choices, r)
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
