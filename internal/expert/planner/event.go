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

// Cause is the cause under which the controller's own platform calls are counted.
const Cause object.Cause = "planner"

// Defaults of [Config].
const (
	DefaultWindow    = time.Minute
	DefaultWait      = 3 * time.Second
	DefaultPerWindow = 4
	DefaultPeriod    = 5 * time.Minute
	// DefaultLease is longer than the leases for other tasks: a group loses nothing
	// if its planner is replaced half a minute late, and as each group has a lease,
	// short ones would cost many platform calls.
	DefaultLease = 20 * time.Second
)

// Config configures a [Controller]. Zero values take the defaults.
type Config struct {
	Service string
	Group   string
	Self    host.Identity
	Lease   lease.Config // the controller sets its Key and Self

	Window    time.Duration // time between two rounds of questions to the ranks
	Wait      time.Duration // how long answers are accepted
	PerWindow int           // ranks asked for their counts per window
	Period    time.Duration // time between two plans, once the estimate has settled

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

// LeaseKey returns the platform key of the lease for planning a group. A slash
// separates the two names because no name contains one: with a hyphen, group "b-c"
// of service "a" and group "c" of service "a-b" would share a lease.
func LeaseKey(service, group string) object.Key {
	return object.Key("leases/plan/" + service + "/" + group)
}

// RecordKey returns the platform key of a group's record. It has a slash for the same
// reason as [LeaseKey]: otherwise two groups could overwrite each other's record.
func RecordKey(service, group string) object.Key {
	return object.Key("groups/" + service + "/" + group)
}

// StatusKey returns the platform key of a group's status.
func StatusKey(service, group string) object.Key {
	return object.Key("groupstatus/" + service + "/" + group)
}

// EventKind is the kind of an [Event].
type EventKind uint8

// The kinds of events.
const (
	Tick           EventKind = iota + 1 // the time of [Controller.Deadline] has come
	Seek                                // try to acquire the lease and keep it
	Resign                              // give up the lease
	CallDone                            // a platform call ended with Event.Reply
	SwitchReceived                      // Event.Switch arrived from Event.From, for this host's rank or planner
	AnswerReceived                      // the answer Event.Message arrived from Event.From
	Settings                            // the active document has these Event.Weights, Event.StoreRate and Event.ExpertBytes
)

// Event is an input of [Controller.Handle].
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

// ActionKind is the kind of an [Action].
type ActionKind uint8

// The kinds of actions.
const (
	Call         ActionKind = iota + 1 // make the platform call Action.Call and return its reply as a CallDone event
	SendSwitch                         // send Action.Switch to Action.To; it may be lost
	SendQuestion                       // send Action.Message to Action.To; it may be lost
	Planned                            // a plan was made: Action.Proposal, for logs and metrics only
	SwitchEnded                        // the switch to the map of Action.Proposal ended with Action.Vote because of Action.Reason
	Violate                            // an invariant is broken: Action.Text
)

// Action is an output of [Controller.Handle].
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

// activeMap is the map that the group uses, as far as the controller knows, with
// the group's record and the version of the record in the platform.
type activeMap struct {
	record  *group.Record
	version object.Version
	number  group.Number
	m       *expertmap.Map
}
