package planner

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Cause is the cause under which the duty's own calls of the platform are counted.
const Cause object.Cause = "planner"

// Defaults of [Config].
const (
	DefaultWindow    = time.Minute
	DefaultWait      = 3 * time.Second
	DefaultPerWindow = 4
	DefaultPeriod    = 5 * time.Minute
	// DefaultLease is longer than that of other duties: a group loses nothing by
	// a planner that is replaced half a minute later, and each group has a lease.
	DefaultLease = 20 * time.Second
)

// Config sets up a [Duty]. Zero values take the defaults.
type Config struct {
	Service string
	Group   string
	Self    host.Identity
	Lease   lease.Config // its key and holder are set by the duty

	Window    time.Duration // between two questions to the ranks
	Wait      time.Duration // for their answers
	PerWindow int           // ranks asked for their counts per window
	Period    time.Duration // between two plans, once the estimate has settled

	Demand demand.Config
	Plan   plan.Config // its shape comes from the group's record
}

func (c Config) withDefaults() Config {
	setDuration(&c.Window, DefaultWindow)
	setDuration(&c.Wait, DefaultWait)
	setDuration(&c.Period, DefaultPeriod)
	setDuration(&c.Lease.Length, DefaultLease)
	if c.PerWindow <= 0 {
		c.PerWindow = DefaultPerWindow
	}
	c.Lease.Key = LeaseKey(c.Service, c.Group)
	c.Lease.Self = c.Self
	c.Demand.Window = c.Window
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// LeaseKey is the key of the lease of a group's planning in the platform. A slash
// stands between the two names, as no name has one: with a hyphen, group "b-c" of
// service "a" and group "c" of service "a-b" would share a lease.
func LeaseKey(service, group string) object.Key {
	return object.Key("leases/plan/" + service + "/" + group)
}

// RecordKey is the key of a group's record in the platform, with a slash for the
// same reason: the two groups would write over each other's record.
func RecordKey(service, group string) object.Key {
	return object.Key("groups/" + service + "/" + group)
}

// StatusKey is the key of a group's status in the platform.
func StatusKey(service, group string) object.Key {
	return object.Key("groupstatus/" + service + "/" + group)
}

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Tick     EventKind = iota + 1 // the time of [Duty.Deadline] has come
	Seek                          // try to get the lease and keep it
	Resign                        // give the lease up
	Replied                       // Event.Reply holds the end of a call
	Told                          // Event.Switch came from Event.From, to this host's rank or planner
	Answered                      // Event.Message came from Event.From
	Settings                      // the document in force has these Event.Weights and Event.StoreRate
)

// Event is an input of [Duty.Handle].
type Event struct {
	Kind        EventKind
	From        host.Name
	Reply       object.Reply
	Switch      group.Message
	Message     *Message
	Weights     plan.Weights
	StoreRate   int64
	ExpertBytes int64
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Call    ActionKind = iota + 1 // make Action.Call and hand back its reply
	Tell                          // send Action.Switch to Action.To; it may be lost
	Ask                           // send Action.Message to Action.To; it may be lost
	Planned                       // a plan was made: Action.Proposal, for logs and metrics
	Ended                         // the switch to a planned map ended: Action.Vote, Action.Reason
	Violate                       // an invariant does not hold: Action.Text
)

// Action is an output of [Duty.Handle].
type Action struct {
	Kind     ActionKind
	To       host.Name
	Call     object.Call
	Switch   group.Message
	Message  Message
	Proposal plan.Proposal
	Vote     group.Vote
	Reason   group.Reason
	Text     string
}

// settled is the map in force as far as the duty knows.
type settled struct {
	record  *group.Record
	version object.Version
	number  group.Number
	m       *expertmap.Map
}
