package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
)

// Dial connects to the named host from a new UDP socket.
func Dial(ctx context.Context, cfg *Config, addr netip.AddrPort, name host.Name, number uint64) (*Conn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(unspecified(addr.Addr()), 0)))
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: cfg.socket(socket)}
	release := func() {
		_ = transport.Close() // nothing is left to send on it
		_ = socket.Close()
	}
	c, err := dial(ctx, cfg, transport, addr, name, number, release)
	if err != nil {
		release()
		return nil, err
	}
	return c, nil
}

// unspecified returns the local address to which a socket is bound for reaching addr.
func unspecified(addr netip.Addr) netip.Addr {
	if addr.IsLoopback() {
		return addr
	}
	if addr.Is4() {
		return netip.IPv4Unspecified()
	}
	return netip.IPv6Unspecified()
}

func dial(ctx context.Context, cfg *Config, transport *quic.Transport, addr netip.AddrPort, name host.Name, number uint64, release func()) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	q, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), cfg.ClientTLS(name), quicConfig())
	if err != nil {
		return nil, err
	}
	c, err := clientHandshake(ctx, cfg, q, name, number, release)
	if err != nil {
		_ = q.CloseWithError(codeRefused, "") // the returned error has the reason
		return nil, err
	}
	c.run()
	return c, nil
}

// clientHandshake sends Hello and reads Welcome as the dialling side.
func clientHandshake(ctx context.Context, cfg *Config, q *quic.Conn, name host.Name, number uint64, release func()) (*Conn, error) {
	control, err := q.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	c := newConn(cfg, q, control, release)
	c.number = number
	if err := control.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	hello := frame.Hello{Version: frame.Version, Identity: cfg.Identity, Connection: number}
	if err := c.writer.Write(frame.KindHello, hello); err != nil {
		return nil, err
	}
	var welcome frame.Welcome
	if err := c.reader.Expect(frame.KindWelcome, &welcome); err != nil {
		return nil, err
	}
	if welcome.Refusal != "" {
		return nil, merry.Wrap(ErrRefused, merry.AppendMessage(welcome.Refusal))
	}
	if name != "" && welcome.Identity.Name != name {
		return nil, merry.Wrap(ErrRefused, merry.AppendMessagef("host is %q, not %q", welcome.Identity.Name, name))
	}
	if err := verifyIdentity(q, welcome.Identity); err != nil {
		return nil, err
	}
	c.peer = welcome.Identity
	return c, control.SetDeadline(time.Time{})
}

// verifyIdentity compares the identity that a peer presents with the one that its
// certificate proves. Without this, any process of the deployment could impersonate
// any other.
func verifyIdentity(q *quic.Conn, identity host.Identity) error {
	proved, err := credential.PeerIdentity(q.ConnectionState().TLS)
	if err != nil {
		return err
	}
	if proved.Name != identity.Name || proved.Role != identity.Role {
		return merry.Wrap(ErrRefused, merry.AppendMessagef("certificate proves %s %q, not %s %q", proved.Role, proved.Name, identity.Role, identity.Name))
	}
	return nil
}
