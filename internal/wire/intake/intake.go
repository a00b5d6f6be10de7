// Package intake finds out whether a process gets on with its callers' requests, by sending one
// of its own the way that theirs take: listener, connection, handler, and whatever each of them
// has to wait for.
//
// Readiness is asked on another address and answered without any of these. A process whose
// processor time is used up, or whose lock is held up, would say that it is ready, and callers
// would be sent to it whom it does not serve.
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
)

// timeout of a check. Callers give up after a second in which nothing reads their request.
const timeout = 500 * time.Millisecond

// ErrForeign reports that something else answered at the process's address.
var ErrForeign = merry.New("another answer than that of the process itself")

// Check sends requests of a process to the process itself. Its fields are set before the first.
type Check struct {
	// Address is the one that callers connect to.
	Address netip.AddrPort
	// Turn returns once a request that arrives now would have its turn.
	Turn func()
	// Took hears how long each check took.
	Took func(d time.Duration, err error)
	// Believes hears when checks begin to fail, and when they no longer do.
	Believes func(works bool, took time.Duration, err error)

	checking sync.Mutex // one at a time
	failing  bool       // as was told last

	mu  sync.Mutex
	own netip.AddrPort // of the check that is under way, as its handler sees it
}

// Works tells whether a request of the process to itself got on in time.
func (c *Check) Works(ctx context.Context) bool {
	c.checking.Lock()
	defer c.checking.Unlock()
	begin := time.Now()
	err := c.run(ctx)
	took := time.Since(begin)
	c.Took(took, err)
	if failing := err != nil; failing != c.failing {
		c.failing = failing
		c.Believes(!failing, took, err)
	}
	return err == nil
}

func (c *Check) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.target().String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	c.expect(addrPort(conn.LocalAddr().String()))
	defer c.expect(netip.AddrPort{})
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: self\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusNoContent {
		return ErrForeign
	}
	return nil
}

// target is where the process reaches itself.
func (c *Check) target() netip.AddrPort {
	switch addr := c.Address.Addr(); {
	case !addr.IsUnspecified():
		return c.Address
	case addr.Is4():
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), c.Address.Port())
	default:
		return netip.AddrPortFrom(netip.IPv6Loopback(), c.Address.Port())
	}
}

func (c *Check) expect(own netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = own
}

// isOwn tells whether a request is the check that is under way. It is known by its connection,
// which no caller can have.
func (c *Check) isOwn(remote string) bool {
	c.mu.Lock()
	own := c.own
	c.mu.Unlock()
	return own.IsValid() && addrPort(remote) == own
}

// Before answers the process's own checks, and hands on what callers send.
func (c *Check) Before(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isOwn(r.RemoteAddr) {
			c.Turn()
			w.WriteHeader(http.StatusNoContent)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// addrPort reads an address of a connection; the zero address if it is none of TCP.
func addrPort(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
