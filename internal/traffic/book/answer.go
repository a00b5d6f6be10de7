package book

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

func (b *Book) engineHead(ev Event) {
	r := b.records[ev.ID]
	if r == nil || r.state != running || r.status != 0 {
		return
	}
	r.status, r.answer = ev.Status, ev.Header
	b.tell(r, b.headOf(r))
}

func (b *Book) headOf(r *record) request.Message {
	return request.Message{Kind: request.Head, Status: r.status, Header: r.answer}
}

func (b *Book) engineData(ev Event) {
	r := b.records[ev.ID]
	if r == nil || r.state != running || r.status == 0 {
		return
	}
	for _, l := range r.listeners {
		b.sendFrom(r, l, ev.Data)
	}
	r.kept = append(r.kept, ev.Data...)
	b.bytes += len(ev.Data)
	b.trim(r, len(r.kept)-b.cfg.MaxAnswerBytes)
	if over := b.bytes - b.cfg.MaxBytes; over > 0 && !b.evict(0) {
		b.trim(r, min(over, len(r.kept)))
	}
}

// trim drops the first n bytes of what is kept. A Resolve from before them is
// told that the answer broke off, never given the bytes that follow.
func (b *Book) trim(r *record, n int) {
	if n <= 0 {
		return
	}
	r.kept = r.kept[n:]
	r.base += uint64(n)
	b.bytes -= n
}

// evict drops kept answers of finished requests, the oldest first, until n
// more bytes fit. The ids stay.
func (b *Book) evict(n int) bool {
	for b.bytes+n > b.cfg.MaxBytes {
		oldest := b.oldestFinished()
		if oldest == nil {
			return false
		}
		b.trim(oldest, len(oldest.kept))
	}
	return true
}

func (b *Book) oldestFinished() *record {
	var oldest *record
	for _, r := range b.order {
		if r.forgotten || r.state != finished || len(r.kept) == 0 {
			continue
		}
		if oldest == nil || r.finishedAt.Before(oldest.finishedAt) {
			oldest = r
		}
	}
	return oldest
}

// sendFrom sends new data, or as much of it as a listener does not have yet: a
// recovered answer comes from its beginning again.
func (b *Book) sendFrom(r *record, l listener, data []byte) {
	offset := r.length()
	if l.from > offset {
		skip := min(l.from-offset, uint64(len(data)))
		offset, data = offset+skip, data[skip:]
	}
	b.sendChunks(r, l, offset, data)
}

func (b *Book) sendChunks(r *record, l listener, offset uint64, data []byte) {
	for len(data) > 0 {
		n := min(len(data), request.MaxDataBytes)
		b.tellOne(r, l, request.Message{Kind: request.Chunk, Offset: offset, Data: data[:n]})
		offset += uint64(n)
		data = data[n:]
	}
}

// engineEnd also gives the place in admission back, and only here: an engine
// that was told to cancel may work on for a while.
func (b *Book) engineEnd(now time.Time, id request.ID, reason request.Reason) {
	r := b.records[id]
	if r == nil {
		return
	}
	b.release(r)
	if r.state != running {
		return
	}
	if reason == request.NoReason && r.status == 0 {
		reason = request.EngineBroke
	}
	b.end(now, r, reason)
}

func (b *Book) end(now time.Time, r *record, reason request.Reason) {
	r.state = finished
	r.finishedAt = now
	r.endReason = reason
	b.tell(r, b.endOf(r))
	r.listeners = nil
}

func (b *Book) endOf(r *record) request.Message {
	return request.Message{Kind: request.End, Offset: r.length(), Reason: r.endReason}
}

// resolve tells what became of an attempt and carries its answer on from the
// wanted offset. Before it says that it never saw an id it retires all older
// connections of the entry: the original, were it still on its way, must not
// run after that. The retirement is the tombstone.
func (b *Book) resolve(now time.Time, p Peer, m request.Message) {
	b.beginStream(p)
	if !m.Join {
		b.retireOlder(p)
	}
	r := b.records[m.ID]
	if m.Incarnation != b.cfg.Incarnation && (r == nil || !r.recovered) {
		b.recover(now, p, m)
		return
	}
	switch {
	case r == nil && m.Join:
		// Its own entry may still be about to send it.
		b.sendUnknown(p, m, request.NeverSeen)
	case r == nil:
		b.sendRefused(p, m.ID, m.Attempt, request.NeverSeen, b.cfg.RetryAfter)
	case !m.Join && !r.owns(p, m.Attempt):
		b.sendUnknown(p, m, request.NeverSeen)
	case r.state == receiving && !m.Join:
		b.refuse(r, request.BodyIncomplete, 0)
	default:
		b.attach(r, p, m)
	}
}

// recover goes on with a run that an earlier life of the sidecar may have begun.
// The engine knows it by its id and begins none, so this runs nothing twice.
// That the engine has no such run proves nothing: the earlier life's hand-over
// may have been cut off on its way, or the run may have ended.
func (b *Book) recover(now time.Time, p Peer, m request.Message) {
	known := b.records[m.ID] != nil
	if !b.cfg.Recovers || known || m.Join || m.Call == nil || len(b.records) >= b.cfg.MaxRequests {
		b.sendUnknown(p, m, request.TargetRestarted)
		return
	}
	r := &record{
		id: m.ID, attempt: m.Attempt, owner: p, call: *m.Call, state: running, recovered: true,
		arrived: now, deadline: now.Add(m.Call.Remaining),
		listeners: []listener{{peer: p, attempt: m.Attempt, from: m.Offset}},
	}
	b.records[m.ID] = r
	b.order = append(b.order, r)
	b.byPeer[p] = r
	b.emit(Action{Kind: Recover, ID: r.id, Call: r.call, Header: m.Header, Arrived: now})
}

// notRecovered ends a request whose run the engine does not have.
func (b *Book) notRecovered(r *record) {
	for _, l := range r.listeners {
		b.tellOne(r, l, request.Message{Kind: request.UnknownOutcome, Reason: request.TargetRestarted})
	}
	b.forget(r)
}

func (b *Book) attach(r *record, p Peer, m request.Message) {
	l := listener{peer: p, attempt: m.Attempt, join: m.Join, from: m.Offset}
	if r.status != 0 && m.Offset < r.base {
		b.tellOne(r, l, request.Message{Kind: request.End, Offset: r.length(), Reason: request.AnswerDropped})
		return
	}
	if m.Offset > r.length() && r.recovered && (r.state == running || r.endReason != request.NoReason) {
		m.Offset = r.length() // the rest is on its way from the engine, or broke off
	}
	if m.Offset > r.length() {
		b.violate(request.OwnBytes, r.id, "resolve from %d of %d bytes", m.Offset, r.length())
		b.sendUnknown(p, m, request.AnswerDropped)
		return
	}
	if r.state != finished && !r.listen(l, maxListeners) {
		b.sendUnknown(p, m, request.Overloaded)
		return
	}
	b.byPeer[p] = r
	b.tellOne(r, l, request.Message{Kind: request.Seen})
	if r.status != 0 {
		b.tellOne(r, l, b.headOf(r))
		b.sendChunks(r, l, m.Offset, r.kept[m.Offset-r.base:])
	}
	if r.state == finished {
		b.tellOne(r, l, b.endOf(r))
	}
}

func (b *Book) sendUnknown(p Peer, m request.Message, reason request.Reason) {
	b.emit(Action{Kind: Send, Peer: p, Message: request.Message{
		Kind: request.UnknownOutcome, ID: m.ID, Attempt: m.Attempt, Reason: reason,
		Incarnation: b.cfg.Incarnation,
	}})
}

// cancel stops work for an entry that wants no more of it. A request that may
// not be repeated runs on once it was handed over: ending it half way would
// leave its effect in doubt, and its answer may still be asked for by key.
func (b *Book) cancel(now time.Time, p Peer, m request.Message) {
	r := b.records[m.ID]
	if r == nil {
		return
	}
	if m.Join || !r.owns(p, m.Attempt) {
		r.ignore(now, func(l listener) bool { return l.join && l.peer == p })
		return
	}
	if r.state == receiving || r.state == waiting {
		b.refuse(r, request.Cancelled, 0)
		return
	}
	r.ignore(now, func(l listener) bool { return !l.join })
	if r.state == running && r.call.Idempotent && len(r.listeners) == 0 {
		b.cancelRunning(now, r)
	}
}

func (b *Book) cancelRunning(now time.Time, r *record) {
	b.emit(Action{Kind: CancelEngine, ID: r.id})
	b.end(now, r, request.Cancelled)
}
