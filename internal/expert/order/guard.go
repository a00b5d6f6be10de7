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

// maxQueue bounds the orders that wait. A sidecar gives a few at a time.
const maxQueue = 64

// maxResults bounds the remembered results, by which a repeated order is
// answered without a second copy to the engine.
const maxResults = 64

// Config sets up a [Guard].
type Config struct {
	Engine   Engine
	Timeout  time.Duration // wait for the answer to one copy of an order
	Landing  time.Duration // after which a copy that was given up can't land any more
	Attempts int           // copies sent before an order ends as Unknown
}

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Tick   EventKind = iota + 1 // the time of [Guard.Deadline] has come
	Submit                      // Event.Order is to be given
	Answer                      // the engine answered one copy: Event.Result
	Lost                        // no answer will come to one copy of the order Event.Result.ID
	Learn                       // Event.Fence is the current fence, from the engine or the lease
)

// Event is an input of [Guard.Handle].
type Event struct {
	Kind   EventKind
	Order  Order
	Result Result
	Fence  lease.Fence
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Send    ActionKind = iota + 1 // send one copy of Action.Order to the engine
	Finish                        // tell the giver of the order Action.Result
	Violate                       // an invariant does not hold: Action.Violation
)

// Action is an output of [Guard.Handle].
type Action struct {
	Kind      ActionKind
	Order     Order
	Result    Result
	Violation string
}

// flight is the last order sent.
type flight struct {
	order    Order
	finished bool
	sent     int // copies
	answered int
	lastSent time.Time
}

// Guard stands in front of one engine. It is not safe for use by several
// goroutines.
type Guard struct {
	cfg     Config
	learnt  bool
	highest lease.Fence // of all orders taken in, and as learnt
	taken   lease.Fence // of the last order sent
	started time.Time
	queue   []Order
	last    flight
	results []Result // the oldest first
}

// NewGuard returns a guard that gives no order until it has learnt the fence.
func NewGuard(cfg Config) *Guard {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Landing <= 0 {
		cfg.Landing = DefaultLanding
	}
	if cfg.Attempts <= 0 {
		cfg.Attempts = DefaultAttempts
	}
	return &Guard{cfg: cfg}
}

// Learnt tells whether the guard knows the current fence.
func (g *Guard) Learnt() bool { return g.learnt }

// Fence returns the highest fence that the guard has learnt or taken in.
func (g *Guard) Fence() lease.Fence { return g.highest }

// Deadline returns when the next [Tick] is due. The zero time means never.
func (g *Guard) Deadline() time.Time {
	if g.inFlight() {
		return g.last.lastSent.Add(g.timeout())
	}
	if len(g.queue) == 0 {
		return time.Time{}
	}
	return g.clearAt(g.queue[0])
}

// Handle takes in one event and returns what is to be done.
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
		// The copy may still land, so it is not counted as answered; only the
		// wait for its answer is over.
		if g.inFlight() && ev.Result.ID == g.last.order.ID {
			out = g.again(now)
		}
	case Learn:
		g.learnt = true
		g.highest = max(g.highest, ev.Fence)
	}
	if g.inFlight() && !now.Before(g.last.lastSent.Add(g.timeout())) {
		out = append(out, g.again(now)...)
	}
	return append(out, g.next(now)...)
}

func (g *Guard) submit(o Order) []Action {
	for _, r := range g.results {
		if r.ID == o.ID {
			return []Action{{Kind: Finish, Result: r}}
		}
	}
	if g.known(o.ID) {
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
	case !g.learnt:
		// A sidecar that has just started may know nothing of a newer holder,
		// and an engine that ignores fences would take the order.
		return FenceUnknown
	case o.ID.Fence < g.highest:
		return StaleFence
	case len(g.queue) >= maxQueue:
		return QueueFull
	}
	return ""
}

// known tells whether an order waits or is on its way.
func (g *Guard) known(id ID) bool {
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

// again sends one more copy of the order on its way, or ends it as Unknown.
func (g *Guard) again(now time.Time) []Action {
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

// next sends the first order that waits, if nothing may land behind it.
func (g *Guard) next(now time.Time) []Action {
	if len(g.queue) == 0 || g.inFlight() {
		return nil
	}
	o := g.queue[0]
	if now.Before(g.clearAt(o)) {
		return nil
	}
	g.queue = g.queue[1:]
	var out []Action
	if o.ID.Fence < g.taken {
		// Orders are queued by rising fence; an order out of turn would undo
		// what a later holder has ordered.
		text := fmt.Sprintf("order %v with fence %d after fence %d", o.Kind, o.ID.Fence, g.taken)
		return append(out, Action{Kind: Violate, Violation: text})
	}
	g.taken = o.ID.Fence
	g.last = flight{order: o}
	return append(out, g.send(now)...)
}

// clearAt returns from when on an order may be sent.
func (g *Guard) clearAt(o Order) time.Time {
	if g.cfg.Engine.ChecksIDs {
		return g.started
	}
	if g.last.sent == 0 {
		// Copies from the sidecar's earlier life may be on their way. An engine
		// that checks fences refuses those of a lower fence, but not of the same.
		return g.started.Add(g.cfg.Landing)
	}
	if g.last.answered >= g.last.sent {
		return g.started
	}
	if g.cfg.Engine.ChecksFences && o.ID.Fence > g.last.order.ID.Fence {
		return g.started
	}
	return g.last.lastSent.Add(g.cfg.Landing)
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
