package workspace

import "time"

// Name identifies a workspace.
type Name string

// Ticket identifies a request in a [Queue]. The caller chooses it, unique among
// the requests that the queue holds.
type Ticket uint64

// Priority orders requests.
type Priority uint8

// The priorities, by the numbers that documents and messages use; any other
// number counts as Normal. Normal and High order a workspace's own requests only,
// so that no workspace gains from marking all of its requests as High. Background
// requests of all workspaces wait until nothing else does.
const (
	Background Priority = iota + 1
	Normal
	High
)

// Request is a request that asks to be admitted.
type Request struct {
	Ticket    Ticket
	Workspace Name
	Priority  Priority
	Tokens    int64     // estimated work; at least 1
	Deadline  time.Time // the answer must be complete by then
}

// EventKind says what happened.
type EventKind uint8

// The events that a [Queue] handles.
const (
	Arrive   EventKind = iota + 1 // Request asks to be admitted
	Finished                      // the request of Ticket has ended at the target
	Cancel                        // the caller of Ticket went away
	Step                          // the engine reports StepTime
	Leave                         // the target is leaving; new requests are refused
	Tick                          // the timer that SetTimer asked for
)

// Event is one thing that happened. Only the fields that its kind names count.
type Event struct {
	Kind     EventKind
	Request  Request       // Arrive
	Ticket   Ticket        // Finished, Cancel
	Tokens   int64         // Finished: the work that it turned out to be; zero if not known
	Failed   bool          // Finished: the target gave no whole answer
	StepTime time.Duration // Step: time of a step lately
}

// ActionKind says what the caller of [Queue.Handle] has to do.
type ActionKind uint8

// The actions of a [Queue].
const (
	Start    ActionKind = iota + 1 // hand the request of Ticket to the target
	Refuse                         // answer the request of Ticket with "not run"
	SetTimer                       // send Tick at At; replaces the earlier timer
	Violated                       // an invariant does not hold; see Violation
)

// Reason says why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	DeadlineTooClose Reason = iota + 1 // it can't be complete by its deadline
	QueueFull                          // the queue is full, and its workspace has its share of it
	Leaving                            // the target is leaving
	Malformed                          // the request has no work, or its ticket is in use
)

// String returns the name of the reason, as used in metrics.
func (r Reason) String() string {
	switch r {
	case DeadlineTooClose:
		return "deadlineTooClose"
	case QueueFull:
		return "queueFull"
	case Leaving:
		return "leaving"
	case Malformed:
		return "malformed"
	default:
		return "unknown"
	}
}

// Action is one thing to do. Only the fields that its kind names count.
type Action struct {
	Kind       ActionKind
	Ticket     Ticket        // Start, Refuse
	Reason     Reason        // Refuse
	RetryAfter time.Duration // Refuse: when another try may succeed
	At         time.Time     // SetTimer
	Violation  Violation     // Violated
}

// Share gives a workspace a weight other than the default.
type Share struct {
	Workspace Name
	Weight    float64
}

// Config holds the settings of a [Queue]. Zero values take the defaults of
// [DefaultConfig].
type Config struct {
	FirstLimit     int           // requests running at once, to begin with
	MinLimit       int           // the limit never falls below
	MaxLimit       int           // the limit never rises above
	StepTarget     time.Duration // step time that the limit aims at, for engines that report steps
	SlowFactor     float64       // for targets that don't: call time over the fastest lately, at which the limit falls
	QueueLimit     int           // requests waiting at once
	Weight         float64       // weight of a workspace that Shares does not name
	Shares         []Share       // weights by workspace
	BackgroundPart float64       // part of the limit that background requests may take
	WaitPart       float64       // part of the time to its deadline that a request may wait
	ServiceMargin  float64       // time that a request is given at the target, over the mean for its tokens
	FirstPerToken  time.Duration // time that a request takes per token, until measured
}

// DefaultConfig returns the settings that the measurements were made with.
func DefaultConfig() Config {
	return Config{
		FirstLimit:     32,
		MinLimit:       2,
		MaxLimit:       512,
		StepTarget:     20 * time.Millisecond,
		SlowFactor:     2,
		QueueLimit:     256,
		Weight:         1,
		BackgroundPart: 0.5,
		WaitPart:       0.25,
		ServiceMargin:  1.25,
		FirstPerToken:  5 * time.Millisecond,
	}
}

// Load is what the sidecar reports about its target.
type Load struct {
	Limit       int     `json:"limit"`       // requests that may run at once
	Running     int     `json:"running"`     // requests that run
	Queued      int     `json:"queued"`      // requests that wait
	Outstanding int64   `json:"outstanding"` // tokens of both
	Capacity    float64 `json:"capacity"`    // tokens a second that the target can finish
}

// Violation is an invariant that does not hold, with the evidence.
type Violation struct {
	Invariant string
	Evidence  string
}
