// Package presence checks whether a process listens at an address.
package presence

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// timeout bounds a probe. A new connection takes some milliseconds, and a lost SYN packet is
// sent again only after a second, so a slightly longer wait would not help.
const timeout = 250 * time.Millisecond

// Settle is how long after the end of a connection it is asked whether its process has ended. A process that ends closes
// its connections one by one, and its listener before or after them.
const Settle = 10 * time.Millisecond

// Presence is the result of an attempt to connect to an address.
type Presence uint8

// The results of a probe.
const (
	Silent    Presence = iota // no response: the host, or the network path to it, is lost
	Listening                 // a process accepts connections there
	Absent                    // the host refuses the connection: no process listens there
)

// String returns the presence as it is logged.
func (p Presence) String() string { return [...]string{"silent", "listening", "absent"}[p] }

// Probe finds out whether a process listens at an address by opening a new connection. The
// failure of an existing connection does not prove that the process ended: running servers, and
// devices on the network path, reset connections too.
func Probe(ctx context.Context, at netip.AddrPort) Presence {
	d := net.Dialer{Timeout: timeout}
	conn, err := d.DialContext(ctx, "tcp4", at.String())
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent on it
		return Listening
	case errors.Is(err, syscall.ECONNRESET):
		return Listening // it was accepted, and reset at once
	case errors.Is(err, syscall.ECONNREFUSED):
		return Absent
	}
	return Silent
}
