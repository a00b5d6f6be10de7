package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/address"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

// exchangeWithPlanners sends heartbeats to planners and receives the updates of their groups.
func (g *Gateway) exchangeWithPlanners(ctx context.Context) error {
	peers := g.settings.Listen.Peers
	s := address.Socket{Name: "peers", Address: peers, Log: g.log}
	socket, err := address.Open(ctx, s, func() (*digest.Socket, error) { return digest.Open(peers) })
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // closes the socket
	ended := make(chan error, 1)
	go func() {
		ended <- task.Guard(func() error {
			return socket.Serve(ctx, func(netip.AddrPort, digest.Heartbeat) {}, g.applyPlannerUpdate)
		})
	}()
	tick := time.NewTicker(digest.HeartbeatInterval)
	defer tick.Stop()
	ask := time.NewTicker(askInterval)
	defer ask.Stop()
	for {
		select {
		case now := <-tick.C:
			g.sendHeartbeats(now, socket)
		case now := <-ask.C:
			if g.askPlanners(now, socket) {
				ask.Stop()
			}
		case err := <-ended:
			return err
		}
	}
}

// askInterval is the time between the heartbeats of an entry that has just started, and waits for a
// report of the other entries' configuration version. Any of them may be lost.
const askInterval = 50 * time.Millisecond

// askPlanners sends heartbeats until a planner has reported which configuration the other entries
// have, once the entry knows whom to ask. It returns whether nothing is left to ask for.
func (g *Gateway) askPlanners(now time.Time, socket *digest.Socket) (done bool) {
	r := g.config.Load()
	if r == nil || !g.targetsListed.Load() {
		return false
	}
	reported, _ := g.planners.configVersion(now)
	known := g.planners.othersReported(now)
	if g.askedAt.Load() == nil {
		g.askedAt.Store(&now)
	}
	if known || r.firstRead <= firstEra || !g.awaitsReports(now) {
		g.log.Info().Str("event", "rulesOfOthers").Bool("known", known).Int64("version", reported).
			Int64("own", r.config.Version).Dur("after", now.Sub(*g.askedAt.Load())).Msg("")
		return true
	}
	g.sendHeartbeats(now, socket)
	return false
}

// maxSidecarHeartbeats bounds the sidecars without a known planner that get a heartbeat at a
// time. Whichever of them plans next learns of the entry from a heartbeat; sending one to all each
// second would take an entry 1,300 datagrams at the largest planned size.
const maxSidecarHeartbeats = 96

// rateReportLifetime is how long heartbeats repeat a target's rate report: four of them may be
// lost.
const rateReportLifetime = 5 * digest.HeartbeatInterval

// sendHeartbeats sends a heartbeat to the planners of all groups, and to the sidecars of engines
// that belong to none of them: any of these may plan next.
func (g *Gateway) sendHeartbeats(now time.Time, socket *digest.Socket) {
	r := g.config.Load()
	if r == nil {
		return
	}
	fresh := !g.drain.Begun() && g.provenAge(now, r) < g.maxFreshAge()
	g.heartbeats++
	rates := digest.FromReports(g.admit.RecentRates(now, rateReportLifetime, digest.MaxRates, g.heartbeats))
	for _, s := range r.config.Services {
		if s.Engine == nil {
			continue
		}
		// The demand is read once, as reading it resets the count.
		heartbeat := digest.Heartbeat{Demand: g.admit.Demand(s.Name), Fresh: fresh, ConfigVersion: r.config.Version, Rates: rates}
		for _, p := range g.planners.live(now, s.Name) {
			socket.SendHeartbeat(p.address, heartbeat)
		}
		for _, at := range g.targetsWithoutPlanner(now, s.Name) {
			socket.SendHeartbeat(netip.AddrPortFrom(at.Address.Addr(), g.settings.Listen.Peers.Port()), heartbeat)
		}
	}
}

// targetsWithoutPlanner returns targets of a service whose group has no known planner: a random
// choice if there are many.
func (g *Gateway) targetsWithoutPlanner(now time.Time, service string) []roster.Target {
	var list []roster.Target
	for _, t := range g.roster.Serving(service) {
		if _, planned := g.planners.of(now, g.admit.GroupOf(t)); !planned {
			list = append(list, t)
		}
	}
	if len(list) <= maxSidecarHeartbeats {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:maxSidecarHeartbeats]
}

// applyPlannerUpdate applies a planner update. It is called by one goroutine only. Anybody can send updates: what they
// say of services that are not known is not remembered.
func (g *Gateway) applyPlannerUpdate(from netip.AddrPort, d digest.Update) {
	now := time.Now()
	if !g.planners.accept(now, from, d) {
		return
	}
	if g.hasService(d.Service) {
		g.admit.ApplyUpdate(now, groupUpdate(d))
	}
	g.admit.ApplyRates(now, digest.ToReports(d.Rates))
}

// hasService reports whether the configuration has a service of that name, as far as a configuration is known.
func (g *Gateway) hasService(name string) bool {
	known := g.config.Load()
	return known == nil || slices.ContainsFunc(known.config.Services, func(s routing.Service) bool { return s.Name == name })
}

// groupUpdate returns what an update states about a group.
func groupUpdate(d digest.Update) admission.GroupUpdate {
	update := admission.GroupUpdate{
		Group: roster.Group{Service: d.Service, Name: d.Group},
		Open:  d.Open, Slow: d.Slow, Age: d.Age, Limit: d.Limit,
		Targets: make(map[string]admission.TargetReport, len(d.Ranks)),
	}
	for _, r := range d.Ranks {
		if len(r.Target) <= maxTargetName {
			update.Targets[r.Target] = admission.TargetReport{Load: r.Load, Grant: r.Grant, Lost: r.Lost, Slow: r.Slow}
		}
	}
	return update
}

// maxTargetName bounds the length of a target's name in an update, in bytes.
const maxTargetName = 256
