// Package admission decides at an entry which target gets a request, and when.
//
// Each target gets only as many requests at the same time as it serves well. Further requests wait
// at the entry, where they can still be refused or go to whichever target is free first. Requests
// wait in the order of their priority, then of their arrival.
package admission

import (
	"slices"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// Limits are the limits for one service.
type Limits struct {
	PerTarget int // requests of all entries that one target has at the same time
	Queue     int // requests that wait; further ones are refused at once
	Entries   int // number of entries that share the targets, as far as known
	// Senders are the entries among which the rate of a rate-limited target is divided.
	Senders ratelimit.Senders
}

// Controller queues the requests of one entry and admits them to targets. It is safe for concurrent
// use.
type Controller struct {
	// Targets returns the targets of a service that take requests.
	Targets func(service string) []roster.Target
	// RulesFor returns the limits for a service.
	RulesFor func(service string) Limits
	// OnGroupChange is called when the entry's view of a group changes; it may be nil.
	OnGroupChange func(GroupView)
	// OnRateChange is called when the entry's view of a target's rate limit changes; it may be nil.
	OnRateChange func(RateView)
	// OnNoticeChange is called when a target asks for a back-off, or for a different one, and when
	// it announces that it leaves; it may be nil.
	OnNoticeChange func(NoticeView)

	mu       sync.Mutex
	targets  map[string]*state
	services map[string]*queue
	groups   map[roster.Group]*group
	rates    ratelimit.Reports // rates that targets named to this entry
	notices  notice.Board      // target notices, by target

	keptLimits map[string]keptLimit // of targets that are not listed, by target
}

// New returns a controller without requests.
func New() *Controller {
	return &Controller{
		targets:  make(map[string]*state),
		services: make(map[string]*queue),
		groups:   make(map[roster.Group]*group),

		keptLimits: make(map[string]keptLimit),
	}
}

// Verdict is the outcome of an arrival.
type Verdict uint8

// The verdicts on an arrival.
const (
	Admitted  Verdict = iota + 1 // a target is free
	Wait                         // all targets are busy
	Full                         // too many requests wait already
	NoTarget                     // the service has no target that the request was not sent to yet
	Limited                      // all targets are rate-limited, and the request's turn would come too late
	InBackOff                    // all targets asked for a back-off, for longer than the request may wait
)

// Arrive asks for a target for a request.
func (c *Controller) Arrive(now time.Time, t *Ticket) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.arrived = now
	t.granted, t.refused = make(chan struct{}), make(chan struct{})
	limits := c.RulesFor(t.Service)
	candidates := c.candidates(t)
	if len(candidates) == 0 {
		return NoTarget
	}
	q := c.queue(t.Service)
	q.arrivals++
	if len(q.waiting) == 0 {
		free := c.freeTargets(now, t.Service, candidates, limits)
		if target, found := c.choose(now, free, t.Tried, limits); found {
			c.admit(now, t, target)
			return Admitted
		}
	}
	if len(q.waiting) >= limits.Queue {
		return Full
	}
	at := q.position(t)
	// A caller whose turn cannot come in time has nothing to wait for.
	if o := c.availability(now, candidates, limits); !o.unrestricted && o.wait(at) > t.Patience {
		t.RetryAfter = o.wait(at)
		return o.verdict(at)
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	c.advance(now, t.Service)
	select {
	case <-t.granted:
		return Admitted
	default:
		return Wait
	}
}

// Abandon removes a request from the queue, or frees its slot at a target.
func (c *Controller) Abandon(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(t.Service)
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Ticket) bool { return o == t })
	c.release(now, t)
}

// End is the outcome of an attempt.
type End struct {
	Failed  bool // the target, or the connection to it, is at fault
	Refused bool // the target turned the request away
	Closed  bool // it turned the request away because its group is closed
}

// OnSlow registers a function that is called while the request's target is reported to be slow and
// others have a free slot for the request. The function returns whether the request leaves the
// target, and is not called again once it does.
func (c *Controller) OnSlow(t *Ticket, leave func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.onSlow = leave
}

// OnLost registers a function that is called once the host of the request's target is reported
// lost, or at once if that is known already.
func (c *Controller) OnLost(now time.Time, t *Ticket, lost func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.onLost = lost
	if s := c.state(now, t.target); t.holdsSlot && s.lost && s.recentlyUpdated(now) {
		lost()
	}
}

const (
	// avoidFirst is how long a target is avoided after a failure; it doubles with each further one
	// up to avoidMost. A target that fails half of its requests is then tried a few times a second,
	// by all entries together.
	avoidFirst = 100 * time.Millisecond
	avoidMost  = time.Second
	// AvoidRefused is how long a target is avoided after it turned a request away; it doubles with
	// each further one in a row up to avoidRefusedMost. A target that turns all requests away has
	// no load, and would otherwise draw most of them.
	AvoidRefused     = 50 * time.Millisecond
	avoidRefusedMost = 800 * time.Millisecond
)

// Done ends an attempt and frees its slot at the target.
func (c *Controller) Done(now time.Time, t *Ticket, end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(now, t.target)
	switch {
	case end.Failed:
		s.failures++
		s.avoidUntil = now.Add(min(avoidFirst<<min(s.failures-1, 5), avoidMost))
	case end.Refused:
		s.noteRefusal(now, t.sentAt)
	case end.Closed:
		s.avoidUntil = now.Add(AvoidRefused)
	default:
		s.failures = 0
	}
	c.release(now, t)
}

// Tick admits waiting requests whose target may be tried again, and turns away those that can't be
// sent in time.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range c.services {
		c.advance(now, service)
		c.turnAway(now, service)
	}
}

// Forget drops the state of a target that is not listed any more, once its last request has ended. The rate that it
// named is kept: a server that is cut off from the store is listed again in the same incarnation, and still names it.
func (c *Controller) Forget(now time.Time, t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[t.ID]
	if s == nil {
		return
	}
	if s.limit.Active() {
		c.keepLimit(now, t, s)
	}
	s.gone = true
	if s.inFlight == 0 {
		delete(c.targets, t.ID)
	}
}

// Restarted drops the state of a target's earlier incarnation except its requests in flight,
// whose connections are about to fail. Reports on its host, its slots, its group and its failures
// do not apply to the new incarnation.
func (c *Controller) Restarted(now time.Time, t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	earlier := c.targets[t.ID]
	if earlier == nil {
		return
	}
	delete(c.targets, t.ID)
	s := c.state(now, t)
	s.inFlight, s.work, s.tickets = earlier.inFlight, earlier.work, earlier.tickets
	c.advance(now, t.Service)
}

// Demand returns how many requests for a service arrived since it was called last, plus how many
// wait.
func (c *Controller) Demand(service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(service)
	n := q.arrivals + len(q.waiting)
	q.arrivals = 0
	return float64(n)
}

// Await returns once a request that arrives now would get the controller's lock.
func (c *Controller) Await() {
	c.mu.Lock()
	defer c.mu.Unlock()
}

// Waiting returns how many requests wait for a service.
func (c *Controller) Waiting(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue(service).waiting)
}

func (c *Controller) release(now time.Time, t *Ticket) {
	if !t.holdsSlot {
		return
	}
	t.holdsSlot = false
	s := c.state(now, t.target)
	delete(s.tickets, t)
	s.inFlight--
	s.loadChange--
	s.work -= t.Work
	if s.gone && s.inFlight == 0 {
		delete(c.targets, t.target.ID)
	}
	c.advance(now, t.Service)
}

func (c *Controller) admit(now time.Time, t *Ticket, target roster.Target) {
	t.target = target
	t.holdsSlot = true
	t.sentAt = now
	s := c.state(now, target)
	t.progress = c.group(s.group).progress
	s.limit.Sent(now)
	s.tickets[t] = true
	t.Basis = Basis{Load: s.load(now, c.RulesFor(t.Service))}
	if s.recentlyUpdated(now) {
		t.Basis.Age = now.Sub(s.updatedAt)
	}
	s.inFlight++
	s.loadChange++
	s.grant--
	s.recentSends = append(s.recentSends, now)
	if len(s.recentSends) > maxRecentSends {
		s.recentSends = s.recentSends[1:]
	}
	s.work += t.Work
	close(t.granted)
}

// candidates returns the targets that the request was not sent to yet.
func (c *Controller) candidates(t *Ticket) []roster.Target {
	all := c.Targets(t.Service)
	if len(t.Tried) == 0 {
		return all
	}
	var untried []roster.Target
	for _, target := range all {
		if !slices.Contains(t.Tried, target.ID) {
			untried = append(untried, target)
		}
	}
	return untried
}

// allows reports whether a target's own notices allow one more request: the rate that it named, and
// the back-off that it asked for. Nothing overrides these, neither a planner's grant nor the last
// free slot.
func (c *Controller) allows(now time.Time, id string, s *state, limits Limits) bool {
	return s.limit.Free(now, id, limits.Senders) && c.notices.Free(now, id, s.inFlight)
}
