package companion

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// refresh reads what the store says of the service.
func (p *planner) refresh(ctx context.Context) {
	config, err := p.c.store.Config(ctx)
	if err != nil {
		return // logged by the count of calls; the next round tries again
	}
	if s := config.Service(p.c.settings.Target.Service); s != nil {
		p.engine = s.Engine
		p.gapAim = places.GapAim(config, s.Name)
	}
	targets, err := p.c.store.Servers(ctx, p.c.bad.Note)
	if err != nil {
		return
	}
	p.takeList(targets)
}

// takeList makes seats of the servers of the service. Those that are known keep theirs, which
// ranks and looks that are under way refer to.
func (p *planner) takeList(targets []roster.Target) {
	known := make(map[string]*seat, len(p.seats))
	for _, s := range p.seats {
		known[s.target] = s
	}
	p.seats, p.listed = nil, true
	for _, t := range roster.Living(targets) {
		if t.Service != p.c.settings.Target.Service {
			continue
		}
		k := known[t.ID]
		if k != nil && k.engine == t.Address {
			p.seats = append(p.seats, k)
			continue
		}
		s := &seat{
			target:  t.ID,
			engine:  t.Address,
			sidecar: netip.AddrPortFrom(t.Address.Addr(), p.c.settings.Listen.Peers.Port()),
		}
		if k != nil {
			s.spoke, s.last = k.spoke, k.last
		}
		p.seats = append(p.seats, s)
	}
}

// seatRanks finds out which server is which rank. Servers that were of another group when
// they answered last are asked only after the list was read again.
func (p *planner) seatRanks(ctx context.Context) ([]*seat, error) {
	if len(p.seats) == 0 || p.engine == nil {
		p.refresh(ctx)
	}
	if p.engine == nil || p.engine.Layers == 0 {
		return nil, merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the service is not known"))
	}
	var asked []*seat
	for _, s := range p.seats {
		if p.listed || !p.isOthers(s) {
			asked = append(asked, s)
		}
	}
	p.listed = false
	seen, errs := p.ask(ctx, asked, func(int) rankport.Look { return rankport.Look{} })
	if err := errors.Join(errs...); errors.Is(err, rankport.ErrSuperseded) {
		return nil, err
	}
	servers := make([]seating.Server, len(p.seats))
	for i, s := range p.seats {
		servers[i] = p.server(s, slices.Index(asked, s), seen, errs)
	}
	seated, err := seating.Of(p.group, servers)
	p.c.doubt(seated.Findings)
	if err != nil {
		return nil, merry.Wrap(err, merry.AppendMessagef("%v", errors.Join(errs...)))
	}
	return p.seated(seated.Ranks), nil
}

// isOthers tells whether a server was in another group, or in none, when it answered last.
func (p *planner) isOthers(s *seat) bool { return s.spoke && s.last.Group != p.group }

// server is what came of asking a server, at a place of what was seen; it was not asked if
// the place is negative.
func (p *planner) server(s *seat, at int, seen []rankport.Seen, errs []error) seating.Server {
	v := seating.Server{Target: s.target, Address: s.engine}
	if s.spoke {
		v.Last = s.last.Group
	}
	switch {
	case at < 0:
		v.Answered, v.Report = true, s.last
	case errs[at] == nil:
		v.Answered, v.Report = true, seen[at].Report
		s.spoke, s.last = true, seen[at].Report
	default:
		v.Silent = isSilent(errs[at])
	}
	return v
}

// seated are the seats of the ranks. A rank whose server is not known has one without an
// address.
func (p *planner) seated(ranks []seating.Rank) []*seat {
	list := make([]*seat, len(ranks))
	for i, r := range ranks {
		list[i] = &seat{}
		if r.Server != seating.Nobody {
			list[i] = p.seats[r.Server]
		}
		list[i].lost.Store(r.Lost)
	}
	return list
}

// mostDoubts bounds the findings that are remembered.
const mostDoubts = 1000

// doubt logs what servers say that was not followed, each once.
func (c *Companion) doubt(list []seating.Finding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range list {
		if c.doubted[f] {
			continue
		}
		if len(c.doubted) >= mostDoubts {
			clear(c.doubted)
		}
		c.doubted[f] = true
		c.log.Warn().Str("event", "reportNotFollowed").Str("target", f.Target).Str("problem", string(f.Problem)).
			Str("group", string(f.Group)).Int("rank", f.Rank).Int("ranks", f.Ranks).Msg("")
	}
}

// isSilent tells whether a server did not answer in time. One that refuses the
// connection is dead, and its group breaks.
func isSilent(err error) bool {
	var failure net.Error
	return errors.Is(err, errNoAnswer) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &failure) && failure.Timeout()
}
