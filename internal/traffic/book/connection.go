package book

import (
	"maps"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// entryState is what the book remembers of one entry host. Its size is bounded: it
// holds no tombstones of single requests. Instead all messages on connections
// below retiredBefore are rejected.
type entryState struct {
	incarnation   host.Incarnation
	retiredBefore request.Conn
	conns         map[request.Conn]*streams
}

// streams records which streams of a connection have begun. The transport begins
// each stream once; a repeat can only be a fault, and would run a request
// again after its id has been forgotten.
type streams struct {
	floor uint64 // all streams below it have begun, or count as begun
	begun map[uint64]struct{}
}

// begin records a stream and reports whether it is new.
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

// advance raises the floor past the streams that have begun.
func (s *streams) advance() {
	for {
		if _, ok := s.begun[s.floor]; !ok {
			return
		}
		delete(s.begun, s.floor)
		s.floor++
	}
}

// acceptPeer reports whether messages of the peer are still accepted: its connection
// is not retired and the entry has no later incarnation. It records a new connection.
func (b *Book) acceptPeer(p Peer) bool {
	o := b.entries[p.Entry]
	if o == nil || p.Incarnation > o.incarnation {
		o = &entryState{incarnation: p.Incarnation, conns: make(map[request.Conn]*streams)}
		b.entries[p.Entry] = o
	}
	if p.Incarnation < o.incarnation || p.Conn < o.retiredBefore {
		return false
	}
	s := o.conns[p.Conn]
	if s == nil {
		s = &streams{begun: make(map[uint64]struct{})}
		o.conns[p.Conn] = s
		o.limitConns(b.cfg.MaxConnections)
	}
	return p.Conn >= o.retiredBefore
}

// limitConns retires the oldest connections beyond n. Their requests stay known by
// id as long as they matter; further messages on these connections are rejected.
func (o *entryState) limitConns(n int) {
	for len(o.conns) > n {
		o.retire(slices.Min(slices.Collect(maps.Keys(o.conns))) + 1)
	}
}

func (o *entryState) retire(before request.Conn) {
	o.retiredBefore = max(o.retiredBefore, before)
	maps.DeleteFunc(o.conns, func(c request.Conn, _ *streams) bool {
		return c < o.retiredBefore
	})
}

func (b *Book) beginStream(p Peer) bool {
	return b.entries[p.Entry].conns[p.Conn].begin(p.Stream, b.cfg.StreamWindow)
}

func (b *Book) retireOlder(p Peer) {
	b.entries[p.Entry].retire(p.Conn)
}
