package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// Config sets up a [Switch]. Zero durations take the defaults.
type Config struct {
	Group       string
	Self        host.Name
	Incarnation host.Incarnation
	Engine      order.Engine
	Resend      time.Duration // between two questions to the same rank
	Wait        time.Duration // a rank waits so long for an outcome before it asks
	Turn        time.Duration // then the ranks begin to ask in doubling numbers, a turn apart
	DeadAfter   time.Duration // a group whose switch can't end for so long forms again
	Heartbeat   time.Duration // between two words to the keepers
	Keep        time.Duration // weights of a refused map are kept for a next attempt
	Retry       time.Duration // between two attempts at an order
	Chunk       time.Duration // how much loading one order asks for, at the rank's rate
	Rate        int64         // bytes a second from the weight store while forming
	ExpertBytes int64         // weights of one expert of one layer, while forming
}

// Defaults of [Config].
const (
	DefaultResend    = 100 * time.Millisecond
	DefaultWait      = 300 * time.Millisecond
	DefaultTurn      = 150 * time.Millisecond
	DefaultDeadAfter = 10 * time.Second
	DefaultKeep      = 30 * time.Second
	DefaultRetry     = 50 * time.Millisecond
	DefaultHeartbeat = 5 * time.Second
	DefaultChunk     = 500 * time.Millisecond

	DefaultRate        = 256 << 20
	DefaultExpertBytes = 44 << 20
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	set(&c.Resend, DefaultResend)
	set(&c.Wait, DefaultWait)
	set(&c.Turn, DefaultTurn)
	set(&c.DeadAfter, DefaultDeadAfter)
	set(&c.Keep, DefaultKeep)
	set(&c.Retry, DefaultRetry)
	set(&c.Heartbeat, DefaultHeartbeat)
	set(&c.Chunk, DefaultChunk)
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	if c.ExpertBytes <= 0 {
		c.ExpertBytes = DefaultExpertBytes
	}
	return c
}

// EventKind tells what happened.
type EventKind uint8

// The kinds of events. A [Proposer] takes Tick, Received and Start.
const (
	Tick      EventKind = iota + 1 // the time of [Switch.Deadline] has come
	Formed                         // Event.Record was read from the platform
	Kept                           // Event.Keepers are the hosts that form the group anew when asked
	Received                       // Event.Message came from Event.From
	OrderDone                      // an order ended: Event.Result
	ReadBack                       // the engine told its state, or that it can't: Event.State
	Stepped                        // the first step that the engine hasn't begun is Event.Next
	Fenced                         // Event.Fence is the planning lease's current fence
	Start                          // propose Event.Proposal
)

// Event is an input of [Switch.Handle] and [Proposer.Handle].
type Event struct {
	Kind    EventKind
	Record  *Record
	Keepers []host.Name
	From    host.Name
	Message Message
	Result  order.Result
	State   order.State
	Next    uint64
	Fence   lease.Fence

	Proposal *Proposal
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions. A [Proposer] gives Send, Ended and Violate.
const (
	Send    ActionKind = iota + 1 // send Action.Message to Action.To; it may be lost
	Give                          // give Action.Order to the guard in front of the engine
	Read                          // ask the engine for its state
	InForce                       // all ranks use the map Action.Record.Number; write it down when convenient
	Reform                        // the group has to form under a new epoch: Action.Text says why
	Ended                         // the proposal ended as Action.Vote, Committed or Refused, because of Action.Reason
	Violate                       // an invariant does not hold: Action.Text
)

// Action is an output of [Switch.Handle] and [Proposer.Handle].
type Action struct {
	Kind    ActionKind
	To      host.Name
	Message Message
	Order   order.Order
	Record  Record
	Vote    Vote
	Reason  Reason
	Text    string
}
