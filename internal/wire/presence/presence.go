// Package presence finds out whether a process listens at an address.
package presence

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// timeout bounds a probe. A new connection takes some milliseconds, and a lost opening packet
// is sent again after a second: waiting longer wins nothing.
const timeout = 250 * time.Millisecond

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

// Probe opens a connection to an address. One that broke does not tell whether the process
// ended: servers, and what lies between, reset connections while they live.
func Probe(ctx context.Context, at netip.AddrPort) Presence {
	d := net.Dialer{Timeout: timeout}
	conn, err := d.DialContext(ctx, "tcp4", at.String())
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent on it
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Absent
	}
	return Silent
}
