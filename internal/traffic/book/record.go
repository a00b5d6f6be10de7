package book

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

type state uint8

const (
	receiving state = iota // the body is not whole yet
	waiting                // admission was asked
	running                // handed over to the engine
	finished               // its answer has ended
)

// listener is a stream that the answer goes to.
type listener struct {
	peer    Peer
	attempt request.Attempt // that its entry expects in messages
	from    uint64          // the first byte that it lacks
	join    bool            // it belongs to another request with the same key
}

// record is what is known of one request.
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

	forgotten  bool
	handedOver bool // Run was emitted; never taken back
	recovered  bool // handed over by an earlier life, if at all
	holdsPlace bool // admission counts it as running
	status     int
	answer     []request.Field
	kept       []byte // the answer from offset base on
	base       uint64
	endReason  request.Reason
	finishedAt time.Time
	orphanedAt time.Time // zero while somebody listens
}

func (r *record) length() uint64 {
	return r.base + uint64(len(r.kept))
}

// listen adds a stream. The owner's takes the place of the owner's earlier one:
// an entry wants the answer by its newest stream only.
func (r *record) listen(l listener, limit int) bool {
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

// ignore drops the listeners that match, and notes since when nobody listens.
func (r *record) ignore(now time.Time, match func(listener) bool) {
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

// owns tells whether the message may change the request, not only listen.
func (r *record) owns(p Peer, a request.Attempt) bool {
	return p.Entry == r.owner.Entry && p.Incarnation == r.owner.Incarnation && a == r.attempt
}
