package digest

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// pingInterval is the time after which a process that has not answered is pinged again:
	// datagrams are lost now and then.
	pingInterval = 30 * time.Millisecond
	// pingCount is how often a process is pinged. A process whose host has a small share of a
	// core answers within two of these pings.
	pingCount = 3
)

// pings keeps the state of a round of pings, which finds out which processes run. There is one
// round at a time.
type pings struct {
	exclusive sync.Mutex // held during a round

	mu      sync.Mutex
	number  uint64
	waiting map[netip.AddrPort]bool // processes that have not answered in the current round
	done    chan struct{}           // closed once all have answered
}

func newPings() pings { return pings{done: make(chan struct{})} }

func (p *pings) begin(list []netip.AddrPort) (number uint64, done <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	p.waiting = make(map[netip.AddrPort]bool, len(list))
	p.done = make(chan struct{})
	for _, at := range list {
		p.waiting[at] = true
	}
	if len(p.waiting) == 0 {
		close(p.done)
	}
	return p.number, p.done
}

func (p *pings) answered(from netip.AddrPort, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number != p.number || !p.waiting[from] {
		return
	}
	delete(p.waiting, from)
	if len(p.waiting) == 0 {
		close(p.done)
	}
}

// silent returns the processes that have not answered, in the order of the list.
func (p *pings) silent(list []netip.AddrPort) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(list), func(at netip.AddrPort) bool { return !p.waiting[at] })
}

// Unresponsive pings processes and returns those that do not answer within some 90 ms.
func (s *Socket) Unresponsive(ctx context.Context, list []netip.AddrPort) []netip.AddrPort {
	s.pings.exclusive.Lock()
	defer s.pings.exclusive.Unlock()
	number, done := s.pings.begin(list)
	silent := list
	for range pingCount {
		for _, at := range silent {
			s.send(at, message{Ping: number})
		}
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return s.pings.silent(list)
		case <-time.After(pingInterval):
			silent = s.pings.silent(list)
		}
	}
	return silent
}
