// Package upstream keeps connections to targets and carries requests over them.
//
// It has no client of the standard library behind it, since that one repeats
// requests by itself: after a request was written, only the target's own word
// proves that it did not run, so nothing here is ever sent twice.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection, which takes some
	// milliseconds. A lost opening packet is sent again after a second, so waiting
	// longer wins nothing; another target is asked instead.
	dialTimeout = 250 * time.Millisecond
	// userTimeout is how long written bytes may stay unacknowledged, and
	// probeInterval how often an idle connection is probed. A connection that went
	// silent, or whose host did, is given up within some two seconds.
	userTimeout   = 1500 * time.Millisecond
	probeInterval = 700 * time.Millisecond
	probeCount    = 2
	// defaultKeep is how long an idle connection is used again if the target
	// doesn't say how long it keeps it.
	defaultKeep = 4 * time.Second
	// keepPart is the part of the target's own timeout in which a connection is
	// used again. Beyond it the target may close it while a request is under way,
	// and then nobody knows whether that ran.
	keepPart = 0.6
	// bufferSize of reads and writes: an event of a stream has some hundred bytes.
	bufferSize = 4 << 10
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn // the one used last at the end
	// Dialled hears of each new connection.
	Dialled func()
	// MostIdle is how many connections to a target are kept; nil keeps all.
	MostIdle func(target netip.AddrPort) int
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: make(map[netip.AddrPort][]*Conn), Dialled: func() {}}
}

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	net    net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	target netip.AddrPort
	Reused bool // it carried a request before
	usedAt time.Time
	keep   time.Duration
}

// Get returns a connection to a target: the one used last, if that was within
// maxIdle and it is still open, or a new one.
func (p *Pool) Get(ctx context.Context, now time.Time, target netip.AddrPort, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.take(target)
		if c == nil {
			break
		}
		if idle := now.Sub(c.usedAt); idle > maxIdle || idle > c.keep || !c.quiet() {
			c.Close()
			continue
		}
		c.Reused = true
		return c, nil
	}
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
	p.Dialled()
	return &Conn{
		net:    conn,
		r:      bufio.NewReaderSize(conn, bufferSize),
		w:      bufio.NewWriterSize(conn, bufferSize),
		target: target,
		keep:   defaultKeep,
	}, nil
}

func (p *Pool) take(target netip.AddrPort) *Conn {
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

// put gives a connection back after its answer was read to the end.
func (p *Pool) put(now time.Time, c *Conn, keep time.Duration) {
	c.usedAt = now
	c.keep = defaultKeep
	if keep > 0 {
		c.keep = time.Duration(float64(keep) * keepPart)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MostIdle != nil && len(p.idle[c.target]) >= p.MostIdle(c.target) {
		c.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Drop closes the idle connections to a target that has started again. They lead to its
// earlier life, and what is written on them is lost.
func (p *Pool) Drop(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[target] {
		c.Close()
	}
	delete(p.idle, target)
}

// Sweep closes the connections that are idle for too long to be used again.
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

// Close ends the connection.
func (c *Conn) Close() {
	// The error of closing tells nothing that the request's own end doesn't.
	_ = c.net.Close()
}

// Abort ends the connection and drops what was not delivered yet. A target that could
// not be reached for a while would otherwise get, and run, a request whose caller has
// long left.
func (c *Conn) Abort() {
	if tcp, isTCP := c.net.(*net.TCPConn); isTCP {
		// It fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// quiet tells whether an idle connection is open and has nothing to read. Bytes
// that came without a request, or an end that the target has sent, make it
// useless.
func (c *Conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, isTCP := c.net.(*net.TCPConn)
	if !isTCP {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return quiet && err == nil
}
