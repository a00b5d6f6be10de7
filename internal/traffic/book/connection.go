package book

import (
	"maps"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// origin is what is remembered of one entry host. Its size is bounded, so no
// tombstone is kept for a request: what came by a connection below
// retiredBefore is refused as a whole.
type origin struct {
	incarnation   host.Incarnation
	retiredBefore request.Conn
	conns         map[request.Conn]*streams
}

// streams tells which streams of a connection have begun. The transport begins
// each stream once; a repeat can only be a fault, and would run a request
// again after its id has been forgotten.
type streams struct {
	floor uint64 // all below it have begun, or are treated so
	begun map[uint64]struct{}
}

// begin notes a stream and tells whether it is new.
func (s *streams) begin(n uint64, window int) bool {
	if n < s.floor {
		return false
	}
	if _, ok := s.begun[n]; ok {
		return false
	}
	s.begun[n] = struct{}{}
	s.advance()
	for len(s.begun) > window {
		s.floor = slices.Min(slices.Collect(maps.Keys(s.begun)))
		s.advance()
	}
	return true
}

func (s *streams) advance() {
	for {
		if _, ok := s.begun[s.floor]; !ok {
			return
		}
		delete(s.begun, s.floor)
		s.floor++
	}
}

// admitPeer tells whether messages of the peer are still listened to.
func (b *Book) admitPeer(p Peer) bool {
	o := b.origins[p.Entry]
	if o == nil || p.Incarnation > o.incarnation {
		o = &origin{incarnation: p.Incarnation, conns: make(map[request.Conn]*streams)}
		b.origins[p.Entry] = o
	}
	if p.Incarnation < o.incarnation || p.Conn < o.retiredBefore {
		return false
	}
	s := o.conns[p.Conn]
	if s == nil {
		s = &streams{begun: make(map[uint64]struct{})}
		o.conns[p.Conn] = s
		o.bound(b.cfg.MaxConnections)
	}
	return p.Conn >= o.retiredBefore
}

// bound retires the oldest connections beyond n. Their requests are known by
// id as long as they matter; what else comes by them is refused.
func (o *origin) bound(n int) {
	for len(o.conns) > n {
		o.retire(slices.Min(slices.Collect(maps.Keys(o.conns))) + 1)
	}
}

func (o *origin) retire(before request.Conn) {
	o.retiredBefore = max(o.retiredBefore, before)
	maps.DeleteFunc(o.conns, func(c request.Conn, _ *streams) bool {
		return c < o.retiredBefore
	})
}

func (b *Book) beginStream(p Peer) bool {
	return b.origins[p.Entry].conns[p.Conn].begin(p.Stream, b.cfg.StreamWindow)
}

func (b *Book) retireOlder(p Peer) {
	b.origins[p.Entry].retire(p.Conn)
}
