package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	entryName      host.Name = "mtl-a-entry-1"
	sidecarName    host.Name = "mtl-a-redaction-1"
	testTimeout              = 20 * time.Second
	refusalTimeout           = 10 * time.Second // a server refuses within milliseconds
)

// newConfig returns the configuration of a process with a certificate of the authority.
func newConfig(t *testing.T, authority *credential.Authority, name host.Name, role host.Role) *peer.Config {
	t.Helper()
	id := credential.Identity{Name: name, Role: role}
	material, err := authority.Issue(time.Now(), id, credential.ShortLifetime)
	require.NoError(t, err)
	store, err := credential.NewStore(material, time.Now)
	require.NoError(t, err)
	return &peer.Config{
		Identity:  host.Identity{Name: name, Role: role, DataCentre: "mtl-a", Incarnation: 1},
		ClientTLS: store.Client,
		ServerTLS: store.Server(),
	}
}

func newAuthority(t *testing.T) *credential.Authority {
	t.Helper()
	authority, err := credential.NewAuthority(time.Now())
	require.NoError(t, err)
	return authority
}

// serve runs a listener that echoes the control frame of each stream, and returns its
// address.
func serve(t *testing.T, cfg *peer.Config) netip.AddrPort {
	t.Helper()
	l, err := peer.Listen(cfg, netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, echo) }()
	t.Cleanup(func() {
		cancel()
		l.Close()
		<-done
	})
	return l.Addr()
}

func echo(ctx context.Context, c *peer.Conn) {
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		var m frame.Control
		f, err := s.Read()
		if err != nil || frame.Decode(f, &m) != nil {
			s.Abort()
			continue
		}
		_ = s.Write(frame.KindControl, m) // the test notices a missing answer
		_ = s.CloseWrite()
	}
}

func call(t *testing.T, c *peer.Conn) error {
	t.Helper()
	s, err := c.OpenStream()
	if err != nil {
		return err
	}
	defer c.ExpectReply()()
	if err := s.Write(frame.KindControl, frame.Control{Topic: frame.TopicGroup, Payload: []byte("hello")}); err != nil {
		return err
	}
	f, err := s.Read()
	if err != nil {
		return err
	}
	var got frame.Control
	require.NoError(t, frame.Decode(f, &got))
	require.Equal(t, "hello", string(got.Payload))
	return nil
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestPoolKeepsOneConnection(t *testing.T) {
	authority := newAuthority(t)
	addr := serve(t, newConfig(t, authority, sidecarName, host.Sidecar))
	pool := peer.NewPool(newConfig(t, authority, entryName, host.Entry))
	defer pool.Close()
	first, err := pool.Get(testContext(t), addr, sidecarName)
	require.NoError(t, err)
	require.NoError(t, call(t, first))
	second, err := pool.Get(testContext(t), addr, sidecarName)
	require.NoError(t, err)
	require.Same(t, first, second)
	require.Equal(t, sidecarName, first.Peer().Name)

	first.Close()
	third, err := pool.Get(testContext(t), addr, sidecarName)
	require.NoError(t, err)
	require.Greater(t, third.Number(), first.Number())
}

func TestRefusedConnections(t *testing.T) {
	authority := newAuthority(t)
	addr := serve(t, newConfig(t, authority, sidecarName, host.Sidecar))
	impostor := newConfig(t, authority, entryName, host.Entry)
	impostor.Identity.Name = "mtl-a-entry-2"
	tests := []struct {
		name   string
		cfg    *peer.Config
		target host.Name
	}{
		{"certificate of another authority", newConfig(t, newAuthority(t), entryName, host.Entry), sidecarName},
		{"identity that the certificate does not prove", impostor, sidecarName},
		{"another host than dialled", newConfig(t, authority, entryName, host.Entry), "mtl-a-redaction-2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, err := peer.Dial(testContext(t), test.cfg, addr, test.target, 1)
			if err == nil {
				// With TLS 1.3 the client's handshake can end before the server has checked its
				// certificate.
				select {
				case <-c.Closed():
				case <-time.After(refusalTimeout):
				}
				err = c.Err()
			}
			require.Error(t, err)
		})
	}
}

// blackhole is a UDP socket that discards all packets once it is blocked.
type blackhole struct {
	net.PacketConn
	blocked *atomic.Bool
}

func (h blackhole) WriteTo(b []byte, addr net.Addr) (int, error) {
	if h.blocked.Load() {
		return len(b), nil
	}
	return h.PacketConn.WriteTo(b, addr)
}

// An open connection becomes permanently silent: packets from its source port are
// discarded while new ports work. The caller's stream gets ErrSilent once pings
// stay unanswered, and the pool's next connection, from another port, works.
// Waiting for the idle timeout of QUIC would take half a minute.
func TestSilentConnectionIsReplaced(t *testing.T) {
	authority := newAuthority(t)
	addr := serve(t, newConfig(t, authority, sidecarName, host.Sidecar))
	cfg := newConfig(t, authority, entryName, host.Entry)
	var blocked []*atomic.Bool
	cfg.Socket = func(c net.PacketConn) net.PacketConn {
		blocked = append(blocked, new(atomic.Bool))
		return blackhole{PacketConn: c, blocked: blocked[len(blocked)-1]}
	}
	pool := peer.NewPool(cfg)
	defer pool.Close()
	first, err := pool.Get(testContext(t), addr, sidecarName)
	require.NoError(t, err)
	require.NoError(t, call(t, first))

	blocked[0].Store(true)
	require.ErrorIs(t, call(t, first), peer.ErrSilent)

	second, err := pool.Get(testContext(t), addr, sidecarName)
	require.NoError(t, err)
	require.NoError(t, call(t, second))
	require.Len(t, blocked, 2)
}
