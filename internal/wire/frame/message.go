package frame

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Version is the version of the wire format that this program speaks.
const Version = 1

// Kind says which message a frame carries.
type Kind uint8

// The kinds of frames.
const (
	KindHello Kind = iota + 1
	KindWelcome
	KindPing
	KindPong
	KindControl
	KindReport
	KindOpen
	KindBody
	KindBodyEnd
	KindCancel
	KindResolve
	KindSeen
	KindRefused
	KindHead
	KindChunk
	KindEnd
	KindUnknown
)

// RequestID identifies a request over all of its attempts.
type RequestID [16]byte

// Hello opens a connection: who dials, and the number of this connection among
// all that the dialling process made to the same peer.
type Hello struct {
	Version    uint16        `cbor:"1,keyasint"`
	Identity   host.Identity `cbor:"2,keyasint"`
	Connection uint64        `cbor:"3,keyasint"`
}

// Welcome answers [Hello]. A non-empty Refusal ends the connection.
type Welcome struct {
	Version  uint16        `cbor:"1,keyasint"`
	Identity host.Identity `cbor:"2,keyasint"`
	Refusal  string        `cbor:"3,keyasint,omitempty"`
}

// Ping asks for a [Pong] with the same number.
type Ping struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Pong answers a [Ping].
type Pong struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Topic says which duty a [Control] message belongs to.
type Topic uint8

// The topics of control messages.
const (
	TopicMembers Topic = iota + 1
	TopicAcceptance
	TopicGroup
	TopicPlan
)

// Control carries a message of one of the system's own duties between two
// processes. The duty encodes and bounds Payload itself.
type Control struct {
	Topic   Topic  `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
}

// Report is the load of a target as its sidecar sees it.
type Report struct {
	Sequence    uint64        `cbor:"1,keyasint"` // rises with each report of one incarnation
	Running     uint32        `cbor:"2,keyasint"` // requests handed to the target and not finished
	Queued      uint32        `cbor:"3,keyasint"` // requests admitted but not yet handed over
	Limit       uint32        `cbor:"4,keyasint"` // present concurrency limit
	QueuedCost  uint64        `cbor:"5,keyasint"` // sum of the estimated costs of running and queued requests, in tokens
	StepTime    time.Duration `cbor:"6,keyasint"` // last known step time of the engine; zero if unknown
	Leaving     bool          `cbor:"7,keyasint,omitempty"`
	CacheBlocks []uint64      `cbor:"8,keyasint,omitempty"` // hashes of leading prompt blocks newly cached; a hint
}

// Field is one HTTP header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Open starts an attempt. It names the incarnation that it is meant for: a
// sidecar that restarted refuses it, so a late original cannot run there.
type Open struct {
	ID          RequestID        `cbor:"1,keyasint"`
	Attempt     uint32           `cbor:"2,keyasint"`
	Incarnation host.Incarnation `cbor:"3,keyasint"`
	Service     string           `cbor:"4,keyasint"`
	Workspace   string           `cbor:"5,keyasint"`
	Route       string           `cbor:"6,keyasint"`
	Method      string           `cbor:"7,keyasint"`
	Path        string           `cbor:"8,keyasint"` // with the query
	Header      []Field          `cbor:"9,keyasint,omitempty"`
	Idempotent  bool             `cbor:"10,keyasint,omitempty"`
	Remaining   time.Duration    `cbor:"11,keyasint"` // time left until the caller's deadline
	Cost        uint64           `cbor:"12,keyasint"` // estimate in tokens
	Priority    uint8            `cbor:"13,keyasint"` // lower goes first
	Document    uint64           `cbor:"14,keyasint"` // number of the accepted document that the entry routed by
	Length      int64            `cbor:"15,keyasint"` // length of the body; -1 if not known
}

// Body carries the next bytes of the request's body.
type Body struct {
	Data []byte `cbor:"1,keyasint"`
}

// BodyEnd ends the request's body.
type BodyEnd struct {
	Total uint64 `cbor:"1,keyasint"`
}

// Cancel tells the sidecar that nobody waits for this attempt any more.
type Cancel struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
}

// Resolve asks, on a fresh connection, what became of an attempt. A sidecar that
// never saw it answers [Refused] and will refuse the late original; otherwise
// the answer is attached again from Offset.
type Resolve struct {
	ID          RequestID        `cbor:"1,keyasint"`
	Attempt     uint32           `cbor:"2,keyasint"`
	Incarnation host.Incarnation `cbor:"3,keyasint"`
	Offset      uint64           `cbor:"4,keyasint"`
}

// Seen says that the sidecar has the attempt in its book.
type Seen struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
}

// Refused says that the attempt was not run and never will be.
type Refused struct {
	ID         RequestID     `cbor:"1,keyasint"`
	Attempt    uint32        `cbor:"2,keyasint"`
	Reason     string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Report     *Report       `cbor:"5,keyasint,omitempty"`
}

// Head carries the status and the header of the target's answer.
type Head struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
	Status  int       `cbor:"3,keyasint"`
	Header  []Field   `cbor:"4,keyasint,omitempty"`
	Length  int64     `cbor:"5,keyasint"` // length of the body; -1 if not known
}

// Chunk carries bytes of the answer's body that begin at Offset.
type Chunk struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
	Offset  uint64    `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint"`
}

// End ends an answer. Broken means that the target's answer stopped before its end.
type End struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
	Total   uint64    `cbor:"3,keyasint"`
	Broken  bool      `cbor:"4,keyasint,omitempty"`
	Reason  string    `cbor:"5,keyasint,omitempty"`
	Report  *Report   `cbor:"6,keyasint,omitempty"`
}

// Unknown says that the sidecar cannot tell whether the attempt was run.
type Unknown struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
	Reason  string    `cbor:"3,keyasint"`
}
