package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/platform"
)

const (
	// unsafeIdle is how long a connection may have been idle before it carries a
	// request that may run once only. If the target closes it meanwhile nobody can
	// tell whether the request ran, and the caller gets an error; targets close
	// after some seconds at least.
	unsafeIdle = 1500 * time.Millisecond
	// safeIdle is the same where the request can be sent again.
	safeIdle = time.Minute
)

// result says what an attempt proved.
type result uint8

const (
	resultDone    result = iota // the caller has its answer, or left
	resultNotRun                // the request did not run there
	resultUnknown               // it may have run there
)

// attempt sends the request to one target. It tells whether to try another one.
func (c *call) attempt(t *admission.Ticket, v quarantine.Verdict) bool {
	begin := c.f.Now()
	a := Attempt{Target: t.Target().ID, Seen: t.Seen}
	res, end, why := c.send(t, &a)
	now := c.f.Now()
	a.Took = now.Sub(begin)
	a.Result = why
	c.rec.Attempts = append(c.rec.Attempts, a)
	c.f.Admission.Done(now, t, end)
	c.endAttempt(v, why == whyAnswered && c.rec.Status < http.StatusMultipleChoices)
	if res == resultUnknown && (why == whyBroken || why == whyCut) {
		c.f.Broke(Break{Run: quarantine.Run{Request: c.fingerprint(), Sent: begin, Broke: now}, Target: t.Target()})
	}
	switch {
	case res == resultDone:
		return false
	case c.callerLeft():
		return false
	}
	c.tried = append(c.tried, t.Target().ID)
	if why == whyNotSent && c.ctx.Err() == nil {
		// Nothing reached a target: it counts neither as a try nor as a repeat.
		return true
	}
	c.sent++
	repeatable := res == resultNotRun || c.route.Idempotent()
	switch {
	case !repeatable:
		c.fail(why)
	case c.ctx.Err() != nil:
		c.expire(res, why)
	case c.sent >= c.route.MaxAttempts:
		c.exhausted(res, why)
	case !c.left.Swap(false) && !c.f.Budget.Repeat(now, c.service):
		c.exhausted(res, "budget")
	default:
		return true
	}
	return false
}

// fail answers a request that may have run.
func (c *call) fail(why string) {
	if c.stream.begun {
		c.breakOff(why)
		return
	}
	status := http.StatusBadGateway
	if c.ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	c.end(Unknown, why, status)
}

// expire answers a request whose time is up.
func (c *call) expire(res result, why string) {
	if res == resultNotRun && !c.stream.begun && !c.ranOnce() {
		c.refuse(http.StatusServiceUnavailable, why, c.comeBack())
		return
	}
	c.fail(why)
}

// exhausted answers a request that gets no further attempt.
func (c *call) exhausted(res result, why string) {
	if c.stream.held != nil {
		c.deliverHeld()
		return
	}
	c.expire(res, why)
}

// ranOnce tells whether an earlier attempt may have run.
func (c *call) ranOnce() bool {
	for _, a := range c.rec.Attempts {
		if a.Result != whyNotRun && a.Result != whyNotSent {
			return true
		}
	}
	return false
}

// Results of attempts, as logs tell them.
const (
	whyNotRun   = "targetRefused"
	whyNotSent  = "notSent"
	whyBroken   = "connectionBroke"
	whyCut      = "answerCut"
	whyNoProof  = "noProof"
	whyFailed   = "targetFailed"
	whyTimeout  = "deadline"
	whyAnswered = "answered"
	whyLeft     = "callerLeft"
	whySlow     = "leftSlowTarget"
)

// send does one exchange with a target.
func (c *call) send(t *admission.Ticket, a *Attempt) (result, admission.End, string) {
	target := t.Target()
	idle := safeIdle
	if !c.route.Idempotent() {
		idle = unsafeIdle
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	if c.route.Idempotent() {
		// What may run once only has to wait for its target, as it may have run there.
		c.f.Admission.OnLost(c.f.Now(), t, func() {
			c.stranded.Store(true)
			cancel()
		})
		c.f.Admission.OnSlow(t, func() bool { return c.leaves(cancel) })
	}
	conn, err := c.f.Pool.Get(ctx, c.f.Now(), target.Address, idle)
	if err != nil {
		return resultNotRun, admission.End{Failed: c.ctx.Err() == nil}, whyNotSent
	}
	a.Reused = conn.Reused
	left := c.deadline.Sub(c.f.Now())
	if left <= 0 || c.f.Admission.Withdrawn(c.f.Now(), t) {
		conn.Close()
		return resultNotRun, admission.End{}, whyNotSent
	}
	req := upstream.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Body: c.body,
		Header: platform.RequestHeader(c.r.Header, c.outgoing(target.ID, left)),
	}
	answer, err := c.f.Pool.Send(ctx, conn, req, c.isMine)
	if err != nil {
		return resultUnknown, admission.End{Failed: c.ctx.Err() == nil}, c.why(whyBroken)
	}
	meta := platform.ReadAnswer(answer.Status, answer.Header)
	a.Notice = meta.Notice
	if answer.Status == http.StatusMisdirectedRequest {
		c.f.Gone(target.ID) // another server answers, and says nothing of this one
	} else {
		c.hear(t, a, meta)
	}
	return c.take(t, answer, meta)
}

// hear takes what an answer says of the target that made it. What names neither the request nor
// a proof is of whatever else may answer at the address.
func (c *call) hear(t *admission.Ticket, a *Attempt, meta platform.Answered) {
	now := c.f.Now()
	if meta.Stamped || meta.NotRun {
		a.Rate = meta.Rate
		c.f.Admission.Heard(now, t, meta.Rate, meta.Stamped)
	}
	if meta.Stamped || meta.NotRun || meta.ID == c.in.ID && meta.ID != "" {
		c.f.Admission.Noticed(now, t, meta.Notice)
	}
}

// leaves ends the attempt at a slow target if the request may be sent to another one. The
// repeat is counted now: a stream that was cut and may not be sent again would be broken.
func (c *call) leaves(cancel func()) bool {
	if c.sent+1 >= c.route.MaxAttempts || !c.f.Budget.Repeat(c.f.Now(), c.service) {
		return false
	}
	c.left.Store(true)
	cancel()
	return true
}

// why names the cause of a failure: the end of the context goes before what it did.
func (c *call) why(otherwise string) string {
	switch {
	case c.r.Context().Err() != nil:
		return whyLeft
	case c.ctx.Err() != nil:
		return whyTimeout
	case c.left.Load():
		return whySlow
	}
	return otherwise
}

func (c *call) outgoing(instance string, left time.Duration) platform.Outgoing {
	o := platform.Outgoing{Left: left, Instance: instance, Priority: -1, ResumeFrom: c.stream.lastID}
	if c.config.Keyed() {
		o.HidesKey = true
	}
	if c.space != nil {
		o.Workspace = c.space.Name
	}
	return o
}

// isMine tells whether an answer is to this request. One without an id is: only
// answers to others name them.
func (c *call) isMine(h http.Header) bool {
	id := platform.ReadAnswer(0, h).ID
	return id == "" || id == c.in.ID
}

// take passes a target's answer on, or says what it proves.
func (c *call) take(t *admission.Ticket, answer *upstream.Answer, meta platform.Answered) (result, admission.End, string) {
	if meta.Closing {
		answer.KeepOut()
	}
	if meta.NotRun {
		c.drop(answer, meta)
		if meta.Fault != "" {
			c.f.Admission.GroupClosed(c.f.Now(), t.Target())
			return resultNotRun, admission.End{Closed: true}, whyNotRun
		}
		return resultNotRun, admission.End{Refused: true}, whyNotRun
	}
	c.f.Admission.Serves(c.f.Now(), t.Target())
	success := answer.Status >= 200 && answer.Status < 300
	if !meta.Stamped || success && (meta.Encoded || meta.ID != c.in.ID) {
		answer.Finish(c.f.Now(), false, 0)
		return resultUnknown, admission.End{Failed: true}, whyNoProof
	}
	if success && c.route.Kind == routing.Streaming {
		return c.relay(t, answer, meta)
	}
	body, err := answer.ReadAll(maxAnswerBytes)
	answer.Finish(c.f.Now(), err == nil, meta.KeepFor)
	if err != nil {
		return resultUnknown, admission.End{Failed: c.ctx.Err() == nil}, c.why(whyCut)
	}
	if answer.Status >= 500 && c.route.Idempotent() {
		c.stream.held = &heldAnswer{status: answer.Status, header: answer.Header, body: body}
		return resultUnknown, admission.End{}, whyFailed
	}
	c.deliver(answer.Status, answer.Header, body)
	return resultDone, admission.End{}, whyAnswered
}

// drop reads a refusal to its end, so that its connection can be used again.
func (c *call) drop(answer *upstream.Answer, meta platform.Answered) {
	_, err := answer.ReadAll(maxAnswerBytes)
	answer.Finish(c.f.Now(), err == nil, meta.KeepFor)
}

// heldAnswer is a target's failure that is passed on if nothing better comes.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (c *call) deliverHeld() {
	if c.stream.begun {
		c.breakOff(whyFailed)
		return
	}
	h := c.stream.held
	c.deliver(h.status, h.header, h.body)
}

// deliver passes a whole answer on.
func (c *call) deliver(status int, header http.Header, body []byte) {
	platform.CopyAnswerHeader(c.w.Header(), header)
	c.w.Header().Set("Content-Length", contentLength(body))
	c.rec.Outcome, c.rec.Status = Answered, status
	c.rec.First = c.f.Now().Sub(c.begin)
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		c.rec.Outcome, c.rec.Reason = CallerLeft, "notWritten"
	}
}
