package book

import (
	"fmt"
	"maps"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

const maxListeners = 4

// Book is the record of the requests at one target.
type Book struct {
	cfg      Config
	records  map[request.ID]*record
	byPeer   map[Peer]*record // of the streams that the requests came by or are listened to by
	order    []*record        // by arrival, forgotten ones until the next sweep
	origins  map[host.Name]*origin
	bytes    int // of all bodies and kept answers
	draining bool
	drainAt  time.Time
	drained  bool
	nextTick time.Time
	armed    time.Time // the latest Wake
	out      []Action
}

// New returns an empty book.
func New(cfg Config) *Book {
	return &Book{
		cfg:     cfg,
		records: make(map[request.ID]*record),
		byPeer:  make(map[Peer]*record),
		origins: make(map[host.Name]*origin),
	}
}

// Handle takes an event and returns what is to be done, in order.
func (b *Book) Handle(now time.Time, ev Event) []Action {
	b.out = nil
	b.dispatch(now, ev)
	b.sweep(now)
	b.checkDrained()
	b.wake()
	return b.out
}

func (b *Book) dispatch(now time.Time, ev Event) {
	switch ev.Kind {
	case Received:
		b.received(now, ev.Peer, ev.Message)
	case StreamClosed:
		b.streamClosed(now, ev.Peer, ev.Settled)
	case ConnectionClosed:
		b.forgetPeer(now, func(l listener) bool {
			l.peer.Stream = ev.Peer.Stream
			return l.peer == ev.Peer
		})
		maps.DeleteFunc(b.byPeer, func(p Peer, _ *record) bool {
			p.Stream = ev.Peer.Stream
			return p == ev.Peer
		})
	case Admitted:
		b.admitted(now, ev.ID)
	case Rejected:
		b.rejected(ev)
	case EngineHead:
		b.engineHead(ev)
	case EngineData:
		b.engineData(ev)
	case EngineEnd:
		b.engineEnd(now, ev.ID, ev.Reason)
	case EngineNotReached:
		b.engineNotReached(ev.ID)
	case Drain:
		b.drain(now)
	}
}

// received refuses whole connections before it looks at a message.
func (b *Book) received(now time.Time, p Peer, m request.Message) {
	if !b.admitPeer(p) {
		b.emit(Action{Kind: CloseStream, Peer: p})
		return
	}
	switch m.Kind {
	case request.Open:
		b.open(now, p, m)
	case request.Body:
		b.bodyPart(p, m)
	case request.BodyEnd:
		b.bodyEnd(p, m)
	case request.Cancel:
		b.cancel(now, p, m)
	case request.Resolve:
		b.resolve(now, p, m)
	default:
		b.emit(Action{Kind: CloseStream, Peer: p})
	}
}

// open accepts a request into the book, not yet into the engine. A refusal
// here needs no record: the stream will not begin again, and a Resolve will be
// told the same.
func (b *Book) open(now time.Time, p Peer, m request.Message) {
	if !b.beginStream(p) || b.records[m.ID] != nil {
		// A doubled Open. Whatever it was answered the first time stands, so
		// nothing is said of it here; its entry may resolve it.
		b.emit(Action{Kind: CloseStream, Peer: p})
		return
	}
	reason := b.whyNot(m)
	if reason != request.NoReason {
		b.sendRefused(p, m.ID, m.Attempt, reason, b.cfg.RetryAfter)
		return
	}
	r := &record{
		id: m.ID, attempt: m.Attempt, owner: p, call: *m.Call, header: m.Header,
		arrived: now, deadline: now.Add(m.Call.Remaining),
		listeners: []listener{{peer: p, attempt: m.Attempt}},
	}
	b.records[m.ID] = r
	b.order = append(b.order, r)
	b.byPeer[p] = r
	b.tell(r, request.Message{Kind: request.Seen})
}

func (b *Book) whyNot(m request.Message) request.Reason {
	switch {
	case m.Incarnation != b.cfg.Incarnation:
		return request.WrongIncarnation
	case b.draining:
		return request.Draining
	case m.Call == nil:
		return request.BodyIncomplete
	case len(b.records) >= b.cfg.MaxRequests, b.bytes >= b.cfg.MaxBytes:
		return request.BookFull
	}
	return request.NoReason
}

func (b *Book) bodyPart(p Peer, m request.Message) {
	r := b.records[m.ID]
	if r == nil || r.state != receiving || !r.owns(p, m.Attempt) {
		return
	}
	have := uint64(len(r.body))
	switch {
	case m.Offset > have:
		b.refuse(r, request.BodyIncomplete, 0)
	case m.Offset < have:
		// A repeat of what is here already.
	case len(r.body)+len(m.Data) > b.cfg.MaxBodyBytes:
		b.refuse(r, request.BodyTooLarge, 0)
	case b.bytes+len(m.Data) > b.cfg.MaxBytes && !b.evict(len(m.Data)):
		b.refuse(r, request.BookFull, b.cfg.RetryAfter)
	default:
		r.body = append(r.body, m.Data...)
		b.bytes += len(m.Data)
	}
}

func (b *Book) bodyEnd(p Peer, m request.Message) {
	r := b.records[m.ID]
	if r == nil || r.state != receiving || !r.owns(p, m.Attempt) {
		return
	}
	if m.Offset != uint64(len(r.body)) {
		b.refuse(r, request.BodyIncomplete, 0)
		return
	}
	r.state = waiting
	b.emit(Action{Kind: Admit, ID: r.id, Call: r.call, Arrived: r.arrived})
}

// admitted hands the request over. The state changes before the adapter can
// act on Run, so that from here on nothing says that it was not run.
func (b *Book) admitted(now time.Time, id request.ID) {
	r := b.records[id]
	if r == nil || r.state != waiting {
		// Refused or cancelled while admission decided: its place goes back.
		if r == nil || !r.holdsPlace {
			b.emit(Action{Kind: Release, ID: id})
		}
		return
	}
	r.holdsPlace = true
	if b.tooLate(now, r) {
		b.refuse(r, request.DeadlinePassed, 0)
		return
	}
	if r.handedOver {
		b.violate(request.RunsOnce, id, "a second hand-over")
		return
	}
	r.state, r.handedOver = running, true
	b.emit(Action{Kind: Run, ID: id, Call: r.call, Header: r.header, Body: r.body})
	b.bytes -= len(r.body)
	r.body, r.header = nil, nil
}

func (b *Book) rejected(ev Event) {
	r := b.records[ev.ID]
	if r != nil && r.state == waiting {
		b.refuse(r, ev.Reason, ev.RetryAfter)
	}
}

// engineNotReached takes the hand-over back on the engine adapter's proof,
// for example a connection that was refused before a byte was written.
func (b *Book) engineNotReached(id request.ID) {
	r := b.records[id]
	if r == nil {
		return
	}
	if r.state != running {
		b.release(r)
		return
	}
	if r.recovered {
		b.notRecovered(r)
		return
	}
	if r.status != 0 {
		b.violate(request.NotRunIsProved, id, "engine not reached, but its answer began")
		return
	}
	r.state = waiting
	b.refuse(r, request.EngineUnreachable, b.cfg.RetryAfter)
}

// refuse says that the request has not run and will not, and forgets it.
func (b *Book) refuse(r *record, reason request.Reason, retryAfter time.Duration) {
	if r.state != receiving && r.state != waiting {
		b.violate(request.NotRunIsProved, r.id, "refusal in state %d", r.state)
		return
	}
	if r.state == waiting && !r.holdsPlace {
		b.emit(Action{Kind: Withdraw, ID: r.id})
	}
	for _, l := range r.listeners {
		b.sendRefused(l.peer, r.id, l.attempt, reason, retryAfter)
	}
	b.forget(r)
}

func (b *Book) forget(r *record) {
	b.release(r)
	b.bytes -= len(r.body) + len(r.kept)
	delete(b.records, r.id)
	for _, l := range r.listeners {
		delete(b.byPeer, l.peer)
	}
	delete(b.byPeer, r.owner)
	r.forgotten = true
	if b.bytes < 0 {
		b.violate(request.BoundsHold, r.id, "%d bytes kept", b.bytes)
		b.bytes = 0
	}
}

func (b *Book) release(r *record) {
	if r.holdsPlace {
		r.holdsPlace = false
		b.emit(Action{Kind: Release, ID: r.id})
	}
}

func (b *Book) sendRefused(p Peer, id request.ID, a request.Attempt, reason request.Reason, retryAfter time.Duration) {
	b.emit(Action{Kind: Send, Peer: p, Message: request.Message{
		Kind: request.Refused, ID: id, Attempt: a, Reason: reason, RetryAfter: retryAfter,
		Incarnation: b.cfg.Incarnation,
	}})
}

func (b *Book) tell(r *record, m request.Message) {
	for _, l := range r.listeners {
		b.tellOne(r, l, m)
	}
}

func (b *Book) tellOne(r *record, l listener, m request.Message) {
	m.ID, m.Attempt, m.Incarnation = r.id, l.attempt, b.cfg.Incarnation
	b.emit(Action{Kind: Send, Peer: l.peer, Message: m})
}

func (b *Book) emit(a Action) {
	b.out = append(b.out, a)
}

func (b *Book) violate(rule request.Rule, id request.ID, format string, args ...any) {
	v := request.Violation{Rule: rule, ID: id, Detail: fmt.Sprintf(format, args...)}
	b.emit(Action{Kind: Violated, ID: id, Violation: v})
}
