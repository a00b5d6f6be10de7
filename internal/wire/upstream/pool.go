// Package upstream keeps connections to targets and sends requests over them.
//
// It does not use the HTTP client of the standard library, since that retries some requests
// on its own. After a request was written, only a statement of the target proves that it did
// not run, so this package never sends a request twice.
package upstream

import (
	"bufio"
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"wagtailshelf.example/wagtailshelf/internal/wire/response"
)

const (
	// defaultKeep is how long an idle connection may be reused if the target doesn't
	// state how long it keeps it open.
	defaultKeep = 4 * time.Second
	// keepFraction is the fraction of the target's own idle timeout during which a
	// connection is reused. Later, the target might close it while a request is on its
	// way, and it would be unknown whether the request ran.
	keepFraction = 0.6
	// bufferSize is the size of the read and write buffers: an event of a stream has some
	// hundred bytes.
	bufferSize = 4 << 10
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn // the most recently used one is the last
	// OnDial is called for each new connection.
	OnDial func()
	// MaxIdle returns how many idle connections to a target are kept; nil keeps all.
	MaxIdle func(target netip.AddrPort) int
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: make(map[netip.AddrPort][]*Conn), OnDial: func() {}}
}

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	net    *response.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	target netip.AddrPort
	Reused bool // it has carried an earlier request
	usedAt time.Time
	keep   time.Duration
}

// Get returns a connection to a target: the most recently used idle one, if it is still open
// and was used within maxIdle, or a new one.
func (p *Pool) Get(ctx context.Context, now time.Time, target netip.AddrPort, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.popIdle(target)
		if c == nil {
			break
		}
		if idle := now.Sub(c.usedAt); idle > maxIdle || idle > c.keep || !c.isUsable() {
			c.Close()
			continue
		}
		c.Reused = true
		return c, nil
	}
	in, err := Dial(ctx, target)
	if err != nil {
		return nil, err
	}
	p.OnDial()
	return &Conn{
		net:    in,
		r:      bufio.NewReaderSize(in, bufferSize),
		w:      bufio.NewWriterSize(in, bufferSize),
		target: target,
		keep:   defaultKeep,
	}, nil
}

// popIdle removes the most recently used idle connection to a target and returns it; nil if
// there is none.
func (p *Pool) popIdle(target netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[target] = list[:len(list)-1]
	return c
}

// pushIdle returns a connection to the pool after its response was read to the end. The target
// keeps it open for the time keep; 0 if it did not state it.
func (p *Pool) pushIdle(now time.Time, c *Conn, keep time.Duration) {
	c.usedAt = now
	c.keep = defaultKeep
	if keep > 0 {
		c.keep = time.Duration(float64(keep) * keepFraction)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxIdle != nil && len(p.idle[c.target]) >= p.MaxIdle(c.target) {
		c.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Drop closes the idle connections to a target that has restarted. They lead to its earlier
// incarnation, and anything written to them is lost.
func (p *Pool) Drop(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[target] {
		c.Close()
	}
	delete(p.idle, target)
}

// Sweep closes the connections that have been idle for too long to be reused.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.usedAt) < c.keep {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(list[len(kept):])
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// Open reports whether neither side has closed the connection, as far as the system knows.
func (c *Conn) Open() bool { return c.net.Open() }

// Close ends the connection.
func (c *Conn) Close() {
	// An error of closing adds nothing to the result of the request.
	_ = c.net.Close()
}

// Abort ends the connection and discards bytes that were not delivered yet. Otherwise a
// target that was unreachable for a while would receive, and run, a request whose caller has
// long gone.
func (c *Conn) Abort() {
	// It fails only on a connection that is closed already.
	_ = c.net.SetLinger(0)
	c.Close()
}

// isUsable reports whether an idle connection is open and has nothing to read. Bytes that
// arrived without a request, or the end of the stream, make the connection unusable.
func (c *Conn) isUsable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.net.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN
		return true
	})
	return usable && err == nil
}
