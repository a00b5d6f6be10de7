package order

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// Defaults of [Config].
const (
	DefaultTimeout  = 2 * time.Second
	DefaultLanding  = 10 * time.Second
	DefaultAttempts = 3
)

// maxQueue bounds the queued orders. A sidecar submits a few at a time.
const maxQueue = 64

// maxResults bounds the stored results. A repeated order is answered with its stored
// result, without another copy to the engine.
const maxResults = 64

// Config sets up a [Guard].
type Config struct {
	Engine   Capabilities
	Timeout  time.Duration // how long to wait for the answer to one copy of an order
	MaxDelay time.Duration // time after sending after which a copy that was given up can't arrive any more
	Attempts int           // copies sent before an order ends as Unknown
}

// EventKind is what happened.
type EventKind uint8

// The kinds of events.
const (
	Tick   EventKind = iota + 1 // the time of [Guard.Deadline] has come
	Submit                      // Event.Order is to be sent to the engine
	Answer                      // the engine answered one copy: Event.Result
	Lost                        // one copy of the order Event.Result.ID will get no answer
	Learn                       // Event.Fence is the current fence, from the engine or the lease
)

// Event is an input of [Guard.Handle].
type Event struct {
	Kind   EventKind
	Order  Order
	Result Result
	Fence  lease.Fence
}

// ActionKind is what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Send    ActionKind = iota + 1 // send one copy of Action.Order to the engine
	Finish                        // return Action.Result to the sender of the order
	Violate                       // an invariant does not hold: Action.Violation
)

// Action is an output of [Guard.Handle].
type Action struct {
	Kind      ActionKind
	Order     Order
	Result    Result
	Violation string
}

// dispatch is the last order sent to the engine.
type dispatch struct {
	order    Order
	finished bool
	sent     int // copies sent
	answered int // copies answered
	lastSent time.Time
}

// Guard controls which orders are sent to one engine, and when. It is not safe for
// concurrent use.
type Guard struct {
	cfg        Config
	fenceKnown bool
	highest    lease.Fence // of all accepted orders and Learn events
	sentFence  lease.Fence // of the last order sent
	started    time.Time
	queue      []Order
	last       dispatch
	results    []Result // oldest first
}

// NewGuard returns a guard that sends no order until it has learnt the fence.
func NewGuard(cfg Config) *Guard {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxDelay <= 0 {
		cfg.MaxDelay = DefaultLanding
	}
	if cfg.Attempts <= 0 {
		cfg.Attempts = DefaultAttempts
	}
	return &Guard{cfg: cfg}
}

// FenceKnown reports whether the guard has learnt the current fence.
func (g *Guard) FenceKnown() bool { return g.fenceKnown }

// Fence returns the highest fence that the guard has learnt or accepted an order with.
func (g *Guard) Fence() lease.Fence { return g.highest }

// Deadline returns when the next [Tick] is due. The zero time means never.
func (g *Guard) Deadline() time.Time {
	if g.inFlight() {
		return g.last.lastSent.Add(g.timeout())
	}
	if len(g.queue) == 0 {
		return time.Time{}
	}
	return g.sendTime(g.queue[0])
}

// Handle processes one event and returns what is to be done.
func (g *Guard) Handle(now time.Time, ev Event) []Action {
	if g.started.IsZero() {
		g.started = now
	}
	var out []Action
	switch ev.Kind {
	case Submit:
		out = g.submit(ev.Order)
	case Answer:
		out = g.answer(ev.Result)
	case Lost:
		// The copy may still arrive, so it is not counted as answered; only the
		// wait for its answer ends.
		if g.inFlight() && ev.Result.ID == g.last.order.ID {
			out = g.retry(now)
		}
	case Learn:
		g.fenceKnown = true
		g.highest = max(g.highest, ev.Fence)
	}
	if g.inFlight() && !now.Before(g.last.lastSent.Add(g.timeout())) {
		out = append(out, g.retry(now)...)
	}
	return append(out, g.sendNext(now)...)
}

func (g *Guard) submit(o Order) []Action {
	for _, r := range g.results {
		if r.ID == o.ID {
			return []Action{{Kind: Finish, Result: r}}
		}
	}
	if g.isPending(o.ID) {
		return nil
	}
	if reason := g.refusal(o); reason != "" {
		return []Action{{Kind: Finish, Result: Result{ID: o.ID, Kind: o.Kind, Status: Refused, Reason: reason, Fence: g.highest}}}
	}
	g.highest = o.ID.Fence
	g.queue = append(g.queue, o)
	return nil
}

func (g *Guard) refusal(o Order) Reason {
	switch {
	case !g.fenceKnown:
		// A sidecar that has just started may not know of a newer holder,
		// and an engine that does not check fences would accept the order.
		return FenceUnknown
	case o.ID.Fence < g.highest:
		return StaleFence
	case len(g.queue) >= maxQueue:
		return QueueFull
	}
	return ""
}

// isPending reports whether an order is queued or under way.
func (g *Guard) isPending(id ID) bool {
	if g.inFlight() && g.last.order.ID == id {
		return true
	}
	for _, o := range g.queue {
		if o.ID == id {
			return true
		}
	}
	return false
}

func (g *Guard) answer(r Result) []Action {
	if r.ID != g.last.order.ID {
		return nil
	}
	g.last.answered++
	if g.last.finished {
		return nil
	}
	return g.finish(r)
}

func (g *Guard) finish(r Result) []Action {
	r.Kind = g.last.order.Kind
	g.last.finished = true
	if r.Status != Unknown {
		g.results = append(g.results, r)
	}
	if len(g.results) > maxResults {
		g.results = g.results[1:]
	}
	return []Action{{Kind: Finish, Result: r}}
}

// retry sends one more copy of the order under way, or ends it as Unknown.
func (g *Guard) retry(now time.Time) []Action {
	if g.last.sent >= g.cfg.Attempts {
		return g.finish(Result{ID: g.last.order.ID, Status: Unknown})
	}
	return g.send(now)
}

func (g *Guard) send(now time.Time) []Action {
	g.last.sent++
	g.last.lastSent = now
	return []Action{{Kind: Send, Order: g.last.order}}
}

// sendNext sends the first queued order, if no earlier copy can arrive after it.
func (g *Guard) sendNext(now time.Time) []Action {
	if len(g.queue) == 0 || g.inFlight() {
		return nil
	}
	o := g.queue[0]
	if now.Before(g.sendTime(o)) {
		return nil
	}
	g.queue = g.queue[1:]
	var out []Action
	if o.ID.Fence < g.sentFence {
		// Orders are queued by increasing fence; an order out of sequence would undo
		// the orders of a later holder.
		text := fmt.Sprintf("order %v with fence %d after fence %d", o.Kind, o.ID.Fence, g.sentFence)
		return append(out, Action{Kind: Violate, Violation: text})
	}
	g.sentFence = o.ID.Fence
	g.last = dispatch{order: o}
	return append(out, g.send(now)...)
}

// sendTime returns the earliest time at which an order may be sent.
func (g *Guard) sendTime(o Order) time.Time {
	if g.cfg.Engine.ChecksIDs {
		return g.started
	}
	if g.last.sent == 0 {
		// Copies from the sidecar's earlier incarnation may be under way. An engine
		// that checks fences refuses those with a lower fence, but not with the same.
		return g.started.Add(g.cfg.MaxDelay)
	}
	if g.last.answered >= g.last.sent {
		return g.started
	}
	if g.cfg.Engine.ChecksFences && o.ID.Fence > g.last.order.ID.Fence {
		return g.started
	}
	return g.last.lastSent.Add(g.cfg.MaxDelay)
}

func (g *Guard) inFlight() bool {
	return g.last.sent > 0 && !g.last.finished
}

func (g *Guard) timeout() time.Duration {
	if g.last.order.Timeout > 0 {
		return g.last.order.Timeout
	}
	return g.cfg.Timeout
}
