package admission

import (
	"slices"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// Ticket is a request's place in the queue, and then its slot at a target.
type Ticket struct {
	Service  string
	Priority int
	Work     float64 // tokens to read and write, by which targets are compared
	// OnTimeWithin is how long the request may wait and still be answered on time. Requests that can be on
	// time go before those that can't any more: under overload, a queue in order of arrival makes
	// all of them late.
	OnTimeWithin time.Duration
	// Stranded is set if the request's caller has waited at a frozen host. The caller leaves soon,
	// and the request that runs at that host can't be cancelled.
	Stranded bool
	Tried    []string
	// Deadline is when the caller stops waiting for the complete answer.
	Deadline time.Time
	// Patience is how long the request may wait in the queue.
	Patience time.Duration

	// RetryAfter is the time after which a caller should come back whose request found all targets
	// rate-limited or backed off.
	RetryAfter time.Duration
	// Basis is the information by which the target was chosen, once granted.
	Basis Basis

	arrived   time.Time
	sentAt    time.Time // when it was granted
	granted   chan struct{}
	refused   chan struct{}
	refusal   Verdict // once refused
	target    roster.Target
	holdsSlot bool
	onLost    func()        // called once the host of the attempt's target is reported lost
	onSlow    func() bool   // called while the attempt's target is slow, see [Controller.OnSlow]
	progress  *atomic.Int64 // of the target's group
}

// Basis is what was known of a target when it was chosen.
type Basis struct {
	Load int           // requests of all entries there
	Age  time.Duration // of the planner update; 0 if the entry went by its own requests
}

// Progress records an event of the request's stream. It takes no lock.
func (t *Ticket) Progress(now time.Time) { t.progress.Store(now.UnixNano()) }

// Granted is closed when the request may be sent.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// Refused is closed when a waiting request has nothing to wait for any more.
func (t *Ticket) Refused() <-chan struct{} { return t.refused }

// Refusal returns why the request was refused, once it was.
func (t *Ticket) Refusal() Verdict { return t.refusal }

// Target returns the target that the request may be sent to, once granted.
func (t *Ticket) Target() roster.Target { return t.target }

// late reports whether the answer can't be on time any more.
func (t *Ticket) late(now time.Time) bool { return now.Sub(t.arrived) > t.OnTimeWithin }

// untried reports whether the request was not sent to a target yet.
func (t *Ticket) untried(target roster.Target) bool { return !slices.Contains(t.Tried, target.ID) }
