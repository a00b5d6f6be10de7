package companion

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

const (
	// lookInterval between looks at all ranks of a group, and what each rank adds: a
	// look takes the planner's share of a core some 0.6 ms for a rank, a fifth of
	// the time that it has.
	lookInterval = 60 * time.Millisecond
	lookPerRank  = 1200 * time.Microsecond
	// countedRanks is how many ranks tell their counts in one look, in turn: some
	// 2 KB each in a large group, and a planner's link carries 1 MB a second.
	countedRanks = 72
	// demandHalfLife in which older counts lose half of their weight.
	demandHalfLife = 120 * time.Millisecond
	// leastGain is the part of the experts' time that a change must win, so that
	// noise in the counts does not move experts about.
	leastGain = 0.1
	// copyTime is how long the copying for one change may take. Demand moves every few
	// seconds, and several small changes follow it sooner than a large one.
	copyTime = 150 * time.Millisecond
	// moveInterval between looks at whether a change is worth it.
	moveInterval = 50 * time.Millisecond
	// refreshEvery is how many looks in a row miss ranks before the list of
	// targets is read again.
	refreshEvery = 5
	// lostLimit is how long ranks may be missing before the planner gives the duty up:
	// another process may reach them. A server that crashed is back sooner most times,
	// and until then entries must be told that the group is closed.
	lostLimit = 12 * time.Second
)

var errIncomplete = merry.New("not all ranks of the group could be asked")

// seat is where a rank is found.
type seat struct {
	target  string
	sidecar netip.AddrPort
	engine  netip.AddrPort
	mark    uint64
}

// planner is one term of the duty. Two goroutines do it: one looks at the ranks and
// tells the entries, the other changes the map. A change takes up to a second, and
// what is seen must not get old meanwhile.
type planner struct {
	c      *Companion
	asker  rankport.Asker
	group  string
	own    int // this process's rank
	life   changeover.Life
	engine *routing.Engine
	gapAim time.Duration // shortest of the routes to the service; 0 if none has one
	seats  []*seat       // of all servers of the service
	looks  uint64
	limit  limit

	mu   sync.Mutex
	view view

	current  *expertmap.Map    // in force; nil while it is not known
	version  int64             // of current
	base     *base             // of the map that is being prepared; nil tells it whole
	epoch    int64             // of current
	highest  int64             // version that was used
	after    int64             // pass that was used last
	prepared time.Time         // when all ranks had the last change
	pending  changeover.Arming // the last change; its pass may not have begun
	changed  time.Time         // when the last change or recovery ended
}

// view is what the last look at the group showed.
type view struct {
	ranks   []*seat // by rank; nil while not all are known
	reports []changeover.Report
	epoch   int64
	demand  []float64
	counted time.Time
	began   time.Time // when the look began
	engine  *routing.Engine
	ahead   int64 // passes ahead that a change is made
	whole   bool  // all ranks answered, of one epoch, and the group is open
}

// plan does the duty until it is lost.
func (c *Companion) plan(ctx context.Context, own changeover.Report, term int64) {
	p := &planner{
		c: c, group: own.Group, own: own.Rank, life: changeover.NewLife(),
		asker: rankport.Asker{Term: term, Name: string(c.settings.Name)},
	}
	c.log.Info().Str("event", "planning").Str("group", own.Group).Int64("term", term).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	moved := make(chan struct{})
	go func() {
		defer close(moved)
		p.keepMoving(ctx)
	}()
	err := p.keepLooking(ctx)
	cancel()
	<-moved
	c.log.Info().Str("event", "planningEnded").Str("group", own.Group).Int64("term", term).Err(err).Msg("")
}

// keepLooking looks at the ranks until the duty is lost.
func (p *planner) keepLooking(ctx context.Context) error {
	lost := 0
	var since time.Time // when ranks were first missing
	for {
		err := p.lookRound(ctx)
		p.tell(err == nil)
		switch {
		case errors.Is(err, rankport.ErrSuperseded):
			return err
		case err != nil:
			lost++
			if lost == 1 {
				since = time.Now()
				p.c.log.Warn().Str("event", "planningHeldUp").Err(err).Msg("")
			}
			if time.Since(since) > lostLimit {
				return err
			}
			if lost%refreshEvery == 0 {
				p.refresh(ctx)
			}
		default:
			lost = 0
		}
		if !sleep(ctx, lookInterval+time.Duration(len(p.seen().ranks))*lookPerRank) {
			return nil
		}
	}
}

// lookRound looks at all ranks once.
func (p *planner) lookRound(ctx context.Context) error {
	ranks := p.seen().ranks
	if ranks == nil {
		var err error
		ranks, err = p.seatRanks(ctx)
		if err != nil {
			return err
		}
	}
	err := p.lookAll(ctx, ranks)
	if err != nil {
		p.mu.Lock()
		p.view.whole = false
		p.view.ranks = nil
		p.mu.Unlock()
	}
	return err
}

// seen returns what the last look showed.
func (p *planner) seen() view {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

// tell sends what was seen to the entries. While the group is not whole, they
// learn that it takes no requests.
func (p *planner) tell(whole bool) {
	p.looks++
	entries := p.c.entriesHeard(time.Now())
	if len(entries) == 0 {
		return
	}
	d := digest.Digest{
		Term: p.asker.Term, Look: p.looks, Service: p.c.settings.Target.Service,
		Open: whole, Entries: len(entries), Limit: p.limit.value,
	}
	v := p.seen()
	free := make([]int, len(v.ranks))
	if whole {
		d.Age = time.Since(v.began)
		for rank, s := range v.ranks {
			load := v.reports[rank].Running + v.reports[rank].Waiting
			d.Ranks = append(d.Ranks, digest.Rank{Target: s.target, Load: load})
			free[rank] = int(float64(p.limit.value)/paceOf(v.reports[rank])) - load
		}
	}
	grants := share(free, entries, p.looks)
	for i, e := range entries {
		for rank := range d.Ranks {
			d.Ranks[rank].Grant = grants[i][rank]
		}
		p.c.socket.Send(e.address, d)
	}
}

// keepMoving changes the map whenever that is worth it.
func (p *planner) keepMoving(ctx context.Context) {
	for sleep(ctx, moveInterval) {
		v := p.seen()
		// What was seen before the last change ended shows it half done.
		if !v.whole || !v.began.After(p.changed) {
			continue
		}
		if err := p.moveRound(ctx, v); err != nil {
			p.c.log.Warn().Str("event", "moveHeldUp").Err(err).Msg("")
		}
	}
}

// moveRound brings the map nearer to what was seen.
func (p *planner) moveRound(ctx context.Context, v view) error {
	if v.epoch != p.epoch {
		p.c.log.Info().Str("event", "epoch").Str("group", p.group).Int64("epoch", v.epoch).Int64("before", p.epoch).Msg("")
		p.epoch, p.current, p.after, p.highest = v.epoch, nil, 0, 0
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

// refresh reads what the store says of the service.
func (p *planner) refresh(ctx context.Context) {
	config, err := p.c.store.Config(ctx)
	if err != nil {
		return // logged by the count of calls; the next round tries again
	}
	if s := config.Service(p.c.settings.Target.Service); s != nil {
		p.engine = s.Engine
		p.gapAim = gapAim(config, s.Name)
	}
	targets, err := p.c.store.Servers(ctx, p.c.malformed)
	if err != nil {
		return
	}
	p.seats = p.seats[:0]
	for _, t := range targets {
		if t.Service != p.c.settings.Target.Service {
			continue
		}
		p.seats = append(p.seats, &seat{
			target:  t.ID,
			engine:  t.Address,
			sidecar: netip.AddrPortFrom(t.Address.Addr(), p.c.settings.Listen.Peers.Port()),
		})
	}
}

func (c *Companion) malformed(name string, err error) {
	c.log.Error().Str("event", "malformed").Str("object", name).Err(err).Msg("")
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

// seatRanks finds out which server is which rank.
func (p *planner) seatRanks(ctx context.Context) ([]*seat, error) {
	if len(p.seats) == 0 || p.engine == nil {
		p.refresh(ctx)
	}
	if p.engine == nil || p.engine.Layers == 0 {
		return nil, merry.Wrap(errIncomplete, merry.AppendMessage("the service is not known"))
	}
	seen := make([]rankport.Seen, len(p.seats))
	var wg sync.WaitGroup
	errs := make([]error, len(p.seats))
	for i, s := range p.seats {
		wg.Go(func() { seen[i], errs[i] = p.look(ctx, s, rankport.Look{}) })
	}
	wg.Wait()
	if err := errors.Join(errs...); errors.Is(err, rankport.ErrSuperseded) {
		return nil, err
	}
	var ranks []*seat
	for i, v := range seen {
		r := v.Report
		if r.Group != p.group || r.Ranks == 0 {
			continue
		}
		if ranks == nil {
			ranks = make([]*seat, r.Ranks)
		}
		if r.Rank < len(ranks) {
			ranks[r.Rank] = p.seats[i]
		}
	}
	for rank, s := range ranks {
		if s == nil {
			return nil, merry.Wrap(errIncomplete, merry.AppendMessagef("rank %d of %d: %v", rank, len(ranks), errors.Join(errs...)))
		}
	}
	if ranks == nil {
		return nil, merry.Wrap(errIncomplete, merry.AppendMessage("no rank of the group"))
	}
	return ranks, nil
}

// look asks a rank through its sidecar, or the engine itself if the sidecar is gone.
func (p *planner) look(ctx context.Context, s *seat, l rankport.Look) (rankport.Seen, error) {
	l.Asker = p.asker
	seen, err := p.c.peers.Look(ctx, s.sidecar, l)
	if err == nil || errors.Is(err, rankport.ErrSuperseded) {
		return seen, err
	}
	report, err := p.c.engines.Report(ctx, s.engine)
	if err != nil {
		return rankport.Seen{}, err
	}
	seen = rankport.Seen{Report: report}
	if l.Lists {
		seen.Lists, err = p.c.engines.Lists(ctx, s.engine)
	}
	return seen, err
}

// lookAll reads all reports and takes what was counted since.
func (p *planner) lookAll(ctx context.Context, ranks []*seat) error {
	began := time.Now()
	seen := make([]rankport.Seen, len(ranks))
	errs := make([]error, len(ranks))
	var wg sync.WaitGroup
	for rank, s := range ranks {
		counts := p.counts(rank, len(ranks))
		wg.Go(func() { seen[rank], errs[rank] = p.look(ctx, s, rankport.Look{Counts: counts, Since: s.mark}) })
	}
	wg.Wait()
	for rank, err := range errs {
		if err != nil {
			return merry.Wrap(err, merry.AppendMessagef("rank %d", rank))
		}
	}
	reports := make([]changeover.Report, len(ranks))
	for rank, v := range seen {
		r := v.Report
		if r.Group != p.group || r.Rank != rank || !r.Open || r.Epoch != seen[0].Report.Epoch {
			return merry.Wrap(errIncomplete, merry.AppendMessagef("rank %d: group %s, epoch %d, open %t", rank, r.Group, r.Epoch, r.Open))
		}
		reports[rank] = r
	}
	now := time.Now()
	p.limit.see(now, reports[0].Step, p.engine.Slots, p.gapAim)
	p.take(began, now, ranks, reports, seen)
	return nil
}

// counts tells whether it is a rank's turn to tell its counts.
func (p *planner) counts(rank, ranks int) bool {
	turns := (ranks + countedRanks - 1) / countedRanks
	return rank%turns == int(p.looks%uint64(turns))
}

// take makes a look the newest view.
func (p *planner) take(began, now time.Time, ranks []*seat, reports []changeover.Report, seen []rankport.Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := &p.view
	n := p.engine.Layers * p.engine.Experts
	demand := make([]float64, n)
	if v.epoch == reports[0].Epoch && len(v.demand) == n {
		keep := decay(now.Sub(v.counted))
		for i, d := range v.demand {
			demand[i] = d * keep
		}
	}
	for rank, s := range seen {
		if s.Mark != 0 {
			ranks[rank].mark = s.Mark
		}
		if len(s.Counts.Steps) == n {
			s.Counts.AddTo(demand)
		}
	}
	*v = view{ranks: ranks, reports: reports, epoch: reports[0].Epoch, demand: demand, counted: now, began: began, engine: p.engine, ahead: p.limit.ahead(len(ranks)), whole: true}
}

// readMap reads the map in force from all ranks.
func (p *planner) readMap(ctx context.Context, v view) error {
	shape := expertmap.Shape{Layers: v.engine.Layers, Experts: v.engine.Experts, Ranks: len(v.ranks), Slots: v.engine.Places}
	m, err := expertmap.New(shape)
	if err != nil {
		return err
	}
	version := int64(-1)
	for rank, s := range v.ranks {
		seen, err := p.look(ctx, s, rankport.Look{Lists: true})
		if err != nil {
			return err
		}
		if version >= 0 && seen.Lists.Version != version || len(seen.Lists.Experts) != shape.Layers {
			return merry.Wrap(errIncomplete, merry.AppendMessage("the ranks' lists are of different maps"))
		}
		version = seen.Lists.Version
		for layer, row := range seen.Lists.Experts {
			if len(row) > shape.Slots {
				return merry.Wrap(errIncomplete, merry.AppendMessage("a rank has more experts than places"))
			}
			for slot, e := range row {
				m.Set(layer, rank, slot, uint16(e))
			}
		}
	}
	p.current, p.version = m, version
	return nil
}

// access is the group as the changeover sees it.
func (p *planner) access(v view) *changeover.Group {
	return &changeover.Group{
		Ranks: len(v.ranks),
		Epoch: v.epoch,
		Order: func(ctx context.Context, rank int, o changeover.Order) changeover.Result {
			return p.order(ctx, v.ranks[rank], o)
		},
		Look: func(ctx context.Context, rank int) (changeover.Report, error) {
			seen, err := p.look(ctx, v.ranks[rank], rankport.Look{})
			return seen.Report, err
		},
		Prepared: func() { p.prepared = time.Now() },
		Pause:    func(ctx context.Context, d time.Duration) { sleep(ctx, d) },
		Step: func(what string, rank int, r changeover.Result) {
			p.c.log.Warn().Str("event", "orderFailed").Str("operation", what).Int("rank", rank).Uint8("result", uint8(r)).Msg("")
		},
	}
}

func (p *planner) order(ctx context.Context, s *seat, o changeover.Order) changeover.Result {
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
	// The sidecar may have passed the order on; giving it twice does no harm, as the
	// second one finds the state that it asks for, or does not fit.
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
	planned := time.Now()
	next := plan.Follow(p.current, v.demand, paces(v.reports), plan.FollowLimits{PerLayer: v.engine.Spare, PerRank: copiesIn(copyTime, v.engine), Gain: leastGain})
	if next == nil {
		return nil
	}
	p.highest = changeover.NextVersion(v.reports, p.highest, p.life)
	begin := time.Now()
	p.prepared = begin
	copies, most := copiesOf(p.current, next)
	p.base = newBase(p.current, next)
	step, err := p.access(v).Run(ctx, changeover.Change{Version: p.highest, Map: next, Holder: p.own, Ahead: v.ahead, After: p.after})
	p.after = max(p.after, step)
	p.c.log.Info().Str("event", "change").Int64("version", p.highest).Int64("step", step).
		Float64("skew", plan.Skew(p.current, v.demand, paces(v.reports))).Float64("planned", plan.Skew(next, v.demand, paces(v.reports))).
		Int("copies", copies).Int("mostCopies", most).Dur("countsAge", planned.Sub(v.counted)).
		Dur("planTook", begin.Sub(planned)).Dur("prepareTook", p.prepared.Sub(begin)).
		Dur("took", time.Since(begin)).Err(err).Msg("")
	p.changed = time.Now()
	p.current = nil
	if err == nil {
		p.current, p.version = next, p.highest
		p.pending = changeover.Arming{Version: p.highest, Step: step}
	}
	return nil
}

// paces are how much longer than usual the ranks take for their work.
func paces(reports []changeover.Report) []float64 {
	list := make([]float64, len(reports))
	for rank, r := range reports {
		list[rank] = paceOf(r)
	}
	return list
}

// slowPace is from where a rank counts as slow; paces vary a little by themselves.
const slowPace = 1.2

func paceOf(r changeover.Report) float64 {
	if r.Pace < slowPace {
		return 1
	}
	return r.Pace
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
	p.base = nil
	err := p.access(v).Recover(ctx, p.own, p.highest, p.current)
	p.highest += recoverVersions
	p.c.log.Info().Str("event", "recovered").Dur("took", time.Since(begin)).Err(err).Msg("")
	p.changed = time.Now()
	return err
}

// recoverVersions is above the versions that one recovery may use: one in each of its
// steps.
const recoverVersions = 1 << 24
