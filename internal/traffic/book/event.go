package book

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// Peer is where a message came from or goes to: one stream of one connection
// of one life of an entry.
type Peer struct {
	Entry       host.Name
	Incarnation host.Incarnation
	Conn        request.Conn // as the entry's handshake numbered it
	Stream      uint64       // rises with each stream that the entry opens on Conn, from 0
}

// EventKind is the kind of an [Event].
type EventKind uint8

// What can happen to a book.
const (
	Received         EventKind = iota + 1 // Message came from Peer
	StreamClosed                          // Peer's stream is gone; nothing more comes by it. Settled: its entry ended it in good order
	ConnectionClosed                      // Peer's connection is gone; Stream is not used
	Admitted                              // answer to Admit: ID may run now
	Rejected                              // answer to Admit: ID may not run; Reason, RetryAfter
	EngineHead                            // ID's answer has begun: Status, Header
	EngineData                            // the next part of ID's answer: Data
	EngineEnd                             // ID's answer has ended; Reason if it broke off
	EngineNotReached                      // no byte of ID can have reached the engine; after Recover: it has no such run
	Drain                                 // the target is leaving: refuse new work from now on
	Tick                                  // time has passed
)

// Event is something that happened. Which fields are used is told beside each
// [EventKind].
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

// What a book asks of its adapter.
const (
	Send         ActionKind = iota + 1 // send Message to Peer
	CloseStream                        // reset Peer's stream: its message proves nothing and gets no reply
	Admit                              // ask admission to let ID run: Call, Arrived
	Withdraw                           // ID waits for admission no longer
	Run                                // hand ID over to the engine: Call, Header, Body
	Recover                            // go on with ID's answer from its beginning if the engine has the run: Call, Header, Arrived; begin none
	CancelEngine                       // end ID's stream at the engine
	Release                            // ID runs no longer: give its place in admission back
	Drained                            // Drain was asked and nothing waits or runs any more
	Wake                               // give a Tick at At; the latest Wake counts
	Violated                           // count and log Violation
)

// Action is something that the adapter is asked to do. Which fields are used
// is told beside each [ActionKind].
type Action struct {
	Kind      ActionKind
	Peer      Peer
	Message   request.Message
	ID        request.ID
	Call      request.Call
	Header    []request.Field
	Body      []byte
	Arrived   time.Time
	At        time.Time
	Violation request.Violation
}
