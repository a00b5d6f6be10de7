package rank

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	// maxPending is the largest number of messages that wait for a connection that is
	// being opened. Further ones are dropped, since their content is sent again.
	maxPending = 64

	// replyWait is how long a reply is awaited after messages were sent; nearly all
	// messages get one. While a reply is awaited, a quiet connection is pinged, and given
	// up if it is silent. Otherwise a map switch would wait for a connection whose state
	// a middlebox has lost.
	replyWait = 1500 * time.Millisecond

	linkIdle = time.Minute // connections that are unused for this long are closed
)

// links sends messages to the other hosts of a group. It has its own connections.
type links struct {
	pool    *peer.Pool
	dropped *metrics.Counter
	stop    func() // cancels dialling
	dial    func(to host.Name, address netip.AddrPort) (*peer.Conn, error)

	mu        sync.Mutex
	addresses map[host.Name]netip.AddrPort
	links     map[host.Name]*link
	closed    bool
	flushes   sync.WaitGroup
}

// link holds the pending messages and the address of one host.
type link struct {
	address netip.AddrPort
	usedAt  time.Time
	opening bool
	pending []frame.Control
}

func newLinks(cfg *peer.Config, dropped *metrics.Counter) *links {
	ctx, stop := context.WithCancel(context.Background()) // lasts until close
	pool := peer.NewPool(cfg)
	return &links{
		pool:    pool,
		dropped: dropped,
		stop:    stop,
		dial: func(to host.Name, address netip.AddrPort) (*peer.Conn, error) {
			return pool.Get(ctx, address, to)
		},
		addresses: make(map[host.Name]netip.AddrPort),
		links:     make(map[host.Name]*link),
	}
}

// setAddresses replaces the addresses of the group's hosts.
func (l *links) setAddresses(addresses map[host.Name]netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
}

// send sends a message without blocking. The message may be lost.
func (l *links) send(to host.Name, m frame.Control) {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, ok := l.addresses[to]
	if !ok || l.closed {
		l.dropped.Inc()
		return
	}
	k := l.links[to]
	if k == nil || k.address != address {
		k = &link{address: address}
		l.links[to] = k
	}
	k.usedAt = time.Now()
	if len(k.pending) >= maxPending {
		l.dropped.Inc()
		return
	}
	k.pending = append(k.pending, m)
	if k.opening {
		return
	}
	k.opening = true
	l.flushes.Add(1)
	go l.flush(to, k)
}

// flush opens the connection, if it is not open, and sends the pending messages.
func (l *links) flush(to host.Name, k *link) {
	defer l.flushes.Done()
	c, err := l.dial(to, k.address)
	for {
		l.mu.Lock()
		pending := k.pending
		k.pending = nil
		if len(pending) == 0 || err != nil {
			k.opening = false
			l.mu.Unlock()
			l.dropped.Add(len(pending))
			return
		}
		l.mu.Unlock()
		done := c.ExpectReply()
		time.AfterFunc(replyWait, done)
		for _, m := range pending {
			if c.Send(m) != nil {
				l.dropped.Inc()
			}
		}
	}
}

// closeIdle closes connections that are not used.
func (l *links) closeIdle(ctx context.Context) error {
	tick := time.NewTicker(linkIdle / 2)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case now := <-tick.C:
			for _, a := range l.unused(now) {
				l.pool.Drop(a)
			}
		}
	}
}

// unused removes the links that are not used any more and returns their addresses.
func (l *links) unused(now time.Time) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	var idle []netip.AddrPort
	for name, k := range l.links {
		if !k.opening && now.Sub(k.usedAt) > linkIdle {
			delete(l.links, name)
			idle = append(idle, k.address)
		}
	}
	return idle
}

func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.stop()
	l.flushes.Wait()
	l.pool.Close()
}
