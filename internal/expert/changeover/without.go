package changeover

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// ErrMayBeArmed reports that a map switch can't be rolled back without the rank that does
// not answer.
var ErrMayBeArmed = merry.New("the rank that does not answer may be armed")

// RecoverWithout rolls back a map switch whose process is frozen together with its own
// rank, the lost one, so that neither can be reached. All other ranks can.
//
// It is safe because of the order in which a process arms the ranks: its own only after it
// has seen all others armed, and the holder rank after the rest. So if the holder rank is
// not armed, the lost one is not either. The holder rank is fenced first: from then on the
// process can't see it armed any more, and so never arms its own rank, whenever it wakes.
// Only then are the others disarmed, and the step released at the holder rank, where only
// the lost process can have held it.
//
// The switch is rolled back only if all reports agree with this state; otherwise the group
// waits for the rank. Orders of other processes that plan at the same time are rejected by
// the sidecars, which follow the newest planner.
func (g *Group) RecoverWithout(ctx context.Context, lost int, fence int64, filler *expertmap.Map) error {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	reports, err := g.pollOthers(ctx, lost)
	if err != nil {
		return err
	}
	change, found := abandonedSwitch(reports, lost)
	if !found {
		return merry.Wrap(ErrMayBeArmed)
	}
	holder := HolderRank(lost, g.Ranks)
	order := Order{Operation: Prepare, Version: fence, Map: filler}
	if !g.fenceRank(ctx, holder, order) {
		return merry.Wrap(ErrMayBeArmed, merry.AppendMessage("the holder rank was not fenced"))
	}
	for ctx.Err() == nil {
		reports, err = g.pollOthers(ctx, lost)
		if err != nil {
			return err
		}
		if reports[holder].Held != change.Step {
			return nil // it was released after all ranks had been fenced
		}
		fenced, err := g.fenceOthers(ctx, reports, lost, change, order)
		if err != nil {
			return err
		}
		if fenced && g.release(ctx, holder, change.Step) {
			return nil
		}
		g.Pause(ctx, recoverPause)
	}
	return ctx.Err()
}

// abandonedSwitch returns the map switch that the process of the lost rank has begun, if the
// reports show that it is the only one and that the lost rank can't be armed for it yet.
// The report of the lost rank is not used.
func abandonedSwitch(reports []Report, lost int) (change Arming, found bool) {
	holder := HolderRank(lost, len(reports))
	change = Arming{Version: reports[holder].Prepared, Step: reports[holder].Held}
	if reports[holder].Armed != nil || change.Step == 0 || change.Version == 0 || OriginRank(change.Version) != lost {
		return Arming{}, false
	}
	for rank, r := range reports {
		switch {
		case rank == lost:
		case r.Armed != nil && *r.Armed != change:
			return Arming{}, false
		case r.Prepared != change.Version, r.Held != 0 && rank != holder:
			return Arming{}, false
		}
	}
	return change, true
}

// fenceRank prepares the fence at a rank, and reports whether the rank has it.
func (g *Group) fenceRank(ctx context.Context, rank int, o Order) bool {
	for range tries {
		g.order(ctx, rank, o)
		r, err := g.readReport(ctx, rank)
		if err != nil || r.Armed != nil {
			return false
		}
		if r.Prepared == o.Version {
			return true
		}
		g.Pause(ctx, recoverPause)
	}
	return false
}

// fenceOthers disarms the ranks that are armed and fences those that have the version of the
// switch prepared. It reports whether the reports showed nothing left to do: a rank with any
// other version prepared is fenced.
func (g *Group) fenceOthers(ctx context.Context, reports []Report, lost int, change Arming, o Order) (bool, error) {
	var left []int
	for rank, r := range reports {
		switch {
		case rank == lost:
		case r.Armed != nil && *r.Armed != change:
			return false, merry.Wrap(ErrMayBeArmed, merry.AppendMessagef("rank %d is armed for another change", rank))
		case r.Armed != nil, r.Prepared == change.Version:
			left = append(left, rank)
		}
	}
	g.each(left, func(rank int) {
		if reports[rank].Armed != nil {
			g.order(ctx, rank, Order{Operation: Disarm, Version: change.Version})
			return
		}
		g.order(ctx, rank, o)
	})
	return len(left) == 0, nil
}

// pollOthers reads the reports of all ranks but the lost one, whose report is empty.
func (g *Group) pollOthers(ctx context.Context, lost int) ([]Report, error) {
	var others []int
	for rank := range g.Ranks {
		if rank != lost {
			others = append(others, rank)
		}
	}
	reports := make([]Report, g.Ranks)
	errs := make([]error, g.Ranks)
	g.each(others, func(rank int) { reports[rank], errs[rank] = g.readReport(ctx, rank) })
	return reports, errors.Join(errs...)
}
