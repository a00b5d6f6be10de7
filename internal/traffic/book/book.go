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
	byPeer   map[Peer]*record // by the streams that sent a request or receive its answer
	order    []*record        // by arrival; includes forgotten records until the next sweep
	entries  map[host.Name]*entryState
	bytes    int // total size of all bodies and kept answers
	draining bool
	drainAt  time.Time
	drained  bool
	nextTick time.Time
	lastWake time.Time // time of the latest Wake
	out      []Action
}

// New returns an empty book.
func New(cfg Config) *Book {
	return &Book{
		cfg:     cfg,
		records: make(map[request.ID]*record),
		byPeer:  make(map[Peer]*record),
		entries: make(map[host.Name]*entryState),
	}
}

// Handle processes an event and returns the actions to take, in order.
func (b *Book) Handle(now time.Time, ev Event) []Action {
	b.out = nil
	b.apply(now, ev)
	b.sweep(now)
	b.checkDrained()
	b.wake()
	return b.out
}

func (b *Book) apply(now time.Time, ev Event) {
	switch ev.Kind {
	case Received:
		b.handleMessage(now, ev.Peer, ev.Message)
	case StreamClosed:
		b.streamClosed(now, ev.Peer, ev.Settled)
	case ConnectionClosed:
		b.removeListeners(now, func(l listener) bool {
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
		b.engineData(now, ev)
	case EngineEnd:
		b.engineEnd(now, ev.ID, ev.Reason)
	case EngineNotReached:
		b.engineNotReached(ev.ID)
	case Drain:
		b.drain(now)
	}
}

// handleMessage handles a message of an entry. It rejects messages of retired
// connections without looking at their content.
func (b *Book) handleMessage(now time.Time, p Peer, m request.Message) {
	if !b.acceptPeer(p) {
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

// open adds a request to the book; it does not start it at the engine yet. A
// refusal here needs no record: the stream cannot begin again, and a Resolve gets
// a refusal too.
func (b *Book) open(now time.Time, p Peer, m request.Message) {
	if !b.beginStream(p) || b.records[m.ID] != nil {
		// A duplicate Open. The reply to the first one stands, so this one
		// gets none; its entry may resolve the request.
		b.emit(Action{Kind: CloseStream, Peer: p})
		return
	}
	reason := b.refusalReason(m)
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
	b.sendAll(r, request.Message{Kind: request.Seen})
}

// refusalReason returns why a request cannot be accepted, or request.NoReason.
func (b *Book) refusalReason(m request.Message) request.Reason {
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
		// A repeat of data that has been received already.
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

// admitted dispatches the request to the engine. The state changes before the
// adapter can act on Run, so that from here on the request is never reported as
// not run.
func (b *Book) admitted(now time.Time, id request.ID) {
	r := b.records[id]
	if r == nil || r.state != waiting {
		// Refused or cancelled while admission decided: release its request slot.
		if r == nil || !r.holdsSlot {
			b.emit(Action{Kind: Release, ID: id})
		}
		return
	}
	r.holdsSlot = true
	if b.tooLate(now, r) {
		b.refuse(r, request.DeadlinePassed, 0)
		return
	}
	if r.dispatched {
		b.violate(request.RunsOnce, id, "a second dispatch")
		return
	}
	r.state, r.dispatched = running, true
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

// engineNotReached undoes the dispatch when the engine adapter has proof that the
// engine did not receive the request, for example a connection that was refused
// before a byte was written.
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
		b.violate(request.NotRunIsProved, id, "engine not reached, but its answer has begun")
		return
	}
	r.state = waiting
	b.refuse(r, request.EngineUnreachable, b.cfg.RetryAfter)
}

// refuse reports to all listeners that the request has not run and will not run,
// and forgets it.
func (b *Book) refuse(r *record, reason request.Reason, retryAfter time.Duration) {
	if r.state != receiving && r.state != waiting {
		b.violate(request.NotRunIsProved, r.id, "refusal in state %d", r.state)
		return
	}
	if r.state == waiting && !r.holdsSlot {
		b.emit(Action{Kind: Withdraw, ID: r.id})
	}
	for _, l := range r.listeners {
		b.sendRefused(l.peer, r.id, l.attempt, reason, retryAfter)
	}
	b.forget(r)
}

func (b *Book) forget(r *record) {
	b.release(r)
	b.bytes -= len(r.body) + r.kept.size
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
	if r.holdsSlot {
		r.holdsSlot = false
		b.emit(Action{Kind: Release, ID: r.id})
	}
}

func (b *Book) sendRefused(p Peer, id request.ID, a request.Attempt, reason request.Reason, retryAfter time.Duration) {
	b.emit(Action{Kind: Send, Peer: p, Message: request.Message{
		Kind: request.Refused, ID: id, Attempt: a, Reason: reason, RetryAfter: retryAfter,
		Incarnation: b.cfg.Incarnation,
	}})
}

func (b *Book) sendAll(r *record, m request.Message) {
	for _, l := range r.listeners {
		b.sendTo(r, l, m)
	}
}

func (b *Book) sendTo(r *record, l listener, m request.Message) {
	m.ID, m.Attempt, m.Incarnation = r.id, l.attempt, b.cfg.Incarnation
	b.emit(Action{Kind: Send, Peer: l.peer, Message: m, Join: l.join})
}

func (b *Book) emit(a Action) {
	b.out = append(b.out, a)
}

func (b *Book) violate(rule request.Invariant, id request.ID, format string, args ...any) {
	v := request.Violation{Invariant: rule, ID: id, Detail: fmt.Sprintf(format, args...)}
	b.emit(Action{Kind: Violated, ID: id, Violation: v})
}
