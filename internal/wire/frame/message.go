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
	KindRequest
)

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
	TopicGroup Topic = iota + 1
	TopicPlan
)

// Control carries a message of one of the system's own duties between two
// processes. The duty encodes and bounds Payload itself.
type Control struct {
	Topic   Topic  `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
}

// Report is the load of a target as its sidecar sees it. It is a hint: it is
// late when it arrives, and some are lost.
type Report struct {
	Sequence    uint64        `cbor:"1,keyasint"` // rises with each report of one incarnation
	Limit       uint32        `cbor:"2,keyasint"` // requests that may run at once
	Running     uint32        `cbor:"3,keyasint"` // requests handed to the target and not finished
	Queued      uint32        `cbor:"4,keyasint"` // requests that wait for admission
	Outstanding int64         `cbor:"5,keyasint"` // tokens of work of both
	Capacity    float64       `cbor:"6,keyasint"` // tokens a second that the target can finish
	Age         time.Duration `cbor:"7,keyasint,omitempty"`
	Leaving     bool          `cbor:"8,keyasint,omitempty"` // the target takes no new work in this incarnation
}
