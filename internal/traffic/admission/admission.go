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
	"sync/atomic"
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

type queue struct {
	waiting  []*Ticket
	arrivals int
	toldAt   time.Time // when a planner told of one of the service's groups last
}

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

// place is where in the queue a request belongs: behind those of its priority.
func (q *queue) place(t *Ticket) int {
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *Ticket) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		if a.arrived.After(b.arrived) {
			return 1
		}
		return -1 // those that came in the same moment keep their order
	})
	return at
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

// advance gives free places to those who wait: first to the stranded, then to those who can
// still be on time, in the order of the queue, then to the others by the time that they have left.
// Of these the ones that were refused before have least, and would not come back once more.
//
// The stranded, a few at a time, also get slots beyond what planners grant: their callers would
// leave before a place is free.
//
// The targets are looked through once for all that wait, and again for each place that is
// given. When each request that had been sent to a target before had a look of its own, an entry
// used its share of a core up as a group closed, and took no connection for seconds.
func (c *Controller) advance(now time.Time, service string) {
	q, rules := c.queue(service), c.RulesFor(service)
	if len(q.waiting) == 0 {
		return
	}
	free := c.vacancies(now, service, c.Targets(service), rules)
	stranded := slices.ContainsFunc(q.waiting, func(t *Ticket) bool { return t.Stranded })
	if free.none() && !stranded {
		return
	}
	var slots vacancies
	if stranded {
		slots = c.withSlots(now, c.Targets(service), rules)
	}
	for _, t := range q.inTurn(now) {
		target, found := roster.Target{}, false
		if t.Stranded {
			target, found = c.choose(now, slots, t.Tried, rules)
		}
		if !found {
			target, found = c.choose(now, free, t.Tried, rules)
		}
		if !found {
			continue
		}
		c.grant(now, t, target)
		free, slots = c.vacancies(now, service, free.all(), rules), c.withSlots(now, slots.all(), rules)
		if free.none() && slots.none() {
			break
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool { return t.held })
}

// inTurn returns those who wait in the order in which they get places.
func (q *queue) inTurn(now time.Time) []*Ticket {
	var stranded, fresh, late []*Ticket
	for _, t := range q.waiting {
		switch {
		case t.Stranded:
			stranded = append(stranded, t)
		case t.late(now):
			late = append(late, t)
		default:
			fresh = append(fresh, t)
		}
	}
	slices.SortStableFunc(late, func(a, b *Ticket) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.Deadline.Compare(b.Deadline)
	})
	return slices.Concat(stranded, fresh, late)
}

func (t *Ticket) late(now time.Time) bool { return now.Sub(t.arrived) > t.Fresh }

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

func (c *Controller) queue(service string) *queue {
	q := c.services[service]
	if q == nil {
		q = &queue{}
		c.services[service] = q
	}
	return q
}
