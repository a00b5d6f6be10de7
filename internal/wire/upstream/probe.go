package upstream

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
)

// Presence is what a new connection to an address shows.
type Presence uint8

// What a new connection shows.
const (
	Silent    Presence = iota // nothing came back: the host, or the way to it, is lost
	Listening                 // a process accepts connections there
	Absent                    // the host answers, and no process listens there
)

// String is the presence as logs tell it.
func (p Presence) String() string { return [...]string{"silent", "listening", "absent"}[p] }

// Probe finds out whether a process listens at an address. A connection that broke does
// not tell whether the target ended: targets, and what lies between, reset connections
// while they live.
func (p *Pool) Probe(ctx context.Context, target netip.AddrPort) Presence {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp4", target.String())
	switch {
	case err == nil:
		p.Dialled()
		_ = conn.Close() // nothing was sent on it
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Absent
	}
	return Silent
}
