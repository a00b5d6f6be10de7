package request

import (
	"fmt"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
)

// maxResends bounds how often a request goes to the same target again because
// its connection was at fault.
const maxResends = 2

// maxJoinDoublings bounds how far the waits for the request that holds a key
// grow. Its answer may be gone for good, so the first waits are short and few.
const maxJoinDoublings = 5

type phase uint8

const (
	fresh      phase = iota
	picking          // Pick was asked
	claiming         // Claim was asked
	backingOff       // until retryAt
	opened           // Open was sent, or a reply to Resolve has come
	connecting       // Connect was asked, in order to resolve
	resolving        // Resolve was sent
	joining          // until retryAt: the request that holds the key was not there
	done
)

// Request is the life of one request at the entry.
type Request struct {
	cfg   Config
	retry func(now time.Time, t retry.Try) retry.Decision
	spec  Spec

	phase       phase
	id          ID // of the messages; the prior request's after joining it
	attempt     Attempt
	targets     []host.Name // by attempt
	tried       []host.Name // that Open was sent to
	target      host.Name
	incarnation host.Incarnation
	openConn    Conn // that the attempt's Open went by
	conn        Conn // the newest of the attempt
	live        bool // the attempt may be running: no proof to the contrary
	seen        bool // the sidecar has shown that it knows the attempt
	doubt       bool // an attempt that was left behind may have run
	left        []ID // requests that were joined before
	joined      bool // carries the answer of the request that holds the key
	claimed     bool
	claimedFor  Prior // what the claim says of this request
	pickAgain   bool  // the picked connection went silent while the claim was asked

	resends       int // to the same target, which had not seen the attempt
	headDelivered bool
	delivered     uint64
	hint          time.Duration // the longest RetryAfter heard
	retryAt       time.Time
	resolveBy     time.Time
	joins         int       // waits for the request that holds the key
	joinBy        time.Time // bound of the waits for the request that holds the key
	wakeAt        time.Time
	lateCancelled Attempt

	out []Action
}

// New returns a request that waits for [Started]. decide rules on each further
// attempt; it spends from the service's retry budget.
func New(cfg Config, spec Spec, decide func(now time.Time, t retry.Try) retry.Decision) *Request {
	return &Request{cfg: cfg, spec: spec, id: spec.ID, retry: decide}
}

// Done tells that [Finish] was emitted. The adapter must still hand over the
// answer to a Claim that is under way, so that the key can be freed.
func (r *Request) Done() bool { return r.phase == done }

// Handle takes an event and returns what is to be done, in order.
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
	r.wake()
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
	case NotSent:
		r.notSent(now, ev)
	case Received:
		r.received(now, ev)
	case ConnectionSilent:
		r.silent(now, ev.Conn)
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
	if r.phase != fresh {
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
		r.askClaim()
		return
	}
	if r.claimed && r.claimedFor != r.prior() {
		// Repeats would look for its answer where it never was.
		r.claimedFor = r.prior()
		r.emit(Action{Kind: Reclaim, Prior: r.claimedFor})
	}
	r.open(now)
}

func (r *Request) prior() Prior {
	return Prior{ID: r.id, Target: r.target, Incarnation: r.incarnation, Print: r.spec.Print}
}

func (r *Request) nothingPicked(ev Event) {
	if r.phase != picking {
		return
	}
	r.note(ev.RetryAfter)
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
	r.claimed, r.doubt = true, false
	if r.pickAgain {
		r.pickAgain = false
		r.pick()
		return
	}
	r.open(now)
}

// claimTaken joins the request that holds the key: its answer is the answer to
// this one too. Where its target is not known nothing can be learnt, and the
// honest outcome is unknown, since the call of that key may have run.
func (r *Request) claimTaken(now time.Time, p Prior) {
	if r.phase != claiming {
		return
	}
	if p.ID == r.id {
		r.claimGranted(now)
		return
	}
	r.pickAgain = false
	r.left = slices.DeleteFunc(r.left, func(id ID) bool { return id == p.ID })
	if p.Print != r.spec.Print {
		// Its answer would be the answer to another request.
		r.fail(KeyReused)
		return
	}
	r.joined, r.live, r.seen, r.doubt = true, true, true, true
	if p.Target == "" {
		r.fail(KeyClaimed)
		return
	}
	if r.joinBy.IsZero() {
		r.joinBy = now.Add(r.cfg.ResolveLimit)
	}
	r.resolveBy = time.Time{}
	r.id, r.target, r.incarnation, r.conn = p.ID, p.Target, p.Incarnation, 0
	r.attempt++
	r.targets = append(r.targets, p.Target)
	r.connect(now)
}

// claimAgain asks whose the key is now. Its request may have moved to another
// target, or have ended without being run, so that this one may run.
func (r *Request) claimAgain() {
	r.left = append(r.left, r.id)
	r.id = r.spec.ID
	r.joined, r.live = false, false
	r.pickAgain = true
	r.askClaim()
}

func (r *Request) askClaim() {
	r.phase = claiming
	r.claimedFor = r.prior()
	r.emit(Action{Kind: Claim, Prior: r.claimedFor})
}

func (r *Request) claimRefused(ev Event) {
	if r.phase != claiming {
		return
	}
	r.note(ev.RetryAfter)
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
	r.resolveBy = time.Time{}
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
		if !now.Before(r.resolveBy) {
			r.lost(now, TargetSilent)
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

// tryAgain begins another attempt, or gives up at once. An attempt that is
// refused is never kept waiting for more than the backoff: a caller that is
// given up on learns it now, with a hint when to come back.
func (r *Request) tryAgain(now time.Time, reason Reason) {
	d := r.retry(now, retry.Try{
		Attempts: len(r.tried),
		Deadline: r.spec.Deadline,
		Need:     r.cfg.MinRemaining,
	})
	if d.Verdict != retry.Allowed {
		r.fail(reason)
		return
	}
	r.phase = backingOff
	r.retryAt = now.Add(d.Wait)
}

// lost gives up finding out what became of the attempt.
func (r *Request) lost(now time.Time, reason Reason) {
	if r.headDelivered || r.joined || !r.spec.Call.Idempotent {
		r.cancel()
		r.fail(reason)
		return
	}
	r.cancel()
	r.live = false
	r.doubt = true
	r.tryAgain(now, reason)
}

// abandon ends the request while its attempt may go on. An answer to Claim
// that comes with the last event still has to be taken note of.
func (r *Request) abandon(ev Event, reason Reason) {
	r.cancel()
	r.fail(reason)
	r.afterEnd(ev)
}

func (r *Request) afterEnd(ev Event) {
	if ev.Kind == ClaimGranted && !r.claimed {
		r.emit(Action{Kind: Unclaim})
	}
}

// fail ends the request without a whole answer. It says notRun only if each
// attempt is proved not to have run: live and doubt stand for all that are not.
func (r *Request) fail(reason Reason) {
	res := Result{Outcome: NotRun, Reason: reason, RetryAfter: r.hint, Truncated: r.headDelivered}
	if r.live || r.doubt || r.headDelivered {
		res.Outcome = Unknown
	}
	if res.RetryAfter == 0 {
		res.RetryAfter = r.cfg.RetryAfter
	}
	if (r.joined || r.spec.Claimed && r.doubt) && !r.headDelivered {
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
		r.emit(Action{Kind: Unclaim})
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

func (r *Request) violate(rule Rule, format string, args ...any) {
	v := Violation{Rule: rule, ID: r.spec.ID, Detail: fmt.Sprintf(format, args...)}
	r.emit(Action{Kind: Violated, Violation: v})
}

func (r *Request) note(hint time.Duration) {
	r.hint = max(r.hint, hint)
}

func (r *Request) remaining(now time.Time) time.Duration {
	return r.spec.Deadline.Sub(now)
}

func (r *Request) wake() {
	if r.phase == done {
		return
	}
	at := r.spec.Deadline
	switch r.phase {
	case backingOff, joining:
		at = earlier(at, r.retryAt)
	case connecting, resolving:
		at = earlier(at, earlier(r.retryAt, r.resolveBy))
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
