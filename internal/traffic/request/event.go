package request

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// EventKind is the kind of an [Event].
type EventKind uint8

// What can happen to a request at the entry.
const (
	Started          EventKind = iota + 1 // the caller's request is complete and checked
	ClaimGranted                          // answer to Claim: the key is this request's
	ClaimTaken                            // answer to Claim: the key belongs to Prior
	ClaimRefused                          // answer to Claim: Reason, RetryAfter
	Picked                                // answer to Pick: Target, Conn, Incarnation
	NothingPicked                         // answer to Pick: Reason, RetryAfter
	NotSent                               // Attempt's body cannot have reached the sidecar whole
	Received                              // Message came by Conn
	ConnectionSilent                      // Conn gives no packet, was closed, or lost this request's stream
	Connected                             // answer to Connect: Target, Conn, Incarnation
	ConnectFailed                         // answer to Connect: Target
	CallerLeft                            // the caller went away
	Tick                                  // the time of the last Wake has come
)

// Event is something that happened. Which fields are used is told beside each
// [EventKind].
type Event struct {
	Kind        EventKind
	Target      host.Name
	Conn        Conn
	Incarnation host.Incarnation // the sidecar's, as its handshake gave it
	Attempt     Attempt
	Message     Message
	Prior       Prior
	Reason      Reason
	RetryAfter  time.Duration
}

// Prior is the earlier request that holds an Idempotency-Key.
type Prior struct {
	ID          ID               `cbor:"1,keyasint" json:"id"`
	Target      host.Name        `cbor:"2,keyasint,omitempty" json:"target,omitempty"`
	Incarnation host.Incarnation `cbor:"3,keyasint,omitempty" json:"incarnation,omitempty"`
	Print       uint64           `cbor:"4,keyasint,omitempty" json:"print,omitempty"`
}

// ActionKind is the kind of an [Action].
type ActionKind uint8

// What a request asks of its adapter.
const (
	Claim       ActionKind = iota + 1 // claim the request's Idempotency-Key for Prior
	Reclaim                           // the key's request goes to another target now: Prior
	Unclaim                           // the request did not run: free its key
	Pick                              // choose a target that is not in Tried, and connect to it
	Send                              // send Message to Target by Conn
	SendBody                          // send the kept body as Body messages and BodyEnd, after Open
	Connect                           // open a connection to Target that is newer than Conn
	DeliverHead                       // pass Message's Status and Header on to the caller
	Deliver                           // pass Message's Data on to the caller
	Finish                            // the only outcome: Result
	Wake                              // give a Tick at At; the latest Wake counts
	Violated                          // count and log Violation
)

// Action is something that the adapter is asked to do. Which fields are used
// is told beside each [ActionKind].
type Action struct {
	Kind      ActionKind
	Target    host.Name
	Conn      Conn
	Prior     Prior // on Claim and Reclaim: this request and the target that it will be sent to
	Tried     []host.Name
	Message   Message
	Result    Result
	At        time.Time
	Violation Violation
}

// Result is what the caller is told at the end.
type Result struct {
	Outcome    Outcome       `json:"outcome"`
	Reason     Reason        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Truncated tells that a part of an answer was passed on and no more will
	// come. The adapter must not end the stream cleanly.
	Truncated bool   `json:"truncated,omitempty"`
	Attempts  int    `json:"attempts"`
	Delivered uint64 `json:"delivered"` // bytes of the answer
}
