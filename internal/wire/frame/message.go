package frame

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Version is the version of the wire format that this program uses.
const Version = 1

// Kind is the type of the message in a frame.
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

// Hello opens a connection. It has the identity of the dialling process and the number of
// this connection among those that the process has dialled.
type Hello struct {
	Version    uint16        `cbor:"1,keyasint"`
	Identity   host.Identity `cbor:"2,keyasint"`
	Connection uint64        `cbor:"3,keyasint"`
}

// Welcome answers [Hello]. A non-empty Refusal is the reason why the connection is closed.
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

// Topic is the part of the system that a [Control] message belongs to.
type Topic uint8

// The topics of control messages.
const (
	TopicGroup Topic = iota + 1
	TopicPlan
)

// Control carries a message between two processes that belongs to no request. The part of
// the system named by Topic encodes Payload and checks its bounds.
type Control struct {
	Topic   Topic  `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
}

// Report is the load of a target as its sidecar knows it. It is only a hint: a report is out
// of date when it arrives, and some reports are lost.
type Report struct {
	Sequence    uint64        `cbor:"1,keyasint"`           // increases with each report of one incarnation
	Limit       uint32        `cbor:"2,keyasint"`           // requests that may run at once
	Running     uint32        `cbor:"3,keyasint"`           // requests sent to the target and not finished
	Queued      uint32        `cbor:"4,keyasint"`           // requests queued for admission
	Outstanding int64         `cbor:"5,keyasint"`           // tokens still to be processed for running and queued requests
	Capacity    float64       `cbor:"6,keyasint"`           // tokens per second that the target can process
	Age         time.Duration `cbor:"7,keyasint,omitempty"` // of the report when it was sent
	Leaving     bool          `cbor:"8,keyasint,omitempty"` // the target accepts no new requests in this incarnation
}
