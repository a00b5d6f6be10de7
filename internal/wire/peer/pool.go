package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Pool keeps one connection to each peer and replaces those that ended.
type Pool struct {
	cfg    *Config
	number atomic.Uint64

	mu    sync.Mutex
	slots map[netip.AddrPort]*slot
}

// slot holds the connection to one peer. Its mutex is held while dialling, so
// that many requests at once make one connection.
type slot struct {
	mu   sync.Mutex
	conn *Conn
}

// NewPool returns an empty pool.
func NewPool(cfg *Config) *Pool {
	return &Pool{cfg: cfg, slots: make(map[netip.AddrPort]*slot)}
}

// Get returns the open connection to a peer, dialling if there is none.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, name host.Name) (*Conn, error) {
	return p.Newer(ctx, addr, name, 0)
}

// Newer returns a connection to a peer whose number is above than. It closes an
// older one: what one request has found silent is silent for all of them, and
// each is spared the wait to find out for itself.
func (p *Pool) Newer(ctx context.Context, addr netip.AddrPort, name host.Name, than uint64) (*Conn, error) {
	s := p.slot(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.Err() == nil {
		if s.conn.Number() > than {
			return s.conn, nil
		}
		s.conn.Close()
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c, err := Dial(ctx, p.cfg, addr, name, p.number.Add(1))
	if err != nil {
		return nil, err
	}
	s.conn = c
	return c, nil
}

func (p *Pool) slot(addr netip.AddrPort) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.slots[addr]
	if s == nil {
		s = &slot{}
		p.slots[addr] = s
	}
	return s
}

// Open returns the connections that are open now.
func (p *Pool) Open() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []*Conn
	for _, s := range p.slots {
		// A slot that is dialling has no open connection; waiting for it here
		// would hold up whoever asks for the state of the process.
		if !s.mu.TryLock() {
			continue
		}
		if s.conn != nil && s.conn.Err() == nil {
			open = append(open, s.conn)
		}
		s.mu.Unlock()
	}
	return open
}

// Drop closes the connection to a peer that is no longer needed.
func (p *Pool) Drop(addr netip.AddrPort) {
	p.mu.Lock()
	s := p.slots[addr]
	delete(p.slots, addr)
	p.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.Close()
	}
}

// Close ends all connections.
func (p *Pool) Close() {
	for _, c := range p.Open() {
		c.Close()
	}
}
