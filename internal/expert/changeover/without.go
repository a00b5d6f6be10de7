package changeover

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// ErrUnclear reports that a change can't be taken back without the rank that does not
// answer: it may be armed.
var ErrUnclear = merry.New("the rank that does not answer may be armed")

// RecoverWithout takes a change back whose process stands still together with the rank
// beside it, so that neither can be asked. All other ranks can.
//
// What makes this safe is the order in which a process arms: its own rank only after it
// has seen all others armed, and the second one after the rest. So if the second rank is
// not armed, the lost one is not. The second is fenced first: from then on the process
// can't see it armed any more, and so never arms its own, whenever it wakes. Only then
// are the others disarmed, and the pass let go at the second rank, where only the lost
// process could have held it.
//
// It is done only where all that is seen fits that picture; anything else waits for
// the rank. Orders of other processes that plan at the same time are kept away by the
// sidecars, which follow the newest of them.
func (g *Group) RecoverWithout(ctx context.Context, lost int, fence int64, filler *expertmap.Map) error {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	reports, err := g.lookWithout(ctx, lost)
	if err != nil {
		return err
	}
	change, found := abandoned(reports, lost)
	if !found {
		return merry.Wrap(ErrUnclear)
	}
	second := Second(lost, g.Ranks)
	order := Order{Operation: Prepare, Version: fence, Map: filler}
	if !g.fenceOne(ctx, second, order) {
		return merry.Wrap(ErrUnclear, merry.AppendMessage("the second rank was not fenced"))
	}
	for ctx.Err() == nil {
		reports, err = g.lookWithout(ctx, lost)
		if err != nil {
			return err
		}
		if reports[second].Held != change.Step {
			return nil // it was let go, as soon as all were fenced
		}
		fenced, err := g.fenceOthers(ctx, reports, lost, change, order)
		if err != nil {
			return err
		}
		if fenced && g.release(ctx, second, change.Step) {
			return nil
		}
		g.Pause(ctx, recoverPause)
	}
	return ctx.Err()
}

// abandoned returns the change that the process beside the lost rank has begun, if the
// reports show that it is the only one, and not so far that its own rank may be armed.
// The lost rank's report is not looked at.
func abandoned(reports []Report, lost int) (change Arming, found bool) {
	second := Second(lost, len(reports))
	change = Arming{Version: reports[second].Prepared, Step: reports[second].Held}
	if reports[second].Armed != nil || change.Step == 0 || change.Version == 0 || Giver(change.Version) != lost {
		return Arming{}, false
	}
	for rank, r := range reports {
		switch {
		case rank == lost:
		case r.Armed != nil && *r.Armed != change:
			return Arming{}, false
		case r.Prepared != change.Version, r.Held != 0 && rank != second:
			return Arming{}, false
		}
	}
	return change, true
}

// fenceOne prepares the fence at a rank, and tells whether it is there.
func (g *Group) fenceOne(ctx context.Context, rank int, o Order) bool {
	for range tries {
		g.order(ctx, rank, o)
		r, err := g.look(ctx, rank)
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

// fenceOthers disarms the ranks that are armed and fences the others. It tells whether
// all were seen fenced before it began: any other version that is prepared is a fence.
func (g *Group) fenceOthers(ctx context.Context, reports []Report, lost int, change Arming, o Order) (bool, error) {
	var left []int
	for rank, r := range reports {
		switch {
		case rank == lost:
		case r.Armed != nil && *r.Armed != change:
			return false, merry.Wrap(ErrUnclear, merry.AppendMessagef("rank %d is armed for another change", rank))
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

// lookWithout looks at all ranks but one. The report of that one is empty.
func (g *Group) lookWithout(ctx context.Context, lost int) ([]Report, error) {
	var others []int
	for rank := range g.Ranks {
		if rank != lost {
			others = append(others, rank)
		}
	}
	reports := make([]Report, g.Ranks)
	errs := make([]error, g.Ranks)
	g.each(others, func(rank int) { reports[rank], errs[rank] = g.look(ctx, rank) })
	return reports, errors.Join(errs...)
}
