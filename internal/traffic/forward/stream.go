package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/platform"
)

// streamState is what has been sent to the caller so far, and what to send if all attempts fail.
type streamState struct {
	begun   bool           // the response header has been sent
	lastID  string         // ID of the last event that was sent
	failure *failureAnswer // a target's failure response to pass on if no target gives a better one
}

// count adds an event that a target sent.
func (p *StreamPart) count(id string) {
	if p.Events == 0 {
		p.First = id
	}
	p.Events++
	p.Last = id
}

func contentLength(body []byte) string { return strconv.Itoa(len(body)) }

// relay passes a stream on to the caller, one complete event at a time. If the stream is
// truncated within an event, another target can resume it after the last event that was sent.
func (c *call) relay(t *admission.Ticket, a *Attempt, answer *upstream.Answer, meta platform.ResponseInfo) (result, admission.End, string) {
	events := upstream.NewEvents(answer.Body)
	flusher, _ := c.w.(http.Flusher)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return c.finishStream(answer, meta)
		}
		if err != nil {
			answer.Finish(c.f.Now(), false, 0)
			return resultUnknown, admission.End{Failed: c.ctx.Err() == nil}, c.failureReason(reasonCut)
		}
		t.Progress(c.f.Now())
		a.Stream.count(ev.ID)
		c.beginStream(answer)
		if _, err := c.w.Write(ev.Bytes); err != nil {
			answer.Finish(c.f.Now(), false, 0)
			c.rec.Outcome, c.rec.Reason = CallerLeft, "notWritten"
			return resultDone, admission.End{}, reasonLeft
		}
		c.rec.Events++
		if ev.ID != "" {
			c.stream.lastID = ev.ID
		}
		// Events that arrived together are flushed together.
		if !events.Ready() {
			flusher.Flush()
		}
	}
}

// beginStream sends the response header. It is called at the first event, since until then
// another target can still serve the request with a header of its own.
func (c *call) beginStream(answer *upstream.Answer) {
	if c.stream.begun {
		return
	}
	c.stream.begun = true
	c.rec.First = c.f.Now().Sub(c.begin)
	platform.CopyResponseHeader(c.w.Header(), answer.Header)
	c.rec.Status = answer.Status
	c.w.WriteHeader(answer.Status)
}

// finishStream ends a stream that is complete.
func (c *call) finishStream(answer *upstream.Answer, meta platform.ResponseInfo) (result, admission.End, string) {
	answer.Finish(c.f.Now(), true, meta.KeepAlive)
	c.beginStream(answer)
	c.rec.Outcome, c.rec.Status = Answered, answer.Status
	return resultDone, admission.End{}, reasonAnswered
}
