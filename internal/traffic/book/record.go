package book

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

type state uint8

const (
	receiving state = iota // the body is not complete yet
	waiting                // Admit was emitted; admission has not decided
	running                // dispatched to the engine
	finished               // the answer has ended
)

// listener is a stream that receives the answer.
type listener struct {
	peer        Peer
	attempt     request.Attempt // number that its entry expects in messages
	startOffset uint64          // first byte that it lacked when it attached
	join        bool            // the stream belongs to another request with the same key
}

// sent is the beginning of an answer.
type sent struct {
	length, digest uint64
}

// record is the state of one request.
type record struct {
	id        request.ID
	attempt   request.Attempt
	owner     Peer
	call      request.Call
	header    []request.Field
	body      []byte
	state     state
	arrived   time.Time
	deadline  time.Time
	listeners []listener

	forgotten    bool
	dispatched   bool // Run was emitted; never reset
	recovered    bool // dispatched by an earlier incarnation, if at all
	entryHas     sent // what the entry had of the answer when it was recovered
	digest       uint64
	holdsSlot    bool // admission counts the request as running
	status       int
	answerHeader []request.Field
	kept         tail // bytes of the answer from offset base on
	base         uint64
	endReason    request.Reason
	finishedAt   time.Time
	orphanedAt   time.Time // zero while there are listeners
}

func (r *record) answerLength() uint64 {
	return r.base + uint64(r.kept.size)
}

// addListener adds a stream; false if there are limit listeners already. A stream
// of the owner replaces the owner's earlier one: an entry wants the answer only on
// its newest stream.
func (r *record) addListener(l listener, limit int) bool {
	for i, old := range r.listeners {
		if !old.join && !l.join {
			r.listeners[i] = l
			return true
		}
	}
	if len(r.listeners) >= limit {
		return false
	}
	r.listeners = append(r.listeners, l)
	r.orphanedAt = time.Time{}
	return true
}

// removeListeners drops the listeners that match, and records the time at which the
// last one went.
func (r *record) removeListeners(now time.Time, match func(listener) bool) {
	kept := r.listeners[:0]
	for _, l := range r.listeners {
		if !match(l) {
			kept = append(kept, l)
		}
	}
	r.listeners = kept
	if len(kept) == 0 && r.orphanedAt.IsZero() {
		r.orphanedAt = now
	}
}

// owns reports whether the peer and the attempt are those that sent the request. Only
// its owner may change a request; others may only listen.
func (r *record) owns(p Peer, a request.Attempt) bool {
	return p.Entry == r.owner.Entry && p.Incarnation == r.owner.Incarnation && a == r.attempt
}
