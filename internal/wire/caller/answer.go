package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// holdBytes is the longest answer that is held back until it is whole. Such an
// answer can state its outcome in the header, and if it breaks off the caller
// gets a problem in its place.
const holdBytes = 64 << 10

// Answer passes the answer of one request back to its caller.
type Answer struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	id       request.ID
	deadline time.Time

	status  int
	header  []request.Field
	length  int64 // -1 if not known
	held    []byte
	holding bool
	begun   bool // the status line is out
	events  bool // an event stream
	written uint64
	err     error
}

func newAnswer(w http.ResponseWriter, id request.ID, deadline time.Time) *Answer {
	return &Answer{w: w, control: http.NewResponseController(w), id: id, deadline: deadline, length: -1}
}

// Head takes the status and the header of the target's answer.
func (a *Answer) Head(status int, header []request.Field) {
	length := Length(header)
	a.status, a.header, a.length = status, header, length
	a.events = isEventStream(header)
	a.holding = length >= 0 && length <= holdBytes
	// A caller that stops reading would hold its request, and the memory that
	// goes with it, for ever. No answer is worth more than its deadline.
	_ = a.control.SetWriteDeadline(a.deadline.Add(writeGrace)) // not all writers have one
	if !a.holding {
		a.begin("")
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

// begin sends the status line and the header.
func (a *Answer) begin(outcome string) {
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
	a.begun = true
}

// Data passes bytes of the answer on. It blocks while the caller does not read.
func (a *Answer) Data(data []byte) {
	if a.err != nil {
		return
	}
	if a.holding {
		a.held = append(a.held, data...)
		return
	}
	n, err := a.w.Write(data)
	a.written += uint64(n)
	if err == nil {
		err = a.control.Flush()
	}
	a.err = err
}

// Err returns the first error of writing to the caller.
func (a *Answer) Err() error { return a.err }

// Finish ends the answer. It panics with http.ErrAbortHandler where the caller
// has to see that the answer is not whole; net/http then resets the connection.
func (a *Answer) Finish(res request.Result) {
	switch {
	case res.Outcome == request.Answered:
		a.finishWhole()
	case a.begun:
		a.breakOff(res)
	default:
		a.Problem(res, "")
	}
}

func (a *Answer) finishWhole() {
	if a.holding {
		a.begin(request.Answered.String())
		a.holding = false
		a.Data(a.held)
		return
	}
	if a.length < 0 {
		a.w.Header().Set(OutcomeHeader, request.Answered.String())
	}
}

// breakOff makes a short answer visible as short. Returning from the handler
// would end a chunked body as if it were whole.
func (a *Answer) breakOff(res request.Result) {
	if a.events && a.err == nil {
		body, err := json.Marshal(a.problem(res, ""))
		if err == nil {
			fmt.Fprintf(a.w, "event: %s\ndata: %s\n\n", ErrorEvent, body)
			_ = a.control.Flush() // the connection is reset next in any case
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

// Problem answers with an outcome other than answered, before anything else
// has been sent.
func (a *Answer) Problem(res request.Result, detail string) {
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
	a.begun = true
	_, a.err = a.w.Write(body)
}
