// Package places decides how many requests the ranks of an expert group get, and which
// entry may send them.
//
// All ranks run each step together, so each request makes the steps of the whole group
// longer, most of all one at a slow rank. Under more load than the group can serve on time,
// it has only as many request slots as keep the pauses between events on time. Each free slot
// is granted to one entry, as otherwise all entries would send a request to the same slot.
package places

import (
	"math"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

const (
	// leastShare of an engine's request slots is always used.
	leastShare = 0.5
	// longStep and shortStep are parts of the longest pause between events that is on
	// time. Each step yields one event per request; above longStep the pauses of many
	// requests are too long, as single steps vary by a fifth; below shortStep each rank
	// can serve one more request.
	longStep  = 0.8
	shortStep = 0.65
	// stepWindow is the period over which steps are counted, about ten of them.
	stepWindow = 600 * time.Millisecond
)

// Limit is how many requests a rank should have at the same time. More requests make each
// step longer, but the group does more work in total: the limit is as many as keep the pauses
// between events within their goal.
type Limit struct {
	Value    int           // 0 before the first call of Observe
	StepTime time.Duration // mean time of a step in the last window; 0 if not known
	step     int64         // at the start of the window
	since    time.Time
}

// Observe updates the limit with the step number that a group has reached.
func (l *Limit) Observe(now time.Time, step int64, slots int, goal time.Duration) {
	least := max(int(leastShare*float64(slots)), 1)
	if l.Value == 0 {
		l.Value = (least + slots) / 2
	}
	if l.since.IsZero() || step < l.step {
		l.step, l.since = step, now
		return
	}
	window := now.Sub(l.since)
	if window < stepWindow {
		return
	}
	steps := step - l.step
	l.step, l.since = step, now
	if steps == 0 {
		// The group is idle or held, and its former step time is no longer valid: a group
		// that gets no requests because it was slow would count as slow for ever.
		l.StepTime = 0
		return
	}
	l.StepTime = window / time.Duration(steps)
	if goal <= 0 {
		return
	}
	switch {
	case l.StepTime > time.Duration(longStep*float64(goal)):
		l.Value = max(l.Value-1, least)
	case l.StepTime < time.Duration(shortStep*float64(goal)):
		l.Value = min(l.Value+1, slots)
	}
}

const (
	// orderTime and orderPerRank are how long the orders of a map switch take, from
	// reading the step under way until all ranks are armed.
	orderTime    = 8 * time.Millisecond
	orderPerRank = 500 * time.Microsecond
	// orderPart is the part of a step that the orders may take if they must end before
	// the next step. The step under way has half of its time left on average; a pause
	// that is made longer by waiting for orders is often too long.
	orderPart = 0.35
)

// leastRequests are admitted to a rank however long steps take: without any request there would
// be no expert counts from the rank and no step times.
const leastRequests = 2

// MaxOnTime returns how many requests a rank may have so that the pauses between events stay
// on time, while the most loaded rank has skew times the mean of the experts' work. It predicts
// the step time, which [Limit] sees only later: after a group has formed its skew is 3 and more
// for a second; the usual number of requests would all be late then, and delay those that come
// after them. The step time is computed from the engine's own figures, which leave out the
// reading of prompts, so it may take the whole pause; [Limit] sets the tighter bound from the
// times of ordinary steps.
func MaxOnTime(e *routing.Engine, goal time.Duration, skew float64) int {
	if goal <= 0 || e.EngineSteps <= 0 || e.EngineStepPerRequest <= 0 {
		return e.MaxRequests
	}
	share := min(max(e.ExpertShare, 0), 1)
	uneven := 1 - share + share*skew
	step := time.Duration(float64(goal) / uneven / float64(e.EngineSteps))
	return min(max(int((step-e.EngineStepTime)/e.EngineStepPerRequest), leastRequests), e.MaxRequests)
}

// Slow reports whether a group's steps take longer than the pauses that are on time, so
// that all its responses are late.
func (l *Limit) Slow(goal time.Duration) bool { return goal > 0 && l.StepTime > goal }

// StepsAhead returns how many steps after the one under way a group switches its map.
func (l *Limit) StepsAhead(ranks int) int64 {
	if orderTime+time.Duration(ranks)*orderPerRank < time.Duration(orderPart*float64(l.StepTime)) {
		return 1
	}
	return 2
}

// FreeSlots returns the free slots of each rank: how many more requests it should get under a limit
// per rank. A slow rank gets fewer, and from [LeaveSlowdown] on none while others are faster: reading
// one prompt there delays the steps of all ranks by more than reading all prompts of the others.
func FreeSlots(reports []changeover.Report, limit int) []int {
	least := math.Inf(1)
	for _, r := range reports {
		least = min(least, Slowdown(r))
	}
	free := make([]int, len(reports))
	for rank, r := range reports {
		slowdown := Slowdown(r)
		if slowdown >= LeaveSlowdown && least < LeaveSlowdown {
			continue
		}
		free[rank] = int(float64(limit)/slowdown) - r.Running - r.Waiting
	}
	return free
}

// evenPart of the free slots is granted evenly to all entries, the others by demand. An
// entry that had no requests must be able to send its first one.
const evenPart = 0.2

// Grants assigns the free slots of the ranks to the entries, by their demand. If several entries
// saw the same free slot, all would send a request there. The result is indexed by entry and
// rank. Turn makes the grants fall differently each time.
func Grants(free []int, demands []float64, turn uint64) [][]int {
	grants := make([][]int, len(demands))
	total := 0.0
	for i, d := range demands {
		grants[i] = make([]int, len(free))
		total += d
	}
	if len(demands) == 0 {
		return grants
	}
	// Each entry has a part of the interval from 0 to 1; these are the upper ends.
	ends := make([]float64, len(demands))
	end := 0.0
	for i, d := range demands {
		part := 1 / float64(len(demands))
		if total > 0 {
			part = evenPart*part + (1-evenPart)*d/total
		}
		end += part
		ends[i] = end
	}
	// Multiples of the golden ratio, modulo 1, are spread evenly over the interval.
	const golden = 0.6180339887498949
	at := float64(turn) * golden * golden
	for rank, n := range free {
		for range max(n, 0) {
			at += golden
			at -= float64(int(at))
			i, _ := slices.BinarySearch(ends, at)
			grants[min(i, len(demands)-1)][rank]++
		}
	}
	return grants
}

// GapAim is the shortest pause between events that the routes to a service set as their goal.
func GapAim(c *routing.Config, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.GapGoal <= 0 || shortest != 0 && r.GapGoal >= shortest {
			continue
		}
		for _, s := range r.Shares {
			if s.Service == service {
				shortest = r.GapGoal
			}
		}
	}
	return shortest
}
