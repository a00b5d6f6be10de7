package companion

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// keepMoving changes the map whenever that is worth it. It goes on as soon as a look has
// ended, and the next look begins as soon as a change has: a rank copies one expert at a
// time, and its link was idle for more than half of the time while both waited for the
// clock (a change each 0.37 s, of which the copy took 0.16).
func (p *planner) keepMoving(ctx context.Context) {
	var heldUp error // what held the last round up
	for p.awaitView(ctx) {
		v := p.seen()
		// What was seen before the last change ended shows it half done.
		if v.ranks == nil || !v.began.After(p.changed) {
			continue
		}
		err := p.moveRound(ctx, v)
		// A rank may be lost for seconds, and each look finds the same.
		if err != nil && (heldUp == nil || err.Error() != heldUp.Error()) {
			p.c.log.Warn().Str("event", "moveHeldUp").Err(err).Msg("")
		}
		heldUp = err
	}
}

// awaitView waits for a look to end. It returns false if the context has ended.
func (p *planner) awaitView(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.looked:
		return true
	}
}

// moveRound brings the map nearer to what was seen.
func (p *planner) moveRound(ctx context.Context, v view) error {
	if v.epoch != p.epoch {
		p.c.log.Info().Str("event", "epoch").Str("group", string(p.group)).Int64("epoch", v.epoch).Int64("before", p.epoch).Msg("")
		p.epoch, p.after, p.highest = v.epoch, 0, 0
		p.know(nil, 0)
	}
	if len(v.lost) > 0 {
		return p.moveWithout(ctx, v)
	}
	if p.underWay(v.reports) {
		return nil
	}
	if p.current == nil || v.reports[0].Map != p.version {
		if err := p.readMap(ctx, v); err != nil {
			return err
		}
	}
	if changeover.Stuck(v.reports) {
		return p.recover(ctx, v)
	}
	return p.move(ctx, v)
}

// underWay tells whether the last change is complete but for its pass to begin.
func (p *planner) underWay(reports []changeover.Report) bool {
	armed := false
	for _, r := range reports {
		if r.Held != 0 || r.Armed != nil && *r.Armed != p.pending {
			return false
		}
		armed = armed || r.Armed != nil
	}
	return armed
}

// moveWithout frees the group if the process that changed its map stands still in the
// middle of that, together with its rank. The map is not changed while ranks are lost.
func (p *planner) moveWithout(ctx context.Context, v view) error {
	if len(v.lost) != 1 || !changeover.Stuck(v.reports) {
		return nil
	}
	lost := v.lost[0]
	filler, _, err := p.readLists(ctx, v)
	if err != nil {
		return err
	}
	if !filler.Complete(lost) {
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the lost rank has no room for what no other has"))
	}
	p.highest = changeover.NextVersion(v.reports, p.highest, p.life)
	begin := time.Now()
	filler = p.fenceWith(filler, lost)
	err = p.access(v).RecoverWithout(ctx, lost, p.highest, filler)
	if err != nil {
		return err
	}
	p.c.log.Info().Str("event", "recoveredWithout").Int("rank", lost).Dur("took", time.Since(begin)).Msg("")
	p.changed = time.Now()
	return nil
}

// nobody is no rank.
const nobody = -1

// fenceWith returns the map to fence ranks with that have the experts of another one; one of them
// may have any. Sidecars that have prepared it are told its digest: all callers wait while the whole
// map goes to each over the planner's link.
func (p *planner) fenceWith(m *expertmap.Map, but int) *expertmap.Map {
	p.base = nil
	kept := p.c.keptAs(m, but)
	if kept == nil {
		return m
	}
	p.base = newBase(kept, kept)
	return kept
}

// readMap reads the map in force from all ranks.
func (p *planner) readMap(ctx context.Context, v view) error {
	m, version, err := p.readLists(ctx, v)
	if err == nil {
		p.know(m, version)
	}
	return err
}

// know takes the map that is in force; nil while that is not known.
func (p *planner) know(m *expertmap.Map, version int64) {
	p.current, p.version = m, version
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inForce = m
}

// readLists reads which experts the ranks hold, but for those that are lost.
func (p *planner) readLists(ctx context.Context, v view) (*expertmap.Map, int64, error) {
	shape := expertmap.Shape{Layers: v.engine.Layers, Experts: v.engine.Experts, Ranks: len(v.ranks), Slots: v.engine.Places}
	m, err := expertmap.New(shape)
	if err != nil {
		return nil, 0, err
	}
	lists := make([]changeover.Lists, len(v.ranks))
	errs := make([]error, len(v.ranks))
	var wg sync.WaitGroup
	for rank, s := range v.ranks {
		if slices.Contains(v.lost, rank) {
			continue
		}
		wg.Go(func() {
			seen, err := p.look(ctx, s, rankport.Look{Lists: true})
			lists[rank], errs[rank] = seen.Lists, err
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, 0, err
	}
	version := v.first().Map
	for rank, l := range lists {
		if slices.Contains(v.lost, rank) {
			continue
		}
		if err := fill(m, rank, version, l); err != nil {
			return nil, 0, err
		}
	}
	return m, version, nil
}

// fill writes what a rank holds into a map of a version.
func fill(m *expertmap.Map, rank int, version int64, l changeover.Lists) error {
	shape := m.Shape()
	if l.Version != version || len(l.Experts) != shape.Layers {
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the ranks' lists are of different maps"))
	}
	for layer, row := range l.Experts {
		if len(row) > shape.Slots {
			return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("a rank has more experts than places"))
		}
		for slot, e := range row {
			m.Set(layer, rank, slot, uint16(e))
		}
	}
	return nil
}

// reachable tells of ranks that don't answer now. Their sidecars are asked whether they run, and only
// where one does not answer is the rank looked at: its sidecar alone may have ended.
func (p *planner) reachable(ctx context.Context, v view) error {
	begin := time.Now()
	var sidecars []netip.AddrPort
	for rank, s := range v.ranks {
		if rank != p.own && s.target != "" {
			sidecars = append(sidecars, s.sidecar)
		}
	}
	silent := p.c.socket.Silent(ctx, sidecars)
	var doubted []*seat
	for rank, s := range v.ranks {
		if rank != p.own && (s.target == "" || slices.Contains(silent, s.sidecar)) {
			doubted = append(doubted, s)
		}
	}
	if err := p.answerNow(ctx, begin, doubted); err != nil {
		return err
	}
	if now := p.seen(); len(now.lost) > 0 || !now.serving {
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessagef("ranks %v don't answer", now.lost))
	}
	return nil
}

// followedRanks of a group are looked at right after each change, so that the next one follows. In a
// larger one callers wait for the planner instead.
const followedRanks = 16

// answerNow looks at ranks and fails if one does not answer, and has not since some time.
func (p *planner) answerNow(ctx context.Context, since time.Time, ranks []*seat) error {
	if len(ranks) == 0 {
		return nil
	}
	_, errs := p.ask(ctx, ranks, func(int) rankport.Look { return rankport.Look{} })
	for at, err := range errs {
		switch {
		case err == nil:
		case !errors.Is(err, errNoAnswer):
			return err
		case !p.awaitHeard(ctx, ranks[at], since):
			// Passed over, the rank would be told to arm, and the pass be held until its host is back.
			return merry.Wrap(seating.ErrIncomplete, merry.AppendMessagef("target %s does not answer", ranks[at].target))
		}
	}
	return nil
}

// awaitHeard waits for a rank that another look is asking. It tells whether the rank has answered
// since some time.
func (p *planner) awaitHeard(ctx context.Context, s *seat, since time.Time) bool {
	for end := time.Now().Add(lookGrace); ; {
		if at := s.heard.Load(); at != nil && at.After(since) {
			return true
		}
		if !time.Now().Before(end) || !sleep(ctx, switchPoll) {
			return false
		}
	}
}

// access is the group as the changeover sees it.
func (p *planner) access(v view) *changeover.Group {
	return &changeover.Group{
		Reachable: func(ctx context.Context) error { return p.reachable(ctx, v) },
		Ranks:     len(v.ranks),
		Epoch:     v.epoch,
		Order: func(ctx context.Context, rank int, o changeover.Order) changeover.Result {
			if rank == p.own {
				return p.orderOwn(ctx, o)
			}
			return p.order(ctx, v.ranks[rank], o)
		},
		Look: func(ctx context.Context, rank int) (changeover.Report, error) {
			seen, err := p.look(ctx, v.ranks[rank], rankport.Look{})
			return seen.Report, err
		},
		Prepared: func() {
			p.prepared = time.Now()
			p.switching.Store(true)
		},
		Pause: func(ctx context.Context, d time.Duration) { sleep(ctx, d) },
		Step: func(what string, rank int, r changeover.Result) {
			p.c.log.Warn().Str("event", "orderFailed").Str("operation", what).Int("rank", rank).Uint8("result", uint8(r)).Msg("")
		},
	}
}

// orderOwn gives an order to the engine beside this process.
func (p *planner) orderOwn(ctx context.Context, o changeover.Order) changeover.Result {
	return p.c.order(ctx, rankport.Order{Asker: p.asker, Order: o}).Result
}

func (p *planner) order(ctx context.Context, s *seat, o changeover.Order) changeover.Result {
	if o.Operation == changeover.Hold || o.Operation == changeover.Go {
		// Straight to the engine: one process less that may stand still while a pass is
		// held, and a hop less in the time for which it is.
		result, err := p.c.engines.Order(ctx, s.engine, o)
		if err == nil || o.Operation == changeover.Hold {
			return result
		}
	}
	m := rankport.Order{Asker: p.asker, Order: o}
	if o.Operation == changeover.Prepare && p.base != nil {
		m.Order.Map, m.Base, m.Changes = nil, p.base.digest, p.base.changes
	}
	result, err := p.c.peers.Order(ctx, s.sidecar, m)
	if errors.Is(err, rankport.ErrNeedsMap) {
		m = rankport.Order{Asker: p.asker, Order: o}
		result, err = p.c.peers.Order(ctx, s.sidecar, m)
	}
	if err == nil || errors.Is(err, rankport.ErrSuperseded) {
		return result
	}
	if isSilent(err) && (o.Operation == changeover.Prepare || o.Operation == changeover.Arm) {
		// A sidecar that lives may follow a newer planner, and would not have passed
		// these on; see [changeover.Group.RecoverWithout].
		return changeover.NoAnswer
	}
	// The sidecar is gone, or may have passed the order on; giving it twice does no harm,
	// as the second one finds the state that it asks for, or does not fit.
	result, _ = p.c.engines.Order(ctx, s.engine, o)
	return result
}

// base is how a new map is told to sidecars that have the one before.
type base struct {
	digest  string
	changes []byte
}

func newBase(from, to *expertmap.Map) *base {
	list, err := expertmap.Changes(from, to)
	if err != nil {
		return nil // the whole map is told
	}
	return &base{digest: from.Digest().String(), changes: rankport.PackChanges(list)}
}

// move changes the map if the demand asks for it.
func (p *planner) move(ctx context.Context, v view) error {
	if !v.fits(p.current) {
		p.know(nil, 0) // it is read again
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the map is of another shape than the rules tell"))
	}
	planned := time.Now()
	skew := plan.Skew(p.current, v.demand, places.Paces(v.reports))
	next := plan.Follow(p.current, v.demand, places.Paces(v.reports), plan.FollowLimits{PerLayer: v.engine.Spare, PerRank: copiesIn(copyTime, v.engine), Gain: leastGain, Even: places.EvenEnough(v.pass, v.gapAim)})
	if next == nil {
		return nil
	}
	p.highest = changeover.NextVersion(v.reports, p.highest, p.life)
	begin := time.Now()
	p.prepared = begin
	copies, most := copiesOf(p.current, next)
	p.base = newBase(p.current, next)
	defer p.switching.Store(false)
	step, err := p.access(v).Run(ctx, changeover.Change{Version: p.highest, Map: next, Own: p.own, Ahead: v.ahead, After: p.after})
	p.after = max(p.after, step)
	p.c.log.Info().Str("event", "change").Int64("version", p.highest).Int64("step", step).
		Float64("skew", skew).Float64("planned", plan.Skew(next, v.demand, places.Paces(v.reports))).
		Int("copies", copies).Int("mostCopies", most).Dur("countsAge", planned.Sub(v.counted)).
		Dur("planTook", begin.Sub(planned)).Dur("prepareTook", p.prepared.Sub(begin)).
		Dur("took", time.Since(begin)).Err(err).Msg("")
	p.changed = time.Now()
	if len(v.ranks) <= followedRanks {
		signal(p.ended)
	}
	p.know(nil, 0)
	if err == nil {
		p.know(next, p.highest)
		p.pending = changeover.Arming{Version: p.highest, Step: step}
	}
	return nil
}

// copiesIn is how many experts a rank copies in a time.
func copiesIn(d time.Duration, e *routing.Engine) int {
	if e.CopyTime <= 0 {
		return e.Layers * e.Spare
	}
	return max(int(d/e.CopyTime), 1)
}

// copiesOf counts the experts that are copied for a change, by all ranks and by the
// rank with the most.
func copiesOf(from, to *expertmap.Map) (all, most int) {
	d, err := expertmap.Diff(from, to)
	if err != nil {
		return 0, 0 // the maps of one group have one shape
	}
	for _, n := range d.Moves(from.Shape().Ranks) {
		all += n
		most = max(most, n)
	}
	return all, most
}

// recover frees a group that was left in the middle of a change.
func (p *planner) recover(ctx context.Context, v view) error {
	p.highest = changeover.NextVersion(v.reports, p.highest, p.life)
	begin := time.Now()
	highest, err := p.access(v).Recover(ctx, p.own, p.highest, p.fenceWith(p.current, nobody))
	p.highest = highest
	p.c.log.Info().Str("event", "recovered").Dur("took", time.Since(begin)).Err(err).Msg("")
	p.changed = time.Now()
	return err
}
