// Package delivery sends a caller its response, and keeps what it has been sent.
//
// All that a caller receives passes through a [Delivery]. So a response that has begun is only
// continued by events that follow those sent before, and it looks complete only if its end is proven.
package delivery

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/platform"
)

// Errors of deliveries. Nothing of what they are about was sent.
var (
	// ErrBegun reports a response for a caller that is receiving another one.
	ErrBegun = merry.New("a response has begun")
	// ErrOutOfOrder reports an event that does not follow the events that the caller has.
	ErrOutOfOrder = merry.New("the event is out of order")
	// ErrEndsEarly reports the end of a run before an event that an earlier run had begun.
	ErrEndsEarly = merry.New("the stream ends before an event that had begun")
	// ErrNotWritten reports that the connection to the caller failed.
	ErrNotWritten = merry.New("the caller has disconnected")
)

// Head is the status and the header of a target's response.
type Head struct {
	Status int
	Header http.Header
}

// mediaType returns the content type without its parameters.
func (h Head) mediaType() string {
	name, _, _ := strings.Cut(h.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// continues reports whether the body behind a head may go on with the stream behind another.
func (h Head) continues(begun Head) bool {
	this, that := h.mediaType(), begun.mediaType()
	return h.Status == begun.Status && (this == that || this == "" || that == "")
}

// Delivery is the response to one request of a caller: a complete response, or a stream of which
// several runs may have sent parts. Only [Delivery.Resumable] is safe for concurrent use.
type Delivery struct {
	w      http.ResponseWriter
	order  order
	begun  bool
	ended  bool
	head   Head // of the response that has begun
	events int
}

// New returns the delivery of the response to a caller that asks for the events of a stream after the
// one with the given ID; "" if it asks for a whole response.
func New(w http.ResponseWriter, after string) *Delivery {
	d := &Delivery{w: w}
	d.order.startAfter(after)
	return d
}

// Begun reports whether the caller has been sent a part of a response.
func (d *Delivery) Begun() bool { return d.begun }

// Events returns the number of events that were sent.
func (d *Delivery) Events() int { return d.events }

// LastID returns the ID of the last event that the caller has; "" if it has none.
func (d *Delivery) LastID() string { return d.order.lastID }

// Resumable reports whether another run can go on after the events that were sent.
func (d *Delivery) Resumable() bool { return !d.order.unnumbered.Load() }

// Controller returns the controller of the caller's connection.
func (d *Delivery) Controller() *http.ResponseController { return http.NewResponseController(d.w) }

// SetNumbering sets how the servers that send the stream number its events. Without it, each number must
// be one above the last.
func (d *Delivery) SetNumbering(n *Numbering) { d.order.numbering = n }

// SetHeader sets a header of a response that has not begun.
func (d *Delivery) SetHeader(name, value string) { d.w.Header().Set(name, value) }

// Respond sends a target's complete response.
func (d *Delivery) Respond(h Head, body []byte) error {
	if d.begun {
		return ErrBegun
	}
	d.SetHeader("Content-Length", strconv.Itoa(len(body)))
	d.begin(h)
	d.ended = true
	if _, err := d.w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return merry.Wrap(ErrNotWritten, merry.AppendMessage(err.Error()))
	}
	return nil
}

// Reply sends an empty response of the entry itself to the request with an ID.
func (d *Delivery) Reply(status int, id string) error {
	if d.begun {
		return ErrBegun
	}
	platform.SetRequestID(d.w.Header(), id)
	d.SetHeader("Content-Length", "0")
	d.begin(Head{Status: status})
	d.ended = true
	return nil
}

// StartRun prepares for the events of a target's run. A run that goes on with a stream must have the
// status and the content type of the run that began it.
func (d *Delivery) StartRun(h Head) error {
	if d.begun && !h.continues(d.head) {
		return ErrBegun
	}
	d.order.startRun()
	return nil
}

// Event sends an event of the run, with the head of its response if it is the first of the stream. It
// is kept in a buffer if more events follow at once.
func (d *Delivery) Event(h Head, ev upstream.Event, more bool) error {
	if err := d.order.admit(ev); err != nil {
		return errors.Join(err, d.flush())
	}
	d.begin(h)
	if _, err := d.w.Write(ev.Bytes); err != nil {
		return merry.Wrap(ErrNotWritten, merry.AppendMessage(err.Error()))
	}
	d.events++
	if more {
		return nil
	}
	return d.flush()
}

// flush sends the events that are in the buffer.
func (d *Delivery) flush() error {
	if !d.begun {
		return nil
	}
	if err := d.Controller().Flush(); err != nil {
		return merry.Wrap(ErrNotWritten, merry.AppendMessage(err.Error()))
	}
	return nil
}

// Cut notes that the run was cut off within an event, so that the stream goes on after its last event.
func (d *Delivery) Cut() { d.order.partial = true }

// End ends the stream with the end of a run, which the target has proven.
func (d *Delivery) End(h Head) error {
	if d.order.partial {
		return ErrEndsEarly
	}
	d.begin(h)
	d.ended = true
	return nil
}

func (d *Delivery) begin(h Head) {
	if d.begun {
		return
	}
	d.begun, d.head = true, h
	platform.CopyResponseHeader(d.w.Header(), h.Header)
	d.w.WriteHeader(h.Status)
}

// Close ends the use of the delivery. A response that has begun and not ended is aborted, as the server
// would end it as a complete one: Close does not return then.
func (d *Delivery) Close() {
	if d.begun && !d.ended {
		d.Abort()
	}
}

// Abort aborts a response that has begun so that the caller can't take it for a complete one. It does
// not return.
func (d *Delivery) Abort() {
	panic(http.ErrAbortHandler)
}
