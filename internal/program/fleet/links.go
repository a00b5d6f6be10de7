package fleet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	// maxPending is how many messages wait for a connection that is being
	// opened; more are dropped, since what they say is repeated.
	maxPending = 64
	// linkIdle is after how long an own connection that was not used is closed.
	// Neighbours are probed each second, so theirs stay open.
	linkIdle = 10 * time.Second
	// freshFor is how long a connection is trusted after it last brought a
	// message, or was opened. Something between the two ends may have lost track
	// of it since: it swallows all, while a new one works. Neighbours answer
	// each second, so that one that misses an answer is replaced in time for the
	// next probe to keep the contact, which is lost after three seconds. A
	// connection that QUIC pings is given up after nine seconds only.
	freshFor = 1500 * time.Millisecond
)

// link is the way to one address.
type link struct {
	name     host.Name
	usedAt   time.Time
	openedAt time.Time // of the connection with the number
	number   uint64
	silent   uint64 // connections up to this number are not used any more
	dialing  bool
	pending  []frame.Control
}

// inbound is the connection that last brought a message of a process. Either side
// may have opened it.
type inbound struct {
	conn    *peer.Conn
	heardAt time.Time
}

// links carries messages to other processes without blocking the decisions.
type links struct {
	pool   *peer.Pool
	counts *counts

	mu      sync.Mutex
	out     map[netip.AddrPort]*link
	in      map[host.Name]inbound
	dialled sync.WaitGroup
	closed  bool
}

func newLinks(cfg *peer.Config, c *counts) *links {
	return &links{
		pool:   peer.NewPool(cfg),
		counts: c,
		out:    make(map[netip.AddrPort]*link),
		in:     make(map[host.Name]inbound),
	}
}

// heard notes that a connection has just brought a message.
func (l *links) heard(c *peer.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.in[c.Peer().Name] = inbound{conn: c, heardAt: time.Now()}
}

// send passes a message on, or keeps it until a connection is open.
func (l *links) send(ctx context.Context, to netip.AddrPort, name host.Name, m frame.Control) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	in, found := l.in[name]
	heard := found && time.Since(in.heardAt) < freshFor
	k, ok := l.out[to]
	if ok {
		// Also where the message leaves on the connection that last brought one:
		// that may be this link's own. Closed while in use, it would be opened
		// again every few seconds, with a handshake of many kilobytes.
		k.usedAt = time.Now()
	}
	if heard && in.conn.Err() == nil && in.conn.Send(m) == nil {
		return
	}
	if !ok {
		k = &link{name: name, usedAt: time.Now()}
		l.out[to] = k
	}
	if len(k.pending) >= maxPending {
		l.counts.dropped.Inc()
		return
	}
	k.pending = append(k.pending, m)
	if k.dialing {
		return
	}
	k.dialing = true
	if !heard && time.Since(k.openedAt) > freshFor {
		k.silent = k.number
	}
	l.dialled.Add(1)
	go l.flush(ctx, to, k)
}

// flush opens the connection, if it is not open, and sends what waits for it. It
// ends when nothing waits any more; the owner is the WaitGroup of links.
func (l *links) flush(ctx context.Context, to netip.AddrPort, k *link) {
	defer l.dialled.Done()
	c, err := l.pool.Newer(ctx, to, k.name, k.silent)
	for {
		l.mu.Lock()
		if err == nil && c.Number() != k.number {
			k.number, k.openedAt = c.Number(), time.Now()
		}
		pending := k.pending
		k.pending = nil
		if len(pending) == 0 || err != nil {
			k.dialing = false
			l.mu.Unlock()
			break
		}
		l.mu.Unlock()
		for _, m := range pending {
			if c.Send(m) != nil {
				l.counts.dropped.Inc()
			}
		}
	}
	if err != nil {
		l.counts.unreachable.Inc()
	}
}

// tidy closes own connections that are not used and forgets those of others that
// have ended.
func (l *links) tidy(ctx context.Context) error {
	tick := time.NewTicker(linkIdle / 2)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
			for _, a := range l.unused(time.Now()) {
				l.pool.Drop(a)
			}
		}
	}
}

func (l *links) unused(now time.Time) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	var idle []netip.AddrPort
	for a, k := range l.out {
		if !k.dialing && now.Sub(k.usedAt) > linkIdle {
			delete(l.out, a)
			idle = append(idle, a)
		}
	}
	for name, in := range l.in {
		if in.conn.Err() != nil {
			delete(l.in, name)
		}
	}
	return idle
}

func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.pool.Close()
	l.dialled.Wait()
	l.pool.Close()
}

// send encodes and sends one message.
func (f *Fleet) send(ctx context.Context, a *acceptance.Action) {
	payload, err := a.Envelope.Encode()
	if err != nil {
		f.cfg.Log.Error().Err(err).Msg("message cannot be encoded")
		return
	}
	f.counts.sent.Inc()
	f.counts.bytesSent.Add(len(payload))
	f.links.send(ctx, a.To, a.Name, frame.Control{Topic: frame.TopicMembers, Payload: payload})
}

// senderOf returns who claims to have sent an envelope.
func senderOf(e *acceptance.Envelope) host.Name {
	if e.Member != nil {
		return e.Member.From
	}
	return e.Document.From
}
