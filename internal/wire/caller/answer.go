package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// bufferLimit is the greatest length of an answer that is buffered until it is complete.
// Such an answer states its outcome in the header, and if it is truncated, the caller
// gets a problem instead.
const bufferLimit = 64 << 10

// Answer passes the answer of one request back to its caller.
type Answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      request.ID

	status    int
	header    []request.Field
	length    int64 // -1 if not known
	buffered  []byte
	buffering bool
	headSent  bool // the status line and the header were sent
	isStream  bool // the answer is an event stream
	written   uint64
	last      []byte // the last bytes written, as many as show whether an event is complete
	err       error
}

// newAnswer returns the answer to a request with a deadline. Without one, a caller that stops reading would keep its
// request, and the memory of it, for ever. Nobody needs the answer after that.
func newAnswer(w http.ResponseWriter, id request.ID, deadline time.Time) *Answer {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(deadline.Add(writeGrace)) // not all writers support deadlines
	return &Answer{w: w, control: control, id: id, length: -1}
}

// Head sets the status and the header of the target's answer.
func (a *Answer) Head(status int, header []request.Field) {
	length := Length(header)
	a.status, a.header, a.length = status, header, length
	a.isStream = isEventStream(header)
	a.buffering = length >= 0 && length <= bufferLimit
	if !a.buffering {
		a.sendHead("")
	}
}

func isEventStream(header []request.Field) bool {
	for _, f := range header {
		if http.CanonicalHeaderKey(f.Name) == "Content-Type" {
			return strings.HasPrefix(f.Value, "text/event-stream")
		}
	}
	return false
}

// sendHead sends the status line and the header. The outcome goes into the header, unless it is
// empty: then an answer of unknown length announces it in a trailer.
func (a *Answer) sendHead(outcome string) {
	h := a.w.Header()
	for _, f := range a.header {
		name := http.CanonicalHeaderKey(f.Name)
		if hopHeaders[name] || ownHeaders[name] {
			continue
		}
		h.Add(name, f.Value)
	}
	h.Set(RequestIDHeader, a.id.String())
	switch {
	case outcome != "":
		h.Set(OutcomeHeader, outcome)
	case a.length < 0:
		h.Set("Trailer", OutcomeHeader)
	}
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	a.w.WriteHeader(a.status)
	a.headSent = true
}

// Write passes bytes of the answer to the caller, or buffers them. It blocks while the caller does
// not read.
func (a *Answer) Write(data []byte) {
	if a.err != nil {
		return
	}
	if a.buffering {
		a.buffered = append(a.buffered, data...)
		return
	}
	n, err := a.w.Write(data)
	a.written += uint64(n)
	a.last = append(a.last, data[max(n-len(eventEnd), 0):n]...)
	a.last = a.last[max(len(a.last)-len(eventEnd), 0):]
	if err == nil {
		err = a.control.Flush()
	}
	a.err = err
}

// Err returns the first error of writing to the caller.
func (a *Answer) Err() error { return a.err }

// Finish ends the answer. It panics with [http.ErrAbortHandler] if the caller has to
// notice that the answer is truncated; net/http then closes the connection.
func (a *Answer) Finish(res request.Result) {
	switch {
	case res.Outcome == request.Answered:
		a.finishComplete()
	case a.headSent:
		a.abort(res)
	default:
		a.SendProblem(res, "")
	}
}

func (a *Answer) finishComplete() {
	if a.buffering {
		a.sendHead(request.Answered.String())
		a.buffering = false
		a.Write(a.buffered)
		return
	}
	if a.length < 0 {
		a.w.Header().Set(OutcomeHeader, request.Answered.String())
	}
}

// eventEnd is the longest end of an event.
const eventEnd = "\n\r\n"

// afterEvent reports whether all events that the caller has got are complete.
func (a *Answer) afterEvent() bool {
	return len(a.last) == 0 || bytes.HasSuffix(a.last, []byte("\n\n")) || bytes.HasSuffix(a.last, []byte(eventEnd))
}

// abort closes the connection, so that the caller notices that the answer is truncated.
// Returning from the handler would end a chunked body as if it were complete. A stream says so in an
// event of its own, unless that would be joined to an event of which the caller has only a part.
func (a *Answer) abort(res request.Result) {
	if a.isStream && a.err == nil && a.afterEvent() {
		body, err := json.Marshal(a.problem(res, ""))
		if err == nil {
			fmt.Fprintf(a.w, "event: %s\ndata: %s\n\n", ErrorEvent, body)
			_ = a.control.Flush() // the connection is closed next, whether this succeeds or not
		}
	}
	panic(http.ErrAbortHandler)
}

func (a *Answer) problem(res request.Result, detail string) Problem {
	return Problem{
		RequestID:    a.id.String(),
		Outcome:      res.Outcome,
		Reason:       res.Reason,
		Detail:       detail,
		RetryAfterMs: res.RetryAfter.Milliseconds(),
	}
}

// SendProblem sends a problem with an outcome other than answered. Nothing else may have been
// sent before.
func (a *Answer) SendProblem(res request.Result, detail string) {
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(RequestIDHeader, a.id.String())
	h.Set(OutcomeHeader, res.Outcome.String())
	h.Set(ReasonHeader, string(res.Reason))
	if res.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(seconds(res.RetryAfter), 10))
	}
	body, err := json.Marshal(a.problem(res, detail))
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(statusOf(res.Outcome, res.Reason))
	a.headSent = true
	_, a.err = a.w.Write(body)
}
