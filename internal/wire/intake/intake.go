// Package intake checks whether a process handles the requests of its callers in time. The
// process sends a request to itself over the same path: listener, connection, handler, and
// whatever each of them has to wait for.
//
// The readiness endpoint has another address and involves none of these. Without the check, a
// process that gets no processor time, or whose lock is held for long, would report that it is
// ready, and would get callers whom it does not serve.
package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/wire/response"
)

// timeout bounds a check. Callers give up if nothing reads their request for a second.
const timeout = 500 * time.Millisecond

// maxAnswer bounds the bytes that are read of a response. The process's own has less than 200.
const maxAnswer = 4 << 10

// ErrForeignResponse reports that the response at the process's address came from something else.
var ErrForeignResponse = merry.New("the response is not that of the process itself")

// Check sends requests of a process to the process itself. Its exported fields must be set before
// the first check.
type Check struct {
	// Address is the address that callers connect to.
	Address netip.AddrPort
	// WaitTurn blocks as long as a request that arrives now would have to wait.
	WaitTurn func()
	// OnCheck is called with the duration and the result of each check.
	OnCheck func(d time.Duration, err error)
	// OnChange is called when checks begin to fail, and when they succeed again.
	OnChange func(works bool, took time.Duration, err error)

	checking sync.Mutex // held during a check, so that there is one at a time
	failing  bool       // result of the last check

	mu  sync.Mutex
	own netip.AddrPort // client address of the running check, as the handler sees it
}

// Works reports whether the process handles a request to itself in time.
func (c *Check) Works(ctx context.Context) bool {
	c.checking.Lock()
	defer c.checking.Unlock()
	begin := time.Now()
	err := c.run(ctx)
	took := time.Since(begin)
	c.OnCheck(took, err)
	if failing := err != nil; failing != c.failing {
		c.failing = failing
		c.OnChange(!failing, took, err)
	}
	return err == nil
}

func (c *Check) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d net.Dialer
	plain, err := d.DialContext(ctx, "tcp", c.selfAddress().String())
	if err != nil {
		return err
	}
	conn := response.NewConn(plain)
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	c.setOwn(addrPort(conn.LocalAddr().String()))
	defer c.setOwn(netip.AddrPort{})
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: self\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	if err := conn.Begin(nil); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxAnswer)), nil)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusNoContent {
		return ErrForeignResponse
	}
	return nil
}

// selfAddress returns the address at which the process reaches itself.
func (c *Check) selfAddress() netip.AddrPort {
	switch addr := c.Address.Addr(); {
	case !addr.IsUnspecified():
		return c.Address
	case addr.Is4():
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), c.Address.Port())
	default:
		return netip.AddrPortFrom(netip.IPv6Loopback(), c.Address.Port())
	}
}

// setOwn sets the client address of the running check.
func (c *Check) setOwn(own netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = own
}

// isOwn reports whether a request belongs to the running check. The client address of its
// connection identifies it, and no caller can have that address.
func (c *Check) isOwn(remote string) bool {
	c.mu.Lock()
	own := c.own
	c.mu.Unlock()
	return own.IsValid() && addrPort(remote) == own
}

// Wrap returns a handler that answers the process's own checks and passes the requests of
// callers to next.
func (c *Check) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isOwn(r.RemoteAddr) {
			c.WaitTurn()
			w.WriteHeader(http.StatusNoContent)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// addrPort parses the address of a connection. It returns the zero value if it is not a TCP
// address.
func addrPort(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
