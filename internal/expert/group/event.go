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
	Engine      order.Capabilities
	Resend      time.Duration // interval between repeated messages to a rank, and between reads of the engine
	Wait        time.Duration // time that a rank waits for an outcome before ranks begin to ask each other
	Turn        time.Duration // time after which the number of asking ranks doubles
	ReformAfter time.Duration // time without an outcome after which the group forms again
	Heartbeat   time.Duration // interval between two heartbeats to the keepers
	Keep        time.Duration // time that weights of a refused map are kept for a next attempt
	Retry       time.Duration // delay before an order that failed is given again
	Chunk       time.Duration // loading time, at the rank's rate, of the weights in one order to load
	Rate        int64         // bytes per second from the weight store while the group forms
	ExpertBytes int64         // size of the weights of one expert in one layer, while the group forms
}

// Defaults of [Config].
const (
	DefaultResend      = 100 * time.Millisecond
	DefaultWait        = 300 * time.Millisecond
	DefaultTurn        = 150 * time.Millisecond
	DefaultReformAfter = 10 * time.Second
	DefaultKeep        = 30 * time.Second
	DefaultRetry       = 50 * time.Millisecond
	DefaultHeartbeat   = 5 * time.Second
	DefaultChunk       = 500 * time.Millisecond

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
	set(&c.ReformAfter, DefaultReformAfter)
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

// EventKind is the kind of an [Event].
type EventKind uint8

// The kinds of events. A [Proposer] handles Tick, Received and Start; a [Switch]
// handles all but Start.
const (
	Tick           EventKind = iota + 1 // the time of [Switch.Deadline] has come
	Formed                              // the group's record is Event.Record, as read from the platform
	KeepersChanged                      // Event.Keepers are the hosts whose [EpochFormer] forms the group again on request
	Received                            // Event.Message came from Event.From
	OrderDone                           // an order ended: Event.Result
	ReadBack                            // the engine reported its state, or that it can't: Event.State
	StepRead                            // the first step that the engine hasn't begun is Event.Next
	FenceRead                           // the current fence of the planning lease is Event.Fence
	Start                               // a planner proposes Event.Proposal
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

// ActionKind is the kind of an [Action].
type ActionKind uint8

// The kinds of actions. A [Proposer] returns Send, Ended and Violate; a [Switch]
// returns all but Ended.
const (
	Send         ActionKind = iota + 1 // send Action.Message to Action.To; it may be lost
	SubmitOrder                        // give Action.Order to the guard in front of the engine
	ReadEngine                         // ask the engine for its state
	MapActivated                       // all ranks use the map Action.Record.Number; it may be stored later
	RequestEpoch                       // the group has to form under a new epoch, for the reason Action.Text
	Ended                              // the proposal is Action.Vote, which is Committed or Refused for Action.Reason
	Violate                            // an invariant does not hold: Action.Text
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
