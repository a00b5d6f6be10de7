package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Pool keeps one connection to each peer and replaces connections that have ended.
type Pool struct {
	cfg    *Config
	number atomic.Uint64 // of the connection that was dialled last

	mu    sync.Mutex
	conns map[netip.AddrPort]*pooledConn
}

// pooledConn holds the connection to one peer. Its mutex is held while dialling, so
// that concurrent requests make only one connection.
type pooledConn struct {
	mu   sync.Mutex
	conn *Conn
}

// NewPool returns an empty pool.
func NewPool(cfg *Config) *Pool {
	return &Pool{cfg: cfg, conns: make(map[netip.AddrPort]*pooledConn)}
}

// Get returns the open connection to a peer, or dials a new one if there is none.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, name host.Name) (*Conn, error) {
	return p.GetNewer(ctx, addr, name, 0)
}

// GetNewer returns a connection to a peer, with a number above the given one. It closes an
// older connection: if one request found it silent, it is silent for all of them, and
// the others need not wait to detect that themselves.
func (p *Pool) GetNewer(ctx context.Context, addr netip.AddrPort, name host.Name, number uint64) (*Conn, error) {
	pc := p.pooled(addr)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != nil && pc.conn.Err() == nil {
		if pc.conn.Number() > number {
			return pc.conn, nil
		}
		pc.conn.Close()
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c, err := Dial(ctx, p.cfg, addr, name, p.number.Add(1))
	if err != nil {
		return nil, err
	}
	pc.conn = c
	return c, nil
}

// pooled returns the pooledConn of a peer, and adds an empty one if there is none.
func (p *Pool) pooled(addr netip.AddrPort) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc := p.conns[addr]
	if pc == nil {
		pc = &pooledConn{}
		p.conns[addr] = pc
	}
	return pc
}

// Open returns the connections that are open now.
func (p *Pool) Open() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []*Conn
	for _, pc := range p.conns {
		// While a connection is being dialled, none is open. Waiting for it here would
		// delay callers that ask for the state of the process.
		if !pc.mu.TryLock() {
			continue
		}
		if pc.conn != nil && pc.conn.Err() == nil {
			open = append(open, pc.conn)
		}
		pc.mu.Unlock()
	}
	return open
}

// Drop closes the connection to a peer that is no longer needed.
func (p *Pool) Drop(addr netip.AddrPort) {
	p.mu.Lock()
	pc := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if pc == nil {
		return
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != nil {
		pc.conn.Close()
	}
}

// Close ends all connections.
func (p *Pool) Close() {
	for _, c := range p.Open() {
		c.Close()
	}
}
