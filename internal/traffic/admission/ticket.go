package admission

import (
	"slices"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// Ticket is a request's place: in the queue, then at a target.
type Ticket struct {
	Service  string
	Priority int
	Work     float64 // tokens to read and write, to compare targets by
	// Fresh is how long the request may wait and still be answered on time. Those
	// that can be on time go before those that can't any more: under overload, a
	// queue in order of arrival makes all of them late.
	Fresh time.Duration
	// Stranded tells that the request's caller has waited at a host that stands still. It leaves
	// soon, and what runs at that host can't be told to stop.
	Stranded bool
	Tried    []string
	// Deadline is when the caller stops waiting for the whole answer.
	Deadline time.Time
	// Patience is how long the request may wait in the queue.
	Patience time.Duration

	// After is when the caller of a request that found all targets limited or resting should
	// come back.
	After time.Duration
	// Seen is what the choice of the target went by, once granted.
	Seen Seen

	arrived time.Time
	sent    time.Time // when it was granted
	granted chan struct{}
	refused chan struct{}
	refusal Verdict // once refused
	target  roster.Target
	held    bool
	lost    func()        // of the attempt
	leave   func() bool   // of the attempt
	events  *atomic.Int64 // of the target's group
}

// Seen is what was known of a target when it was chosen.
type Seen struct {
	Load int           // requests of all entries there
	Age  time.Duration // since it was told; 0 if the entry went by its own requests
}

// Progress takes note of an event of the request's stream. It takes no lock.
func (t *Ticket) Progress(now time.Time) { t.events.Store(now.UnixNano()) }

// Granted is closed when the request may be sent.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// Refused is closed when a request that waits has nothing to wait for any more.
func (t *Ticket) Refused() <-chan struct{} { return t.refused }

// Refusal says why, once refused.
func (t *Ticket) Refusal() Verdict { return t.refusal }

// Target is the one that the request may be sent to, once granted.
func (t *Ticket) Target() roster.Target { return t.target }

// late tells whether the answer can't be on time any more.
func (t *Ticket) late(now time.Time) bool { return now.Sub(t.arrived) > t.Fresh }

// untried tells whether the request was not sent to a target yet.
func (t *Ticket) untried(target roster.Target) bool { return !slices.Contains(t.Tried, target.ID) }
