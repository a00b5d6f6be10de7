package changeover

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Errors of switches.
var (
	// ErrLeft reports that the group was formed anew, is broken, or that a rank can't
	// be asked. The next look at the group shows what became of it.
	ErrLeft = merry.New("the group is not as it was")
	// ErrNotPrepared reports that the ranks did not all get the new map in time.
	ErrNotPrepared = merry.New("the map was not prepared everywhere")
	// ErrNotArmed reports that the change was taken back.
	ErrNotArmed = merry.New("the map could not be armed everywhere")
)

const (
	// prepareTimeout bounds the copying of experts: the most that one change may
	// copy takes under a second.
	prepareTimeout = 4 * time.Second
	// pollInterval of looks at ranks that copy.
	pollInterval = 60 * time.Millisecond
	// tries of an order that gets no answer, within one step of a change. Each waits
	// out the timeout of a call.
	tries = 3
	// giveUpTimeout bounds how long a change that was given up waits for its pass to begin.
	// Passes of a loaded group take up to a quarter of a second.
	giveUpTimeout = 500 * time.Millisecond
	// recoverTimeout bounds the freeing of a group; past it the next look begins
	// anew.
	recoverTimeout = 5 * time.Second
)

// Group gives access to the ranks of a group in one epoch.
type Group struct {
	Ranks int
	Epoch int64
	// Order gives an order to a rank.
	Order func(ctx context.Context, rank int, o Order) Result
	// Look reads a rank's report.
	Look func(ctx context.Context, rank int) (Report, error)
	// Reachable tells of a rank that does not answer now.
	Reachable func(ctx context.Context) error
	// Pause waits.
	Pause func(ctx context.Context, d time.Duration)
	// Prepared hears that all ranks have the new map.
	Prepared func()
	// Step hears of each step of a change, for the log.
	Step func(what string, rank int, r Result)
}

// Change is a new map for a group.
type Change struct {
	Version int64
	Map     *expertmap.Map
	// Own is the rank of the process that switches.
	Own int
	// Ahead is how many passes ahead of the one under way the change is made, 1 at
	// least. The ranks wait if the orders take longer.
	Ahead int64
	// After is a pass that must have been passed; a hold on one that was used before
	// could be released by a late go.
	After int64
}

// Second returns the rank at which a process holds the pass of its changes: the one
// after its own. No other process's changes are held there, so a late go of theirs
// can't release it; and should the process's host stand still with its rank, the others
// can still let the pass go.
func Second(own, ranks int) int { return (own + 1) % ranks }

// Run brings the change into force. It returns the pass from which it holds.
func (g *Group) Run(ctx context.Context, c Change) (int64, error) {
	if err := g.prepare(ctx, c); err != nil {
		return 0, err
	}
	g.Prepared()
	// A rank whose host has stopped answering would leave the change half done, and
	// the pass held until it is back. The copying took a while, so all are asked now.
	if err := g.reachable(ctx); err != nil {
		return 0, err
	}
	step, waited, err := g.holdNext(ctx, c)
	if err == nil && waited {
		// A host may have stopped meanwhile. Once it is told to arm nobody can tell whether it
		// is armed, and all wait for it; until then the pass can be let go without it.
		err = g.reachable(ctx)
	}
	if err != nil {
		g.giveHoldUp(ctx, c, step)
		return step, err
	}
	if !g.armInTurn(ctx, c, step) {
		return step, merry.Wrap(ErrNotArmed)
	}
	if !g.release(ctx, Second(c.Own, g.Ranks), step) {
		return step, merry.Wrap(ErrNotArmed, merry.AppendMessage("the pass could not be let go"))
	}
	return step, nil
}

func (g *Group) reachable(ctx context.Context) error {
	if err := g.Reachable(ctx); err != nil {
		return merry.Wrap(ErrLeft, merry.AppendMessage(err.Error()))
	}
	return nil
}

// prepare has all ranks copy the experts that are new to them.
func (g *Group) prepare(ctx context.Context, c Change) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	left := make([]int, g.Ranks)
	for rank := range left {
		left[rank] = rank
	}
	order := Order{Operation: Prepare, Version: c.Version, Map: c.Map}
	for {
		results := make([]Result, g.Ranks)
		g.each(left, func(rank int) { results[rank] = g.order(ctx, rank, order) })
		var err error
		left, err = g.unprepared(ctx, c.Version, left, results)
		switch {
		case err != nil:
			return err
		case len(left) == 0:
			return nil
		case ctx.Err() != nil:
			return merry.Wrap(ErrNotPrepared, merry.AppendMessage("out of time"))
		}
		g.Pause(ctx, pollInterval)
	}
}

// unprepared returns those of the ranks that do not have a version ready.
func (g *Group) unprepared(ctx context.Context, version int64, ranks []int, results []Result) ([]int, error) {
	var ask []int
	for _, rank := range ranks {
		switch results[rank] {
		case Invalid:
			return nil, merry.Wrap(ErrNotPrepared, merry.AppendMessagef("rank %d refused the map", rank))
		case Ready:
		default:
			ask = append(ask, rank)
		}
	}
	reports := make([]Report, g.Ranks)
	errs := make([]error, g.Ranks)
	g.each(ask, func(rank int) { reports[rank], errs[rank] = g.look(ctx, rank) })
	var left []int
	for _, rank := range ask {
		r := reports[rank]
		switch {
		case errs[rank] != nil:
			return nil, errs[rank]
		case r.Prepared == version:
		case r.Armed != nil || r.Prepared > version:
			return nil, merry.Wrap(ErrNotPrepared, merry.AppendMessagef("rank %d is being changed by another process", rank))
		default:
			left = append(left, rank)
		}
	}
	return left, nil
}

// holdNext holds the next pass that has not begun. Waited tells that an order got no answer in
// time. If it fails it returns the last pass that it tried to hold.
func (g *Group) holdNext(ctx context.Context, c Change) (step int64, waited bool, err error) {
	step = c.After
	holder := Second(c.Own, g.Ranks)
	for range tries {
		r, err := g.look(ctx, holder)
		if err != nil {
			return step, waited, err
		}
		step = max(r.Step+c.Ahead, step+1)
		held, late := g.hold(ctx, holder, step)
		waited = waited || late
		if held {
			return step, waited, nil
		}
	}
	return step, waited, merry.Wrap(ErrNotArmed, merry.AppendMessage("no pass could be held"))
}

// hold holds a pass at a rank. If it is not held it may yet be, by an order that is under way.
// Waited tells that an order got no answer in time.
func (g *Group) hold(ctx context.Context, rank int, step int64) (held, waited bool) {
	for range tries {
		res := g.order(ctx, rank, Order{Operation: Hold, Step: step})
		if res == Accepted {
			return true, waited
		}
		waited = waited || res == NoAnswer
		// One that got no answer may have been carried out, and the next then does
		// not fit.
		r, err := g.look(ctx, rank)
		if err != nil || r.Held == step {
			return err == nil, waited
		}
		if res != NoAnswer {
			return false, waited
		}
	}
	return false, waited
}

// giveHoldUp lets a pass go for which no rank was told to arm, and waits until it has begun: a
// hold order that got no answer may land until then.
func (g *Group) giveHoldUp(ctx context.Context, c Change, step int64) {
	rank := Second(c.Own, g.Ranks)
	ctx, cancel := context.WithTimeout(ctx, giveUpTimeout)
	defer cancel()
	for ctx.Err() == nil {
		r, err := g.look(ctx, rank)
		if err != nil || r.Step >= step {
			return // nobody can do more for it, or nothing has to be done
		}
		if r.Held > c.After && r.Held <= step {
			g.order(ctx, rank, Order{Operation: Go, Step: r.Held})
		}
		g.Pause(ctx, recoverPause)
	}
}

// armInTurn arms all ranks: first all but two, then the one that holds the pass, and
// last the process's own. Should the process and its rank stand still, whoever finds
// the second one not armed knows that its own is not armed either, and won't be once
// the second one is fenced: so the change can be taken back without it. Arming in
// turns takes two round trips more, some 6 ms of a pass of 40 and more.
func (g *Group) armInTurn(ctx context.Context, c Change, step int64) bool {
	second := Second(c.Own, g.Ranks)
	var rest []int
	for rank := range g.Ranks {
		if rank != second && rank != c.Own {
			rest = append(rest, rank)
		}
	}
	for _, turn := range [][]int{rest, {second}, {c.Own}} {
		if !g.arm(ctx, turn, c.Version, step) {
			return false
		}
	}
	return true
}

// arm arms ranks and tells whether all of them were seen armed.
func (g *Group) arm(ctx context.Context, ranks []int, version, step int64) bool {
	order := Order{Operation: Arm, Version: version, Step: step}
	results := make([]Result, g.Ranks)
	g.each(ranks, func(rank int) { results[rank] = g.order(ctx, rank, order) })
	for range tries {
		var again []int
		for _, rank := range ranks {
			switch results[rank] {
			case Accepted:
			case NoAnswer:
				again = append(again, rank)
			default:
				return false
			}
		}
		if len(again) == 0 {
			return true
		}
		g.each(again, func(rank int) { results[rank] = g.armAgain(ctx, rank, order) })
	}
	return false
}

// armAgain looks whether a rank is armed, and gives the order once more if not.
func (g *Group) armAgain(ctx context.Context, rank int, o Order) Result {
	r, err := g.look(ctx, rank)
	switch {
	case err != nil:
		return Unfit
	case r.Armed != nil && *r.Armed == (Arming{o.Version, o.Step}):
		return Accepted
	}
	if res := g.order(ctx, rank, o); res != Unfit {
		return res
	}
	return NoAnswer // the first may have been carried out meanwhile: look again
}

// release lets a pass go at a rank.
func (g *Group) release(ctx context.Context, rank int, step int64) bool {
	for range tries {
		switch g.order(ctx, rank, Order{Operation: Go, Step: step}) {
		case Accepted:
			return true
		}
		if r, err := g.look(ctx, rank); err != nil || r.Held != step {
			return err == nil
		}
	}
	return false
}

// each does something with ranks at the same time, and returns when all is done.
func (g *Group) each(ranks []int, do func(rank int)) {
	var wg sync.WaitGroup
	for _, rank := range ranks {
		wg.Go(func() { do(rank) })
	}
	wg.Wait()
}

func (g *Group) order(ctx context.Context, rank int, o Order) Result {
	o.Epoch = g.Epoch
	res := g.Order(ctx, rank, o)
	if res != Accepted && res != Ready {
		g.Step(o.Operation.String(), rank, res)
	}
	return res
}

// look reads the report of a rank, and fails if it is not of this epoch.
func (g *Group) look(ctx context.Context, rank int) (Report, error) {
	r, err := g.Look(ctx, rank)
	if err != nil {
		return r, merry.Wrap(ErrLeft, merry.AppendMessage(err.Error()))
	}
	if r.Epoch != g.Epoch || !r.Open {
		return r, merry.Wrap(ErrLeft, merry.AppendMessagef("rank %d: epoch %d, open %t", rank, r.Epoch, r.Open))
	}
	return r, nil
}
