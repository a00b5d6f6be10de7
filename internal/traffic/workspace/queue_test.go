package workspace

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain sets the seed and the number of checks of the randomised test, unless the
// command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	m.Run()
}

func at(d time.Duration) time.Time { return epoch.Add(d) }

func arrive(n Ticket, ws Name, tokens int64, deadline time.Duration) Event {
	return Event{Kind: Arrive, Request: Request{Ticket: n, Workspace: ws, Tokens: tokens, Deadline: at(deadline)}}
}

func withPriority(ev Event, p Priority) Event {
	ev.Request.Priority = p
	return ev
}

// newFixedQueue returns a queue whose limit is always n.
func newFixedQueue(n int) *Queue {
	return New(Config{FirstLimit: n, MinLimit: n, MaxLimit: n, InitialTokenTime: time.Millisecond})
}

func ticketsOf(actions []Action, kind ActionKind) []Ticket {
	var out []Ticket
	for _, a := range actions {
		if a.Kind == kind {
			out = append(out, a.Ticket)
		}
	}
	return out
}

func assertRefused(t *testing.T, actions []Action, n Ticket, reason Reason) {
	t.Helper()
	for _, a := range actions {
		if a.Kind == Refuse && a.Ticket == n {
			assert.Equal(t, reason, a.Reason)
			assert.GreaterOrEqual(t, a.RetryAfter, minRetryAfter)
			assert.LessOrEqual(t, a.RetryAfter, maxRetryAfter)
			return
		}
	}
	assert.Failf(t, "not refused", "ticket %d in %v", n, actions)
}

func requireNoViolation(t require.TestingT, actions []Action) {
	for _, a := range actions {
		require.NotEqual(t, Violated, a.Kind, "%v", a.Violation)
	}
}

// drain finishes running requests until none is left, and returns the order of starts.
func drain(t *testing.T, q *Queue, now time.Time, running []Ticket) []Ticket {
	t.Helper()
	var order []Ticket
	for len(running) > 0 {
		actions := q.Handle(now, Event{Kind: Finished, Ticket: running[0]})
		requireNoViolation(t, actions)
		started := ticketsOf(actions, Start)
		order = append(order, started...)
		running = append(running[1:], started...)
	}
	return order
}

func TestOrder(t *testing.T) {
	t.Run("shares by tokens and weight", func(t *testing.T) {
		q := New(Config{FirstLimit: 1, MinLimit: 1, MaxLimit: 1, Shares: []Share{{Workspace: "b", Weight: 3}}, InitialTokenTime: time.Microsecond})
		first := ticketsOf(q.Handle(at(0), arrive(1, "z", 1, time.Hour)), Start)
		for n := range 80 {
			q.Handle(at(0), arrive(Ticket(100+n), "a", 30, time.Hour))
			q.Handle(at(0), arrive(Ticket(200+n), "b", 10, time.Hour))
		}
		counts := map[bool]int{}
		for _, n := range drain(t, q, at(time.Second), first)[:60] {
			counts[n >= 200]++
		}
		assert.InDelta(t, 54, counts[true], 1, "three times the tokens in requests a third as large")
	})
	t.Run("high before normal within a workspace only", func(t *testing.T) {
		q := newFixedQueue(1)
		first := ticketsOf(q.Handle(at(0), arrive(1, "a", 10, time.Hour)), Start)
		q.Handle(at(0), arrive(2, "a", 10, time.Hour))
		q.Handle(at(0), arrive(3, "b", 10, time.Hour))
		q.Handle(at(0), withPriority(arrive(4, "a", 10, time.Hour), High))
		assert.Equal(t, []Ticket{3, 4, 2}, drain(t, q, at(0), first))
	})
	t.Run("background after all others and only on its part of the limit", func(t *testing.T) {
		q := newFixedQueue(4)
		var running []Ticket
		for n := range 4 {
			running = append(running, ticketsOf(q.Handle(at(0), withPriority(arrive(Ticket(n), "a", 10, time.Hour), Background)), Start)...)
		}
		assert.Equal(t, []Ticket{0, 1}, running)
		running = append(running, ticketsOf(q.Handle(at(0), arrive(10, "b", 10, time.Hour)), Start)...)
		assert.Equal(t, []Ticket{0, 1, 10}, running)
		assert.Equal(t, []Ticket{2, 3}, drain(t, q, at(0), running))
	})
}

func TestRefusal(t *testing.T) {
	t.Run("deadline", func(t *testing.T) {
		// The caller would wait in vain: the requests queued ahead take 90 ms, the
		// request itself 10 ms, and its deadline is in 50 ms. It is refused on arrival.
		q := newFixedQueue(1)
		q.Handle(at(0), arrive(1, "a", 10, time.Hour))
		for n := range 9 {
			q.Handle(at(0), arrive(Ticket(10+n), "a", 10, time.Hour))
		}
		assertRefused(t, q.Handle(at(0), arrive(2, "a", 10, 50*time.Millisecond)), 2, DeadlineTooClose)
		assert.Empty(t, ticketsOf(q.Handle(at(0), arrive(3, "b", 10, 50*time.Millisecond)), Refuse), "another workspace is next")
	})
	t.Run("deadline while waiting", func(t *testing.T) {
		// A request that could be completed in time when it arrived is queued behind one
		// that stalls. When a quarter of the time until its deadline has passed, it is
		// refused by the timer.
		q := newFixedQueue(1)
		q.Handle(at(0), arrive(1, "a", 10, time.Hour))
		actions := q.Handle(at(0), arrive(2, "a", 10, 100*time.Millisecond))
		require.Equal(t, SetTimer, actions[0].Kind)
		assert.Equal(t, at(26*time.Millisecond), actions[0].At)
		assertRefused(t, q.Handle(actions[0].At, Event{Kind: Tick}), 2, DeadlineTooClose)
	})
	t.Run("full queue", func(t *testing.T) {
		// One workspace fills the queue, and its next request is refused. When a request
		// of another workspace arrives, the first workspace loses its newest request.
		q := New(Config{FirstLimit: 1, MinLimit: 1, MaxLimit: 1, QueueLimit: 4, InitialTokenTime: time.Millisecond})
		for n := range 5 {
			q.Handle(at(0), arrive(Ticket(n), "a", 10, time.Hour))
		}
		assertRefused(t, q.Handle(at(0), arrive(5, "a", 10, time.Hour)), 5, QueueFull)
		actions := q.Handle(at(0), arrive(6, "b", 10, time.Hour))
		assertRefused(t, actions, 4, QueueFull)
		assert.Equal(t, 4, q.Load().Queued)
	})
	t.Run("leaving", func(t *testing.T) {
		// The target is leaving with one running and one queued request. Both end as
		// usual; a new one is refused at once.
		q := newFixedQueue(1)
		q.Handle(at(0), arrive(1, "a", 10, time.Hour))
		q.Handle(at(0), arrive(2, "a", 10, time.Hour))
		q.Handle(at(0), Event{Kind: TargetLeaving})
		assertRefused(t, q.Handle(at(0), arrive(3, "a", 10, time.Hour)), 3, Leaving)
		assert.Equal(t, []Ticket{2}, ticketsOf(q.Handle(at(0), Event{Kind: Finished, Ticket: 1}), Start))
	})
	t.Run("malformed", func(t *testing.T) {
		q := newFixedQueue(1)
		q.Handle(at(0), arrive(1, "a", 10, time.Hour))
		assertRefused(t, q.Handle(at(0), arrive(2, "a", 0, time.Hour)), 2, Malformed)
		assertRefused(t, q.Handle(at(0), arrive(1, "a", 10, time.Hour)), 1, Malformed)
	})
}

func TestLimit(t *testing.T) {
	t.Run("follows the step time", func(t *testing.T) {
		// In this model of an engine a step takes 4 ms plus 1 ms for each running request.
		// The target step time is 20 ms, so sixteen requests can run.
		q := New(Config{FirstLimit: 64, MaxLimit: 128, StepTarget: 20 * time.Millisecond, QueueLimit: 1000})
		for n := range 500 {
			q.Handle(at(0), arrive(Ticket(n), "a", 1, time.Hour))
		}
		running := 64
		finished := Ticket(0)
		for i := range 400 {
			now := at(time.Duration(i) * 20 * time.Millisecond)
			for running > q.Load().Limit {
				q.Handle(now, Event{Kind: Finished, Ticket: finished, Failed: true})
				finished++
				running--
			}
			q.Handle(now, Event{Kind: Step, StepTime: time.Duration(4+running) * time.Millisecond})
			running = q.Load().Running
		}
		assert.InDelta(t, 15, running, 3)
	})
	t.Run("falls when calls slow down and it is in use", func(t *testing.T) {
		q := New(Config{FirstLimit: 32, MaxLimit: 32, InitialTokenTime: 10 * time.Millisecond})
		now := at(0)
		next := Ticket(0)
		var running []Ticket
		calls := func(rounds, width int, d time.Duration) {
			for range rounds {
				for range width - len(running) - q.Load().Queued {
					next++
					running = append(running, ticketsOf(q.Handle(now, arrive(next, "a", 1, time.Hour)), Start)...)
				}
				now = now.Add(d)
				ending := running
				running = nil
				for _, n := range ending {
					running = append(running, ticketsOf(q.Handle(now, Event{Kind: Finished, Ticket: n}), Start)...)
				}
			}
		}
		calls(300, 1, 10*time.Millisecond)
		calls(20, 1, 100*time.Millisecond)
		assert.Equal(t, 32, q.Load().Limit, "a few slow calls at a time are no overload")
		calls(300, 1, 10*time.Millisecond)
		calls(20, 64, 100*time.Millisecond)
		assert.Equal(t, 8, q.Load().Limit)
	})
	t.Run("recovers from a stall", func(t *testing.T) {
		// After a stall of the target, the estimate is a minute per token. By that estimate
		// no request can be completed in time. If all were refused, none would run and
		// correct the estimate, although the target has recovered.
		q := New(Config{FirstLimit: 4, InitialTokenTime: time.Minute})
		now := at(0)
		for n := Ticket(0); n < 200; n++ {
			ev := arrive(n, "a", 1, 0)
			ev.Request.Deadline = now.Add(time.Second)
			require.Equal(t, []Ticket{n}, ticketsOf(q.Handle(now, ev), Start))
			now = now.Add(10 * time.Millisecond)
			q.Handle(now, Event{Kind: Finished, Ticket: n})
		}
		assert.Empty(t, ticketsOf(q.Handle(now, arrive(1000, "a", 1, time.Hour)), Refuse))
		assert.Empty(t, ticketsOf(q.Handle(now, arrive(1001, "a", 1, time.Hour)), Refuse), "two at once again")
	})
}

// model drives a queue with random events and records the caller's view of the
// requests.
type model struct {
	q               *Queue
	now             time.Time
	timer           time.Time
	lastTicket      Ticket
	waiting         []Ticket
	running         []Ticket
	ends            map[Ticket]int
	firstAfterLeave Ticket // first ticket that arrived after TargetLeaving; 0 before TargetLeaving
}

func (m *model) handle(t *rapid.T, ev Event) {
	actions := m.q.Handle(m.now, ev)
	requireNoViolation(t, actions)
	for _, a := range actions {
		switch a.Kind {
		case Start:
			require.Contains(t, m.waiting, a.Ticket)
			require.True(t, m.firstAfterLeave == 0 || a.Ticket < m.firstAfterLeave, "started after leaving")
			m.waiting = without(m.waiting, a.Ticket)
			m.running = append(m.running, a.Ticket)
		case Refuse:
			require.Contains(t, m.waiting, a.Ticket)
			m.waiting = without(m.waiting, a.Ticket)
			m.ends[a.Ticket]++
		case SetTimer:
			m.timer = a.At
		}
	}
	load := m.q.Load()
	require.Equal(t, len(m.running), load.Running)
	require.Equal(t, len(m.waiting), load.Queued)
}

func without(list []Ticket, n Ticket) []Ticket {
	out := list[:0:0]
	for _, x := range list {
		if x != n {
			out = append(out, x)
		}
	}
	return out
}

func (m *model) arrive(t *rapid.T) {
	m.lastTicket++
	m.waiting = append(m.waiting, m.lastTicket)
	ev := arrive(m.lastTicket, Name(fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "workspace"))), rapid.Int64Range(1, 500).Draw(t, "tokens"), 0)
	ev.Request.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "deadline")) * time.Millisecond)
	ev.Request.Priority = Priority(rapid.IntRange(0, 4).Draw(t, "priority"))
	m.handle(t, ev)
}

func (m *model) finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	n := rapid.SampledFrom(m.running).Draw(t, "finished")
	m.running = without(m.running, n)
	m.ends[n]++
	m.handle(t, Event{Kind: Finished, Ticket: n, Tokens: rapid.Int64Range(0, 600).Draw(t, "actual"), Failed: rapid.Bool().Draw(t, "failed")})
	m.handle(t, Event{Kind: Finished, Ticket: n})
}

func (m *model) cancel(t *rapid.T) {
	if len(m.waiting)+len(m.running) == 0 {
		t.Skip("nothing to cancel")
	}
	n := rapid.SampledFrom(append(m.waiting[:len(m.waiting):len(m.waiting)], m.running...)).Draw(t, "cancelled")
	if before := len(m.waiting); before > len(without(m.waiting, n)) {
		m.ends[n]++
	}
	m.waiting = without(m.waiting, n)
	m.handle(t, Event{Kind: Cancel, Ticket: n})
}

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
	if !m.timer.IsZero() && !m.now.Before(m.timer) {
		m.timer = time.Time{}
		m.handle(t, Event{Kind: Tick})
	}
}

// TestRandomised sends random events in random order. Each request ends exactly
// once, no request that arrived after TargetLeaving starts, and the queue reports no violation
// of its invariants, such as more running requests than the limit.
func TestRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			q:    New(Config{FirstLimit: 4, MinLimit: 1, MaxLimit: 8, QueueLimit: rapid.IntRange(1, 20).Draw(t, "queue"), InitialTokenTime: time.Millisecond}),
			now:  epoch,
			ends: map[Ticket]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  m.arrive,
			"arrive2": m.arrive,
			"finish":  m.finish,
			"cancel":  m.cancel,
			"pass":    m.pass,
			"step": func(t *rapid.T) {
				m.handle(t, Event{Kind: Step, StepTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "step")) * time.Millisecond})
			},
			"leave": func(t *rapid.T) {
				if m.firstAfterLeave != 0 || rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					t.Skip("stays")
				}
				m.firstAfterLeave = m.lastTicket + 1
				m.handle(t, Event{Kind: TargetLeaving})
			},
		})
		for len(m.running) > 0 {
			m.finish(t)
		}
		require.Empty(t, m.waiting, "queued requests are left that no event will start")
		for n := Ticket(1); n <= m.lastTicket; n++ {
			require.Equal(t, 1, m.ends[n], "ends of ticket %d", n)
		}
	})
}
