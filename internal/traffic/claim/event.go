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
	ClaimRequested EventKind = iota + 1 // Owner claims Key, and waits until Until
	Moved                               // Owner has Key, and has moved to another target
	Released                            // Owner provably did not run: free Key
	Replied                             // the platform replied with Reply
	Tick                                // the time of the latest Wake has come
)

// Event is an input of a [Shard]. The comment of each [EventKind] names the
// fields that it uses.
type Event struct {
	Kind       EventKind
	Key        Key
	Owner      request.Prior // the request that claims the key or has it
	Until      time.Time
	MemoryOnly bool // grant from memory alone during an outage of the platform
	Reply      object.Reply
}

// ActionKind is the kind of an [Action].
type ActionKind uint8

// What a shard asks its adapter to do.
const (
	Call     ActionKind = iota + 1 // make Call; its reply is passed to the shard as Replied
	Granted                        // Request owns Key now
	Taken                          // Owner has Key, so Request must not run
	Refused                        // Key cannot be claimed now: Reason, RetryAfter
	Overlap                        // Request was granted Key from memory alone, but the platform records Owner
	Corrupt                        // an object of the shard cannot be decoded: Err; claims wait until it can
	Wake                           // send a Tick at At; replaces the previous Wake
	Violated                       // count and log Violation
)

// Action is an instruction to the adapter. The comment of each [ActionKind]
// names the fields that it uses.
type Action struct {
	Kind       ActionKind
	Call       object.Call
	Key        Key
	Request    request.ID    // the request that claims Key
	Owner      request.Prior // the request that has Key
	MemoryOnly bool          // for Granted: from memory alone
	Reason     request.Reason
	RetryAfter time.Duration
	Err        error
	At         time.Time
	Violation  request.Violation
}
