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

// streamState is what the caller has of a stream.
type streamState struct {
	begun  bool        // the head and an event went out
	lastID string      // of the last event that went out
	held   *heldAnswer // a failure to pass on if nothing better comes
}

func contentLength(body []byte) string { return strconv.Itoa(len(body)) }

// relay passes a stream on, whole event by whole event. What broke off in the
// middle of one goes on at another target after the last that went out.
func (c *call) relay(t *admission.Ticket, answer *upstream.Answer, meta platform.Answered) (result, admission.End, string) {
	events := upstream.NewEvents(answer.Body)
	flusher, _ := c.w.(http.Flusher)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return c.finishStream(answer, meta)
		}
		if err != nil {
			answer.Finish(c.f.Now(), false, 0)
			return resultUnknown, admission.End{Failed: c.ctx.Err() == nil}, c.why(whyCut)
		}
		t.Progress(c.f.Now())
		c.beginStream(answer)
		if _, err := c.w.Write(ev.Bytes); err != nil {
			answer.Finish(c.f.Now(), false, 0)
			c.rec.Outcome, c.rec.Reason = CallerLeft, "notWritten"
			return resultDone, admission.End{}, whyLeft
		}
		c.rec.Events++
		if ev.ID != "" {
			c.stream.lastID = ev.ID
		}
		// Several events that came together go out together.
		if !events.Ready() {
			flusher.Flush()
		}
	}
}

// beginStream sends the head with the first event. Until then another target can
// still take over with a head of its own.
func (c *call) beginStream(answer *upstream.Answer) {
	if c.stream.begun {
		return
	}
	c.stream.begun = true
	c.rec.First = c.f.Now().Sub(c.begin)
	platform.CopyAnswerHeader(c.w.Header(), answer.Header)
	c.rec.Status = answer.Status
	c.w.WriteHeader(answer.Status)
}

func (c *call) finishStream(answer *upstream.Answer, meta platform.Answered) (result, admission.End, string) {
	answer.Finish(c.f.Now(), true, meta.KeepFor)
	c.beginStream(answer)
	c.rec.Outcome, c.rec.Status = Answered, answer.Status
	return resultDone, admission.End{}, whyAnswered
}
