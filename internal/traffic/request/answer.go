package request

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// received sorts out messages of other attempts. They come late, after the
// request has moved on; passing one on would join two generations.
func (r *Request) received(now time.Time, ev Event) {
	m := ev.Message
	if slices.Contains(r.left, m.ID) {
		return
	}
	if m.ID != r.id {
		r.violate(OwnBytes, "message of request %s", m.ID)
		return
	}
	if m.Attempt != r.attempt || !r.live {
		r.cancelLate(m, ev.Conn)
		return
	}
	if m.Kind != Refused && m.Kind != UnknownOutcome {
		r.heard(ev.Conn)
	}
	switch m.Kind {
	case Refused:
		r.refused(now, ev.Conn, m)
	case Head:
		r.head(m)
	case Chunk:
		r.chunk(now, m)
	case End:
		r.end(now, m)
	case UnknownOutcome:
		r.unknown(now, m)
	}
}

func (r *Request) unknown(now time.Time, m Message) {
	if r.joined && m.Reason == NeverSeen {
		r.joinLater(now, m.Reason)
		return
	}
	r.lost(now, m.Reason)
}

// joinLater asks again for the request that holds the key. It may still be on
// its way to its target, when both were made at the same moment, or have gone
// to another one.
func (r *Request) joinLater(now time.Time, reason Reason) {
	wait := r.cfg.JoinWait << min(r.joins, maxJoinDoublings)
	if r.headDelivered || !now.Add(wait).Before(r.joinBy) {
		r.fail(reason)
		return
	}
	r.joins++
	r.phase = joining
	r.retryAt = now.Add(wait)
}

// cancelLate repeats the Cancel of an attempt that was left behind on a
// connection which was silent then: without it the engine would work on for
// nobody. Once is enough, since the stream that carries the answer ends by it.
func (r *Request) cancelLate(m Message, c Conn) {
	if m.Attempt == 0 || m.Attempt >= r.attempt || m.Attempt <= r.lateCancelled {
		return
	}
	if m.Kind == Refused || m.Kind == End || m.Kind == UnknownOutcome {
		return
	}
	r.lateCancelled = m.Attempt
	r.emit(Action{Kind: Send, Target: r.targets[m.Attempt-1], Conn: c,
		Message: Message{Kind: Cancel, ID: r.id, Attempt: m.Attempt}})
}

// heard ends the wait for a reply to Resolve. A message by an older connection
// does not: that connection may yet be silent for good.
func (r *Request) heard(c Conn) {
	r.seen = true
	if r.phase == resolving && c == r.conn {
		r.phase = opened
		r.resolveBy = time.Time{}
	}
}

// refused believes the proof, unless the sidecar has shown before that the
// attempt runs, or it is another life of the sidecar that speaks.
func (r *Request) refused(now time.Time, c Conn, m Message) {
	r.note(m.RetryAfter)
	switch {
	case r.joined:
		// Only the request that holds the key knows of its other attempts.
		r.joinLater(now, m.Reason)
	case r.headDelivered:
		r.violate(NotRunIsProved, "refused after the answer began: %s", m.Reason)
		r.fail(InvariantViolation)
	case m.Reason == WrongIncarnation && c != r.openConn:
		r.lost(now, TargetRestarted)
	case r.neverArrived(c, m.Reason):
		r.live = false
		r.resends++
		r.open(now)
	default:
		r.live = false
		r.tryAgain(now, m.Reason)
	}
}

// neverArrived tells that the connection was at fault and not the target, which
// has just answered on a fresh one. The request goes there again at once: it
// adds no load, so the retry budget is not for it, and where all connections
// went silent together every other target would look just as bad.
func (r *Request) neverArrived(c Conn, reason Reason) bool {
	if c == r.openConn || c != r.conn || r.resends >= maxResends {
		return false
	}
	return reason == NeverSeen || reason == BodyIncomplete
}

func (r *Request) head(m Message) {
	if r.headDelivered {
		return
	}
	r.headDelivered = true
	r.emit(Action{Kind: DeliverHead, Message: m})
}

// chunk passes on what follows the bytes that the caller has. Both the old and
// the new connection may carry parts of the same answer after a re-attachment;
// the offset tells which bytes are new.
func (r *Request) chunk(now time.Time, m Message) {
	if !r.headDelivered || m.Offset > r.delivered {
		r.fillGap(now)
		return
	}
	skip := r.delivered - m.Offset
	if skip >= uint64(len(m.Data)) {
		return
	}
	m.Offset, m.Data = r.delivered, m.Data[skip:]
	r.delivered += uint64(len(m.Data))
	r.emit(Action{Kind: Deliver, Message: m})
}

func (r *Request) end(now time.Time, m Message) {
	switch {
	case m.Reason != NoReason:
		r.lost(now, m.Reason)
	case !r.headDelivered || m.Offset > r.delivered:
		r.fillGap(now)
	case m.Offset < r.delivered:
		r.violate(OwnBytes, "answer of %d bytes, %d delivered", m.Offset, r.delivered)
		r.cancel()
		r.fail(InvariantViolation)
	default:
		r.live = false
		r.finish(Result{Outcome: Answered})
	}
}

// fillGap asks for the missing bytes. Messages of one stream come in order, so
// a gap shows only while an answer arrives by an old and a new stream at once.
func (r *Request) fillGap(now time.Time) {
	if r.phase != opened {
		return
	}
	r.resolve(now)
}

func (r *Request) silent(now time.Time, c Conn) {
	if c != r.conn {
		return
	}
	switch r.phase {
	case claiming:
		r.pickAgain = true
	case opened, resolving, joining:
		r.connect(now)
	}
}

func (r *Request) connect(now time.Time) {
	r.limitResolve(now)
	r.phase = connecting
	r.retryAt = now.Add(r.cfg.ResolveWait)
	r.emit(Action{Kind: Connect, Target: r.target, Conn: r.conn})
}

// limitResolve bounds the wait for the sidecar to tell what became of the
// attempt. A request that may not be repeated can go nowhere else, and "unknown"
// leaves its caller with the choice between losing it and doubling it: a sidecar
// that was paused for some seconds can still tell, so the wait lasts as long as
// the caller's. The others are better off elsewhere, or with an end that shows.
func (r *Request) limitResolve(now time.Time) {
	if !r.resolveBy.IsZero() {
		return
	}
	r.resolveBy = now.Add(r.cfg.ResolveLimit)
	if !r.spec.Call.Idempotent && !r.headDelivered && !r.joined {
		r.resolveBy = r.spec.Deadline
	}
}

// connected resolves the attempt. A Resolve on the connection of its own Open
// could overtake the Open and be told that it was never seen; the sidecar
// rules that out by retiring all connections that are older than the Resolve's.
func (r *Request) connected(now time.Time, ev Event) {
	if r.phase != connecting || ev.Target != r.target {
		return
	}
	if ev.Conn <= r.conn {
		r.violate(ResolveIsNewer, "connection %d is not newer than %d", ev.Conn, r.conn)
		return
	}
	r.conn = ev.Conn
	if ev.Incarnation != r.incarnation && r.joined {
		r.lost(now, TargetRestarted)
		return
	}
	r.resolve(now)
}

// resolve also asks a later life of the sidecar, which knows nothing of the
// attempt: the engine may still have the run. What it needs in order to ask the
// engine goes with the message.
func (r *Request) resolve(now time.Time) {
	r.limitResolve(now)
	r.phase = resolving
	r.retryAt = now.Add(r.cfg.ResolveWait)
	m := Message{Kind: Resolve, Offset: r.delivered, Incarnation: r.incarnation, Join: r.joined}
	if !r.joined {
		call := r.spec.Call
		call.Remaining = r.remaining(now)
		m.Call, m.Header = &call, r.spec.Header
	}
	r.send(m)
}

// connectFailed moves an idempotent request on, for its host is likely gone.
// One that may not be repeated waits for the host to return with the proof,
// within the bound of resolveBy.
func (r *Request) connectFailed(now time.Time, target host.Name) {
	if r.phase != connecting || target != r.target {
		return
	}
	if r.spec.Call.Idempotent && !r.headDelivered && !r.joined {
		r.lost(now, TargetSilent)
		return
	}
	r.retryAt = now.Add(r.cfg.ResolveWait)
}
