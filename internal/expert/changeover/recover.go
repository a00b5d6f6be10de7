package changeover

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// recoverPause separates the rounds of a recovery; it is well under the length of a step.
const recoverPause = 5 * time.Millisecond

// Unfinished reports whether a rank is armed or holds a step: a map switch was begun and not ended.
func Unfinished(reports []Report) bool {
	for _, r := range reports {
		if r.Armed != nil || r.Held != 0 {
			return true
		}
	}
	return false
}

// Recover rolls back any map switch that was begun: behind a hold of its own it disarms
// all ranks, prepares another version with the active map, so that arm orders that
// are still under way are void, and releases all holds. It never completes a switch,
// as a late disarm order could undo one rank's arming after the last poll.
//
// Fence is a version above all that the ranks have had; current is the active map.
// Recover returns the highest version that it has used.
func (g *Group) Recover(ctx context.Context, own int, fence int64, current *expertmap.Map) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	var guardStep int64 // the step that this process holds
	// Holds that were there before the fence. Any version prepared while they held is
	// void after the fence; a hold that comes later may be that of a new map switch.
	var oldHolds map[int]int64
	fenced := false
	for ctx.Err() == nil {
		reports, err := g.pollAll(ctx)
		if err != nil {
			return fence, err
		}
		armed := firstArmed(reports)
		switch {
		case armed != 0 && guardStep != armed:
			// Without a hold of this process, another process's release order could begin
			// the step when half of the ranks are disarmed.
			if held, _ := g.hold(ctx, guardRank(reports, own, armed), armed); held {
				guardStep = armed
			}
			fenced = false
		case armed != 0:
			g.disarm(ctx, reports, guardStep)
			fenced = false
		case !fenced:
			oldHolds = holds(reports)
			fenced = g.fence(ctx, fence, current)
			if !fenced {
				fence += incarnations
			}
		case !Unfinished(reports):
			return fence, nil
		default:
			fenced = g.releaseHolds(ctx, reports, oldHolds)
		}
		g.Pause(ctx, recoverPause)
	}
	return fence, ctx.Err()
}

// firstArmed returns the first step for which a rank is armed, or 0.
func firstArmed(reports []Report) int64 {
	first := int64(0)
	for _, r := range reports {
		if r.Armed != nil && (first == 0 || r.Armed.Step < first) {
			first = r.Armed.Step
		}
	}
	return first
}

func holds(reports []Report) map[int]int64 {
	held := make(map[int]int64)
	for rank, r := range reports {
		if r.Held != 0 {
			held[rank] = r.Held
		}
	}
	return held
}

// disarm disarms the ranks that are armed for a step.
func (g *Group) disarm(ctx context.Context, reports []Report, step int64) {
	for rank, r := range reports {
		if r.Armed != nil && r.Armed.Step == step {
			g.order(ctx, rank, Order{Operation: Disarm, Version: r.Armed.Version})
		}
	}
}

// releaseHolds releases the holds that were there before the fence. It reports whether
// there are no others.
func (g *Group) releaseHolds(ctx context.Context, reports []Report, oldHolds map[int]int64) bool {
	all := true
	for rank, r := range reports {
		switch {
		case r.Held == 0:
		case oldHolds[rank] == r.Held:
			g.order(ctx, rank, Order{Operation: Release, Step: r.Held})
		default:
			all = false
		}
	}
	return all
}

// fence prepares the active map under a new version at all ranks.
func (g *Group) fence(ctx context.Context, version int64, current *expertmap.Map) bool {
	return g.prepare(ctx, MapSwitch{Version: version, Map: current}) == nil
}

// guardRank returns the rank at which to hold a step for which ranks are armed: one that
// holds no step, preferably the process's own, or else one that other processes have
// left holding this step. It is never the holder rank of a map switch under way: a go
// order of the process that switches may still arrive there, and would let the step begin
// with some ranks disarmed.
func guardRank(reports []Report, own int, step int64) int {
	switchHolder := make(map[int]bool)
	for _, r := range reports {
		if r.Armed != nil {
			switchHolder[HolderRank(OriginRank(r.Armed.Version), len(reports))] = true
		}
	}
	if !switchHolder[own] && reports[own].Held == 0 {
		return own
	}
	guard := own
	for rank, r := range reports {
		switch {
		case switchHolder[rank]:
		case r.Held == 0:
			return rank
		case r.Held == step:
			guard = rank
		}
	}
	return guard
}

// pollAll reads the reports of all ranks.
func (g *Group) pollAll(ctx context.Context) ([]Report, error) {
	reports := make([]Report, g.Ranks)
	errs := make([]error, g.Ranks)
	ranks := make([]int, g.Ranks)
	for rank := range ranks {
		ranks[rank] = rank
	}
	g.each(ranks, func(rank int) { reports[rank], errs[rank] = g.readReport(ctx, rank) })
	return reports, errors.Join(errs...)
}

// NextVersion returns a version above all that the reports show, and above the given one.
// The incarnation makes versions of different planning processes, and of one process before
// and after a restart, differ: a late prepare order of an earlier incarnation must not be
// taken for one with another map.
func NextVersion(reports []Report, above int64, incarnation Incarnation) int64 {
	highest := above
	for _, r := range reports {
		highest = max(highest, r.Map, r.Prepared)
		if r.Armed != nil {
			highest = max(highest, r.Armed.Version)
		}
	}
	return (highest/incarnations+1)*incarnations + int64(incarnation)
}

// Incarnation identifies one incarnation of a planning process: a random number and the rank of the process.
type Incarnation int64

const (
	// maxRanks bounds the ranks of a group: twice those of the largest group that is planned for.
	maxRanks = 512
	// drawsPerRank is how many random numbers there are for each rank. Two incarnations of
	// one process that draw the same one within the seconds in which a late order may
	// arrive are not expected in years.
	drawsPerRank = 1 << 15
	incarnations = maxRanks * drawsPerRank
)

// NewIncarnation draws an incarnation for the process on the host of a rank.
func NewIncarnation(rank int) Incarnation {
	return Incarnation(rand.Int64N(drawsPerRank)*maxRanks + int64(rank))
}

// OriginRank returns the rank of the process that chose a version.
func OriginRank(version int64) int { return int(version % maxRanks) }
