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
)

// Rules are the limits for one service.
type Rules struct {
	PerTarget int // requests of this entry that one target has at the same time
	Queue     int // requests that wait; more are refused at once
}

// Controller holds the requests of one entry. It is safe for concurrent use.
type Controller struct {
	// Targets returns those of a service that take requests.
	Targets func(service string) []roster.Target
	// RulesFor returns the limits for a service.
	RulesFor func(service string) Rules

	mu       sync.Mutex
	targets  map[string]*state
	services map[string]*queue
}

// New returns a controller without requests.
func New() *Controller {
	return &Controller{targets: make(map[string]*state), services: make(map[string]*queue)}
}

// state is what the entry knows of a target.
type state struct {
	inFlight int
	work     float64 // of the requests in flight, in tokens
	avoid    time.Time
	failures int
}

type queue struct {
	waiting []*Ticket
}

// Ticket is a request's place: in the queue, then at a target.
type Ticket struct {
	Service  string
	Priority int
	Work     float64 // tokens to read and write, to compare targets by
	Tried    []string

	arrived time.Time
	granted chan struct{}
	target  roster.Target
	held    bool
}

// Granted is closed when the request may be sent.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// Target is the one that the request may be sent to, once granted.
func (t *Ticket) Target() roster.Target { return t.target }

// Verdict tells what became of an arrival.
type Verdict uint8

// The verdicts on an arrival.
const (
	Go       Verdict = iota + 1 // there is a target now
	Wait                        // all targets are busy
	Full                        // too many wait already
	NoTarget                    // the service has no target that could be asked
)

// Arrive asks for a target.
func (c *Controller) Arrive(now time.Time, t *Ticket) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.arrived = now
	t.granted = make(chan struct{})
	rules := c.RulesFor(t.Service)
	candidates := c.candidates(t)
	if len(candidates) == 0 {
		return NoTarget
	}
	q := c.queue(t.Service)
	if len(q.waiting) == 0 {
		if target, found := c.choose(now, candidates, rules); found {
			c.grant(t, target)
			return Go
		}
	}
	if len(q.waiting) >= rules.Queue {
		return Full
	}
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *Ticket) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.arrived.Compare(b.arrived)
	})
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
	Failed bool          // the target, or the way to it, is at fault
	Avoid  time.Duration // the target said that it can't serve for that long
}

const (
	// avoidFirst is how long a target is avoided after a failure; it doubles with
	// each further one up to avoidMost. A target that fails half of what it gets
	// is then asked some times a second, by all entries together.
	avoidFirst = 100 * time.Millisecond
	avoidMost  = time.Second
)

// Done ends an attempt and gives the place at the target back.
func (c *Controller) Done(now time.Time, t *Ticket, end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(t.target.ID)
	switch {
	case end.Failed:
		s.failures++
		s.avoid = now.Add(min(avoidFirst<<min(s.failures-1, 5), avoidMost))
	case end.Avoid > 0:
		s.avoid = now.Add(end.Avoid)
	default:
		s.failures = 0
	}
	c.release(now, t)
}

// Tick lets requests go that wait for a target to be asked again, and forgets
// targets that are gone.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range c.services {
		c.advance(now, service)
	}
}

// Forget drops what is known of a target that is gone.
func (c *Controller) Forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.targets[id]; s != nil && s.inFlight == 0 {
		delete(c.targets, id)
	}
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
	s := c.state(t.target.ID)
	s.inFlight--
	s.work -= t.Work
	c.advance(now, t.Service)
}

// advance gives free places to those who wait.
func (c *Controller) advance(now time.Time, service string) {
	q := c.queue(service)
	rules := c.RulesFor(service)
	for i := 0; i < len(q.waiting); {
		t := q.waiting[i]
		target, found := c.choose(now, c.candidates(t), rules)
		if !found {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		c.grant(t, target)
	}
}

func (c *Controller) grant(t *Ticket, target roster.Target) {
	t.target = target
	t.held = true
	s := c.state(target.ID)
	s.inFlight++
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

// choose returns the target with the least work among those with a free place.
func (c *Controller) choose(now time.Time, list []roster.Target, rules Rules) (roster.Target, bool) {
	best, found := roster.Target{}, false
	least := 0.0
	for _, target := range list {
		s := c.state(target.ID)
		if s.inFlight >= rules.PerTarget || now.Before(s.avoid) {
			continue
		}
		if !found || s.work < least {
			best, least, found = target, s.work, true
		}
	}
	return best, found
}

func (c *Controller) state(id string) *state {
	s := c.targets[id]
	if s == nil {
		s = &state{}
		c.targets[id] = s
	}
	return s
}

func (c *Controller) queue(service string) *queue {
	q := c.services[service]
	if q == nil {
		q = &queue{}
		c.services[service] = q
	}
	return q
}
