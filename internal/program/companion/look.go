package companion

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

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
