package request

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Attempt numbers the attempts of one request from 1.
type Attempt uint32

// Conn numbers the connections that one incarnation of an entry has opened, to
// all targets together. The numbers rise, so that connections can be compared
// by age.
type Conn uint64

// MessageKind is the kind of a [Message].
type MessageKind uint8

// Messages from entry to sidecar. An attempt uses one stream for Open, Body,
// BodyEnd and Cancel. Resolve uses a separate stream on a newer connection, and
// so does a Cancel that follows it.
const (
	Open    MessageKind = iota + 1 // begins an attempt: Call, Header
	Body                           // a part of the body: Offset, Data
	BodyEnd                        // the body is complete: Offset is its length
	Cancel                         // the entry no longer needs this attempt
	Resolve                        // asks for the state of an attempt: Offset is the first byte wanted; Call, Header, Data (the body) for a later incarnation
)

// Messages from sidecar to entry.
const (
	Seen           MessageKind = iota + 16 // the sidecar knows the attempt, which may run
	Refused                                // proof that the attempt has not run and never will: Reason, RetryAfter
	Head                                   // status and header of the response: Status, Header
	Chunk                                  // a part of the response: Offset, Data
	End                                    // end of the response: Offset is its length; Reason if it is truncated
	UnknownOutcome                         // the sidecar does not know whether the attempt ran: Reason
)

var kindNames = map[MessageKind]string{
	Open: "open", Body: "body", BodyEnd: "bodyEnd", Cancel: "cancel", Resolve: "resolve",
	Seen: "seen", Refused: "refused", Head: "head", Chunk: "chunk", End: "end",
	UnknownOutcome: "unknownOutcome",
}

// String returns the kind's name.
func (k MessageKind) String() string {
	if s, ok := kindNames[k]; ok {
		return s
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Last reports whether a message of this kind is the last one that a sidecar
// sends on a stream.
func (k MessageKind) Last() bool {
	return k == End || k == Refused || k == UnknownOutcome
}

// Field is one HTTP header field. A name may occur more than once.
type Field struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Call is what a sidecar needs to know about a request besides its header and
// body.
type Call struct {
	Service    string        `cbor:"1,keyasint" json:"service"`
	Workspace  string        `cbor:"2,keyasint" json:"workspace"`
	Route      string        `cbor:"3,keyasint,omitempty" json:"route,omitempty"`
	Method     string        `cbor:"4,keyasint" json:"method"`
	Path       string        `cbor:"5,keyasint" json:"path"` // including the query
	Idempotent bool          `cbor:"6,keyasint,omitempty" json:"idempotent"`
	Remaining  time.Duration `cbor:"7,keyasint" json:"remaining"` // until the caller's deadline, when the message is sent
	Cost       int64         `cbor:"8,keyasint,omitempty" json:"cost"`
	Priority   int32         `cbor:"9,keyasint,omitempty" json:"priority"`
}

// Message is one frame between entry and sidecar. The comment of each [MessageKind]
// names the fields that it uses; the others are zero.
type Message struct {
	Kind        MessageKind      `cbor:"1,keyasint"`
	ID          ID               `cbor:"2,keyasint"`
	Attempt     Attempt          `cbor:"3,keyasint"`
	Incarnation host.Incarnation `cbor:"4,keyasint,omitempty"` // of the sidecar that receives or sends the message
	Offset      uint64           `cbor:"5,keyasint,omitempty"`
	Data        []byte           `cbor:"6,keyasint,omitempty"`
	Status      int              `cbor:"7,keyasint,omitempty"`
	Header      []Field          `cbor:"8,keyasint,omitempty"`
	Call        *Call            `cbor:"9,keyasint,omitempty"`
	Reason      Reason           `cbor:"10,keyasint,omitempty"`
	RetryAfter  time.Duration    `cbor:"11,keyasint,omitempty"`
	Join        bool             `cbor:"12,keyasint,omitempty"` // for Resolve and Cancel: ID is that of the earlier request with the same key
	Digest      uint64           `cbor:"13,keyasint,omitempty"` // for Resolve: of the bytes before Offset; 0 if there are none, or not known
}

// Bounds of a [Message].
const (
	MaxDataBytes   = 64 << 10
	MaxFields      = 128
	MaxFieldBytes  = 16 << 10
	MaxTextBytes   = 8 << 10
	MaxRemaining   = time.Hour
	MaxRetryAfter  = time.Hour
	maxReasonBytes = 64
)

// ErrBadMessage reports that a message is out of bounds or incomplete.
var ErrBadMessage = merry.New("bad request message")

// Validate checks that a message from a peer is complete and within bounds.
func (m *Message) Validate() error {
	if _, ok := kindNames[m.Kind]; !ok {
		return bad("unknown kind %d", m.Kind)
	}
	if m.Attempt == 0 {
		return bad("%s without attempt", m.Kind)
	}
	if len(m.Data) > MaxDataBytes {
		return bad("%s with %d bytes of data", m.Kind, len(m.Data))
	}
	if m.RetryAfter < 0 || m.RetryAfter > MaxRetryAfter {
		return bad("retry after %s", m.RetryAfter)
	}
	if len(m.Reason) > maxReasonBytes {
		return bad("reason of %d bytes", len(m.Reason))
	}
	if err := validateHeader(m.Header); err != nil {
		return err
	}
	return m.validateKind()
}

func (m *Message) validateKind() error {
	if m.Call != nil {
		return m.Call.validate()
	}
	switch m.Kind {
	case Open:
		return bad("open without call")
	case Head:
		if m.Status < 100 || m.Status > 999 {
			return bad("status %d", m.Status)
		}
	}
	return nil
}

func (c *Call) validate() error {
	for _, s := range []string{c.Service, c.Workspace, c.Route, c.Method, c.Path} {
		if len(s) > MaxTextBytes {
			return bad("text of %d bytes", len(s))
		}
	}
	if c.Method == "" || c.Path == "" {
		return bad("open without method or path")
	}
	if c.Remaining <= 0 || c.Remaining > MaxRemaining {
		return bad("remaining time %s", c.Remaining)
	}
	if c.Cost < 0 {
		return bad("cost %d", c.Cost)
	}
	return nil
}

func validateHeader(h []Field) error {
	if len(h) > MaxFields {
		return bad("%d header fields", len(h))
	}
	for _, f := range h {
		if len(f.Name)+len(f.Value) > MaxFieldBytes {
			return bad("header field of %d bytes", len(f.Name)+len(f.Value))
		}
	}
	return nil
}

func bad(format string, args ...any) error {
	return merry.Wrap(ErrBadMessage, merry.AppendMessagef(format, args...))
}
