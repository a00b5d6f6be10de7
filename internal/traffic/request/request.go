package request

import (
	"fmt"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
)

// maxResends bounds how often a request is sent to the same target again because
// the connection was at fault.
const maxResends = 2

// maxJoinDoublings bounds the growth of the waits between attempts to join the
// request that owns a key. Its response may be gone for good, so the first waits
// are short and few.
const maxJoinDoublings = 5

type phase uint8

const (
	notStarted phase = iota
	picking          // Pick was emitted
	claiming         // Claim was emitted
	backingOff       // until retryAt, before the next Pick
	opened           // Open was sent, or Resolve was replied to
	connecting       // Connect was emitted, in order to resolve the attempt
	resolving        // Resolve was sent
	joining          // until retryAt: the request that owns the key was not found at its target
	done
)

// Request is the state machine of one request at the entry.
type Request struct {
	cfg   Config
	retry func(now time.Time, t retry.Attempt) retry.Decision
	spec  Spec

	phase       phase
	id          ID // in messages; after joining another request, that request's ID
	attempt     Attempt
	targets     []host.Name // of each attempt; attempt n is at index n-1
	tried       []host.Name // targets that Open was sent to
	target      host.Name
	incarnation host.Incarnation
	openConn    Conn // the connection that carried the attempt's Open
	conn        Conn // the newest connection of the attempt
	live        bool // the attempt may be running: nothing proves the contrary
	seen        bool // the sidecar has confirmed that it knows the attempt
	mayHaveRun  bool // an earlier attempt, or the request that owned the key, may have run
	formerJoins []ID // requests that this one had joined and left again
	joined      bool // passes on the response of the request that owns the key
	claimed     bool
	claimRecord Prior // what the claim records about this request
	pickAgain   bool  // pick again once the claim is granted: the picked connection is no longer usable

	resends         int // attempts that went to the same target again, since the connection was at fault
	headDelivered   bool
	delivered       uint64
	digest          uint64        // of the delivered bytes
	retryAfter      time.Duration // the longest RetryAfter received
	retryAt         time.Time
	resolveDeadline time.Time
	joinRetries     int       // waits before another attempt to join the request that owns the key
	joinDeadline    time.Time // when the attempts to join that request end
	wakeAt          time.Time
	lateCancelled   Attempt // the latest attempt that cancelLate cancelled

	out []Action
}

// New returns a request that waits for [Started]. decide is called before each
// further attempt; it takes from the service's retry budget.
func New(cfg Config, spec Spec, decide func(now time.Time, t retry.Attempt) retry.Decision) *Request {
	return &Request{cfg: cfg, spec: spec, id: spec.ID, retry: decide}
}

// Done reports whether [Finish] was emitted. The adapter must still pass the
// reply to a pending Claim to Handle, so that the key can be freed.
func (r *Request) Done() bool { return r.phase == done }

// Handle processes an event and returns the actions to carry out, in order.
func (r *Request) Handle(now time.Time, ev Event) []Action {
	r.out = nil
	switch {
	case r.phase == done:
		r.afterEnd(ev)
	case !now.Before(r.spec.Deadline):
		r.abandon(ev, DeadlinePassed)
	default:
		r.dispatch(now, ev)
	}
	r.scheduleWake()
	return r.out
}

func (r *Request) dispatch(now time.Time, ev Event) {
	switch ev.Kind {
	case Started:
		r.start(now)
	case Picked:
		r.picked(now, ev)
	case NothingPicked:
		r.nothingPicked(ev)
	case ClaimGranted:
		r.claimGranted(now)
	case ClaimTaken:
		r.claimTaken(now, ev.Prior)
	case ClaimRefused:
		r.claimRefused(ev)
	case BodyNotSent:
		r.notSent(now, ev)
	case Received:
		r.received(now, ev)
	case ConnectionSilent:
		r.connectionSilent(now, ev.Conn)
	case Connected:
		r.connected(now, ev)
	case ConnectFailed:
		r.connectFailed(now, ev.Target)
	case CallerLeft:
		r.abandon(ev, CallerGone)
	case Tick:
		r.tick(now)
	}
}

func (r *Request) start(now time.Time) {
	if r.phase != notStarted {
		return
	}
	if r.remaining(now) < r.cfg.MinRemaining {
		r.fail(DeadlinePassed)
		return
	}
	r.pick()
}

func (r *Request) pick() {
	r.phase = picking
	r.emit(Action{Kind: Pick, Tried: append([]host.Name(nil), r.tried...)})
}

func (r *Request) picked(now time.Time, ev Event) {
	if r.phase != picking {
		return
	}
	r.target, r.incarnation, r.conn = ev.Target, ev.Incarnation, ev.Conn
	if r.spec.Claimed && !r.claimed {
		r.claimKey()
		return
	}
	if r.claimed && r.claimRecord != r.asPrior() {
		// Otherwise repeats would look for the response at a target that never had it.
		r.claimRecord = r.asPrior()
		r.emit(Action{Kind: MoveClaim, Prior: r.claimRecord})
	}
	r.open(now)
}

func (r *Request) asPrior() Prior {
	return Prior{ID: r.id, Target: r.target, Incarnation: r.incarnation, Fingerprint: r.spec.Fingerprint}
}

func (r *Request) nothingPicked(ev Event) {
	if r.phase != picking {
		return
	}
	r.noteRetryAfter(ev.RetryAfter)
	reason := ev.Reason
	if reason == NoReason {
		reason = NoTarget
	}
	r.fail(reason)
}

func (r *Request) claimGranted(now time.Time) {
	if r.phase != claiming {
		return
	}
	r.claimed, r.mayHaveRun = true, false
	if r.pickAgain {
		r.pickAgain = false
		r.pick()
		return
	}
	r.open(now)
}

// claimTaken joins the request that owns the key: its response is the response
// to this request too. If the target of that request is not known, its state
// cannot be found out, and the outcome is unknown, since it may have run.
func (r *Request) claimTaken(now time.Time, p Prior) {
	if r.phase != claiming {
		return
	}
	if p.ID == r.id {
		r.claimGranted(now)
		return
	}
	r.pickAgain = false
	r.formerJoins = slices.DeleteFunc(r.formerJoins, func(id ID) bool { return id == p.ID })
	if p.Fingerprint != r.spec.Fingerprint {
		// The response of p would be the response to a different request.
		r.fail(KeyReused)
		return
	}
	r.joined, r.live, r.seen, r.mayHaveRun = true, true, true, true
	if p.Target == "" {
		r.fail(KeyClaimed)
		return
	}
	if r.joinDeadline.IsZero() {
		r.joinDeadline = now.Add(r.cfg.ResolveLimit)
	}
	r.resolveDeadline = time.Time{}
	r.id, r.target, r.incarnation, r.conn = p.ID, p.Target, p.Incarnation, 0
	r.attempt++
	r.targets = append(r.targets, p.Target)
	r.connect(now)
}

// claimAgain claims the key again to find out its current owner. The joined
// request may have moved to another target, or may have ended without being
// run, so that this request may run.
func (r *Request) claimAgain() {
	r.formerJoins = append(r.formerJoins, r.id)
	r.id = r.spec.ID
	r.joined, r.live = false, false
	r.pickAgain = true
	r.claimKey()
}

func (r *Request) claimKey() {
	r.phase = claiming
	r.claimRecord = r.asPrior()
	r.emit(Action{Kind: Claim, Prior: r.claimRecord})
}

func (r *Request) claimRefused(ev Event) {
	if r.phase != claiming {
		return
	}
	r.noteRetryAfter(ev.RetryAfter)
	r.fail(ev.Reason)
}

func (r *Request) open(now time.Time) {
	if r.remaining(now) < r.cfg.MinRemaining {
		r.fail(DeadlinePassed)
		return
	}
	r.phase = opened
	r.attempt++
	r.targets = append(r.targets, r.target)
	r.tried = append(r.tried, r.target)
	r.openConn = r.conn
	r.live, r.seen = true, false
	r.resolveDeadline = time.Time{}
	call := r.spec.Call
	call.Remaining = r.remaining(now)
	r.send(Message{Kind: Open, Incarnation: r.incarnation, Call: &call, Header: r.spec.Header})
	r.emit(Action{Kind: SendBody, Target: r.target, Conn: r.conn, Message: Message{ID: r.id, Attempt: r.attempt}})
}

func (r *Request) notSent(now time.Time, ev Event) {
	if !r.live || r.joined || ev.Attempt != r.attempt || r.seen {
		return
	}
	r.live = false
	r.tryAgain(now, TargetSilent)
}

func (r *Request) tick(now time.Time) {
	switch r.phase {
	case backingOff:
		if !now.Before(r.retryAt) {
			r.pick()
		}
	case connecting, resolving:
		if !now.Before(r.resolveDeadline) {
			r.giveUpAttempt(now, TargetSilent)
			return
		}
		if !now.Before(r.retryAt) {
			r.connect(now)
		}
	case joining:
		if !now.Before(r.retryAt) {
			r.claimAgain()
		}
	}
}

// tryAgain prepares another attempt, or ends the request at once. It never waits
// longer than the backoff: a caller whose request is given up is informed now,
// with a retry delay.
func (r *Request) tryAgain(now time.Time, reason Reason) {
	d := r.retry(now, retry.Attempt{
		Attempts:    len(r.tried),
		Deadline:    r.spec.Deadline,
		AttemptTime: r.cfg.MinRemaining,
	})
	if d.Verdict != retry.Allowed {
		r.fail(reason)
		return
	}
	r.phase = backingOff
	r.retryAt = now.Add(d.Wait)
}

// giveUpAttempt stops finding out the state of the attempt. An idempotent request
// moves to another target; any other ends.
func (r *Request) giveUpAttempt(now time.Time, reason Reason) {
	if r.headDelivered || r.joined || !r.spec.Call.Idempotent {
		r.cancel()
		r.fail(reason)
		return
	}
	r.cancel()
	r.live = false
	r.mayHaveRun = true
	r.tryAgain(now, reason)
}

// abandon ends the request while its attempt may still be running. The event
// may be the reply to a Claim, whose key then has to be freed.
func (r *Request) abandon(ev Event, reason Reason) {
	r.cancel()
	r.fail(reason)
	r.afterEnd(ev)
}

func (r *Request) afterEnd(ev Event) {
	if ev.Kind == ClaimGranted && !r.claimed {
		r.emit(Action{Kind: ReleaseClaim})
	}
}

// fail ends the request without a complete response. The outcome is notRun only
// if every attempt is proved not to have run: live and mayHaveRun stand for the
// attempts without that proof.
func (r *Request) fail(reason Reason) {
	res := Result{Outcome: NotRun, Reason: reason, RetryAfter: r.retryAfter, Truncated: r.headDelivered}
	if r.live || r.mayHaveRun || r.headDelivered {
		res.Outcome = Unknown
	}
	if res.RetryAfter == 0 {
		res.RetryAfter = r.cfg.RetryAfter
	}
	if (r.joined || r.spec.Claimed && r.mayHaveRun) && !r.headDelivered {
		res.Reason = KeyClaimed
	}
	r.finish(res)
}

func (r *Request) finish(res Result) {
	if r.phase == done {
		r.violate(OneOutcome, "a second outcome %s", res.Outcome)
		return
	}
	if res.Outcome == NotRun && r.delivered > 0 {
		r.violate(NotRunIsProved, "%d bytes were delivered", r.delivered)
		res.Outcome = Unknown
	}
	r.phase = done
	res.Attempts = len(r.tried)
	if r.joined {
		res.Attempts++
	}
	res.Delivered = r.delivered
	if res.Outcome == NotRun && r.claimed {
		r.emit(Action{Kind: ReleaseClaim})
	}
	r.emit(Action{Kind: Finish, Result: res})
}

func (r *Request) cancel() {
	if r.live && r.conn != 0 {
		r.send(Message{Kind: Cancel, Join: r.joined})
	}
}

func (r *Request) send(m Message) {
	m.ID, m.Attempt = r.id, r.attempt
	r.emit(Action{Kind: Send, Target: r.target, Conn: r.conn, Message: m})
}

func (r *Request) emit(a Action) {
	r.out = append(r.out, a)
}

func (r *Request) violate(rule Invariant, format string, args ...any) {
	v := Violation{Invariant: rule, ID: r.spec.ID, Detail: fmt.Sprintf(format, args...)}
	r.emit(Action{Kind: Violated, Violation: v})
}

func (r *Request) noteRetryAfter(retryAfter time.Duration) {
	r.retryAfter = max(r.retryAfter, retryAfter)
}

func (r *Request) remaining(now time.Time) time.Duration {
	return r.spec.Deadline.Sub(now)
}

func (r *Request) scheduleWake() {
	if r.phase == done {
		return
	}
	at := r.spec.Deadline
	switch r.phase {
	case backingOff, joining:
		at = earlier(at, r.retryAt)
	case connecting, resolving:
		at = earlier(at, earlier(r.retryAt, r.resolveDeadline))
	}
	if !at.Equal(r.wakeAt) {
		r.wakeAt = at
		r.emit(Action{Kind: Wake, At: at})
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
