package digest

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// pingAgain is after how long who has not answered is asked again: datagrams are lost
	// now and then.
	pingAgain = 30 * time.Millisecond
	// pingTimes is how often each is asked. A process whose host has a small share of a core
	// answers within two of these.
	pingTimes = 3
)

// pings are the questions whether processes run. There is one at a time.
type pings struct {
	asking sync.Mutex

	mu      sync.Mutex
	number  uint64
	waiting map[netip.AddrPort]bool // who has not answered the last question
	done    chan struct{}           // closed once all have
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

// silent are those who have not answered, in the order in which they were asked.
func (p *pings) silent(list []netip.AddrPort) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(list), func(at netip.AddrPort) bool { return !p.waiting[at] })
}

// Silent asks processes whether they run and returns those that do not answer within some 90 ms.
func (s *Socket) Silent(ctx context.Context, list []netip.AddrPort) []netip.AddrPort {
	s.pings.asking.Lock()
	defer s.pings.asking.Unlock()
	number, done := s.pings.begin(list)
	silent := list
	for range pingTimes {
		for _, at := range silent {
			s.send(at, message{Ping: number})
		}
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return s.pings.silent(list)
		case <-time.After(pingAgain):
			silent = s.pings.silent(list)
		}
	}
	return silent
}
