package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

var theGroup = roster.Group{Service: "svc", Name: "g"}

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func newController(targets int, limits Limits) *Controller {
	c := New()
	var list []roster.Target
	for i := range targets {
		list = append(list, roster.Target{ID: fmt.Sprint("t", i), Service: "svc"})
	}
	c.Targets = func(string) []roster.Target { return list }
	c.RulesFor = func(string) Limits { return limits }
	return c
}

func ticket() *Ticket { return &Ticket{Service: "svc", OnTimeWithin: time.Second} }

func requireGranted(t *testing.T, k *Ticket, granted bool) {
	t.Helper()
	select {
	case <-k.Granted():
		require.True(t, granted, "the request has a target")
	default:
		require.False(t, granted, "the request waits")
	}
}

// updateTargets applies a planner update with the same report for all targets.
func updateTargets(c *Controller, now time.Time, targets int, report TargetReport) {
	m := make(map[string]TargetReport)
	for i := range targets {
		m[fmt.Sprint("t", i)] = report
	}
	c.ApplyUpdate(now, GroupUpdate{Group: theGroup, Open: true, Targets: m})
}

func TestNoTarget(t *testing.T) {
	c := newController(0, Limits{PerTarget: 1, Queue: 1})
	require.Equal(t, NoTarget, c.Arrive(start, ticket()))
}

func TestLimitAndQueue(t *testing.T) {
	c := newController(1, Limits{PerTarget: 1, Queue: 1, Entries: 1})
	first, second := ticket(), ticket()
	require.Equal(t, Admitted, c.Arrive(start, first))
	require.Equal(t, Wait, c.Arrive(start, second))
	require.Equal(t, Full, c.Arrive(start, ticket()))
	c.Done(start, first, End{})
	requireGranted(t, second, true)
}

func TestAbandonFreesTheSlot(t *testing.T) {
	c := newController(1, Limits{PerTarget: 1, Queue: 2, Entries: 1})
	first, second, third := ticket(), ticket(), ticket()
	c.Arrive(start, first)
	c.Arrive(start, second)
	c.Arrive(start, third)
	c.Abandon(start, second)
	c.Abandon(start, first)
	requireGranted(t, second, false)
	requireGranted(t, third, true)
}

// All entries receive a report of the same free slot. If each sent a request there, all but one
// would wait at the target; so each sends only what it is granted.
func TestSendsWhatIsGranted(t *testing.T) {
	c := newController(2, Limits{PerTarget: 8, Queue: 9, Entries: 3})
	updateTargets(c, start, 2, TargetReport{Load: 7, Grant: 1})
	tickets := []*Ticket{ticket(), ticket(), ticket()}
	require.Equal(t, Admitted, c.Arrive(start, tickets[0]))
	require.Equal(t, Admitted, c.Arrive(start, tickets[1]))
	require.Equal(t, Wait, c.Arrive(start, tickets[2]))
	require.NotEqual(t, tickets[0].Target(), tickets[1].Target())
	updateTargets(c, start.Add(100*time.Millisecond), 2, TargetReport{Load: 7, Grant: 1})
	requireGranted(t, tickets[2], true)
}

// The planner polls the ranks, then this entry sends a request, then it receives the update of that
// poll. The free slot in the update is the one that it has used.
func TestSentAfterThePoll(t *testing.T) {
	c := newController(1, Limits{PerTarget: 8, Queue: 9, Entries: 1})
	updateTargets(c, start, 1, TargetReport{Load: 0, Grant: 8})
	c.Arrive(start.Add(50*time.Millisecond), ticket())
	c.ApplyUpdate(start.Add(80*time.Millisecond), GroupUpdate{
		Group: theGroup, Open: true, Age: 60 * time.Millisecond, Targets: map[string]TargetReport{"t0": {Load: 7, Grant: 1}},
	})
	require.Equal(t, Wait, c.Arrive(start.Add(90*time.Millisecond), ticket()))
}

// The planner is gone and sends no more updates. The entry goes on by its own requests, as if the
// other entries had as many.
func TestWithoutPlannerUpdates(t *testing.T) {
	c := newController(1, Limits{PerTarget: 6, Queue: 9, Entries: 3})
	updateTargets(c, start, 1, TargetReport{Load: 6, Grant: 0})
	require.Equal(t, Wait, c.Arrive(start, ticket()))
	later := start.Add(time.Second)
	c.Tick(later)
	require.Equal(t, Admitted, c.Arrive(later, ticket()), "2 of 6 with the first one's")
	require.Equal(t, Wait, c.Arrive(later, ticket()))
}

func TestClosedGroup(t *testing.T) {
	c := newController(1, Limits{PerTarget: 6, Queue: 9, Entries: 1})
	c.ApplyUpdate(start, GroupUpdate{Group: theGroup, Targets: map[string]TargetReport{"t0": {}}})
	k := ticket()
	require.Equal(t, Wait, c.Arrive(start, k))
	updateTargets(c, start.Add(100*time.Millisecond), 1, TargetReport{Grant: 1})
	requireGranted(t, k, true)
}

// A rank reports its group closed. Sent to other ranks, requests would use up their attempts in
// milliseconds; they wait until the group can be tried again.
func TestTargetReportsClosedGroup(t *testing.T) {
	c := newController(2, Limits{PerTarget: 6, Queue: 9, Entries: 1})
	c.GroupClosed(start, roster.Target{ID: "t1", Service: "svc"})
	k := ticket()
	require.Equal(t, Wait, c.Arrive(start, k))
	next := ticket()
	require.Equal(t, Wait, c.Arrive(start, next))
	later := start.Add(closedPause)
	c.Tick(later)
	requireGranted(t, k, true)
	requireGranted(t, next, false)
	c.ResponseBegun(later, k.Target())
	requireGranted(t, next, true)
}

// Many requests wait. Those that came first are late in any case; if they went first, all the
// others would be late too.
func TestOnTimeGoesFirst(t *testing.T) {
	c := newController(1, Limits{PerTarget: 1, Queue: 9, Entries: 1})
	running, old, fresh := ticket(), ticket(), ticket()
	c.Arrive(start, running)
	c.Arrive(start, old)
	later := start.Add(1500 * time.Millisecond)
	c.Arrive(later, fresh)
	c.Done(later, running, End{})
	requireGranted(t, fresh, true)
	requireGranted(t, old, false)
	c.Done(later, fresh, End{})
	requireGranted(t, old, true)
}

func TestPriorityGoesFirst(t *testing.T) {
	c := newController(1, Limits{PerTarget: 1, Queue: 9, Entries: 1})
	running, low, high := ticket(), ticket(), ticket()
	low.Priority, high.Priority = 2, 0
	c.Arrive(start, running)
	c.Arrive(start, low)
	c.Arrive(start, high)
	c.Done(start, running, End{})
	requireGranted(t, high, true)
	requireGranted(t, low, false)
}

// A target failed. The next requests go to another one, even if that has more requests.
func TestFailedTargetIsAvoided(t *testing.T) {
	c := newController(2, Limits{PerTarget: 9, Queue: 9, Entries: 1})
	first := ticket()
	c.Arrive(start, first)
	failed := first.Target()
	c.Done(start, first, End{Failed: true})
	for range 5 {
		k := ticket()
		require.Equal(t, Admitted, c.Arrive(start, k))
		require.NotEqual(t, failed, k.Target())
	}
	k := ticket()
	require.Equal(t, Admitted, c.Arrive(start.Add(avoidMost), k))
	require.Equal(t, failed, k.Target(), "it is tried again")
}

func TestTriedTargets(t *testing.T) {
	c := newController(2, Limits{PerTarget: 9, Queue: 9, Entries: 1})
	k := ticket()
	k.Tried = []string{"t0"}
	require.Equal(t, Admitted, c.Arrive(start, k))
	require.Equal(t, "t1", k.Target().ID)
	k = ticket()
	k.Tried = []string{"t0", "t1"}
	require.Equal(t, NoTarget, c.Arrive(start, k))
}

// A target fails and is avoided; its planner reports its host lost and the target full. It starts
// again under its id while a request is still in flight at its earlier incarnation, which then
// fails. None of that keeps requests from the new incarnation, and its slots are counted right.
func TestStartedAgain(t *testing.T) {
	c := newController(1, Limits{PerTarget: 2, Queue: 1, Entries: 1})
	first, second := ticket(), ticket()
	require.Equal(t, Admitted, c.Arrive(start, first))
	require.Equal(t, Admitted, c.Arrive(start, second))
	c.Done(start, first, End{Failed: true})
	updateTargets(c, start, 1, TargetReport{Load: 9, Lost: true, Slow: true})
	now := start.Add(2 * joinPause) // no more planner updates
	c.targets["t0"].avoidUntil = now.Add(time.Hour)
	c.Restarted(now, roster.Target{ID: "t0", Service: "svc"})
	c.Restarted(now, roster.Target{ID: "never seen", Service: "svc"})
	third := ticket()
	require.Equal(t, Admitted, c.Arrive(now, third))
	require.Zero(t, third.Basis.Age, "this incarnation has no planner update")
	require.Equal(t, Wait, c.Arrive(now, ticket()), "one is in flight, one was sent")
	c.Done(now, second, End{Failed: true})
	c.Done(now, third, End{})
	require.Zero(t, c.targets["t0"].inFlight)
}

// Guards against a target that turns all requests away and draws most of them, as it has no load.
func TestTargetThatRefusesAllIsTriedLessAndLess(t *testing.T) {
	c := newController(1, Limits{PerTarget: 9, Queue: 9, Entries: 1})
	now, asked := start, 0
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		k := ticket()
		if c.Arrive(now, k) == Admitted {
			asked++
			c.Done(now.Add(time.Millisecond), k, End{Refused: true})
			continue
		}
		c.Abandon(now, k)
	}
	require.LessOrEqual(t, asked, 5+int(10*time.Second/avoidRefusedMost))
	now = now.Add(avoidRefusedMost)
	first, second := ticket(), ticket()
	require.Equal(t, Admitted, c.Arrive(now, first))
	require.Equal(t, Wait, c.Arrive(now, second), "one request finds out whether it serves again")
	c.ResponseBegun(now, first.Target())
	c.Tick(now)
	requireGranted(t, second, true)
	c.Done(now, first, End{})
	c.Done(now, second, End{Refused: true})
	require.Equal(t, Admitted, c.Arrive(now.Add(AvoidRefused), ticket()), "the count of refusals starts again")
}

// Guards against several refusals of the same moment that count as several in a row.
func TestSimultaneousRefusalsCountOnce(t *testing.T) {
	c := newController(1, Limits{PerTarget: 9, Queue: 9, Entries: 1})
	var list []*Ticket
	for range 5 {
		k := ticket()
		require.Equal(t, Admitted, c.Arrive(start, k))
		list = append(list, k)
	}
	for _, k := range list {
		c.Done(start.Add(time.Millisecond), k, End{Refused: true})
	}
	require.Equal(t, Admitted, c.Arrive(start.Add(AvoidRefused+time.Millisecond), ticket()))
}

// fullQueue returns a controller with all of 72 targets busy and 400 requests waiting, and counts
// the scans of the targets. Last is one of the running requests.
func fullQueue(t *testing.T, waiting func(n int) *Ticket) (c *Controller, last *Ticket, scans *int) {
	t.Helper()
	c = newController(72, Limits{PerTarget: 1, Queue: 400, Entries: 1})
	scans = new(int)
	list := c.Targets("svc")
	c.Targets = func(string) []roster.Target { *scans++; return list }
	for range len(list) {
		last = ticket()
		require.Equal(t, Admitted, c.Arrive(start, last))
	}
	for n := range 400 {
		require.Equal(t, Wait, c.Arrive(start, waiting(n)))
	}
	return c, last, scans
}

func requireScannedOnce(t *testing.T, waiting func(n int) *Ticket) {
	t.Helper()
	c, last, scans := fullQueue(t, waiting)
	*scans = 0
	c.Tick(start)
	require.LessOrEqual(t, *scans, 3)
	*scans = 0
	c.Done(start, last, End{})
	require.LessOrEqual(t, *scans, 3)
	require.Equal(t, 399, c.Waiting("svc"))
}

// Guards against an entry that uses up its share of a core by scanning its queue.
func TestWaitingQueueIsScannedOnce(t *testing.T) {
	requireScannedOnce(t, func(int) *Ticket { return patient(time.Minute) })
}

// Guards against an entry that accepts no connection while it scans all requests that wait for a
// further attempt.
func TestQueueOfRetriesIsScannedOnce(t *testing.T) {
	requireScannedOnce(t, triedBefore)
}

// Guards against a request that waits although a slot is free, behind one that was sent to that
// target before.
func TestSlotGoesToTheFirstRequestNotYetSentThere(t *testing.T) {
	c := newController(2, Limits{PerTarget: 1, Queue: 9, Entries: 1})
	running := []*Ticket{ticket(), ticket()}
	for _, k := range running {
		require.Equal(t, Admitted, c.Arrive(start, k))
	}
	freed := running[0].Target().ID
	tried, fresh := patient(time.Minute), patient(time.Minute)
	tried.Tried = []string{freed}
	require.Equal(t, Wait, c.Arrive(start, tried))
	require.Equal(t, Wait, c.Arrive(start, fresh))
	c.Done(start, running[0], End{})
	requireGranted(t, tried, false)
	requireGranted(t, fresh, true)
	c.Done(start, running[1], End{})
	requireGranted(t, tried, true)
}

// Guards against callers who leave because their requests, after the loss of a host, wait behind
// newer ones.
func TestStrandedRequestGoesFirst(t *testing.T) {
	c := newController(1, Limits{PerTarget: 1, Queue: 9, Entries: 1})
	running, fresh, stranded := ticket(), patient(time.Minute), patient(time.Minute)
	stranded.Stranded, stranded.OnTimeWithin = true, -time.Second
	require.Equal(t, Admitted, c.Arrive(start, running))
	require.Equal(t, Wait, c.Arrive(start, fresh))
	require.Equal(t, Wait, c.Arrive(start.Add(time.Millisecond), stranded))
	c.Done(start.Add(time.Second), running, End{})
	requireGranted(t, fresh, false)
	requireGranted(t, stranded, true)
}

// Guards against callers who leave because their requests, after the loss of a host, wait although
// slots are empty.
func TestStrandedRequestGetsAnEmptySlot(t *testing.T) {
	c := newController(2, Limits{PerTarget: 8, Queue: 9, Entries: 1})
	list := c.Targets("svc")
	list[0].Slots, list[1].Slots = 12, 12
	arrive := func(isStranded bool) (*Ticket, Verdict) {
		k := patient(time.Minute)
		k.Stranded = isStranded
		k.Tried = []string{"t0"}
		return k, c.Arrive(start, k)
	}
	updateLoad := func(load int) {
		c.ApplyUpdate(start, GroupUpdate{Group: theGroup, Open: true, Targets: map[string]TargetReport{
			"t0": {Lost: true, Load: load}, "t1": {Load: load},
		}})
	}
	updateLoad(11)
	_, v := arrive(false)
	require.Equal(t, Wait, v, "the planner grants none")
	_, v = arrive(true)
	require.Equal(t, Admitted, v)
	second, v := arrive(true)
	require.Equal(t, Wait, v, "that was the last slot")
	updateLoad(10)
	requireGranted(t, second, true)
}
