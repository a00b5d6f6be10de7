// Package admission decides at an entry which target gets a request, and when.
//
// Each target takes only as much at the same time as it serves well; what comes
// beyond that waits at the entry, where it can still be refused or go to whichever
// target is free first. Requests wait in the order of their priority, then of
// their arrival.
package admission

import (
	"slices"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// Rules are the limits for one service.
type Rules struct {
	PerTarget int // requests that one target has at the same time, of all entries
	Queue     int // requests that wait; more are refused at once
	Entries   int // that share the targets, as far as known
	// Senders are the entries among which the rate of a target in need is divided.
	Senders ratelimit.Senders
}

// Controller holds the requests of one entry. It is safe for concurrent use.
type Controller struct {
	// Targets returns those of a service that take requests.
	Targets func(service string) []roster.Target
	// RulesFor returns the limits for a service.
	RulesFor func(service string) Rules
	// Believes hears when what the entry believes of a group changes; nil if nobody does.
	Believes func(Belief)
	// BelievesRate hears when what the entry believes of a target's rate changes; nil if
	// nobody does.
	BelievesRate func(RateBelief)
	// BelievesNotice hears when a target asks for rest, or for another one, and when it says
	// that it leaves; nil if nobody does.
	BelievesNotice func(NoticeBelief)

	mu       sync.Mutex
	targets  map[string]*state
	services map[string]*queue
	groups   map[roster.Group]*group
	words    ratelimit.Words // that targets told this entry
	notices  notice.Board    // what targets said of themselves
}

// New returns a controller without requests.
func New() *Controller {
	return &Controller{
		targets:  make(map[string]*state),
		services: make(map[string]*queue),
		groups:   make(map[roster.Group]*group),
	}
}

// Verdict tells what became of an arrival.
type Verdict uint8

// The verdicts on an arrival.
const (
	Go       Verdict = iota + 1 // there is a target now
	Wait                        // all targets are busy
	Full                        // too many wait already
	NoTarget                    // the service has no target that could be asked
	Limited                     // all targets take no more than a rate, and its turn would come too late
	Resting                     // all targets want rest, for longer than the request may wait
)

// Arrive asks for a target.
func (c *Controller) Arrive(now time.Time, t *Ticket) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.arrived = now
	t.granted, t.refused = make(chan struct{}), make(chan struct{})
	rules := c.RulesFor(t.Service)
	candidates := c.candidates(t)
	if len(candidates) == 0 {
		return NoTarget
	}
	q := c.queue(t.Service)
	q.arrivals++
	if len(q.waiting) == 0 {
		free := c.vacancies(now, t.Service, candidates, rules)
		if target, found := c.choose(now, free, t.Tried, rules); found {
			c.grant(now, t, target)
			return Go
		}
	}
	if len(q.waiting) >= rules.Queue {
		return Full
	}
	at := q.place(t)
	// A caller that can't get its turn in time has nothing to wait for.
	if o := c.outlook(now, candidates, rules); !o.open && o.wait(at) > t.Patience {
		t.After = o.wait(at)
		return o.verdict(at)
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	c.advance(now, t.Service)
	select {
	case <-t.granted:
		return Go
	default:
		return Wait
	}
}

// Abandon takes a request out of the queue, or gives its place at a target back.
func (c *Controller) Abandon(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(t.Service)
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Ticket) bool { return o == t })
	c.release(now, t)
}

// End tells how an attempt went.
type End struct {
	Failed  bool // the target, or the way to it, is at fault
	Refused bool // the target turned the request away
	Closed  bool // it did as its group takes none
}

// OnSlow has a function called while the request's target is told to be slow and others
// have a place for the request. It tells whether the request leaves the target, and is
// not called again then.
func (c *Controller) OnSlow(t *Ticket, leave func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.leave = leave
}

// OnLost has a function called once it is told that the host of the request's target does
// not answer, or at once if that is known.
func (c *Controller) OnLost(now time.Time, t *Ticket, lost func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.lost = lost
	if s := c.state(now, t.target); t.held && s.lost && s.toldLately(now) {
		lost()
	}
}

const (
	// avoidFirst is how long a target is avoided after a failure; it doubles with
	// each further one up to avoidMost. A target that fails half of what it gets
	// is then asked some times a second, by all entries together.
	avoidFirst = 100 * time.Millisecond
	avoidMost  = time.Second
	// AvoidRefused is how long a target is avoided after it turned a request away; it doubles
	// with each further one in a row up to avoidRefusedMost. One that turns all away has no
	// load, and would draw most of what comes.
	AvoidRefused     = 50 * time.Millisecond
	avoidRefusedMost = 800 * time.Millisecond
)

// Done ends an attempt and gives the place at the target back.
func (c *Controller) Done(now time.Time, t *Ticket, end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(now, t.target)
	switch {
	case end.Failed:
		s.failures++
		s.avoid = now.Add(min(avoidFirst<<min(s.failures-1, 5), avoidMost))
	case end.Refused:
		s.refused(now, t.sent)
	case end.Closed:
		s.avoid = now.Add(AvoidRefused)
	default:
		s.failures = 0
	}
	c.release(now, t)
}

// Tick lets requests go that wait for a target to be asked again.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lapseRates(now)
	for service := range c.services {
		c.advance(now, service)
		c.turnAway(now, service)
	}
}

// Forget drops what is known of a target that is gone, once its last request has ended.
func (c *Controller) Forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[id]
	if s == nil {
		return
	}
	s.gone = true
	if s.inFlight == 0 {
		delete(c.targets, id)
	}
}

// StartedAgain forgets what is known of a target's earlier life but its requests in flight,
// which are about to break. What was told of its host, its places, its group and its failures
// says nothing of the new one.
func (c *Controller) StartedAgain(now time.Time, t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.targets[t.ID]
	if was == nil {
		return
	}
	delete(c.targets, t.ID)
	s := c.state(now, t)
	s.inFlight, s.work, s.held = was.inFlight, was.work, was.held
	c.advance(now, t.Service)
}

// Demand is how many requests for a service came since it was asked last, and how
// many wait.
func (c *Controller) Demand(service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(service)
	n := q.arrivals + len(q.waiting)
	q.arrivals = 0
	return float64(n)
}

// Await returns once a request that arrives now would have its turn.
func (c *Controller) Await() {
	c.mu.Lock()
	defer c.mu.Unlock()
}

// Waiting is how many requests wait for a service.
func (c *Controller) Waiting(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue(service).waiting)
}

func (c *Controller) release(now time.Time, t *Ticket) {
	if !t.held {
		return
	}
	t.held = false
	s := c.state(now, t.target)
	delete(s.held, t)
	s.inFlight--
	s.since--
	s.work -= t.Work
	if s.gone && s.inFlight == 0 {
		delete(c.targets, t.target.ID)
	}
	c.advance(now, t.Service)
}

func (c *Controller) grant(now time.Time, t *Ticket, target roster.Target) {
	t.target = target
	t.held = true
	t.sent = now
	s := c.state(now, target)
	t.events = c.group(s.group).progress
	s.limit.Sent(now)
	s.held[t] = true
	t.Seen = Seen{Load: s.load(now, c.RulesFor(t.Service))}
	if s.toldLately(now) {
		t.Seen.Age = now.Sub(s.toldAt)
	}
	s.inFlight++
	s.since++
	s.grant--
	s.sent = append(s.sent, now)
	if len(s.sent) > mostSent {
		s.sent = s.sent[1:]
	}
	s.work += t.Work
	close(t.granted)
}

// candidates are the targets that the request was not sent to yet.
func (c *Controller) candidates(t *Ticket) []roster.Target {
	all := c.Targets(t.Service)
	if len(t.Tried) == 0 {
		return all
	}
	var rest []roster.Target
	for _, target := range all {
		if !slices.Contains(t.Tried, target.ID) {
			rest = append(rest, target)
		}
	}
	return rest
}

// allows tells whether a target's own word allows one more request: the rate that it takes, and
// the rest that it asked for. Nothing goes before that, a planner's grant or the last free place
// no more than others.
func (c *Controller) allows(now time.Time, id string, s *state, rules Rules) bool {
	return s.limit.Free(now, id, rules.Senders) && c.notices.Free(now, id, s.inFlight)
}
