package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
)

// Listener accepts connections from other processes of the system.
type Listener struct {
	cfg       *Config
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
}

// Listen opens the UDP socket on which peers connect.
func Listen(cfg *Config, addr netip.AddrPort) (*Listener, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: cfg.socket(socket)}
	listener, err := transport.Listen(cfg.ServerTLS, quicConfig())
	if err != nil {
		_ = socket.Close() // the error of Listen matters more
		return nil, err
	}
	return &Listener{cfg: cfg, socket: socket, transport: transport, listener: listener}, nil
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() netip.AddrPort {
	return l.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends the listener and all of its connections.
func (l *Listener) Close() {
	_ = l.listener.Close()  // the next line closes the connections
	_ = l.transport.Close() // nothing is left to send on it
	_ = l.socket.Close()
}

// Serve accepts connections until ctx ends and calls handle for each, in a goroutine
// of its own; handle returns when it is done with the connection. Serve returns once
// all calls of handle have returned.
func (l *Listener) Serve(ctx context.Context, handle func(context.Context, *Conn)) error {
	ended := make(chan struct{})
	running := 0
	accepted := make(chan *quic.Conn)
	failed := make(chan error, 1)
	go func() { failed <- l.accept(ctx, accepted) }()
	for {
		select {
		case q := <-accepted:
			running++
			go func() {
				l.serveConn(ctx, q, handle)
				ended <- struct{}{}
			}()
		case <-ended:
			running--
		case err := <-failed:
			for ; running > 0; running-- {
				<-ended
			}
			return err
		}
	}
}

func (l *Listener) accept(ctx context.Context, accepted chan<- *quic.Conn) error {
	for {
		q, err := l.listener.Accept(ctx)
		if err != nil {
			return err
		}
		accepted <- q
	}
}

func (l *Listener) serveConn(ctx context.Context, q *quic.Conn, handle func(context.Context, *Conn)) {
	c, err := l.serverHandshake(ctx, q)
	if err != nil {
		_ = q.CloseWithError(codeRefused, err.Error()) // the peer gets the reason as well as the code
		return
	}
	c.run()
	handle(ctx, c)
	c.Close()
}

// serverHandshake reads Hello and sends Welcome as the accepting side.
func (l *Listener) serverHandshake(ctx context.Context, q *quic.Conn) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	control, err := q.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	c := newConn(l.cfg, q, control, nil)
	if err := control.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	var hello frame.Hello
	if err := c.reader.Expect(frame.KindHello, &hello); err != nil {
		return nil, err
	}
	reason := refusalReason(q, hello)
	welcome := frame.Welcome{Version: frame.Version, Identity: l.cfg.Identity, Refusal: reason}
	if err := c.writer.Write(frame.KindWelcome, welcome); err != nil {
		return nil, err
	}
	if reason != "" {
		return nil, merry.Wrap(ErrRefused, merry.AppendMessage(reason))
	}
	c.peer = hello.Identity
	c.number = hello.Connection
	return c, control.SetDeadline(time.Time{})
}

// refusalReason returns why a peer is refused; empty if it is accepted.
func refusalReason(q *quic.Conn, hello frame.Hello) string {
	if hello.Version != frame.Version {
		return fmt.Sprintf("wire version %d is not spoken here, only %d", hello.Version, frame.Version)
	}
	if err := verifyIdentity(q, hello.Identity); err != nil {
		return err.Error()
	}
	return ""
}
