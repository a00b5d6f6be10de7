package leaving

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

// Source says who made a statement about a target.
type Source uint8

// The sources. List and Document speak of a name and repeat themselves until
// they change. Signal and Sidecar speak of an incarnation, once and for all.
const (
	List Source = iota
	Document
	Signal
	Sidecar
	sources
)

// EventKind says what happened.
type EventKind uint8

// The events that a [Tracker] handles.
const (
	Statement EventKind = iota + 1 // Source says whether the target is leaving
	Word                           // the sidecar was heard from, directly or by relay, and wasn't leaving
	Forget                         // the target is no longer of interest
	Tick                           // the timer that SetTimer asked for
)

// Event is one thing that happened. Only the fields that its kind names count.
type Event struct {
	Kind        EventKind
	Name        target.Name
	Source      Source           // Statement
	Leaving     bool             // Statement
	Incarnation host.Incarnation // Statement by Signal and Sidecar, Word
	Age         time.Duration    // Word: time since the sidecar spoke, summed over relays
}

// ActionKind says what the caller of [Tracker.Handle] has to do.
type ActionKind uint8

// The actions of a [Tracker].
const (
	Left     ActionKind = iota + 1 // the target gets no new work in this incarnation
	Suspend                        // the target gets no new work until heard from
	Resume                         // the target gets new work (again)
	Probe                          // ask the sidecar for a sign of life
	SetTimer                       // send Tick at At; replaces the earlier timer
	Violated                       // an invariant does not hold; see Violation
)

// Action is one thing to do. Only the fields that its kind names count.
type Action struct {
	Kind        ActionKind
	Name        target.Name
	Incarnation host.Incarnation // Left, Resume
	Source      Source           // Left: who said so first
	At          time.Time        // SetTimer
	Violation   target.Violation // Violated
}

// Config holds the settings of a [Tracker].
type Config struct {
	Silence time.Duration // time without word after which a target is suspended; zero for never
	Probe   time.Duration // time without word after which the sidecar is asked for some
}

// DefaultConfig returns the settings that the measurements were made with.
func DefaultConfig() Config {
	return Config{Silence: 3 * time.Second, Probe: 1200 * time.Millisecond}
}
