package planner

import (
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// ownCalls is set in the numbers of the duty's own calls, which tells them from
// the lease's.
const ownCalls = 1 << 63

// Duty plans the maps of one group while it holds the group's lease. It is not
// safe for use by several goroutines.
type Duty struct {
	cfg      Config
	lease    *lease.Lease
	proposer *group.Proposer

	follow  follower
	group   settled
	tracker *demand.Tracker
	planner *plan.Planner

	windowAt time.Time // when the next window ends
	closeAt  time.Time // when the answers of the window that ended are due, or zero
	window   uint64
	steps    float64 // mean time of a step in seconds, as the ranks report it
	loads    []float64
	known    bool      // the document in force is known
	shifted  bool      // a sharp shift was found since the last plan
	planAt   time.Time // when the next plan is due

	pending *pending // the switch under way
	status  Status

	callID  uint64
	reading uint64    // number of the read of the record under way, or 0
	writing uint64    // number of the write of the record under way, or 0
	unsaved bool      // the map in force is newer than the record
	readAt  time.Time // when to read the record

	unknown int       // maps refused one after another since the map in force is not known
	seekAt  time.Time // when to seek the lease again that was left to another

	publishing    uint64 // number of the write of the status under way, or 0
	statusVersion object.Version

	out []Action
}

// pending is a planned map that the group is being led to.
type pending struct {
	proposal plan.Proposal
	from     settled
	ended    bool
}

// New returns a duty that does not seek its lease yet.
func New(cfg Config, rng *rand.Rand) *Duty {
	cfg = cfg.withDefaults()
	return &Duty{
		cfg:      cfg,
		lease:    lease.New(cfg.Lease, rng),
		proposer: group.NewProposer(0),
	}
}

// Holds tells whether the duty is this process's at now.
func (d *Duty) Holds(now time.Time) bool { return d.lease.Holds(now) }

// Status returns what the duty knows of the group, as of the last window.
func (d *Duty) Status() Status {
	s := d.status
	// The other slices are replaced, not changed, by later windows.
	s.Moves = slices.Clone(s.Moves)
	return s
}

// Deadline returns when the next [Tick] is due. The zero time means never.
func (d *Duty) Deadline() time.Time {
	at := earliest(d.lease.Deadline(), d.readAt)
	at = earliest(at, d.seekAt)
	if d.group.record == nil {
		return at
	}
	at = earliest(at, d.windowAt)
	at = earliest(at, d.closeAt)
	return earliest(at, d.proposer.Deadline())
}

// earliest is the earlier of two times; a zero time is none.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// Handle takes in one event and returns what is to be done.
func (d *Duty) Handle(now time.Time, ev Event) []Action {
	d.out = nil
	if ev.Kind == Told {
		d.follow.take(ev.Switch)
	}
	d.seek(now, ev)
	if !d.lease.Holds(now) {
		return d.out
	}
	switch ev.Kind {
	case Replied:
		d.replied(now, ev.Reply)
	case Told:
		d.drive(now, group.Event{Kind: group.Received, From: ev.From, Message: ev.Switch})
		d.catchUp()
	case Answered:
		d.answered(ev)
	}
	d.advance(now)
	return d.out
}

// seek passes on what concerns the lease.
func (d *Duty) seek(now time.Time, ev Event) {
	var actions []lease.Action
	switch {
	case ev.Kind == Tick && !d.seekAt.IsZero() && !now.Before(d.seekAt):
		d.seekAt = time.Time{}
		actions = d.lease.Handle(now, lease.Event{Kind: lease.Seek})
	case ev.Kind == Tick:
		actions = d.lease.Handle(now, lease.Event{Kind: lease.Tick})
	case ev.Kind == Seek:
		d.seekAt = time.Time{}
		actions = d.lease.Handle(now, lease.Event{Kind: lease.Seek})
	case ev.Kind == Resign:
		d.seekAt = time.Time{}
		actions = d.lease.Handle(now, lease.Event{Kind: lease.Resign})
	case ev.Kind == Replied && ev.Reply.ID&ownCalls == 0:
		actions = d.lease.Handle(now, lease.Event{Kind: lease.Answer, Reply: ev.Reply})
	case ev.Kind == Settings:
		d.settings(ev)
	}
	for _, a := range actions {
		d.applyLease(now, a)
	}
}

func (d *Duty) applyLease(now time.Time, a lease.Action) {
	switch a.Kind {
	case lease.Call:
		d.out = append(d.out, Action{Kind: Call, Call: a.Call})
	case lease.Violate:
		d.violate(a.Violation)
	case lease.Gained:
		d.begin(now)
	case lease.Lost:
		d.forget()
	}
}

// leave gives the lease to another seeker for a while.
func (d *Duty) leave(now time.Time) {
	const rest = 2 * time.Minute
	d.unknown = 0
	d.seekAt = now.Add(rest)
	for _, a := range d.lease.Handle(now, lease.Event{Kind: lease.Resign}) {
		d.applyLease(now, a)
	}
}

func (d *Duty) violate(text string) {
	d.out = append(d.out, Action{Kind: Violate, Text: text})
}

// begin starts anew with the record of the group. What an earlier holder was
// doing ends by itself; what this process knew of an earlier time of its own
// holding may be outdated.
func (d *Duty) begin(now time.Time) {
	d.forget()
	d.readAt = now
}

// forget drops all that is bound to holding the lease. The demand seen so far
// stays: it is as good as before.
func (d *Duty) forget() {
	d.group = settled{}
	d.proposer = group.NewProposer(0)
	d.pending = nil
	d.reading, d.writing, d.unsaved = 0, 0, false
	d.readAt, d.closeAt = time.Time{}, time.Time{}
}

// advance does what is due at now.
func (d *Duty) advance(now time.Time) {
	if !d.readAt.IsZero() && !now.Before(d.readAt) {
		d.read(now)
	}
	if d.group.record == nil {
		return
	}
	if !d.closeAt.IsZero() && !now.Before(d.closeAt) {
		d.closeWindow(now)
	}
	if !now.Before(d.windowAt) {
		d.openWindow(now)
	}
	if at := d.proposer.Deadline(); !at.IsZero() && !now.Before(at) {
		d.drive(now, group.Event{Kind: group.Tick})
	}
	if d.unsaved && d.writing == 0 {
		d.save(now)
	}
}

// settings takes in what the document in force says of the group.
func (d *Duty) settings(ev Event) {
	old := d.cfg.Plan
	d.cfg.Plan.Weights = ev.Weights
	d.cfg.Plan.StoreRate = ev.StoreRate
	d.cfg.Plan.ExpertBytes = ev.ExpertBytes
	d.known = true
	if d.planner == nil || old.StoreRate != ev.StoreRate || old.ExpertBytes != ev.ExpertBytes {
		d.makePlanner()
		return
	}
	if err := d.planner.SetWeights(ev.Weights); err != nil {
		d.violate(err.Error())
	}
}

func (d *Duty) call(c object.Call) uint64 {
	d.callID++
	c.ID = d.callID | ownCalls
	c.Cause = Cause
	d.out = append(d.out, Action{Kind: Call, Call: c})
	return c.ID
}
