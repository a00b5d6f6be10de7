package order_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

const maxDelay = 5 * time.Second

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

var engines = map[string]order.Capabilities{
	"ignores":       {},
	"checks fences": {ChecksFences: true},
	"checks ids":    {ChecksFences: true, ChecksIDs: true},
}

func numbered(fence lease.Fence, sequence uint64) order.Order {
	return order.Order{ID: order.ID{Fence: fence, Incarnation: 1, Sequence: sequence}, Kind: order.Limit, Step: 100}
}

// guarded is a guard that records the orders that it has sent and the results.
type guarded struct {
	*order.Guard
	sent     []order.Order
	finished []order.Result
}

func newGuarded(e order.Capabilities) *guarded {
	return &guarded{Guard: order.NewGuard(order.Config{Engine: e, Timeout: time.Second, MaxDelay: maxDelay, Attempts: 2})}
}

func (g *guarded) handle(t require.TestingT, at time.Duration, ev order.Event) {
	for _, a := range g.Handle(start.Add(at), ev) {
		switch a.Kind {
		case order.Send:
			g.sent = append(g.sent, a.Order)
		case order.Finish:
			g.finished = append(g.finished, a.Result)
		case order.Violate:
			require.Fail(t, a.Violation)
		}
	}
}

func (g *guarded) learn(t require.TestingT, at time.Duration, fence lease.Fence) {
	g.handle(t, at, order.Event{Kind: order.Learn, Fence: fence})
}

func (g *guarded) submit(t require.TestingT, at time.Duration, o order.Order) {
	g.handle(t, at, order.Event{Kind: order.Submit, Order: o})
}

func (g *guarded) answer(t require.TestingT, at time.Duration, id order.ID) {
	g.handle(t, at, order.Event{Kind: order.Answer, Result: order.Result{ID: id, Status: order.Done}})
}

func assertRefused(t *testing.T, g *guarded, want order.Reason) {
	t.Helper()
	require.NotEmpty(t, g.finished)
	r := g.finished[len(g.finished)-1]
	assert.Equal(t, order.Refused, r.Status)
	assert.Equal(t, want, r.Reason)
}

func TestRestartedSidecarSendsNoOrder(t *testing.T) {
	// A sidecar restarts while a newer planner holds the lease, and first receives
	// an order of the old planner. If that went to an engine that does not check
	// fences, the group would follow a planner that has been replaced. So it is
	// refused until the fence is learnt, and then because it is stale.
	for name, e := range engines {
		t.Run(name, func(t *testing.T) {
			g := newGuarded(e)
			g.submit(t, 0, numbered(4, 1))
			assertRefused(t, g, order.FenceUnknown)
			g.learn(t, time.Second, 5)
			g.submit(t, time.Second, numbered(4, 2))
			assertRefused(t, g, order.StaleFence)
			assert.Empty(t, g.sent)
		})
	}
}

func TestHigherFenceWaitsForOlderOrder(t *testing.T) {
	// The answer to an order with fence 4 is lost, and a planner with fence 5 sends
	// the next order. In an engine that does not check fences a late copy of the first
	// would undo the second: there the second waits until no copy can arrive any more.
	tests := []struct {
		name  string
		waits bool
	}{{"ignores", true}, {"checks fences", false}, {"checks ids", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGuarded(engines[tt.name])
			g.learn(t, 0, 4)
			g.submit(t, maxDelay, numbered(4, 1))
			g.handle(t, maxDelay+time.Second, order.Event{Kind: order.Tick})   // the second copy
			g.handle(t, maxDelay+2*time.Second, order.Event{Kind: order.Tick}) // given up
			require.Len(t, g.sent, 2)
			require.Equal(t, order.Unknown, g.finished[0].Status)

			g.submit(t, maxDelay+2*time.Second, numbered(5, 2))
			assert.Equal(t, tt.waits, len(g.sent) == 2)
			g.handle(t, 2*maxDelay+time.Second, order.Event{Kind: order.Tick})
			assert.Equal(t, lease.Fence(5), g.sent[len(g.sent)-1].ID.Fence)
		})
	}
}

func TestRepeatedOrder(t *testing.T) {
	// The group submits the same order again, because it missed the result. The
	// engine must not get another copy, which could arrive after a later order.
	g := newGuarded(order.Capabilities{ChecksIDs: true})
	o := numbered(4, 1)
	g.learn(t, 0, 4)
	g.submit(t, 0, o)
	g.submit(t, 0, o) // while it is under way
	g.answer(t, 0, o.ID)
	g.submit(t, 0, o) // after it has ended
	assert.Len(t, g.sent, 1)
	require.Len(t, g.finished, 2)
	assert.Equal(t, g.finished[0], g.finished[1])
}

// sentCopy is a copy of an order under way to the engine.
type sentCopy struct {
	order order.Order
	at    time.Duration // of its arrival
	from  int           // the incarnation of the sidecar that sent it
	lost  bool          // its answer is lost
}

// wireRun simulates the incarnations of a sidecar, planners with increasing fences, and
// a network that delays copies up to the maximum delay and loses answers.
type wireRun struct {
	engine      order.Capabilities
	g           *guarded
	incarnation int
	at          time.Duration
	fence       lease.Fence
	seq         uint64
	copies      []sentCopy
	topFence    lease.Fence // highest of the orders in effect
	topID       order.ID    // highest of the orders in effect
}

func (r *wireRun) collect(t *rapid.T) {
	for _, o := range r.g.sent {
		delay := rapid.IntRange(0, int(maxDelay/time.Millisecond)-1).Draw(t, "delay")
		if rapid.IntRange(0, 3).Draw(t, "quick") > 0 {
			delay %= 50
		}
		at := r.at + time.Duration(delay)*time.Millisecond
		r.copies = append(r.copies, sentCopy{o, at, r.incarnation, rapid.IntRange(0, 4).Draw(t, "lost") == 0})
	}
	r.g.sent = nil
}

// deliver gives one copy to the engine, and asserts that no older order takes
// effect after a later one.
func (r *wireRun) deliver(t *rapid.T, c sentCopy) {
	id := c.order.ID
	status := order.Done
	switch {
	case r.engine.ChecksIDs && id.Compare(r.topID) < 0, r.engine.ChecksFences && id.Fence < r.topFence:
		status = order.Refused
	default:
		if id.Compare(r.topID) < 0 {
			t.Fatalf("order %v takes effect after %v", id, r.topID)
		}
		r.topID = id
		r.topFence = max(r.topFence, id.Fence)
	}
	if !c.lost && c.from == r.incarnation {
		r.g.handle(t, r.at, order.Event{Kind: order.Answer, Result: order.Result{ID: id, Status: status}})
	}
}

func (r *wireRun) advance(t *rapid.T, d time.Duration) {
	end := r.at + d
	for r.at < end {
		r.at += time.Millisecond
		underWay := r.copies[:0]
		due := []sentCopy{}
		for _, c := range r.copies {
			if c.at <= r.at {
				due = append(due, c)
			} else {
				underWay = append(underWay, c)
			}
		}
		r.copies = underWay
		for _, c := range due {
			r.deliver(t, c)
		}
		if d := r.g.Deadline(); len(due) > 0 || (!d.IsZero() && !start.Add(r.at).Before(d)) {
			r.g.handle(t, r.at, order.Event{Kind: order.Tick})
		}
		r.collect(t)
	}
}

func (r *wireRun) step(t *rapid.T) {
	switch rapid.SampledFrom([]string{"submit", "submit", "old", "planner", "restart", "wait"}).Draw(t, "step") {
	case "submit":
		r.seq++
		r.g.submit(t, r.at, r.numbered(r.fence))
	case "old":
		r.seq++
		r.g.submit(t, r.at, r.numbered(r.fence-1))
	case "planner":
		r.fence++
	case "restart":
		r.incarnation++
		r.g = newGuarded(r.engine)
		r.g.learn(t, r.at, r.fence)
	case "wait":
		r.advance(t, time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait"))*time.Millisecond)
	}
	r.collect(t)
}

func (r *wireRun) numbered(fence lease.Fence) order.Order {
	o := numbered(fence, r.seq)
	o.ID.Incarnation = host.Incarnation(r.incarnation + 1)
	return o
}

func TestNoOlderOrderTakesEffectLater(t *testing.T) {
	for name, e := range engines {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				r := &wireRun{engine: e, g: newGuarded(e), fence: 2}
				r.g.learn(t, 0, r.fence)
				for range rapid.IntRange(5, 25).Draw(t, "steps") {
					r.step(t)
				}
				// Every order ends, whatever answers were lost.
				r.seq++
				last := r.numbered(r.fence)
				r.g.submit(t, r.at, last)
				r.advance(t, 30*maxDelay)
				require.True(t, r.ended(last.ID), "the last order has not ended")
			})
		})
	}
}

func (r *wireRun) ended(id order.ID) bool {
	for _, f := range r.g.finished {
		if f.ID == id {
			return true
		}
	}
	return false
}

func ExampleGuard() {
	g := order.NewGuard(order.Config{Engine: order.Capabilities{ChecksFences: true, ChecksIDs: true}})
	now := start
	g.Handle(now, order.Event{Kind: order.Learn, Fence: 5})
	for _, a := range g.Handle(now, order.Event{Kind: order.Submit, Order: numbered(4, 1)}) {
		fmt.Println(a.Result.Reason)
	}
	for _, a := range g.Handle(now, order.Event{Kind: order.Submit, Order: numbered(5, 1)}) {
		fmt.Println(a.Order.Kind, a.Order.Step)
	}
	// Output:
	// staleFence
	// limit 100
}
