package changeover

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// recoverPause between the steps of a recovery; it is well under the length of a pass.
const recoverPause = 5 * time.Millisecond

// Stuck tells whether the reports show a change that was begun and not ended.
func Stuck(reports []Report) bool {
	for _, r := range reports {
		if r.Armed != nil || r.Held != 0 {
			return true
		}
	}
	return false
}

// Recover takes back whatever change was begun: behind a hold of its own it disarms
// all ranks, prepares another version with the map in force, so that arm orders that
// are still under way are void, and lets all holds go. It never completes a change,
// as a late disarm order could undo one rank's arming after the last look.
//
// Fence is a version above all that the ranks have had; current is the map in force.
// Recover returns the highest version that it has used.
func (g *Group) Recover(ctx context.Context, own int, fence int64, current *expertmap.Map) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	var guard int64 // the pass that this process holds
	// Holds that were there before the fence. Whatever was prepared under them is
	// void after it; a hold that comes later may be that of a new change.
	var before map[int]int64
	fenced := false
	for ctx.Err() == nil {
		reports, err := g.lookAll(ctx)
		if err != nil {
			return fence, err
		}
		armed := firstArmed(reports)
		switch {
		case armed != 0 && guard != armed:
			// Without a hold of its own, another process's go could begin the pass
			// when half of the ranks are disarmed.
			if held, _ := g.hold(ctx, guardRank(reports, own, armed), armed); held {
				guard = armed
			}
			fenced = false
		case armed != 0:
			g.disarm(ctx, reports, guard)
			fenced = false
		case !fenced:
			before = holds(reports)
			fenced = g.fence(ctx, fence, current)
			if !fenced {
				fence += lives
			}
		case !Stuck(reports):
			return fence, nil
		default:
			fenced = g.letGo(ctx, reports, before)
		}
		g.Pause(ctx, recoverPause)
	}
	return fence, ctx.Err()
}

// firstArmed returns the first pass for which a rank is armed, or 0.
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

// disarm takes back what ranks are armed for at one pass.
func (g *Group) disarm(ctx context.Context, reports []Report, step int64) {
	for rank, r := range reports {
		if r.Armed != nil && r.Armed.Step == step {
			g.order(ctx, rank, Order{Operation: Disarm, Version: r.Armed.Version})
		}
	}
}

// letGo releases the holds that were there before the fence. It tells whether
// those were all.
func (g *Group) letGo(ctx context.Context, reports []Report, before map[int]int64) bool {
	all := true
	for rank, r := range reports {
		switch {
		case r.Held == 0:
		case before[rank] == r.Held:
			g.order(ctx, rank, Order{Operation: Go, Step: r.Held})
		default:
			all = false
		}
	}
	return all
}

// fence prepares the map in force under a new version at all ranks.
func (g *Group) fence(ctx context.Context, version int64, current *expertmap.Map) bool {
	return g.prepare(ctx, Change{Version: version, Map: current}) == nil
}

// guardRank returns the rank at which to hold a pass for which ranks are armed: one that
// holds no pass, the process's own if it can, or else one that other processes have
// left holding this pass. It is none at which a change that is under way was held: a go
// of the process that made it may still land there, and would let the pass begin with
// some ranks disarmed.
func guardRank(reports []Report, own int, step int64) int {
	holdsChange := make(map[int]bool)
	for _, r := range reports {
		if r.Armed != nil {
			holdsChange[Second(Giver(r.Armed.Version), len(reports))] = true
		}
	}
	if !holdsChange[own] && reports[own].Held == 0 {
		return own
	}
	guard := own
	for rank, r := range reports {
		switch {
		case holdsChange[rank]:
		case r.Held == 0:
			return rank
		case r.Held == step:
			guard = rank
		}
	}
	return guard
}

func (g *Group) lookAll(ctx context.Context) ([]Report, error) {
	reports := make([]Report, g.Ranks)
	errs := make([]error, g.Ranks)
	ranks := make([]int, g.Ranks)
	for rank := range ranks {
		ranks[rank] = rank
	}
	g.each(ranks, func(rank int) { reports[rank], errs[rank] = g.look(ctx, rank) })
	return reports, errors.Join(errs...)
}

// NextVersion returns a version above all that the reports show. Life tells one life
// of a planning process from all others: a prepare order of an earlier life, of the
// same process too, may land later, and must not pass for one with another map.
func NextVersion(reports []Report, above int64, life Life) int64 {
	highest := above
	for _, r := range reports {
		highest = max(highest, r.Map, r.Prepared)
		if r.Armed != nil {
			highest = max(highest, r.Armed.Version)
		}
	}
	return (highest/lives+1)*lives + int64(life)
}

// Life is drawn at random for each life of a planning process, and names its rank.
type Life int64

const (
	// maxRanks of a group: twice as many as the largest that is planned for.
	maxRanks = 512
	// draws for each rank. That two lives of one process draw the same within the
	// seconds in which an order may land is not to be expected in years.
	draws = 1 << 15
	lives = maxRanks * draws
)

// NewLife draws a life of the process beside a rank.
func NewLife(rank int) Life { return Life(rand.Int64N(draws)*maxRanks + int64(rank)) }

// Giver returns the rank beside which the process runs that chose a version.
func Giver(version int64) int { return int(version % maxRanks) }
