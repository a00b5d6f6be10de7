package peer

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
)

const (
	// DefaultPingAfter is how long a connection on which a frame is expected may stay
	// quiet before it is pinged.
	DefaultPingAfter = 200 * time.Millisecond

	// DefaultSilentAfter is how long such a connection may stay quiet before it is closed.
	// This leaves time for three pings, so that one lost packet, which QUIC
	// retransmits, does not end a connection.
	DefaultSilentAfter = 700 * time.Millisecond

	// The same bounds while no frame is expected. A sidecar reports its load at
	// least every four seconds, so a healthy connection is not pinged.
	idlePingAfter   = 6 * time.Second
	idleSilentAfter = 9 * time.Second

	handshakeTimeout = 2 * time.Second
	idleTimeout      = 30 * time.Second // of QUIC; silence is detected earlier
	maxStreams       = 4096             // concurrent requests of one connection
	controlQueueSize = 256              // control frames queued on one connection
	streamWindow     = 256 << 10        // initial receive window of a stream, bytes
	maxStreamWindow  = 1 << 20
	connWindow       = 1 << 20
	maxConnWindow    = 8 << 20
)

// Errors of connections.
var (
	ErrSilent    = merry.New("connection is silent")
	ErrRefused   = merry.New("peer refused the connection")
	ErrQueueFull = merry.New("too many control frames are queued")
	ErrClosed    = merry.New("connection is closed")
)

// Application error codes with which a connection is closed.
const (
	codeClosed  quic.ApplicationErrorCode = 0
	codeRefused quic.ApplicationErrorCode = 1
	codeSilent  quic.ApplicationErrorCode = 2
)

// Config holds the settings that all connections of a process share.
type Config struct {
	// Identity is the identity that this process presents to its peers.
	Identity host.Identity

	// ClientTLS returns the TLS configuration for dialling the named host.
	ClientTLS func(name host.Name) *tls.Config

	// ServerTLS is the TLS configuration for accepting connections.
	ServerTLS *tls.Config

	// OnControl is called with each control message. It must not block.
	OnControl func(from *Conn, m frame.Control)

	// OnReport is called with each load report. It must not block.
	OnReport func(from *Conn, m frame.Report)

	// Socket, if set, wraps each UDP socket; tests use it to make a socket silent.
	Socket func(net.PacketConn) net.PacketConn

	// PingAfter and SilentAfter bound the quiet time of a connection on which
	// a frame is expected; zero takes the defaults.
	PingAfter   time.Duration
	SilentAfter time.Duration
}

func (cfg *Config) pingAfter() time.Duration {
	if cfg.PingAfter > 0 {
		return cfg.PingAfter
	}
	return DefaultPingAfter
}

func (cfg *Config) silentAfter() time.Duration {
	if cfg.SilentAfter > 0 {
		return cfg.SilentAfter
	}
	return DefaultSilentAfter
}

func (cfg *Config) socket(c net.PacketConn) net.PacketConn {
	if cfg.Socket == nil {
		return c
	}
	return cfg.Socket(c)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	}
}
