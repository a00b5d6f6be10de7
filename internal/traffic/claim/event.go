package claim

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// EventKind is the kind of an [Event].
type EventKind uint8

// What can happen to a shard.
const (
	Asked    EventKind = iota + 1 // Owner wants Key, and waits until Until
	Moved                         // Owner has Key, and goes to another target than before
	Released                      // Owner has provably not run: free Key
	Replied                       // the platform's Reply
	Tick                          // the time of the last Wake has come
)

// Event is something that happened. Which fields are used is told beside each
// [EventKind].
type Event struct {
	Kind       EventKind
	Key        Key
	Owner      request.Prior // the request that asks or gives up
	Until      time.Time
	MemoryOnly bool // go on without the platform while it is out
	Reply      object.Reply
}

// ActionKind is the kind of an [Action].
type ActionKind uint8

// What a shard asks of its adapter.
const (
	Call     ActionKind = iota + 1 // make Call; its Reply comes back as Replied
	Granted                        // Request owns Key now
	Taken                          // Key belongs to Owner, so Request must not run
	Refuse                         // Key cannot be claimed now: Reason, RetryAfter
	Overlap                        // Key was granted from memory alone, and the platform has it for Owner
	Corrupt                        // an object of the shard cannot be read: Err; claims wait until it can
	Wake                           // give a Tick at At; the latest Wake counts
	Violated                       // count and log Violation
)

// Action is something that the adapter is asked to do. Which fields are used
// is told beside each [ActionKind].
type Action struct {
	Kind       ActionKind
	Call       object.Call
	Key        Key
	Request    request.ID    // that asked
	Owner      request.Prior // that has Key
	MemoryOnly bool          // Granted from memory alone
	Reason     request.Reason
	RetryAfter time.Duration
	Err        error
	At         time.Time
	Violation  request.Violation
}
