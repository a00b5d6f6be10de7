package gateway

import (
	"context"
	"net/netip"
	"time"

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

// planner is whoever tells of the ranks of a service.
type planner struct {
	address netip.AddrPort
	term    int64
	heard   time.Time
	fresh   int // entries whose rules are fresh, as it was told
}

const (
	// plannerQuiet is how long a planner may tell nothing before all sidecars are
	// greeted: any of them may take its place. Planners tell some ten times a second.
	plannerQuiet = 1200 * time.Millisecond
	// termLasts is how long an earlier planner is not listened to after a later one. It
	// may have stood still, and wakes with what it knew.
	termLasts = 5 * time.Second
)

// hello greets the planners of all model engines, or their sidecars where none tells
// anything. To greet all each second would take an entry 1,300 datagrams at the size that
// is planned for.
func (g *Gateway) hello(now time.Time, socket *digest.Socket) {
	r := g.rules.Load()
	if r == nil {
		return
	}
	fresh := r.age() < g.freshAge()
	for _, s := range r.config.Services {
		if s.Engine == nil {
			continue
		}
		hello := digest.Hello{Demand: g.admit.Demand(s.Name), Fresh: fresh}
		if p := g.plannerOf(s.Name); now.Sub(p.heard) < plannerQuiet {
			socket.Hello(p.address, hello)
			continue
		}
		for _, t := range g.roster.Serving(s.Name) {
			socket.Hello(netip.AddrPortFrom(t.Address.Addr(), g.settings.Listen.Peers.Port()), hello)
		}
	}
}

func (g *Gateway) plannerOf(service string) planner {
	p, found := g.planners.Load(service)
	if !found {
		return planner{}
	}
	return p.(planner)
}

// elsewhere tells whether other entries serve all callers, as a planner was told.
func (g *Gateway) elsewhere(now time.Time) bool {
	found := false
	g.planners.Range(func(_, v any) bool {
		p := v.(planner)
		found = p.fresh > 1 && now.Sub(p.heard) < plannerQuiet // one of them may be this one
		return !found
	})
	return found
}

// takeDigest runs on one goroutine.
func (g *Gateway) takeDigest(from netip.AddrPort, d digest.Digest) {
	now := time.Now()
	if p := g.plannerOf(d.Service); d.Term < p.term && now.Sub(p.heard) < termLasts {
		return
	}
	g.planners.Store(d.Service, planner{address: from, term: d.Term, heard: now, fresh: d.Fresh})
	told := make(map[string]admission.Told, len(d.Ranks))
	for _, r := range d.Ranks {
		told[r.Target] = admission.Told{Load: r.Load, Grant: r.Grant, Lost: r.Lost}
	}
	if d.Entries > 0 {
		g.entries.Store(int64(d.Entries))
		g.countedAt.Store(&now)
	}
	if d.Limit > 0 {
		g.engineLimits.Store(d.Service, d.Limit)
	}
	g.admit.Told(now, d.Service, d.Open, d.Age, told)
}
