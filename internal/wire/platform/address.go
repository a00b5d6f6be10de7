package platform

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
)

// dialFunc opens a connection, as net.Dialer's DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// addresses dials the platform at one of several addresses. It keeps using one
// address as long as that works, so that connections are reused.
type addresses struct {
	list    []netip.AddrPort
	dialer  dialFunc
	current atomic.Uint32
}

// next switches to the next address after a call timed out: a server may accept
// connections and never respond.
func (a *addresses) next() {
	a.current.Add(1)
}

// dial tries each address once, starting with the current one, and makes the
// first that accepts the current one.
func (a *addresses) dial(ctx context.Context, network, urlHost string) (net.Conn, error) {
	if len(a.list) == 0 {
		return a.dialer(ctx, network, urlHost)
	}
	var errs []error
	first := a.current.Load()
	for i := range uint32(len(a.list)) {
		n := first + i
		address := a.list[n%uint32(len(a.list))]
		conn, err := a.dialer(ctx, network, address.String())
		if err == nil {
			a.current.CompareAndSwap(first, n)
			return conn, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}
