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

// ownCallBit is the bit that is set in the IDs of the controller's own calls and not
// in those of the lease.
const ownCallBit = 1 << 63

// Controller plans the maps of one group while it holds the group's lease. It is
// not safe for concurrent use.
type Controller struct {
	cfg      Config
	lease    *lease.Lease
	proposer *group.Proposer

	observer switchObserver
	active   activeMap
	tracker  *demand.Tracker
	planner  *plan.Planner

	windowAt    time.Time // when the next window ends and the ranks are asked
	closeAt     time.Time // until when answers for the window are accepted; zero if it is closed
	window      uint64
	stepSeconds float64 // step time in seconds, mostly of the slowest rank; see updateStepTime
	rankWork    []float64
	hasSettings bool      // the settings of an active document are known
	shifted     bool      // the demand shifted sharply since the last plan
	planAt      time.Time // when the next plan is due

	pending *pending // the map switch under way, or nil
	status  Status

	callID          uint64
	recordReadCall  uint64    // ID of the read of the record under way, or 0
	recordWriteCall uint64    // ID of the write of the record under way, or 0
	unsaved         bool      // the active map is newer than the record
	readAt          time.Time // when to read the record; zero for never

	baseUnknown int       // maps refused in succession because the ranks use a map that is not known here
	seekAt      time.Time // when to seek the lease again after ceding it; zero for never

	statusWriteCall uint64 // ID of the write of the status under way, or 0
	statusVersion   object.Version

	out []Action
}

// pending is a map switch under way.
type pending struct {
	proposal plan.Proposal
	base     activeMap
	ended    bool
}

// New returns a controller that does not seek its lease yet.
func New(cfg Config, rng *rand.Rand) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:      cfg,
		lease:    lease.New(cfg.Lease, rng),
		proposer: group.NewProposer(0),
	}
}

// Holds reports whether this process holds the group's lease at now.
func (c *Controller) Holds(now time.Time) bool { return c.lease.Holds(now) }

// Status returns the state of the group as of the last window.
func (c *Controller) Status() Status {
	s := c.status
	// Later windows replace the other slices and don't change them.
	s.Switches = slices.Clone(s.Switches)
	return s
}

// Deadline returns when the next [Tick] is due. The zero time means never.
func (c *Controller) Deadline() time.Time {
	at := earliest(c.lease.Deadline(), c.readAt)
	at = earliest(at, c.seekAt)
	if c.active.record == nil {
		return at
	}
	at = earliest(at, c.windowAt)
	at = earliest(at, c.closeAt)
	return earliest(at, c.proposer.Deadline())
}

// earliest returns the earlier of two times. It ignores a zero time.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// Handle processes one event and returns the actions that the caller must carry out.
func (c *Controller) Handle(now time.Time, ev Event) []Action {
	c.out = nil
	if ev.Kind == SwitchReceived {
		c.observer.observe(ev.Switch)
	}
	c.handleLease(now, ev)
	if !c.lease.Holds(now) {
		return c.out
	}
	switch ev.Kind {
	case CallDone:
		c.callDone(now, ev.Reply)
	case SwitchReceived:
		c.handleSwitch(now, group.Event{Kind: group.Received, From: ev.From, Message: ev.Switch})
		c.catchUp()
	case AnswerReceived:
		c.handleAnswer(ev)
	}
	c.advance(now)
	return c.out
}

// handleLease passes an event to the lease if it concerns the lease, and stores new
// settings. It does so whether or not the lease is held.
func (c *Controller) handleLease(now time.Time, ev Event) {
	var actions []lease.Action
	switch {
	case ev.Kind == Tick && !c.seekAt.IsZero() && !now.Before(c.seekAt):
		c.seekAt = time.Time{}
		actions = c.lease.Handle(now, lease.Event{Kind: lease.Seek})
	case ev.Kind == Tick:
		actions = c.lease.Handle(now, lease.Event{Kind: lease.Tick})
	case ev.Kind == Seek:
		c.seekAt = time.Time{}
		actions = c.lease.Handle(now, lease.Event{Kind: lease.Seek})
	case ev.Kind == Resign:
		c.seekAt = time.Time{}
		actions = c.lease.Handle(now, lease.Event{Kind: lease.Resign})
	case ev.Kind == CallDone && ev.Reply.ID&ownCallBit == 0:
		actions = c.lease.Handle(now, lease.Event{Kind: lease.Replied, Reply: ev.Reply})
	case ev.Kind == Settings:
		c.applySettings(ev)
	}
	for _, a := range actions {
		c.applyLease(now, a)
	}
}

// applyLease carries out an action of the lease.
func (c *Controller) applyLease(now time.Time, a lease.Action) {
	switch a.Kind {
	case lease.Call:
		c.out = append(c.out, Action{Kind: Call, Call: a.Call})
	case lease.Violated:
		c.violate(a.Violation)
	case lease.Gained:
		c.start(now)
	case lease.Lost:
		c.reset()
	}
}

// cedeLease gives up the lease, and for a while does not seek it, so that another
// candidate gets it.
func (c *Controller) cedeLease(now time.Time) {
	const pause = 2 * time.Minute
	c.baseUnknown = 0
	c.seekAt = now.Add(pause)
	for _, a := range c.lease.Handle(now, lease.Event{Kind: lease.Resign}) {
		c.applyLease(now, a)
	}
}

// violate adds an action that reports a broken invariant.
func (c *Controller) violate(text string) {
	c.out = append(c.out, Action{Kind: Violate, Text: text})
}

// start begins planning from the group's record. A switch that an earlier holder
// began ends without this process, and what this process knew when it last held the lease
// may be outdated.
func (c *Controller) start(now time.Time) {
	c.reset()
	c.readAt = now
}

// reset drops all state that depends on holding the lease. It keeps the estimate of
// the demand, which stays valid.
func (c *Controller) reset() {
	c.active = activeMap{}
	c.proposer = group.NewProposer(0)
	c.pending = nil
	c.recordReadCall, c.recordWriteCall, c.unsaved = 0, 0, false
	c.readAt, c.closeAt = time.Time{}, time.Time{}
}

// advance does all work that is due at now.
func (c *Controller) advance(now time.Time) {
	if !c.readAt.IsZero() && !now.Before(c.readAt) {
		c.readRecord(now)
	}
	if c.active.record == nil {
		return
	}
	if !c.closeAt.IsZero() && !now.Before(c.closeAt) {
		c.closeWindow(now)
	}
	if !now.Before(c.windowAt) {
		c.openWindow(now)
	}
	if at := c.proposer.Deadline(); !at.IsZero() && !now.Before(at) {
		c.handleSwitch(now, group.Event{Kind: group.Tick})
	}
	if c.unsaved && c.recordWriteCall == 0 {
		c.writeRecord(now)
	}
}

// applySettings adopts the active document's settings of the group.
func (c *Controller) applySettings(ev Event) {
	old := c.cfg.Plan
	c.cfg.Plan.Weights = ev.Weights
	c.cfg.Plan.StoreRate = ev.StoreRate
	c.cfg.Plan.ExpertBytes = ev.ExpertBytes
	c.hasSettings = true
	if c.planner == nil || old.StoreRate != ev.StoreRate || old.ExpertBytes != ev.ExpertBytes {
		c.makePlanner()
		return
	}
	if err := c.planner.SetWeights(ev.Weights); err != nil {
		c.violate(err.Error())
	}
}

// call adds an action for a platform call and returns the ID of the call.
func (c *Controller) call(call object.Call) uint64 {
	c.callID++
	call.ID = c.callID | ownCallBit
	call.Cause = Cause
	c.out = append(c.out, Action{Kind: Call, Call: call})
	return call.ID
}
