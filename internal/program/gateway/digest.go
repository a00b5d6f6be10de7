package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

// hearDigests makes the entry known to planners, and takes what they tell of
// their groups.
func (g *Gateway) hearDigests(ctx context.Context) error {
	socket, err := digest.Open(g.settings.Listen.Peers)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- socket.Serve(ctx, func(netip.AddrPort, digest.Hello) {}, g.takeDigest) }()
	tick := time.NewTicker(digest.HelloInterval)
	defer tick.Stop()
	for {
		g.hello(time.Now(), socket)
		select {
		case <-tick.C:
		case err := <-ended:
			return err
		}
	}
}

// mostGreeted is how many sidecars are greeted at a time that no planner speaks for. A
// planner learns of an entry from any one of them that plans next; to greet all each
// second would take an entry 1,300 datagrams at the size that is planned for.
const mostGreeted = 96

// rateTold is how long hellos tell what a target said of its rate: four of them may be lost.
const rateTold = 5 * digest.HelloInterval

// hello greets the planners of all groups, and the sidecars beside engines that none of
// them speaks for: any of these may plan next.
func (g *Gateway) hello(now time.Time, socket *digest.Socket) {
	r := g.rules.Load()
	if r == nil {
		return
	}
	fresh := g.provenAge(now, r) < g.freshAge()
	g.hellos++
	rates := digest.Rates(g.admit.Rates(now, rateTold, digest.MostRates, g.hellos))
	for _, s := range r.config.Services {
		if s.Engine == nil {
			continue
		}
		// Read once, as reading it begins the count anew.
		hello := digest.Hello{Demand: g.admit.Demand(s.Name), Fresh: fresh, Rules: r.config.Version, Rates: rates}
		for _, p := range g.planners.live(now, s.Name) {
			socket.Hello(p.address, hello)
		}
		for _, at := range g.unspokenFor(now, s.Name) {
			socket.Hello(netip.AddrPortFrom(at.Address.Addr(), g.settings.Listen.Peers.Port()), hello)
		}
	}
}

// unspokenFor are targets of a service that no planner tells of, others each time if they
// are many.
func (g *Gateway) unspokenFor(now time.Time, service string) []roster.Target {
	var list []roster.Target
	for _, t := range g.roster.Serving(service) {
		if _, spoken := g.planners.of(now, g.admit.GroupOf(t)); !spoken {
			list = append(list, t)
		}
	}
	if len(list) <= mostGreeted {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:mostGreeted]
}

// takeDigest runs on one goroutine.
func (g *Gateway) takeDigest(from netip.AddrPort, d digest.Digest) {
	now := time.Now()
	if !g.planners.take(now, from, d) {
		return
	}
	look := admission.Look{
		Group: roster.Group{Service: d.Service, Name: d.Group},
		Open:  d.Open, Slow: d.Slow, Age: d.Age, Limit: d.Limit,
		Targets: make(map[string]admission.Told, len(d.Ranks)),
	}
	for _, r := range d.Ranks {
		look.Targets[r.Target] = admission.Told{Load: r.Load, Grant: r.Grant, Lost: r.Lost, Slow: r.Slow}
	}
	g.admit.Told(now, look)
	g.admit.HeardOf(now, digest.Words(d.Rates))
}
