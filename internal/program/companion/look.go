package companion

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// keepLooking looks at the ranks until the duty is lost.
func (p *planner) keepLooking(ctx context.Context) error {
	lost := 0
	without := 0        // looks in a row that lacked ranks
	var since time.Time // when the group could first not be looked at
	for {
		err := p.lookRound(ctx)
		p.tell()
		without = p.without(ctx, without)
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
		if !p.awaitLook(ctx) || !p.awaitSwitch(ctx) {
			return nil
		}
	}
}

// awaitLook waits until the next look is due, or a change of map has ended: the next one
// is planned by what is seen after it. It returns false if the context has ended.
func (p *planner) awaitLook(ctx context.Context) bool {
	due := time.NewTimer(lookInterval + time.Duration(len(p.seen().ranks))*lookPerRank)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
	case <-p.ended:
	}
	return true
}

// signal wakes whoever waits on a channel that holds one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it has one already
	}
}

const (
	// switchWait is how long looks wait for a change at the most. Entries go by what
	// they were told for 700 ms.
	switchWait = 120 * time.Millisecond
	switchPoll = 4 * time.Millisecond
)

// awaitSwitch waits while a pass is held. It returns false if the context has ended.
func (p *planner) awaitSwitch(ctx context.Context) bool {
	for waited := time.Duration(0); waited < switchWait && p.switching.Load(); waited += switchPoll {
		if !sleep(ctx, switchPoll) {
			return false
		}
	}
	return true
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
		p.forgetRanks()
	}
	return err
}

// forgetRanks has the next look find out again which server is which rank.
func (p *planner) forgetRanks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.serving = false
	p.view.ranks = nil
}

// without reads the list of targets again, now and then, while ranks don't answer:
// their servers may have been replaced. It returns how many looks in a row lacked ranks.
func (p *planner) without(ctx context.Context, looks int) int {
	v := p.seen()
	if v.ranks == nil || len(v.lost) == 0 {
		return 0
	}
	looks++
	if looks%refreshWithout != 0 {
		return looks
	}
	p.refresh(ctx)
	for _, s := range p.seats {
		seated := func(r *seat) bool { return r.target == s.target }
		if !p.isOthers(s) && !slices.ContainsFunc(v.ranks, seated) {
			p.forgetRanks() // it may have taken the place of one that is lost
		}
	}
	return looks
}

// seen returns what the last look showed.
func (p *planner) seen() view {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
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

// lookAll reads all reports and takes what was counted since. Ranks whose hosts don't
// answer are left out: a group goes on while a host of its stands still.
func (p *planner) lookAll(ctx context.Context, ranks []*seat) error {
	began := time.Now()
	seen, errs := p.ask(ctx, ranks, func(rank int) rankport.Look {
		l := rankport.Look{Counts: p.counts(rank, len(ranks)), Since: ranks[rank].mark}
		if turnOf(rank, p.own, len(ranks)) < successors {
			l.Entries = p.entriesToTell(began, ranks[rank])
		}
		return l
	})
	v := view{ranks: ranks, began: began, reports: make([]changeover.Report, len(ranks))}
	for rank, err := range errs {
		switch {
		case err == nil:
			v.reports[rank] = seen[rank].Report
		case !isSilent(err):
			return merry.Wrap(err, merry.AppendMessagef("rank %d", rank))
		default:
			v.lost = append(v.lost, rank)
		}
	}
	return p.take(time.Now(), v, seen)
}

// answer is what came of one look.
type answer struct {
	at   int
	seen rankport.Seen
	err  error
}

// ask looks at ranks at the same time. It does not wait for the last few of them: a host
// that stands still would hold up what all entries are told. What a rank answers later
// only tells that it lives, and until then it is not asked again.
func (p *planner) ask(ctx context.Context, seats []*seat, look func(at int) rankport.Look) ([]rankport.Seen, []error) {
	seen, errs := make([]rankport.Seen, len(seats)), make([]error, len(seats))
	answers := make(chan answer, len(seats))
	asked := 0
	for at, s := range seats {
		errs[at] = errNoAnswer
		if s.target == "" || s.asking.Swap(true) {
			continue
		}
		asked++
		l := look(at)
		p.asked.Go(func() {
			v, err := p.look(ctx, s, l)
			p.note(s, err)
			s.asking.Store(false)
			answers <- answer{at, v, err}
		})
	}
	var late <-chan time.Time
	for n := range asked {
		if n == len(seats)-seating.MayBeLost(len(seats)) {
			late = time.After(lookGrace + time.Duration(len(seats))*lookPerRank)
		}
		select {
		case a := <-answers:
			seen[a.at], errs[a.at] = a.seen, a.err
		case <-late:
			return seen, errs
		}
	}
	return seen, errs
}

// note tells a rank whose host does not answer from one that does.
func (p *planner) note(s *seat, err error) {
	if now := time.Now(); err == nil {
		s.heard.Store(&now)
	}
	switch {
	case err == nil && s.lost.Swap(false):
		p.c.log.Info().Str("event", "rankFound").Str("target", s.target).Msg("")
	case err != nil && isSilent(err) && !s.lost.Swap(true):
		p.c.log.Warn().Str("event", "rankLost").Str("target", s.target).Err(err).Msg("")
	}
}

// errNoAnswer reports a rank that has not answered yet.
var errNoAnswer = merry.New("no answer yet")

// lookGrace is how long a look waits for the last ranks once most have answered, beside
// what the ranks take the planner's share of a core. They answer within 5 ms of each
// other, and of a planner whose processor is busy within 60.
const lookGrace = 80 * time.Millisecond

// counts tells whether it is a rank's turn to tell its counts.
func (p *planner) counts(rank, ranks int) bool {
	turns := (ranks + countedRanks - 1) / countedRanks
	return rank%turns == int(p.looks%uint64(turns))
}

// take makes a look the newest view, if the ranks that answered are of one open group.
func (p *planner) take(now time.Time, v view, seen []rankport.Seen) error {
	if len(v.lost) > seating.MayBeLost(len(v.ranks)) {
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessagef("%d ranks don't answer", len(v.lost)))
	}
	first := v.first()
	for rank, r := range v.reports {
		if slices.Contains(v.lost, rank) {
			continue
		}
		if r.Group != p.group || r.Rank != rank || !r.Open || r.Epoch != first.Epoch {
			return merry.Wrap(seating.ErrIncomplete, merry.AppendMessagef("rank %d: group %s, epoch %d, open %t", rank, r.Group, r.Epoch, r.Open))
		}
	}
	v.epoch, v.counted, v.engine = first.Epoch, now, p.engine
	v.serving = p.pulse.Beats(now, v.reports) || len(v.lost) == 0
	p.limit.See(now, first.Step, p.engine.Slots, p.gapAim)
	v.ahead = p.limit.Ahead(len(v.ranks))
	v.pass, v.gapAim = p.limit.Pass, p.gapAim
	p.mu.Lock()
	defer p.mu.Unlock()
	v.demand = p.demand(now, v, seen)
	v.skew = skewOf(p.inForce, v)
	p.view = v
	signal(p.looked)
	return nil
}

// assumedSkew is taken while the map or the demand is not known. A group that has just
// formed has experts in turn, and 3.1 to 3.4 was seen.
const assumedSkew = 3

// skewOf is the skew of a group's experts' work by the map in force, which may be nil.
func skewOf(m *expertmap.Map, v view) float64 {
	if m == nil || !v.fits(m) || slices.Max(v.demand) == 0 {
		return assumedSkew
	}
	return plan.Skew(m, v.demand, places.Paces(v.reports))
}

// fits tells whether what was seen is of the shape of a map. The rules may tell of other
// layers and experts from one look to the next, while the map is of what was told before.
func (v view) fits(m *expertmap.Map) bool {
	s := m.Shape()
	return s.Ranks == len(v.ranks) && s.Layers*s.Experts == len(v.demand) && len(v.demand) > 0
}

// demand adds what was counted to what is left of the demand before. The caller holds
// the lock.
func (p *planner) demand(now time.Time, v view, seen []rankport.Seen) []float64 {
	before := p.view
	n := p.engine.Layers * p.engine.Experts
	demand := make([]float64, n)
	if before.epoch == v.epoch && len(before.demand) == n {
		keep := decay(now.Sub(before.counted))
		for i, d := range before.demand {
			demand[i] = d * keep
		}
	}
	for rank, s := range seen {
		if s.Mark != 0 {
			v.ranks[rank].mark = s.Mark
		}
		if len(s.Counts.Steps) == n {
			s.Counts.AddTo(demand)
		}
	}
	return demand
}

// refreshWithout is how many looks in a row lack ranks before the list of targets is
// read again: two seconds of looks, at two calls of the store.
const refreshWithout = 20
