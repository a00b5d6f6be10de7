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

// refresh reads the configuration and the servers of the service from the store.
func (p *planner) refresh(ctx context.Context) {
	config, err := p.c.store.Config(ctx)
	if err != nil {
		return // the store's call counter logs it; a later refresh tries again
	}
	if s := config.Service(p.c.settings.Target.Service); s != nil {
		p.engineConfig = s.Engine
		p.gapGoal = places.GapAim(config, s.Name)
	}
	targets, err := p.c.store.Servers(ctx, p.c.malformed.Report)
	if err != nil {
		return
	}
	// An entry of a service that the configuration does not name is another writer's.
	isForeign := func(t roster.Target) bool { return config.Service(t.Service) == nil }
	p.updateServers(slices.DeleteFunc(targets, isForeign))
}

// updateServers updates the servers of the service from the list of targets. A known server keeps
// its entry, because the rank assignment and polls under way refer to it.
func (p *planner) updateServers(targets []roster.Target) {
	known := make(map[string]*modelServer, len(p.servers))
	for _, s := range p.servers {
		known[s.target] = s
	}
	p.servers, p.listUnpolled = nil, true
	for _, t := range roster.WithoutDisplaced(targets) {
		if t.Service != p.c.settings.Target.Service {
			continue
		}
		old := known[t.ID]
		if old != nil && old.engineAddr == t.Address {
			p.servers = append(p.servers, old)
			continue
		}
		s := &modelServer{
			target:      t.ID,
			engineAddr:  t.Address,
			sidecarAddr: netip.AddrPortFrom(t.Address.Addr(), p.c.settings.Listen.Peers.Port()),
		}
		if old != nil {
			s.answered, s.lastReport = old.answered, old.lastReport
		}
		p.servers = append(p.servers, s)
	}
}

// assignRanks finds out which server is which rank. Servers that were in another group at their
// last answer are polled only after the list was read again.
func (p *planner) assignRanks(ctx context.Context) ([]*modelServer, error) {
	if len(p.servers) == 0 || p.engineConfig == nil {
		p.refresh(ctx)
	}
	if p.engineConfig == nil || p.engineConfig.LayerSets == 0 {
		return nil, merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the service is not known, or its engine has no layers"))
	}
	var polled []*modelServer
	for _, s := range p.servers {
		if p.listUnpolled || !p.inOtherGroup(s) {
			polled = append(polled, s)
		}
	}
	p.listUnpolled = false
	states, errs := p.pollServers(ctx, polled, func(int) rankport.Poll { return rankport.Poll{} })
	if err := errors.Join(errs...); errors.Is(err, rankport.ErrSuperseded) {
		return nil, err
	}
	servers := make([]seating.Server, len(p.servers))
	for i, s := range p.servers {
		servers[i] = p.serverState(s, slices.Index(polled, s), states, errs)
	}
	assignment, err := seating.Assign(p.group, servers)
	p.c.logFindings(assignment.Findings)
	if err != nil {
		return nil, merry.Wrap(err, merry.AppendMessagef("%v", errors.Join(errs...)))
	}
	return p.rankServers(assignment.Ranks), nil
}

// inOtherGroup reports whether a server was in another group, or in none, at its last answer.
func (p *planner) inOtherGroup(s *modelServer) bool {
	return s.answered && s.lastReport.Group != p.group
}

// serverState returns the state of a server for the rank assignment. The index is its position
// in seen and errs; if it is negative, the server was not polled and its last report is used.
func (p *planner) serverState(s *modelServer, index int, states []rankport.State, errs []error) seating.Server {
	v := seating.Server{Target: s.target, Address: s.engineAddr}
	if s.answered {
		v.LastGroup = s.lastReport.Group
	}
	switch {
	case index < 0:
		v.Answered, v.Report = true, s.lastReport
	case errs[index] == nil:
		v.Answered, v.Report = true, states[index].Report
		s.answered, s.lastReport = true, states[index].Report
	default:
		v.Silent = isSilent(errs[index])
	}
	return v
}

// rankServers returns the servers of the ranks. A rank whose server is not known has one
// without an address.
func (p *planner) rankServers(ranks []seating.Rank) []*modelServer {
	list := make([]*modelServer, len(ranks))
	for i, r := range ranks {
		list[i] = &modelServer{}
		if r.Server != seating.Unknown {
			list[i] = p.servers[r.Server]
		}
		list[i].lost.Store(r.Lost)
	}
	return list
}

// maxLoggedFindings bounds the findings that are remembered.
const maxLoggedFindings = 1000

// logFindings logs the contents of servers' reports that the rank assignment ignored, each once.
func (c *Companion) logFindings(list []seating.Finding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range list {
		if c.loggedFindings[f] {
			continue
		}
		if len(c.loggedFindings) >= maxLoggedFindings {
			clear(c.loggedFindings)
		}
		c.loggedFindings[f] = true
		c.log.Warn().Str("event", "reportNotFollowed").Str("target", f.Target).Str("problem", string(f.Problem)).
			Str("group", string(f.Group)).Int("rank", f.Rank).Int("ranks", f.Ranks).Msg("")
	}
}

// isSilent reports whether a server did not answer in time. A server that refuses the
// connection is dead, and its group breaks.
func isSilent(err error) bool {
	var failure net.Error
	return errors.Is(err, errNoAnswer) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &failure) && failure.Timeout()
}
