package changeover

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Errors of map switches.
var (
	// ErrGroupChanged reports that the group was formed again, does not take requests, or
	// has a rank that can't be reached. The next poll shows the state of the group.
	ErrGroupChanged = merry.New("the group was formed again, is not open, or a rank can't be reached")
	// ErrNotPrepared reports that the ranks did not all get the new map in time.
	ErrNotPrepared = merry.New("the map was not prepared at all ranks")
	// ErrNotArmed reports that the map switch was not completed.
	ErrNotArmed = merry.New("the map switch could not be completed at all ranks")
)

const (
	// prepareTimeout bounds the copying of experts: the largest copy that one map switch
	// may make takes under a second.
	prepareTimeout = 4 * time.Second
	// pollInterval separates polls of ranks that are copying experts.
	pollInterval = 60 * time.Millisecond
	// tries is how often an order that gets no answer is sent within one stage of a map
	// switch. Each try waits for the whole timeout of a call.
	tries = 3
	// giveUpTimeout bounds how long an abandoned map switch waits for its step to begin.
	// Steps of a loaded group take up to a quarter of a second.
	giveUpTimeout = 500 * time.Millisecond
	// recoverTimeout bounds the recovery of a group; past it the next poll starts the
	// recovery again.
	recoverTimeout = 5 * time.Second
)

// Group gives access to the ranks of a group in one epoch.
type Group struct {
	Ranks int
	Epoch int64
	// Order sends an order to a rank.
	Order func(ctx context.Context, rank int, o Order) Result
	// ReadReport reads the report of a rank.
	ReadReport func(ctx context.Context, rank int) (Report, error)
	// Reachable returns an error if a rank does not answer now.
	Reachable func(ctx context.Context) error
	// Pause waits for a duration.
	Pause func(ctx context.Context, d time.Duration)
	// OnPrepared is called once all ranks have the new map.
	OnPrepared func()
	// OnRejected is called, for the log, with each order that a rank did not accept.
	OnRejected func(operation string, rank int, r Result)
}

// MapSwitch is a new map for a group.
type MapSwitch struct {
	Version int64
	Map     *expertmap.Map
	// Own is the rank of the process that switches the map.
	Own int
	// Ahead is how many steps after the one under way the map is switched, at least 1.
	// The ranks wait if the orders take longer.
	Ahead int64
	// After is the last step that this process has tried to hold. The switch comes at a
	// later one: a hold on the same step could be released by a late release order.
	After int64
}

// HolderRank returns the rank at which a process holds the step of its map switches: the
// one after its own. No other process's switches are held there, so a late release order of
// theirs can't release the step; and if the process and its own rank freeze with their
// host, the other processes can still release the step.
func HolderRank(own, ranks int) int { return (own + 1) % ranks }

// Run prepares and activates the map. It returns the step from which the map is active.
func (g *Group) Run(ctx context.Context, c MapSwitch) (int64, error) {
	if err := g.prepare(ctx, c); err != nil {
		return 0, err
	}
	g.OnPrepared()
	// A rank whose host has stopped answering would leave the switch half done, and
	// the step held until the host is back. The copying took a while, so all ranks are
	// checked now.
	if err := g.reachable(ctx); err != nil {
		return 0, err
	}
	step, timedOut, err := g.holdNext(ctx, c)
	if err == nil && timedOut {
		// A host may have stopped meanwhile. Once it has been sent an arm order, nobody knows
		// whether it is armed, and all ranks wait for it; until then the step can be released
		// without it.
		err = g.reachable(ctx)
	}
	if err != nil {
		g.abandonHold(ctx, c, step)
		return step, err
	}
	if !g.armInTurn(ctx, c, step) {
		return step, merry.Wrap(ErrNotArmed)
	}
	if !g.release(ctx, HolderRank(c.Own, g.Ranks), step) {
		return step, merry.Wrap(ErrNotArmed, merry.AppendMessage("the step could not be released"))
	}
	return step, nil
}

func (g *Group) reachable(ctx context.Context) error {
	if err := g.Reachable(ctx); err != nil {
		return merry.Wrap(ErrGroupChanged, merry.AppendMessage(err.Error()))
	}
	return nil
}

// prepare makes all ranks copy the experts that are new to them, and waits until they have.
func (g *Group) prepare(ctx context.Context, c MapSwitch) error {
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

// unprepared returns the ranks that do not have the version prepared yet.
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
	g.each(ask, func(rank int) { reports[rank], errs[rank] = g.readReport(ctx, rank) })
	var left []int
	for _, rank := range ask {
		r := reports[rank]
		switch {
		case errs[rank] != nil:
			return nil, errs[rank]
		case r.Prepared == version:
		case r.Armed != nil || r.Prepared > version:
			return nil, merry.Wrap(ErrNotPrepared, merry.AppendMessagef("rank %d takes part in a map switch of another process", rank))
		default:
			left = append(left, rank)
		}
	}
	return left, nil
}

// holdNext holds the next step that has not begun. TimedOut reports that an order got no answer
// in time. If holdNext fails it returns the last step that it tried to hold.
func (g *Group) holdNext(ctx context.Context, c MapSwitch) (step int64, timedOut bool, err error) {
	step = c.After
	holder := HolderRank(c.Own, g.Ranks)
	for range tries {
		r, err := g.readReport(ctx, holder)
		if err != nil {
			return step, timedOut, err
		}
		step = max(r.Step+c.Ahead, step+1)
		held, noAnswer := g.hold(ctx, holder, step)
		timedOut = timedOut || noAnswer
		if held {
			return step, timedOut, nil
		}
	}
	return step, timedOut, merry.Wrap(ErrNotArmed, merry.AppendMessage("no step could be held"))
}

// hold holds a step at a rank. If it returns false, an order that is under way may still hold
// the step later. TimedOut reports that an order got no answer in time.
func (g *Group) hold(ctx context.Context, rank int, step int64) (held, timedOut bool) {
	for range tries {
		res := g.order(ctx, rank, Order{Operation: Hold, Step: step})
		if res == Accepted {
			return true, timedOut
		}
		timedOut = timedOut || res == Unanswered
		// An order that got no answer may have been carried out; the rank then answers
		// the next one with WrongState.
		r, err := g.readReport(ctx, rank)
		if err != nil || r.Held == step {
			return err == nil, timedOut
		}
		if res != Unanswered {
			return false, timedOut
		}
	}
	return false, timedOut
}

// abandonHold releases a step for which no rank was sent an arm order, and waits until the step
// has begun: a hold order that got no answer may arrive until then.
func (g *Group) abandonHold(ctx context.Context, c MapSwitch, step int64) {
	rank := HolderRank(c.Own, g.Ranks)
	ctx, cancel := context.WithTimeout(ctx, giveUpTimeout)
	defer cancel()
	for ctx.Err() == nil {
		r, err := g.readReport(ctx, rank)
		if err != nil || r.Step >= step {
			return // the rank can't be reached, or the step has begun
		}
		if r.Held > c.After && r.Held <= step {
			g.order(ctx, rank, Order{Operation: Release, Step: r.Held})
		}
		g.Pause(ctx, recoverPause)
	}
}

// armInTurn arms all ranks: first all but two, then the holder rank, and last the
// process's own. If the process and its rank freeze, a process that finds the holder
// rank not armed knows that the frozen rank is not armed either, and won't be once the
// holder rank is fenced: so the switch can be rolled back without the frozen rank.
// Arming in turn takes two more round trips, some 6 ms of a step of 40 ms and more.
func (g *Group) armInTurn(ctx context.Context, c MapSwitch, step int64) bool {
	holder := HolderRank(c.Own, g.Ranks)
	var others []int
	for rank := range g.Ranks {
		if rank != holder && rank != c.Own {
			others = append(others, rank)
		}
	}
	for _, turn := range [][]int{others, {holder}, {c.Own}} {
		if !g.arm(ctx, turn, c.Version, step) {
			return false
		}
	}
	return true
}

// arm arms ranks and reports whether all of them are known to be armed.
func (g *Group) arm(ctx context.Context, ranks []int, version, step int64) bool {
	order := Order{Operation: Arm, Version: version, Step: step}
	results := make([]Result, g.Ranks)
	g.each(ranks, func(rank int) { results[rank] = g.order(ctx, rank, order) })
	for range tries {
		var again []int
		for _, rank := range ranks {
			switch results[rank] {
			case Accepted:
			case Unanswered:
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

// armAgain checks whether a rank is armed, and sends the order once more if not.
func (g *Group) armAgain(ctx context.Context, rank int, o Order) Result {
	r, err := g.readReport(ctx, rank)
	switch {
	case err != nil:
		return WrongState
	case r.Armed != nil && *r.Armed == (Arming{o.Version, o.Step}):
		return Accepted
	}
	if res := g.order(ctx, rank, o); res != WrongState {
		return res
	}
	return Unanswered // the first order may have been carried out meanwhile: check again
}

// release releases a step at a rank.
func (g *Group) release(ctx context.Context, rank int, step int64) bool {
	for range tries {
		switch g.order(ctx, rank, Order{Operation: Release, Step: step}) {
		case Accepted:
			return true
		}
		if r, err := g.readReport(ctx, rank); err != nil || r.Held != step {
			return err == nil
		}
	}
	return false
}

// each calls a function for several ranks at the same time, and returns when all calls have.
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
		g.OnRejected(o.Operation.String(), rank, res)
	}
	return res
}

// readReport reads the report of a rank, and fails if the rank is in another epoch or not open.
func (g *Group) readReport(ctx context.Context, rank int) (Report, error) {
	r, err := g.ReadReport(ctx, rank)
	if err != nil {
		return r, merry.Wrap(ErrGroupChanged, merry.AppendMessage(err.Error()))
	}
	if r.Epoch != g.Epoch || !r.Open {
		return r, merry.Wrap(ErrGroupChanged, merry.AppendMessagef("rank %d: epoch %d, open %t", rank, r.Epoch, r.Open))
	}
	return r, nil
}
