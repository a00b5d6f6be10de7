package request

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// EventKind is the kind of an [Event].
type EventKind uint8

// What can happen to a request at the entry.
const (
	Started          EventKind = iota + 1 // the caller's request is complete and valid
	ClaimGranted                          // reply to Claim: this request owns the key
	ClaimTaken                            // reply to Claim: Prior owns the key
	ClaimRefused                          // reply to Claim: the claim failed; Reason, RetryAfter
	Picked                                // reply to Pick: Target, Conn, Incarnation
	NothingPicked                         // reply to Pick: Reason, RetryAfter
	BodyNotSent                           // the sidecar cannot have received the whole body of Attempt
	Received                              // Message was received on Conn
	ConnectionSilent                      // no packet comes on Conn, it was closed, or this request's stream on it was lost
	Connected                             // reply to Connect: Target, Conn, Incarnation
	ConnectFailed                         // reply to Connect: Target
	CallerLeft                            // the caller no longer waits for the response
	Tick                                  // the time of the latest Wake has come
)

// Event is an input of a [Request]. The comment of each [EventKind] names the
// fields that it uses.
type Event struct {
	Kind        EventKind
	Target      host.Name
	Conn        Conn
	Incarnation host.Incarnation // the sidecar's, from its handshake
	Attempt     Attempt
	Message     Message
	Prior       Prior
	Reason      Reason
	RetryAfter  time.Duration
}

// Prior identifies a request that owns an Idempotency-Key, and where it runs.
type Prior struct {
	ID          ID               `cbor:"1,keyasint" json:"id"`
	Target      host.Name        `cbor:"2,keyasint,omitempty" json:"target,omitempty"`
	Incarnation host.Incarnation `cbor:"3,keyasint,omitempty" json:"incarnation,omitempty"`
	Fingerprint uint64           `cbor:"4,keyasint,omitempty" json:"print,omitempty"`
}

// ActionKind is the kind of an [Action].
type ActionKind uint8

// What a request asks its adapter to do.
const (
	Claim        ActionKind = iota + 1 // claim the request's Idempotency-Key for Prior
	MoveClaim                          // update the claim, since the request moves to another target: Prior
	ReleaseClaim                       // free the key, since the request did not run
	Pick                               // choose a target that is not in Tried and connect to it
	Send                               // send Message to Target on Conn
	SendBody                           // send the stored body as Body messages and BodyEnd, after Open
	Connect                            // open a connection to Target that is newer than Conn
	DeliverHead                        // pass Message's Status and Header on to the caller
	Deliver                            // pass Message's Data on to the caller
	Finish                             // report the single outcome to the caller: Result
	Wake                               // send a Tick at At; replaces the previous Wake
	Violated                           // count and log Violation
)

// Action is an instruction to the adapter. The comment of each [ActionKind]
// names the fields that it uses.
type Action struct {
	Kind      ActionKind
	Target    host.Name
	Conn      Conn
	Prior     Prior // for Claim and MoveClaim: this request and the target that it will be sent to
	Tried     []host.Name
	Message   Message
	Result    Result
	At        time.Time
	Violation Violation
}

// Result is the outcome of a request as its caller receives it.
type Result struct {
	Outcome    Outcome       `json:"outcome"`
	Reason     Reason        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Truncated reports that only a part of the response was passed on. The
	// adapter must not end the stream cleanly then.
	Truncated bool   `json:"truncated,omitempty"`
	Attempts  int    `json:"attempts"`
	Delivered uint64 `json:"delivered"` // bytes of the response that were passed on
}
