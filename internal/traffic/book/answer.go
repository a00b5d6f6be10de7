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
	r.status, r.answerHeader = ev.Status, ev.Header
	b.sendAll(r, b.headOf(r))
}

func (b *Book) headOf(r *record) request.Message {
	return request.Message{Kind: request.Head, Status: r.status, Header: r.answerHeader}
}

func (b *Book) engineData(now time.Time, ev Event) {
	r := b.records[ev.ID]
	if r == nil || r.state != running || r.status == 0 {
		return
	}
	if r.recovered && !r.sameAnswer(ev.Data) {
		b.emit(Action{Kind: CancelEngine, ID: r.id})
		b.end(now, r, request.EngineTruncated)
		return
	}
	for _, l := range r.listeners {
		b.sendFrom(r, l, ev.Data)
	}
	r.kept.add(ev.Data)
	b.bytes += len(ev.Data)
	b.trim(r, r.kept.size-b.cfg.MaxAnswerBytes)
	if over := b.bytes - b.cfg.MaxBytes; over > 0 && !b.evict(0) {
		b.trim(r, min(over, r.kept.size))
	}
}

// sameAnswer reports whether an answer that goes on with data begins with the bytes that the entry has. A run
// that began anew may have another answer, of which the rest must not be joined to them.
func (r *record) sameAnswer(data []byte) bool {
	have := r.answerLength()
	if r.entryHas.digest == 0 || have >= r.entryHas.length {
		return true
	}
	n := min(uint64(len(data)), r.entryHas.length-have)
	r.digest = request.Digest(r.digest, data[:n])
	return have+n < r.entryHas.length || r.digest == r.entryHas.digest
}

// trim drops the first n bytes of the kept answer. A later Resolve with an offset
// before the remaining bytes gets End with AnswerDropped, and no data.
func (b *Book) trim(r *record, n int) {
	if n <= 0 {
		return
	}
	r.kept.drop(n)
	r.base += uint64(n)
	b.bytes -= n
}

// evict drops kept answers of finished requests, the oldest first, until n
// more bytes fit. It keeps the ids. It returns false if there is too little to
// drop.
func (b *Book) evict(n int) bool {
	for b.bytes+n > b.cfg.MaxBytes {
		oldest := b.oldestFinished()
		if oldest == nil {
			return false
		}
		b.trim(oldest, oldest.kept.size)
	}
	return true
}

func (b *Book) oldestFinished() *record {
	var oldest *record
	for _, r := range b.order {
		if r.forgotten || r.state != finished || r.kept.size == 0 {
			continue
		}
		if oldest == nil || r.finishedAt.Before(oldest.finishedAt) {
			oldest = r
		}
	}
	return oldest
}

// sendFrom sends new data without the part that the listener already has: the
// engine sends a recovered answer again from its beginning.
func (b *Book) sendFrom(r *record, l listener, data []byte) {
	offset := r.answerLength()
	if l.startOffset > offset {
		skip := min(l.startOffset-offset, uint64(len(data)))
		offset, data = offset+skip, data[skip:]
	}
	b.sendChunks(r, l, offset, data)
}

func (b *Book) sendChunks(r *record, l listener, offset uint64, data []byte) {
	for len(data) > 0 {
		n := min(len(data), request.MaxDataBytes)
		b.sendTo(r, l, request.Message{Kind: request.Chunk, Offset: offset, Data: data[:n]})
		offset += uint64(n)
		data = data[n:]
	}
}

// engineEnd finishes the answer and releases the request slot in admission. The
// slot of a cancelled request is released here too, not when the cancellation is
// ordered: the engine may still work on it for a while.
func (b *Book) engineEnd(now time.Time, id request.ID, reason request.Reason) {
	r := b.records[id]
	if r == nil {
		return
	}
	b.release(r)
	if r.state != running {
		return
	}
	if reason == request.NoReason && (r.status == 0 || r.answerLength() < r.entryHas.length) {
		reason = request.EngineTruncated
	}
	b.end(now, r, reason)
}

func (b *Book) end(now time.Time, r *record, reason request.Reason) {
	r.state = finished
	r.finishedAt = now
	r.endReason = reason
	b.sendAll(r, b.endOf(r))
	r.listeners = nil
}

func (b *Book) endOf(r *record) request.Message {
	return request.Message{Kind: request.End, Offset: r.answerLength(), Reason: r.endReason}
}

// resolve reports the state of an attempt and continues its answer from the
// requested offset. Before it replies that an id was never seen, it retires all
// older connections of the entry: if the original request is still in the network,
// it must not run after that reply. The retirement serves as the tombstone.
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
		// The entry that owns the request may be about to send it.
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

// recover resumes a run that an earlier incarnation of the sidecar may have begun.
// The engine looks the run up by its id and begins none, so nothing runs twice. If
// the engine has no such run, this proves nothing: the dispatch of the earlier
// incarnation may have been lost on its way, or the run may have ended.
func (b *Book) recover(now time.Time, p Peer, m request.Message) {
	known := b.records[m.ID] != nil
	if !b.cfg.Recovers || known || m.Join || m.Call == nil || len(b.records) >= b.cfg.MaxRequests {
		b.sendUnknown(p, m, request.TargetRestarted)
		return
	}
	r := &record{
		id: m.ID, attempt: m.Attempt, owner: p, call: *m.Call, state: running, recovered: true,
		arrived: now, deadline: now.Add(m.Call.Remaining),
		listeners: []listener{{peer: p, attempt: m.Attempt, startOffset: m.Offset}},
		entryHas:  sent{m.Offset, m.Digest},
	}
	b.records[m.ID] = r
	b.order = append(b.order, r)
	b.byPeer[p] = r
	b.emit(Action{Kind: Recover, ID: r.id, Call: r.call, Header: m.Header, Body: m.Data, Arrived: now})
}

// notRecovered reports an unknown outcome for a request whose run the engine does
// not have, and forgets the request.
func (b *Book) notRecovered(r *record) {
	for _, l := range r.listeners {
		b.sendTo(r, l, request.Message{Kind: request.UnknownOutcome, Reason: request.TargetRestarted})
	}
	b.forget(r)
}

// attach adds a stream as a listener and sends it the answer from its offset on.
func (b *Book) attach(r *record, p Peer, m request.Message) {
	l := listener{peer: p, attempt: m.Attempt, join: m.Join, startOffset: m.Offset}
	if r.status != 0 && m.Offset < r.base {
		b.sendTo(r, l, request.Message{Kind: request.End, Offset: r.answerLength(), Reason: request.AnswerDropped})
		return
	}
	if m.Offset > r.answerLength() && r.recovered && (r.state == running || r.endReason != request.NoReason) {
		m.Offset = r.answerLength() // the engine is still sending the rest, or the answer broke off
	}
	if m.Offset > r.answerLength() {
		b.violate(request.OwnBytes, r.id, "resolve from %d of %d bytes", m.Offset, r.answerLength())
		b.sendUnknown(p, m, request.AnswerDropped)
		return
	}
	if r.state != finished && !r.addListener(l, maxListeners) {
		b.sendUnknown(p, m, request.Overloaded)
		return
	}
	b.byPeer[p] = r
	b.sendTo(r, l, request.Message{Kind: request.Seen})
	if r.status != 0 {
		b.sendTo(r, l, b.headOf(r))
		offset := m.Offset
		r.kept.from(int(m.Offset-r.base), func(data []byte) {
			b.sendChunks(r, l, offset, data)
			offset += uint64(len(data))
		})
	}
	if r.state == finished {
		b.sendTo(r, l, b.endOf(r))
	}
}

func (b *Book) sendUnknown(p Peer, m request.Message, reason request.Reason) {
	b.emit(Action{Kind: Send, Peer: p, Message: request.Message{
		Kind: request.UnknownOutcome, ID: m.ID, Attempt: m.Attempt, Reason: reason,
		Incarnation: b.cfg.Incarnation,
	}})
}

// cancel stops the work on a request whose entry no longer wants the answer. A
// request that is not idempotent runs on once it has been dispatched: stopping it
// half way would leave its effect in doubt, and another request with the same key
// may still ask for its answer.
func (b *Book) cancel(now time.Time, p Peer, m request.Message) {
	r := b.records[m.ID]
	if r == nil {
		return
	}
	if m.Join || !r.owns(p, m.Attempt) {
		r.removeListeners(now, func(l listener) bool { return l.join && l.peer == p })
		return
	}
	if r.state == receiving || r.state == waiting {
		b.refuse(r, request.Cancelled, 0)
		return
	}
	r.removeListeners(now, func(l listener) bool { return !l.join })
	if r.state == running && r.call.Idempotent && len(r.listeners) == 0 {
		b.cancelRunning(now, r)
	}
}

func (b *Book) cancelRunning(now time.Time, r *record) {
	b.emit(Action{Kind: CancelEngine, ID: r.id})
	b.end(now, r, request.Cancelled)
}
