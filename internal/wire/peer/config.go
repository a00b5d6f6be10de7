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
	// DefaultPingAfter is how long a connection with something awaited on it
	// may stay quiet before it is pinged.
	DefaultPingAfter = 200 * time.Millisecond

	// DefaultSilentAfter is how long it may stay quiet before it is given up.
	// It leaves room for three pings, so that one lost packet, which QUIC sends
	// again by itself, does not end a connection.
	DefaultSilentAfter = 700 * time.Millisecond

	// The same bounds while nothing is awaited. A sidecar reports its load at
	// least each four seconds, so that a healthy connection is not pinged.
	idlePingAfter   = 6 * time.Second
	idleSilentAfter = 9 * time.Second

	handshakeTimeout = 2 * time.Second
	idleTimeout      = 30 * time.Second // of QUIC; silence is found out before
	maxStreams       = 4096             // concurrent requests of one connection
	controlRing      = 256              // control frames waiting to be sent on one connection
	streamWindow     = 256 << 10        // initial receive window of a stream, bytes
	maxStreamWindow  = 1 << 20
	connWindow       = 1 << 20
	maxConnWindow    = 8 << 20
)

// Errors of connections.
var (
	ErrSilent  = merry.New("connection is silent")
	ErrRefused = merry.New("peer refused the connection")
	ErrFull    = merry.New("too many control frames wait to be sent")
	ErrClosed  = merry.New("connection is closed")
)

// Application error codes that a closed connection carries.
const (
	codeClosed  quic.ApplicationErrorCode = 0
	codeRefused quic.ApplicationErrorCode = 1
	codeSilent  quic.ApplicationErrorCode = 2
)

// Config holds what all connections of a process share.
type Config struct {
	// Identity presents this process to its peers.
	Identity host.Identity

	// ClientTLS returns the configuration for dialling the named host.
	ClientTLS func(name host.Name) *tls.Config

	// ServerTLS is the configuration for accepting connections.
	ServerTLS *tls.Config

	// OnControl is handed each control message. It must not block.
	OnControl func(from *Conn, m frame.Control)

	// OnReport is handed each load report. It must not block.
	OnReport func(from *Conn, m frame.Report)

	// Socket may wrap each UDP socket; tests use it to make one silent.
	Socket func(net.PacketConn) net.PacketConn

	// PingAfter and SilentAfter bound the quiet time of a connection on which
	// something is awaited; zero takes the defaults.
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
