package workspace

import "time"

// Name identifies a workspace.
type Name string

// Ticket identifies a request in a [Queue]. The caller chooses it, unique among
// the requests that the queue holds.
type Ticket uint64

// Priority is the priority of a request.
type Priority uint8

// The priorities have the numbers that documents and messages use; any other number
// counts as Normal. Normal and High only order the requests of one workspace, so that
// no workspace gains from sending all of its requests as High. Background requests of
// all workspaces start only while no other requests are queued.
const (
	Background Priority = iota + 1
	Normal
	High
)

// Request is a request to be admitted.
type Request struct {
	Ticket    Ticket
	Workspace Name
	Priority  Priority
	Tokens    int64     // estimated work; at least 1
	Deadline  time.Time // the response must be complete by then
}

// EventKind is the kind of an event.
type EventKind uint8

// The events that a [Queue] handles.
const (
	Arrive        EventKind = iota + 1 // Request has arrived
	Finished                           // the request of Ticket has ended at the target
	Cancel                             // the caller of Ticket no longer waits
	Step                               // the engine reports StepTime
	TargetLeaving                      // the target is leaving; new requests are refused
	Tick                               // the timer that SetTimer requested has fired
)

// Event is an event that a [Queue] handles. Only the fields for its kind are used.
type Event struct {
	Kind     EventKind
	Request  Request       // Arrive
	Ticket   Ticket        // Finished, Cancel
	Tokens   int64         // Finished: the actual work; zero if unknown
	Failed   bool          // Finished: the target gave no complete response
	StepTime time.Duration // Step: a recent step time
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The actions that the caller of [Queue.Handle] has to carry out.
const (
	Start    ActionKind = iota + 1 // send the request of Ticket to the target
	Refuse                         // refuse the request of Ticket; it has not run
	SetTimer                       // handle a Tick at the time At; replaces the earlier timer
	Violated                       // an invariant does not hold; see Violation
)

// Reason is the reason of a refusal.
type Reason uint8

// The reasons of a refusal.
const (
	DeadlineTooClose Reason = iota + 1 // the request can't be completed by its deadline
	QueueFull                          // the queue is full, and the workspace has its share of it
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

// Action is an action to carry out. Only the fields for its kind are set.
type Action struct {
	Kind       ActionKind
	Ticket     Ticket        // Start, Refuse
	Reason     Reason        // Refuse
	RetryAfter time.Duration // Refuse: time after which a retry may succeed
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
	FirstLimit       int           // initial value of the limit on requests that run at once
	MinLimit         int           // lowest value of the limit
	MaxLimit         int           // highest value of the limit
	StepTarget       time.Duration // target step time, for engines that report steps
	SlowFactor       float64       // for targets that don't: ratio of the call time to the usual one above which the limit falls
	QueueLimit       int           // maximum number of queued requests
	Weight           float64       // weight of workspaces without a share in Shares
	Shares           []Share       // weights of workspaces
	BackgroundPart   float64       // part of the limit that background requests may use
	WaitPart         float64       // part of the time until its deadline that a request may be queued
	ServiceMargin    float64       // time that a request is given at the target, as a multiple of the mean time for its tokens
	InitialTokenTime time.Duration // initial estimate of a request's time per token
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		FirstLimit:       32,
		MinLimit:         2,
		MaxLimit:         512,
		StepTarget:       20 * time.Millisecond,
		SlowFactor:       2,
		QueueLimit:       256,
		Weight:           1,
		BackgroundPart:   0.5,
		WaitPart:         0.25,
		ServiceMargin:    1.25,
		InitialTokenTime: 5 * time.Millisecond,
	}
}

// Load is the load of a target as its sidecar reports it.
type Load struct {
	Limit       int     `json:"limit"`       // requests that may run at once
	Running     int     `json:"running"`     // running requests
	Queued      int     `json:"queued"`      // queued requests
	Outstanding int64   `json:"outstanding"` // tokens of running and queued requests
	Capacity    float64 `json:"capacity"`    // tokens per second that the target can finish
}

// Violation is an invariant that does not hold, with the evidence.
type Violation struct {
	Invariant string
	Evidence  string
}
