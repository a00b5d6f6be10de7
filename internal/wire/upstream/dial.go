package upstream

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wagtailshelf.example/wagtailshelf/internal/wire/response"
)

const (
	// dialTimeout bounds the opening of a connection, which takes some
	// milliseconds. A lost SYN packet is sent again only after a second, so a slightly
	// longer wait would not help; the request goes to another target instead.
	dialTimeout = 250 * time.Millisecond
	// userTimeout is how long written bytes may stay unacknowledged, and
	// probeInterval the interval of the keep-alive probes on an idle connection. A connection
	// that became silent, or whose host did, is closed within some two seconds.
	userTimeout   = 1500 * time.Millisecond
	probeInterval = 700 * time.Millisecond
	probeCount    = 2
)

// Dial opens a connection to a target.
func Dial(ctx context.Context, target netip.AddrPort) (*response.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		},
		ControlContext: setUserTimeout,
	}
	conn, err := d.DialContext(ctx, "tcp4", target.String())
	if err != nil {
		return nil, err
	}
	return response.NewConn(conn), nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long written bytes may stay
// unacknowledged. Without it a request to a host that has lost power waits for minutes.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
