package book

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// Peer is the source or destination of a message: one stream of one connection
// of one incarnation of an entry.
type Peer struct {
	Entry       host.Name
	Incarnation host.Incarnation
	Conn        request.Conn // number from the entry's handshake
	Stream      uint64       // counts the streams that the entry opens on Conn, from 0
}

// EventKind is the kind of an [Event].
type EventKind uint8

// Kinds of events.
const (
	Received         EventKind = iota + 1 // Message arrived from Peer
	StreamClosed                          // Peer's stream has ended, no more messages follow; Settled: its entry closed it in good order
	ConnectionClosed                      // Peer's connection has ended; Stream is not used
	Admitted                              // reply to Admit: ID may run now
	Rejected                              // reply to Admit: ID must not run; Reason, RetryAfter
	EngineHead                            // ID's answer has begun: Status, Header
	EngineData                            // the next part of ID's answer: Data
	EngineEnd                             // ID's answer has ended; Reason is set if it broke off
	EngineNotReached                      // no byte of ID can have reached the engine; after Recover: the engine has no such run
	Drain                                 // the target is leaving: refuse new requests from now on
	Tick                                  // time has passed
)

// Event is an input of a book. The comment of each [EventKind] names the fields that
// it uses.
type Event struct {
	Kind       EventKind
	Peer       Peer
	Settled    bool
	Message    request.Message
	ID         request.ID
	Status     int
	Header     []request.Field
	Data       []byte
	Reason     request.Reason
	RetryAfter time.Duration
}

// ActionKind is the kind of an [Action].
type ActionKind uint8

// Kinds of actions.
const (
	Send         ActionKind = iota + 1 // send Message to Peer; Join: its stream is that of another request with the same key
	CloseStream                        // reset Peer's stream: its message gets no reply
	Admit                              // ask admission to let ID run: Call, Arrived
	Withdraw                           // cancel the Admit of ID
	Run                                // dispatch ID to the engine: Call, Header, Body
	Recover                            // get ID's answer again from its beginning if the engine has the run, but start no run: Call, Header, Body, Arrived
	CancelEngine                       // end ID's stream at the engine
	Release                            // ID no longer runs: release its request slot in admission
	Drained                            // the book is draining and no request waits or runs any more
	Wake                               // send a Tick at At; replaces any earlier Wake
	Violated                           // count and log Violation
)

// Action is a request of the book to its adapter. The comment of each [ActionKind]
// names the fields that it uses.
type Action struct {
	Kind      ActionKind
	Peer      Peer
	Message   request.Message
	Join      bool
	ID        request.ID
	Call      request.Call
	Header    []request.Field
	Body      []byte
	Arrived   time.Time
	At        time.Time
	Violation request.Violation
}
