// Package places decides how many requests the ranks of an expert group get, and which
// entry may send them.
//
// All ranks run each pass together, so a request makes the passes of the whole group
// longer, one at a slow rank most. The load that this answers is more callers than can be
// on time: places are those that keep the pauses between events on time, and each goes to
// one entry, as all that see the same free place would send a request there.
package places

import (
	"math"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

const (
	// leastShare of an engine's slots is used in any case.
	leastShare = 0.5
	// slowPass and quickPass are parts of the longest pause between events that is on
	// time. An event comes with each pass; above slowPass the pauses of many requests
	// are too long, as single passes vary by a fifth; below quickPass there is room
	// for another request at each rank.
	slowPass  = 0.8
	quickPass = 0.65
	// passWindow in which passes are counted: ten or so.
	passWindow = 600 * time.Millisecond
)

// Limit is how many requests a rank should have at the same time. More of them make
// each pass longer, and the group does more work in all: as many as keep the pauses
// between events within their aim.
type Limit struct {
	Value int           // 0 until a pass was seen
	Pass  time.Duration // that a pass took lately; 0 until known
	step  int64         // at the begin of the window
	since time.Time
}

// See takes the pass that a group has come to.
func (l *Limit) See(now time.Time, step int64, slots int, aim time.Duration) {
	least := max(int(leastShare*float64(slots)), 1)
	if l.Value == 0 {
		l.Value = (least + slots) / 2
	}
	if l.since.IsZero() || step < l.step {
		l.step, l.since = step, now
		return
	}
	window := now.Sub(l.since)
	if window < passWindow {
		return
	}
	passes := step - l.step
	l.step, l.since = step, now
	if passes == 0 {
		// Idle, or held. What passes took before says nothing any more: a group that was
		// slow and got no requests for that would never be found quick again.
		l.Pass = 0
		return
	}
	l.Pass = window / time.Duration(passes)
	if aim <= 0 {
		return
	}
	switch {
	case l.Pass > time.Duration(slowPass*float64(aim)):
		l.Value = max(l.Value-1, least)
	case l.Pass < time.Duration(quickPass*float64(aim)):
		l.Value = min(l.Value+1, slots)
	}
}

const (
	// orderTime and orderPerRank are what the orders of a change take, from the look
	// at the pass under way until all ranks are armed.
	orderTime    = 8 * time.Millisecond
	orderPerRank = 500 * time.Microsecond
	// waitPart of a pass may be spent on orders if they must be over before the next
	// one. The pass under way has half of its time left on average; a pause that is
	// made longer by a wait is often one too long.
	waitPart = 0.35
)

// leastRequests are let in whatever passes take: without any, a rank's counts and the
// length of passes would not be seen.
const leastRequests = 2

// MostOnTime is how many requests a rank may have so that passes keep the pauses between
// events on time, while the most loaded rank has skew times the mean of the experts' work.
// It foresees what the passes that were measured show only later: after a group has formed
// its skew is 3 and more for a second, and as many requests as in ordinary times are all
// late, and make those late that come after them. The figures are the engine's own and
// leave reading out, so the bound is the whole pause: what ordinary passes allow is for the
// limit that is measured.
func MostOnTime(e *routing.Engine, aim time.Duration, skew float64) int {
	if aim <= 0 || e.PassSteps <= 0 || e.StepPerRequest <= 0 {
		return e.Slots
	}
	share := min(max(e.ExpertShare, 0), 1)
	uneven := 1 - share + share*skew
	step := time.Duration(float64(aim) / uneven / float64(e.PassSteps))
	return min(max(int((step-e.StepTime)/e.StepPerRequest), leastRequests), e.Slots)
}

// Slow tells whether a group's passes take longer than the pauses that are on time, so
// that all that it serves is late.
func (l *Limit) Slow(aim time.Duration) bool { return aim > 0 && l.Pass > aim }

// Ahead is how many passes ahead a group changes its map.
func (l *Limit) Ahead(ranks int) int64 {
	if orderTime+time.Duration(ranks)*orderPerRank < time.Duration(waitPart*float64(l.Pass)) {
		return 1
	}
	return 2
}

// Free is how many more requests each rank should get, of a limit for each. A slow
// rank gets fewer, and none from [LeavePace] on while there are others: one prompt that is
// read there holds the passes of all up for longer than the others take for all theirs.
func Free(reports []changeover.Report, limit int) []int {
	least := math.Inf(1)
	for _, r := range reports {
		least = min(least, Pace(r))
	}
	free := make([]int, len(reports))
	for rank, r := range reports {
		pace := Pace(r)
		if pace >= LeavePace && least < LeavePace {
			continue
		}
		free[rank] = int(float64(limit)/pace) - r.Running - r.Waiting
	}
	return free
}

// evenPart of the free places is shared evenly among entries, the rest by demand. An
// entry that had no requests must be able to take its first.
const evenPart = 0.2

// Share divides the free places of the ranks among the entries, by their demand. If
// all entries saw the same free place, all would send a request there. The result is
// indexed by entry and rank. Turn spreads the places differently each time.
func Share(free []int, demands []float64, turn uint64) [][]int {
	grants := make([][]int, len(demands))
	total := 0.0
	for i, d := range demands {
		grants[i] = make([]int, len(free))
		total += d
	}
	if len(demands) == 0 {
		return grants
	}
	// Upper ends of the entries' parts of the interval from 0 to 1.
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
	// Multiples of the golden ratio fall evenly into the interval.
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

// GapAim is the shortest pause between events that the routes to a service aim at.
func GapAim(c *routing.Config, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.GapAim <= 0 || shortest != 0 && r.GapAim >= shortest {
			continue
		}
		for _, s := range r.Shares {
			if s.Service == service {
				shortest = r.GapAim
			}
		}
	}
	return shortest
}
