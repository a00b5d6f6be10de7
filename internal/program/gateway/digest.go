package gateway

import (
	"context"
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

// hearDigests makes the entry known to all sidecars and takes what planners tell of
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
		g.hello(socket)
		select {
		case <-tick.C:
		case err := <-ended:
			return err
		}
	}
}

// hello greets the sidecars of all model engines.
func (g *Gateway) hello(socket *digest.Socket) {
	r := g.rules.Load()
	if r == nil {
		return
	}
	for _, s := range r.config.Services {
		if s.Engine == nil {
			continue
		}
		hello := digest.Hello{Demand: g.admit.Demand(s.Name)}
		for _, t := range g.roster.Serving(s.Name) {
			socket.Hello(netip.AddrPortFrom(t.Address.Addr(), g.settings.Listen.Peers.Port()), hello)
		}
	}
}

func (g *Gateway) takeDigest(d digest.Digest) {
	told := make(map[string]admission.Told, len(d.Ranks))
	for _, r := range d.Ranks {
		told[r.Target] = admission.Told{Load: r.Load, Grant: r.Grant}
	}
	if d.Entries > 0 {
		g.entries.Store(int64(d.Entries))
		now := time.Now()
		g.countedAt.Store(&now)
	}
	if d.Limit > 0 {
		g.engineLimits.Store(d.Service, d.Limit)
	}
	g.admit.Told(time.Now(), d.Service, d.Open, d.Age, told)
}
