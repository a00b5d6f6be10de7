// Package address opens the sockets of a process once their addresses are free.
//
// An address may still be an earlier process's when the next one starts, may be a client's for a moment, or may not be
// configured yet. A process that ended for it would be started again into the same, and do nothing of what needs no such
// address.
package address

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

const (
	// retryInterval is the time between two attempts to open a socket.
	retryInterval = 100 * time.Millisecond
	// reportInterval is the time between two log lines on a socket that can't be opened.
	reportInterval = 10 * time.Second
)

// passing are the errors that may be over soon: the address is another's or is not there, or the machine has no room.
var passing = []error{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
}

// Socket is a socket that a process wants to open.
type Socket struct {
	Name    string // in logs
	Address netip.AddrPort
	Log     *log.Logger // nil for none
}

// Open opens a socket. It tries at least once, and while the error may be over soon until the context ends. Its error is
// then the context's as well as that of the last attempt.
func Open[T any](ctx context.Context, s Socket, open func() (T, error)) (T, error) {
	began := time.Now()
	var reportedAt time.Time
	for {
		opened, err := open()
		if err == nil {
			s.reportOpen(began, reportedAt)
			return opened, nil
		}
		if !slices.ContainsFunc(passing, func(e error) bool { return errors.Is(err, e) }) {
			return opened, err
		}
		if now := time.Now(); now.Sub(reportedAt) >= reportInterval {
			s.reportTaken(now.Sub(began), err)
			reportedAt = now
		}
		select {
		case <-ctx.Done():
			return opened, errors.Join(ctx.Err(), err)
		case <-time.After(retryInterval):
		}
	}
}

// reportTaken logs that a socket can't be opened yet.
func (s Socket) reportTaken(since time.Duration, err error) {
	if s.Log != nil {
		s.Log.Warn().Str("event", "addressTaken").Str("listener", s.Name).Stringer("address", s.Address).Dur("for", since).Err(err).Msg("")
	}
}

// reportOpen logs that a socket is open which could not be opened before.
func (s Socket) reportOpen(began, reportedAt time.Time) {
	if s.Log != nil && !reportedAt.IsZero() {
		s.Log.Info().Str("event", "addressFree").Str("listener", s.Name).Stringer("address", s.Address).Dur("after", time.Since(began)).Msg("")
	}
}
