package rank

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/planner"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	standinengine "wagtailshelf.example/wagtailshelf/internal/standin/engine"
	standinplatform "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

// wired is a member of a group with its socket.
type wired struct {
	*Member
	listener *peer.Listener
}

func wire(t *testing.T, authority *credential.Authority, name host.Name, target, platformURL string) *wired {
	now := time.Now()
	material, err := authority.Issue(now, credential.Identity{Name: name, Role: host.Sidecar}, credential.ShortLifetime)
	require.NoError(t, err)
	keys, err := credential.NewStore(material, time.Now)
	require.NoError(t, err)
	w := &wired{}
	peers := &peer.Config{
		Identity:  host.Identity{Name: name, Role: host.Sidecar, Incarnation: 1},
		ClientTLS: keys.Client,
		ServerTLS: keys.Server(),
		OnControl: func(from *peer.Conn, c frame.Control) { w.OnControl(from, c) },
	}
	client := platform.New(platform.Config{URL: platformURL})
	t.Cleanup(client.Close)
	orders := engine.New(engine.Config{Target: netip.MustParseAddrPort(strings.TrimPrefix(target, "http://"))})
	t.Cleanup(orders.Close)
	w.Member = NewMember(MemberConfig{
		Peers: peers, Platform: client, Engine: orders, Log: &log.Logger{Level: log.PanicLevel}, Metrics: metrics.NewSet(),
		Landing: 50 * time.Millisecond, Heartbeat: 200 * time.Millisecond,
		Duty: planner.Config{
			Lease:  lease.Config{Length: 600 * time.Millisecond},
			Window: 100 * time.Millisecond, Wait: 30 * time.Millisecond, Period: 300 * time.Millisecond,
		},
	})
	w.listener, err = peer.Listen(peers, netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	peers.Identity.Address = w.listener.Addr()
	return w
}

func (w *wired) start(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- w.Run(ctx) }()
	go func() {
		ended <- w.listener.Serve(ctx, func(ctx context.Context, c *peer.Conn) {
			select {
			case <-c.Closed():
			case <-ctx.Done():
			}
		})
	}()
	t.Cleanup(func() {
		stop()
		w.listener.Close()
		<-ended
		<-ended
	})
}

func TestMembersOverQUIC(t *testing.T) {
	// Four hosts learn from a document that they are a group. Over QUIC they form
	// it, and the planner among them leads it to a better map.
	m, err := expertmap.Even(shape)
	require.NoError(t, err)
	d := &deployment{t: t, platform: standinplatform.New(standinplatform.Config{})}
	d.engines = standinengine.NewGroup(standinengine.Config{Step: time.Millisecond, Map: m}, ranks)
	t.Cleanup(d.engines.Close)
	d.url = serve(t, d.platform)
	authority, err := credential.NewAuthority(time.Now())
	require.NoError(t, err)

	doc := documentOf()
	doc.Service = "s"
	var members []*wired
	for r := range ranks {
		w := wire(t, authority, name(r), serve(t, d.engines.Rank(r)), d.url)
		w.start(t)
		doc.Targets[r].Address = w.listener.Addr()
		members = append(members, w)
	}
	for _, w := range members {
		w.Install(t.Context(), 1, doc)
	}
	d.draft()
	d.hot(0)
	require.True(t, assertEventually(func() bool { return inForceEverywhere(t, members) }), "no better map comes in force")
	d.assertOneMap()
}

func inForceEverywhere(t *testing.T, members []*wired) bool {
	for _, w := range members {
		s, err := w.State(t.Context())
		require.NoError(t, err)
		require.Zero(t, s.Rank.Violations)
		if v := s.Rank.Rank; v == nil || v.Phase != "settled" || v.InForce <= 1 {
			return false
		}
	}
	return true
}
