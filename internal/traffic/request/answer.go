package request

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// received handles a message from a sidecar. Messages of other attempts come
// late, after the request has moved to another target, and are not passed on:
// that would join parts of two different responses.
func (r *Request) received(now time.Time, ev Event) {
	m := ev.Message
	if slices.Contains(r.formerJoins, m.ID) {
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
		r.attemptSeen(ev.Conn)
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
		r.unknownOutcome(now, m)
	}
}

func (r *Request) unknownOutcome(now time.Time, m Message) {
	if r.joined && m.Reason == NeverSeen {
		r.retryJoin(now, m.Reason)
		return
	}
	r.giveUpAttempt(now, m.Reason)
}

// retryJoin waits before it claims the key again and tries again to join the
// request that owns it. If both requests arrived at the same moment, that
// request may still be on its way to its target; or it has moved to another one.
func (r *Request) retryJoin(now time.Time, reason Reason) {
	wait := r.cfg.JoinWait << min(r.joinRetries, maxJoinDoublings)
	if r.headDelivered || !now.Add(wait).Before(r.joinDeadline) {
		r.fail(reason)
		return
	}
	r.joinRetries++
	r.phase = joining
	r.retryAt = now.Add(wait)
}

// cancelLate repeats the Cancel of an earlier attempt whose connection was
// silent when the request moved on: without it the engine would go on with a
// response that nobody reads. Once is enough, since Cancel ends the stream that
// carries the response.
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

// attemptSeen records that the sidecar knows the attempt, and ends the wait for
// a reply to Resolve. A message on an older connection does not end that wait:
// the older connection may go silent again for good.
func (r *Request) attemptSeen(c Conn) {
	r.seen = true
	if r.phase == resolving && c == r.conn {
		r.phase = opened
		r.resolveDeadline = time.Time{}
	}
}

// refused accepts the proof that the attempt did not run, unless the sidecar
// has already sent a part of the response, or the message comes from another
// incarnation of the sidecar.
func (r *Request) refused(now time.Time, c Conn, m Message) {
	r.noteRetryAfter(m.RetryAfter)
	switch {
	case r.joined:
		// Only the request that owns the key knows its other attempts.
		r.retryJoin(now, m.Reason)
	case r.headDelivered:
		r.violate(NotRunIsProved, "refused after the answer began: %s", m.Reason)
		r.fail(InvariantViolation)
	case m.Reason == WrongIncarnation && c != r.openConn:
		r.giveUpAttempt(now, TargetRestarted)
	case r.neverArrived(c, m.Reason):
		r.live = false
		r.resends++
		r.open(now)
	default:
		r.live = false
		r.tryAgain(now, m.Reason)
	}
}

// neverArrived reports whether the connection was at fault and not the target,
// which has just replied on a new connection. The request is then sent to the
// same target again at once. This adds no load, so it does not count against
// the retry budget. If all connections went silent together, no other target
// would be a better choice.
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

// chunk passes on the bytes that follow those the caller has already received.
// After a Resolve both the old and the new connection may carry parts of the
// same response; the offset shows which bytes are new.
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
	r.digest = Digest(r.digest, m.Data)
	r.emit(Action{Kind: Deliver, Message: m})
}

func (r *Request) end(now time.Time, m Message) {
	switch {
	case m.Reason != NoReason:
		r.giveUpAttempt(now, m.Reason)
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

// fillGap requests the missing bytes. Messages of one stream come in order, so
// there is a gap only while a response arrives on an old and a new stream at
// the same time.
func (r *Request) fillGap(now time.Time) {
	if r.phase != opened {
		return
	}
	r.resolve(now)
}

func (r *Request) connectionSilent(now time.Time, c Conn) {
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
	r.setResolveDeadline(now)
	r.phase = connecting
	r.retryAt = now.Add(r.cfg.ResolveWait)
	r.emit(Action{Kind: Connect, Target: r.target, Conn: r.conn})
}

// setResolveDeadline bounds the wait for the sidecar to report the state of the
// attempt. A request that must not be repeated cannot be sent to another target,
// and on "unknown" its caller would have to choose between losing it and
// running it twice. A sidecar that was paused for some seconds can still report
// the state, so the wait lasts until the caller's deadline. For all other
// requests it is better to try another target, or to end with a visible error.
func (r *Request) setResolveDeadline(now time.Time) {
	if !r.resolveDeadline.IsZero() {
		return
	}
	r.resolveDeadline = now.Add(r.cfg.ResolveLimit)
	if !r.spec.Call.Idempotent && !r.headDelivered && !r.joined {
		r.resolveDeadline = r.spec.Deadline
	}
}

// connected resolves the attempt on the new connection. A Resolve on the
// connection of its own Open could overtake the Open, and the sidecar would
// reply that it has never seen the attempt. On a newer connection this cannot
// happen, since the sidecar retires all connections older than the Resolve's.
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
		r.giveUpAttempt(now, TargetRestarted)
		return
	}
	r.resolve(now)
}

// resolve asks the sidecar for the state of the attempt. A later incarnation of
// the sidecar does not know the attempt, but the engine may still be running
// it, so the message carries what that incarnation needs to ask the engine.
func (r *Request) resolve(now time.Time) {
	r.setResolveDeadline(now)
	r.phase = resolving
	r.retryAt = now.Add(r.cfg.ResolveWait)
	m := Message{Kind: Resolve, Offset: r.delivered, Digest: r.digest, Incarnation: r.incarnation, Join: r.joined}
	if !r.joined {
		call := r.spec.Call
		call.Remaining = r.remaining(now)
		m.Call, m.Header = &call, r.spec.Header
	}
	r.send(m)
}

// connectFailed tries another target for an idempotent request, since the host
// is probably gone. A request that must not be repeated waits until
// resolveDeadline for the host to return and prove whether the request ran.
func (r *Request) connectFailed(now time.Time, target host.Name) {
	if r.phase != connecting || target != r.target {
		return
	}
	if r.spec.Call.Idempotent && !r.headDelivered && !r.joined {
		r.giveUpAttempt(now, TargetSilent)
		return
	}
	r.retryAt = now.Add(r.cfg.ResolveWait)
}
