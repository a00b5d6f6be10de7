package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/delivery"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/platform"
)

const (
	// unsafeIdle is the longest time that a connection may have been idle before it is
	// reused for a request that may run only once. If the target closes the connection at
	// that moment, nobody can tell whether the request ran, and the caller gets an error.
	// Targets keep idle connections open for some seconds at least.
	unsafeIdle = 1500 * time.Millisecond
	// safeIdle is the corresponding time for a request that can be sent again.
	safeIdle = time.Minute
)

// result is what an attempt proved about the request.
type result uint8

const (
	resultDone    result = iota // the caller has its response, or disconnected
	resultNotRun                // the request did not run there
	resultUnknown               // it may have run there
)

// attempt sends the request to one target. It reports whether to try another one.
func (c *call) attempt(t *admission.Ticket, v quarantine.Verdict) bool {
	begin := c.f.Now()
	c.sentAt, c.examined = begin, nil
	a := Attempt{Target: t.Target().ID, Seen: t.Basis}
	res, end, reason := c.send(t, &a)
	now := c.f.Now()
	a.Took = now.Sub(begin)
	a.Result = reason
	if reason == reasonAnswered || reason == reasonTimeout {
		c.f.slowest.add(now, c.route.Name, a.Took)
	}
	c.rec.Attempts = append(c.rec.Attempts, a)
	c.slot = nil
	c.f.Admission.Done(now, t, end)
	c.endAttempt(v, t.Target(), begin, reason)
	c.verdict = quarantine.Verdict{}
	if res == resultUnknown && (reason == reasonBroken || reason == reasonCut) {
		c.examine(t.Target(), begin, now, false)
	}
	switch {
	case c.answer != nil:
		// The target's slot is free again: it must not wait for a caller that reads slowly.
		c.deliver(c.answer)
		return false
	case res == resultDone:
		return false
	case c.callerLeft():
		return false
	}
	c.tried = append(c.tried, t.Target().ID)
	if reason == reasonNotSent && c.ctx.Err() == nil {
		// Nothing reached the target, so this counts neither as an attempt nor as a repeat.
		return true
	}
	c.sent++
	switch {
	case !c.repeatable(res):
		c.fail(reason)
	case c.ctx.Err() != nil:
		c.expire(res, reason)
	case c.sent >= c.route.MaxAttempts:
		c.exhausted(res, reason)
	case c.partSuspected():
		c.exhausted(res, reasonSuspected)
	case !c.leftSlow.Swap(false) && !c.f.Budget.Reserve(now, c.service):
		c.exhausted(res, "budget")
	default:
		c.repeat = true
		return true
	}
	return false
}

// repeatable reports whether the request may be sent again after an attempt.
func (c *call) repeatable(res result) bool {
	return c.out.Resumable() && (res == resultNotRun || c.route.Idempotent())
}

// spendRepeat counts the repeat that is reserved for the request, if any, as it is sent now.
func (c *call) spendRepeat() {
	if c.repeat {
		c.f.Budget.Spend(c.f.Now(), c.service)
		c.repeat = false
	}
}

// releaseRepeats gives back what is reserved for a request that is not sent again.
func (c *call) releaseRepeats() {
	if c.repeat {
		c.f.Budget.Release(c.f.Now(), c.service)
	}
	if c.leftSlow.Load() {
		c.f.Budget.Release(c.f.Now(), c.service)
	}
}

// fail ends a request that may have run: it sends an error, or aborts a stream that has begun.
func (c *call) fail(reason string) {
	if c.out.Begun() {
		c.abortResponse(reason)
		return
	}
	status := http.StatusBadGateway
	if c.ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	c.end(Unknown, reason, status)
}

// expire ends a request that gets no further attempt. It refuses the request as not run only
// if no attempt can have run.
func (c *call) expire(res result, reason string) {
	if res == resultNotRun && !c.out.Begun() && !c.mayHaveRun() {
		c.refuse(http.StatusServiceUnavailable, reason, c.retryDelay())
		return
	}
	c.fail(reason)
}

// exhausted ends a request that has used up its attempts or the retry budget. It passes on
// an earlier failure response of a target, if there is one.
func (c *call) exhausted(res result, reason string) {
	if c.failure != nil {
		c.deliverFailure()
		return
	}
	c.expire(res, reason)
}

// mayHaveRun reports whether a target may have run the request in an earlier attempt.
func (c *call) mayHaveRun() bool {
	for _, a := range c.rec.Attempts {
		if a.Result != reasonNotRun && a.Result != reasonNotSent {
			return true
		}
	}
	return false
}

// Results of attempts, as logs show them.
const (
	reasonNotRun   = "targetRefused"
	reasonNotSent  = "notSent"
	reasonBroken   = "connectionBroke"
	reasonCut      = "answerCut"
	reasonNoProof  = "noProof"
	reasonFailed   = "targetFailed"
	reasonTimeout  = "deadline"
	reasonAnswered = "answered"
	reasonLeft     = "callerLeft"
	reasonSlow     = "leftSlowTarget"
	reasonPanic    = "panic" // a fault of the entry

	// The target's response does not go on with the stream that the caller receives.
	reasonNoStream   = "noStream"   // it is a response of another kind
	reasonOutOfOrder = "outOfOrder" // an event does not follow those that the caller has
	reasonEndsEarly  = "endsEarly"  // it ends before an event that an earlier run had begun

	reasonSuspected = "partSuspected" // the target crashed, perhaps because of a part of the prompt
)

// send does one exchange with a target. It returns what the attempt proved, how it ended for
// admission, and its result for the log.
func (c *call) send(t *admission.Ticket, a *Attempt) (result, admission.End, string) {
	target := t.Target()
	idle := safeIdle
	if !c.route.Idempotent() {
		idle = unsafeIdle
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	if c.route.Idempotent() {
		// Only a repeatable request can leave a lost or slow target. One that may run only
		// once has to wait for its target, because it may have run there.
		c.f.Admission.OnLost(c.f.Now(), t, func() {
			if c.out.Resumable() {
				c.stranded.Store(true)
				cancel()
			}
		})
		c.f.Admission.OnSlow(t, func() bool { return c.leaveSlowTarget(cancel) })
	}
	conn, err := c.f.Pool.Get(ctx, c.f.Now(), target.Address, idle)
	if err != nil {
		return resultNotRun, admission.End{Failed: c.ctx.Err() == nil}, reasonNotSent
	}
	a.Reused = conn.Reused
	left := c.deadline.Sub(c.f.Now())
	if left <= 0 || c.f.Admission.Withdrawn(c.f.Now(), t) {
		conn.Close()
		return resultNotRun, admission.End{}, reasonNotSent
	}
	c.watch = c.f.Witnesses.Watch(c.f.Now(), target.Address, conn.Open)
	defer c.watch.Stop()
	req := upstream.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Body: c.body,
		Header: platform.RequestHeader(c.r.Header, c.outgoing(target.ID, left)),
	}
	a.Sent, a.Stream.ResumeAfter = c.f.Now().Sub(c.begin), c.resumeAfter()
	c.spendRepeat()
	answer, err := c.f.Pool.Send(ctx, conn, req, c.isMine)
	if err != nil {
		a.Bound = upstream.Bound(err)
		return resultUnknown, admission.End{Failed: c.ctx.Err() == nil}, c.failureReason(reasonBroken)
	}
	meta := platform.ReadResponse(answer.Status, answer.Header)
	a.Notice, a.Status, a.Unframed = meta.Notice, answer.Status, answer.Unframed
	if answer.Status == http.StatusMisdirectedRequest {
		c.noteMisdirected(target, answer.Status, meta)
	} else {
		c.noteTarget(t, a, meta)
	}
	return c.handleResponse(t, a, answer, meta)
}

// noteTarget passes the rate limit and the target notice in a response to admission. A response
// that carries neither the request's ID nor a proof may come from another server at the target's
// address, and is ignored.
func (c *call) noteTarget(t *admission.Ticket, a *Attempt, meta platform.ResponseInfo) {
	now := c.f.Now()
	if meta.Stamped || meta.NotRun {
		a.Rate = meta.Rate
		c.f.Admission.ApplyRate(now, t, meta.Rate, meta.Stamped)
	}
	if meta.Stamped || meta.NotRun || meta.ID == c.in.ID && meta.ID != "" {
		c.f.Admission.ApplyNotice(now, t, meta.Notice)
	}
}

// leaveSlowTarget ends the attempt at a slow target if the request may be sent to another one.
// The repeat is reserved in the retry budget before the attempt is cancelled: a stream that was
// cancelled and may not be sent again would reach its caller truncated.
func (c *call) leaveSlowTarget(cancel func()) bool {
	if c.sent+1 >= c.route.MaxAttempts || !c.out.Resumable() || !c.f.Budget.Reserve(c.f.Now(), c.service) {
		return false
	}
	c.leftSlow.Store(true)
	cancel()
	return true
}

// failureReason returns why an attempt failed. The end of a context has precedence over
// otherwise, which may be only its effect.
func (c *call) failureReason(otherwise string) string {
	switch {
	case c.r.Context().Err() != nil:
		return reasonLeft
	case c.ctx.Err() != nil:
		return reasonTimeout
	case c.leftSlow.Load():
		return reasonSlow
	}
	return otherwise
}

// outgoing returns the values of the headers that the entry adds to a request.
func (c *call) outgoing(instance string, left time.Duration) platform.Outgoing {
	o := platform.Outgoing{Timeout: left, Instance: instance, Priority: -1, ResumeFrom: c.resumeAfter()}
	if c.config.RequiresKeys() {
		o.DropKey = true
	}
	if c.workspace != nil {
		o.Workspace = c.workspace.Name
	}
	return o
}

// resumeAfter returns the ID of the event after which a stream is to be resumed; "" for a whole
// stream.
func (c *call) resumeAfter() string {
	if id := c.out.LastID(); id != "" {
		return id
	}
	return c.in.LastEventID
}

// isMine reports whether a response belongs to this request. One without an ID does: a
// response to another request carries that request's ID.
func (c *call) isMine(h http.Header) bool {
	id := platform.ReadResponse(0, h).ID
	return id == "" || id == c.in.ID
}

// handleResponse passes a target's response on to the caller, or returns what it proves about
// the request.
func (c *call) handleResponse(t *admission.Ticket, a *Attempt, answer *upstream.Answer, meta platform.ResponseInfo) (result, admission.End, string) {
	if meta.Closing {
		answer.DisableReuse()
	}
	if meta.NotRun {
		answer.Finish(c.f.Now(), answer.Discard(), meta.KeepAlive)
		if c.refusedCondition(answer.Status) {
			return resultNotRun, admission.End{}, reasonNotRun
		}
		if meta.WaitsFor != "" {
			c.f.Admission.GroupClosed(c.f.Now(), t.Target())
			return resultNotRun, admission.End{Closed: true}, reasonNotRun
		}
		return resultNotRun, admission.End{Refused: true}, reasonNotRun
	}
	c.f.Admission.ResponseBegun(c.f.Now(), t.Target())
	c.unframed = answer.Unframed
	if answer.Unframed {
		c.watch.Seek(c.f.Now())
	}
	success := answer.Status >= 200 && answer.Status < 300
	if !meta.Stamped || success && (meta.Encoded || meta.ID != c.in.ID) {
		answer.Finish(c.f.Now(), false, 0)
		return resultUnknown, admission.End{Failed: true}, reasonNoProof
	}
	isStream := success && c.route.Kind == routing.Streaming
	if c.out.Begun() && !isStream || isStream && c.out.StartRun(headOf(answer)) != nil {
		return c.leaveStream(answer, reasonNoStream)
	}
	if isStream {
		return c.relay(t, a, answer, meta)
	}
	held := c.f.Space.Hold(t.Target().Address)
	body, err := answer.ReadAll(maxAnswerBytes, held)
	complete := err == nil && c.endProven(t, a)
	answer.Finish(c.f.Now(), complete, meta.KeepAlive)
	if !complete {
		a.Bound = upstream.Bound(err)
		held.Release()
		return resultUnknown, admission.End{Failed: c.ctx.Err() == nil}, c.failureReason(reasonCut)
	}
	if answer.Status >= 500 && c.route.Idempotent() {
		c.failure.release()
		c.failure = &targetAnswer{status: answer.Status, header: answer.Header, body: body, held: held}
		return resultUnknown, admission.End{}, reasonFailed
	}
	c.answer = &targetAnswer{status: answer.Status, header: answer.Header, body: body, held: held}
	return resultDone, admission.End{}, reasonAnswered
}

// targetAnswer is a target's complete response.
type targetAnswer struct {
	status int
	header http.Header
	body   []byte
	held   *space.Hold // of the body
}

// release gives back the space of the response, if there is one.
func (a *targetAnswer) release() {
	if a != nil {
		a.held.Release()
	}
}

// deliverFailure passes the failure response of an earlier attempt on.
func (c *call) deliverFailure() {
	if c.out.Begun() {
		c.abortResponse(reasonFailed)
		return
	}
	c.deliver(c.failure)
}

// deliver passes a complete response on.
func (c *call) deliver(a *targetAnswer) {
	c.rec.Outcome, c.rec.Status = Answered, a.status
	c.rec.First = c.f.Now().Sub(c.begin)
	err := c.out.Respond(delivery.Head{Status: a.status, Header: a.header}, a.body)
	switch {
	case errors.Is(err, delivery.ErrBegun):
		c.abortResponse(reasonNoStream)
	case err != nil:
		c.rec.Outcome, c.rec.Reason = CallerLeft, "notWritten"
	}
}
