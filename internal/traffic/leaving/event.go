package leaving

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

// Source identifies who made a statement about a target.
type Source uint8

// The sources. Statements of FromList and FromDocument are about a target's name, and
// hold until the next one. Statements of FromSignal and FromSidecar are about an
// incarnation, and final.
const (
	FromList Source = iota
	FromDocument
	FromSignal
	FromSidecar
	sources
)

// EventKind is the kind of an [Event].
type EventKind uint8

// The events that a [Tracker] handles.
const (
	Statement EventKind = iota + 1 // Source states whether the target is leaving
	Liveness                       // liveness report: the sidecar reported, directly or by relay, that it isn't leaving
	Forget                         // the target is removed from the tracker
	Tick                           // the timer that SetTimer requested has expired
)

// Event is an input of a [Tracker]. Fields whose comments name kinds or sources
// are used for these only.
type Event struct {
	Kind        EventKind
	Name        target.Name
	Source      Source           // Statement
	Leaving     bool             // Statement
	Incarnation host.Incarnation // Statement by FromSignal and FromSidecar, Liveness
	Age         time.Duration    // Liveness: time since the sidecar sent the report, summed over relays
}

// ActionKind is what the caller of [Tracker.Handle] has to do.
type ActionKind uint8

// The actions of a [Tracker].
const (
	Left     ActionKind = iota + 1 // the target gets no new work in this incarnation
	Suspend                        // the target gets no new work until the next liveness report
	Resume                         // the target may get new work (again)
	Probe                          // ask the sidecar for a liveness report
	SetTimer                       // send Tick at At; replaces the earlier timer
	Violated                       // an invariant does not hold; see Violation
)

// Action is an output of a [Tracker]. Fields whose comments name kinds are set
// for these only.
type Action struct {
	Kind        ActionKind
	Name        target.Name
	Incarnation host.Incarnation // Left, Resume
	Source      Source           // Left: who announced it first
	At          time.Time        // SetTimer
	Violation   target.Violation // Violated
}

// Config holds the settings of a [Tracker].
type Config struct {
	Silence time.Duration // time without a liveness report after which a target is suspended; zero for never
	Probe   time.Duration // time without a liveness report after which the sidecar is asked for one
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{Silence: 3 * time.Second, Probe: 1200 * time.Millisecond}
}
