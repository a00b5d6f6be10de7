package forward

import (
	"errors"
	"io"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/delivery"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/platform"
)

// count adds an event that a target sent.
func (p *StreamPart) count(id string) {
	if p.Events == 0 {
		p.First = id
	}
	p.Events++
	p.Last = id
}

// relay passes a stream on to the caller, one complete event at a time. If the stream is
// truncated, another target can resume it after the last event that was sent.
func (c *call) relay(t *admission.Ticket, a *Attempt, answer *upstream.Answer, meta platform.ResponseInfo) (result, admission.End, string) {
	events := upstream.NewEvents(answer.Body)
	head := delivery.Head{Status: answer.Status, Header: answer.Header}
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return c.finishStream(t, a, answer, meta)
		}
		if err != nil {
			if events.Inside() {
				c.out.Cut()
			}
			return c.leaveTruncated(answer)
		}
		t.Progress(c.f.Now())
		a.Stream.count(ev.ID)
		// Events that arrived together are flushed together.
		err = c.out.Event(head, ev, events.Ready())
		if errors.Is(err, delivery.ErrNotWritten) {
			answer.Finish(c.f.Now(), false, 0)
			c.rec.Outcome, c.rec.Reason = CallerLeft, "notWritten"
			return resultDone, admission.End{}, reasonLeft
		}
		if err != nil {
			return c.leaveStream(answer, reasonOutOfOrder)
		}
		c.noteFirst(answer.Status)
	}
}

// noteFirst records when the caller was sent the beginning of a stream.
func (c *call) noteFirst(status int) {
	if c.rec.First == 0 {
		c.rec.First, c.rec.Status = c.f.Now().Sub(c.begin), status
	}
}

// leaveTruncated ends an attempt whose stream is truncated.
func (c *call) leaveTruncated(answer *upstream.Answer) (result, admission.End, string) {
	answer.Finish(c.f.Now(), false, 0)
	return resultUnknown, admission.End{Failed: c.ctx.Err() == nil}, c.failureReason(reasonCut)
}

// leaveStream ends an attempt whose response does not go on with what the caller has.
func (c *call) leaveStream(answer *upstream.Answer, reason string) (result, admission.End, string) {
	answer.Finish(c.f.Now(), false, 0)
	return resultUnknown, admission.End{}, reason
}

// finishStream ends a stream whose target has ended it, if that proves that it is complete.
func (c *call) finishStream(t *admission.Ticket, a *Attempt, answer *upstream.Answer, meta platform.ResponseInfo) (result, admission.End, string) {
	if a.Unframed && (a.Stream.Events == 0 && a.Stream.ResumeAfter == "" || !c.targetRuns(t)) {
		return c.leaveTruncated(answer)
	}
	if err := c.out.End(delivery.Head{Status: answer.Status, Header: answer.Header}); err != nil {
		return c.leaveStream(answer, reasonEndsEarly)
	}
	answer.Finish(c.f.Now(), true, meta.KeepAlive)
	c.noteFirst(answer.Status)
	c.rec.Outcome, c.rec.Status = Answered, answer.Status
	return resultDone, admission.End{}, reasonAnswered
}
