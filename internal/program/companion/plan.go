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
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

const (
	// lookInterval between looks at all ranks of a group. Demand moves every few
	// seconds; a quarter of one gives thousands of counted choices.
	lookInterval = 100 * time.Millisecond
	// demandHalfLife in which older counts lose half of their weight.
	demandHalfLife = 250 * time.Millisecond
	// leastGain is the part of the experts' time that a change must win, so that
	// noise in the counts does not move experts about.
	leastGain = 0.1
	// refreshInterval between reads of the list of targets while ranks are missing.
	refreshInterval = time.Second
	// lostLimit is how many looks in a row may miss ranks before the planner gives the
	// duty up: another process may reach them.
	lostLimit = 20
)

var errIncomplete = merry.New("not all ranks of the group could be asked")

// seat is where a rank is found.
type seat struct {
	sidecar netip.AddrPort
	engine  netip.AddrPort
	mark    uint64
}

// planner is one term of the duty.
type planner struct {
	c       *Companion
	asker   rankport.Asker
	group   string
	own     int // this process's rank
	engine  *routing.Engine
	seats   []*seat // of all servers of the service
	ranks   []*seat // by rank
	reports []changeover.Report
	epoch   int64
	current *expertmap.Map // in force; nil while it is not known
	version int64          // of current
	highest int64          // version that was used
	after   int64          // pass that was used last
	demand  []float64
	counted time.Time
}

// plan does the duty until it is lost.
func (c *Companion) plan(ctx context.Context, own changeover.Report, term int64) {
	p := &planner{
		c: c, group: own.Group, own: own.Rank,
		asker: rankport.Asker{Term: term, Name: string(c.settings.Name)},
	}
	c.log.Info().Str("event", "planning").Str("group", own.Group).Int64("term", term).Msg("")
	err := p.run(ctx)
	c.log.Info().Str("event", "planningEnded").Str("group", own.Group).Int64("term", term).Err(err).Msg("")
}

func (p *planner) run(ctx context.Context) error {
	lost := 0
	for {
		err := p.round(ctx)
		switch {
		case errors.Is(err, rankport.ErrSuperseded):
			return err
		case err != nil:
			lost++
			if lost == 1 {
				p.c.log.Warn().Str("event", "planningHeldUp").Err(err).Msg("")
			}
			if lost > lostLimit {
				return err
			}
			p.refresh(ctx)
		default:
			lost = 0
		}
		if !sleep(ctx, lookInterval) {
			return nil
		}
	}
}

// refresh reads what the store says of the service.
func (p *planner) refresh(ctx context.Context) {
	config, err := p.c.store.Config(ctx)
	if err != nil {
		return // logged by the count of calls; the next round tries again
	}
	if s := config.Service(p.c.settings.Target.Service); s != nil {
		p.engine = s.Engine
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
			engine:  t.Address,
			sidecar: netip.AddrPortFrom(t.Address.Addr(), p.c.settings.Listen.Peers.Port()),
		})
	}
	p.ranks = nil
}

func (c *Companion) malformed(name string, err error) {
	c.log.Error().Str("event", "malformed").Str("object", name).Err(err).Msg("")
}

// round looks at the group and changes its map if that is worth it.
func (p *planner) round(ctx context.Context) error {
	if p.ranks == nil {
		if err := p.seatRanks(ctx); err != nil {
			return err
		}
	}
	if err := p.lookAll(ctx); err != nil {
		p.ranks = nil
		return err
	}
	if p.current == nil || p.reports[0].Map != p.version {
		if err := p.readMap(ctx); err != nil {
			return err
		}
	}
	if changeover.Stuck(p.reports) {
		return p.recover(ctx)
	}
	return p.move(ctx)
}

// seatRanks finds out which server is which rank.
func (p *planner) seatRanks(ctx context.Context) error {
	if len(p.seats) == 0 || p.engine == nil {
		p.refresh(ctx)
	}
	if p.engine == nil || p.engine.Layers == 0 {
		return merry.Wrap(errIncomplete, merry.AppendMessage("the service is not known"))
	}
	seen := make([]rankport.Seen, len(p.seats))
	var wg sync.WaitGroup
	for i, s := range p.seats {
		wg.Go(func() {
			// A rank that can't be asked is missing below.
			seen[i], _ = p.look(ctx, s, rankport.Look{})
		})
	}
	wg.Wait()
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
			return merry.Wrap(errIncomplete, merry.AppendMessagef("rank %d of %d", rank, len(ranks)))
		}
	}
	if ranks == nil {
		return merry.Wrap(errIncomplete, merry.AppendMessage("no rank of the group"))
	}
	p.ranks = ranks
	return nil
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
func (p *planner) lookAll(ctx context.Context) error {
	seen := make([]rankport.Seen, len(p.ranks))
	errs := make([]error, len(p.ranks))
	var wg sync.WaitGroup
	for rank, s := range p.ranks {
		wg.Go(func() { seen[rank], errs[rank] = p.look(ctx, s, rankport.Look{Counts: true, Since: s.mark}) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	p.reports = p.reports[:0]
	for rank, v := range seen {
		r := v.Report
		if r.Group != p.group || r.Rank != rank || !r.Open || r.Epoch != seen[0].Report.Epoch {
			return merry.Wrap(errIncomplete, merry.AppendMessagef("rank %d: group %s, epoch %d, open %t", rank, r.Group, r.Epoch, r.Open))
		}
		p.reports = append(p.reports, r)
	}
	if epoch := seen[0].Report.Epoch; epoch != p.epoch {
		p.c.log.Info().Str("event", "epoch").Str("group", p.group).Int64("epoch", epoch).Int64("before", p.epoch).Msg("")
		p.epoch, p.current, p.demand, p.after, p.highest = epoch, nil, nil, 0, 0
	}
	p.count(time.Now(), seen)
	return nil
}

// count takes what the ranks counted into the demand.
func (p *planner) count(now time.Time, seen []rankport.Seen) {
	n := p.engine.Layers * p.engine.Experts
	if len(p.demand) != n {
		p.demand = make([]float64, n)
	}
	keep := decay(now.Sub(p.counted))
	p.counted = now
	for i := range p.demand {
		p.demand[i] *= keep
	}
	for rank, v := range seen {
		p.ranks[rank].mark = v.Mark
		if len(v.Counts) != n {
			continue
		}
		for i, c := range v.Counts {
			p.demand[i] += float64(c)
		}
	}
}

// readMap reads the map in force from all ranks.
func (p *planner) readMap(ctx context.Context) error {
	shape := expertmap.Shape{Layers: p.engine.Layers, Experts: p.engine.Experts, Ranks: len(p.ranks), Slots: p.engine.Places}
	m, err := expertmap.New(shape)
	if err != nil {
		return err
	}
	version := int64(-1)
	for rank, s := range p.ranks {
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
func (p *planner) access() *changeover.Group {
	return &changeover.Group{
		Ranks: len(p.ranks),
		Epoch: p.epoch,
		Order: func(ctx context.Context, rank int, o changeover.Order) changeover.Result {
			return p.order(ctx, p.ranks[rank], o)
		},
		Look: func(ctx context.Context, rank int) (changeover.Report, error) {
			seen, err := p.look(ctx, p.ranks[rank], rankport.Look{})
			return seen.Report, err
		},
		Pause: func(ctx context.Context, d time.Duration) { sleep(ctx, d) },
		Step: func(what string, rank int, r changeover.Result) {
			p.c.log.Warn().Str("event", "orderFailed").Str("operation", what).Int("rank", rank).Uint8("result", uint8(r)).Msg("")
		},
	}
}

func (p *planner) order(ctx context.Context, s *seat, o changeover.Order) changeover.Result {
	result, err := p.c.peers.Order(ctx, s.sidecar, rankport.Order{Asker: p.asker, Order: o})
	if err == nil || errors.Is(err, rankport.ErrSuperseded) {
		return result
	}
	// The sidecar may have passed the order on; giving it twice does no harm, as the
	// second one finds the state that it asks for, or does not fit.
	result, _ = p.c.engines.Order(ctx, s.engine, o)
	return result
}

// move changes the map if the demand asks for it.
func (p *planner) move(ctx context.Context) error {
	next := plan.Follow(p.current, p.demand, p.engine.Spare, leastGain)
	if next == nil {
		return nil
	}
	p.highest = changeover.NextVersion(p.reports, p.highest, p.own)
	begin := time.Now()
	step, err := p.access().Run(ctx, changeover.Change{Version: p.highest, Map: next, Holder: p.own, After: p.after})
	p.after = max(p.after, step)
	p.c.log.Info().Str("event", "change").Int64("version", p.highest).Int64("step", step).
		Float64("skew", plan.Skew(p.current, p.demand)).Float64("planned", plan.Skew(next, p.demand)).
		Dur("took", time.Since(begin)).Err(err).Msg("")
	if err != nil {
		return nil // the next round looks at what stands and frees the group
	}
	p.current, p.version = next, p.highest
	// The ranks take the map up as its pass begins.
	sleep(ctx, lookInterval/2)
	return nil
}

// recover frees a group that was left in the middle of a change.
func (p *planner) recover(ctx context.Context) error {
	p.highest = changeover.NextVersion(p.reports, p.highest, p.own)
	begin := time.Now()
	err := p.access().Recover(ctx, p.own, p.highest, p.current)
	p.highest += recoverVersions
	p.c.log.Info().Str("event", "recovered").Dur("took", time.Since(begin)).Err(err).Msg("")
	return err
}

// recoverVersions is above the versions that one recovery may use.
const recoverVersions = 100_000
