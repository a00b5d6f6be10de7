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

func newController(targets int, rules Rules) *Controller {
	c := New()
	var list []roster.Target
	for i := range targets {
		list = append(list, roster.Target{ID: fmt.Sprint("t", i), Service: "svc"})
	}
	c.Targets = func(string) []roster.Target { return list }
	c.RulesFor = func(string) Rules { return rules }
	return c
}

func ticket() *Ticket { return &Ticket{Service: "svc", Fresh: time.Second} }

func requireGranted(t *testing.T, k *Ticket, granted bool) {
	t.Helper()
	select {
	case <-k.Granted():
		require.True(t, granted, "it has a target")
	default:
		require.False(t, granted, "it waits")
	}
}

// told tells the same of all targets.
func told(c *Controller, now time.Time, targets int, what Told) {
	m := make(map[string]Told)
	for i := range targets {
		m[fmt.Sprint("t", i)] = what
	}
	c.Told(now, Look{Group: theGroup, Open: true, Targets: m})
}

func TestNoTarget(t *testing.T) {
	c := newController(0, Rules{PerTarget: 1, Queue: 1})
	require.Equal(t, NoTarget, c.Arrive(start, ticket()))
}

func TestLimitAndQueue(t *testing.T) {
	c := newController(1, Rules{PerTarget: 1, Queue: 1, Entries: 1})
	first, second := ticket(), ticket()
	require.Equal(t, Go, c.Arrive(start, first))
	require.Equal(t, Wait, c.Arrive(start, second))
	require.Equal(t, Full, c.Arrive(start, ticket()))
	c.Done(start, first, End{})
	requireGranted(t, second, true)
}

func TestAbandonGivesThePlaceBack(t *testing.T) {
	c := newController(1, Rules{PerTarget: 1, Queue: 2, Entries: 1})
	first, second, third := ticket(), ticket(), ticket()
	c.Arrive(start, first)
	c.Arrive(start, second)
	c.Arrive(start, third)
	c.Abandon(start, second)
	c.Abandon(start, first)
	requireGranted(t, second, false)
	requireGranted(t, third, true)
}

// All entries are told of the same free place. If each sent a request there, all but
// one would wait at the target; so each sends only what it is granted.
func TestSendsWhatIsGranted(t *testing.T) {
	c := newController(2, Rules{PerTarget: 8, Queue: 9, Entries: 3})
	told(c, start, 2, Told{Load: 7, Grant: 1})
	tickets := []*Ticket{ticket(), ticket(), ticket()}
	require.Equal(t, Go, c.Arrive(start, tickets[0]))
	require.Equal(t, Go, c.Arrive(start, tickets[1]))
	require.Equal(t, Wait, c.Arrive(start, tickets[2]))
	require.NotEqual(t, tickets[0].Target(), tickets[1].Target())
	told(c, start.Add(100*time.Millisecond), 2, Told{Load: 7, Grant: 1})
	requireGranted(t, tickets[2], true)
}

// The planner looked at the ranks, then this entry sent a request, then it was told
// of the look. The free place that it is told of is the one it has used.
func TestSentAfterTheLook(t *testing.T) {
	c := newController(1, Rules{PerTarget: 8, Queue: 9, Entries: 1})
	told(c, start, 1, Told{Load: 0, Grant: 8})
	c.Arrive(start.Add(50*time.Millisecond), ticket())
	c.Told(start.Add(80*time.Millisecond), Look{
		Group: theGroup, Open: true, Age: 60 * time.Millisecond, Targets: map[string]Told{"t0": {Load: 7, Grant: 1}},
	})
	require.Equal(t, Wait, c.Arrive(start.Add(90*time.Millisecond), ticket()))
}

// The planner is gone and tells nothing any more. The entry goes on by its own
// requests, as many as if the others had the same.
func TestNobodyTells(t *testing.T) {
	c := newController(1, Rules{PerTarget: 6, Queue: 9, Entries: 3})
	told(c, start, 1, Told{Load: 6, Grant: 0})
	require.Equal(t, Wait, c.Arrive(start, ticket()))
	later := start.Add(time.Second)
	c.Tick(later)
	require.Equal(t, Go, c.Arrive(later, ticket()), "2 of 6 with the first one's")
	require.Equal(t, Wait, c.Arrive(later, ticket()))
}

func TestClosedGroup(t *testing.T) {
	c := newController(1, Rules{PerTarget: 6, Queue: 9, Entries: 1})
	c.Told(start, Look{Group: theGroup, Targets: map[string]Told{"t0": {}}})
	k := ticket()
	require.Equal(t, Wait, c.Arrive(start, k))
	told(c, start.Add(100*time.Millisecond), 1, Told{Grant: 1})
	requireGranted(t, k, true)
}

// A rank says that its group is closed. Sent to other ranks, requests would use up
// their tries in milliseconds; they wait until the group can be asked again.
func TestGroupSaysThatItIsClosed(t *testing.T) {
	c := newController(2, Rules{PerTarget: 6, Queue: 9, Entries: 1})
	c.GroupClosed(start, roster.Target{ID: "t1", Service: "svc"})
	k := ticket()
	require.Equal(t, Wait, c.Arrive(start, k))
	next := ticket()
	require.Equal(t, Wait, c.Arrive(start, next))
	later := start.Add(closedPause)
	c.Tick(later)
	requireGranted(t, k, true)
	requireGranted(t, next, false)
	c.Serves(later, k.Target())
	requireGranted(t, next, true)
}

// Many wait. Those that came first are late already whatever happens; if they went
// first, all the others would be late too.
func TestOnTimeGoesFirst(t *testing.T) {
	c := newController(1, Rules{PerTarget: 1, Queue: 9, Entries: 1})
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
	c := newController(1, Rules{PerTarget: 1, Queue: 9, Entries: 1})
	running, low, high := ticket(), ticket(), ticket()
	low.Priority, high.Priority = 2, 0
	c.Arrive(start, running)
	c.Arrive(start, low)
	c.Arrive(start, high)
	c.Done(start, running, End{})
	requireGranted(t, high, true)
	requireGranted(t, low, false)
}

// A target failed. The next request goes to another one, also if that has more.
func TestFailedTargetIsAvoided(t *testing.T) {
	c := newController(2, Rules{PerTarget: 9, Queue: 9, Entries: 1})
	first := ticket()
	c.Arrive(start, first)
	failed := first.Target()
	c.Done(start, first, End{Failed: true})
	for range 5 {
		k := ticket()
		require.Equal(t, Go, c.Arrive(start, k))
		require.NotEqual(t, failed, k.Target())
	}
	k := ticket()
	require.Equal(t, Go, c.Arrive(start.Add(avoidMost), k))
	require.Equal(t, failed, k.Target(), "it is asked again")
}

func TestTriedTargets(t *testing.T) {
	c := newController(2, Rules{PerTarget: 9, Queue: 9, Entries: 1})
	k := ticket()
	k.Tried = []string{"t0"}
	require.Equal(t, Go, c.Arrive(start, k))
	require.Equal(t, "t1", k.Target().ID)
	k = ticket()
	k.Tried = []string{"t0", "t1"}
	require.Equal(t, NoTarget, c.Arrive(start, k))
}

// A target fails and is avoided; its planner told that its host is lost and that it is full. It
// starts again under its id while a request is still in flight at its earlier life, which then
// breaks. Nothing of that keeps callers from it, and its places are counted right.
func TestStartedAgain(t *testing.T) {
	c := newController(1, Rules{PerTarget: 2, Queue: 1, Entries: 1})
	first, second := ticket(), ticket()
	require.Equal(t, Go, c.Arrive(start, first))
	require.Equal(t, Go, c.Arrive(start, second))
	c.Done(start, first, End{Failed: true})
	told(c, start, 1, Told{Load: 9, Lost: true, Slow: true})
	now := start.Add(2 * joinTime) // nobody tells any more
	c.targets["t0"].avoid = now.Add(time.Hour)
	c.StartedAgain(now, roster.Target{ID: "t0", Service: "svc"})
	c.StartedAgain(now, roster.Target{ID: "never seen", Service: "svc"})
	third := ticket()
	require.Equal(t, Go, c.Arrive(now, third))
	require.Zero(t, third.Seen.Age, "nothing was told of this life")
	require.Equal(t, Wait, c.Arrive(now, ticket()), "one is in flight, one was sent")
	c.Done(now, second, End{Failed: true})
	c.Done(now, third, End{})
	require.Zero(t, c.targets["t0"].inFlight)
}

// Guards against a target that turns all away and draws most requests, as it has no load.
func TestTargetThatTurnsAllAwayIsAskedLessAndLess(t *testing.T) {
	c := newController(1, Rules{PerTarget: 9, Queue: 9, Entries: 1})
	now, asked := start, 0
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		k := ticket()
		if c.Arrive(now, k) == Go {
			asked++
			c.Done(now.Add(time.Millisecond), k, End{Refused: true})
			continue
		}
		c.Abandon(now, k)
	}
	require.LessOrEqual(t, asked, 5+int(10*time.Second/avoidRefusedMost))
	now = now.Add(avoidRefusedMost)
	first, second := ticket(), ticket()
	require.Equal(t, Go, c.Arrive(now, first))
	require.Equal(t, Wait, c.Arrive(now, second), "one finds out whether it serves again")
	c.Serves(now, first.Target())
	c.Tick(now)
	requireGranted(t, second, true)
	c.Done(now, first, End{})
	c.Done(now, second, End{Refused: true})
	require.Equal(t, Go, c.Arrive(now.Add(AvoidRefused), ticket()), "it begins anew")
}

// Guards against one full moment of a target that counts as many.
func TestRefusalsOfOneMomentAreOne(t *testing.T) {
	c := newController(1, Rules{PerTarget: 9, Queue: 9, Entries: 1})
	var list []*Ticket
	for range 5 {
		k := ticket()
		require.Equal(t, Go, c.Arrive(start, k))
		list = append(list, k)
	}
	for _, k := range list {
		c.Done(start.Add(time.Millisecond), k, End{Refused: true})
	}
	require.Equal(t, Go, c.Arrive(start.Add(AvoidRefused+time.Millisecond), ticket()))
}

// crowd has all of 72 targets busy and 400 requests wait, and counts the looks at the targets. Last
// is one of those that run.
func crowd(t *testing.T, waiting func(n int) *Ticket) (c *Controller, last *Ticket, looks *int) {
	t.Helper()
	c = newController(72, Rules{PerTarget: 1, Queue: 400, Entries: 1})
	looks = new(int)
	list := c.Targets("svc")
	c.Targets = func(string) []roster.Target { *looks++; return list }
	for range len(list) {
		last = ticket()
		require.Equal(t, Go, c.Arrive(start, last))
	}
	for n := range 400 {
		require.Equal(t, Wait, c.Arrive(start, waiting(n)))
	}
	return c, last, looks
}

func requireLookedThroughOnce(t *testing.T, waiting func(n int) *Ticket) {
	t.Helper()
	c, last, looks := crowd(t, waiting)
	*looks = 0
	c.Tick(start)
	require.LessOrEqual(t, *looks, 3)
	*looks = 0
	c.Done(start, last, End{})
	require.LessOrEqual(t, *looks, 3)
	require.Equal(t, 399, c.Waiting("svc"))
}

// Guards against an entry that uses its share of a core up by looking through its queue.
func TestCrowdThatWaitsIsLookedThroughOnce(t *testing.T) {
	requireLookedThroughOnce(t, func(int) *Ticket { return patient(time.Minute) })
}

// Guards against an entry that takes no connection, as it looks through all that wait to be sent again.
func TestCrowdThatWasSentBeforeIsLookedThroughOnce(t *testing.T) {
	requireLookedThroughOnce(t, sentBefore)
}

// Guards against a request that waits beside a free place, behind one that was sent there before.
func TestPlaceGoesToTheFirstThatWasNotSentThere(t *testing.T) {
	c := newController(2, Rules{PerTarget: 1, Queue: 9, Entries: 1})
	running := []*Ticket{ticket(), ticket()}
	for _, k := range running {
		require.Equal(t, Go, c.Arrive(start, k))
	}
	freed := running[0].Target().ID
	was, fresh := patient(time.Minute), patient(time.Minute)
	was.Tried = []string{freed}
	require.Equal(t, Wait, c.Arrive(start, was))
	require.Equal(t, Wait, c.Arrive(start, fresh))
	c.Done(start, running[0], End{})
	requireGranted(t, was, false)
	requireGranted(t, fresh, true)
	c.Done(start, running[1], End{})
	requireGranted(t, was, true)
}

// Guards against callers who leave as their requests, cut off a lost host, wait behind newer ones.
func TestStrandedRequestGoesFirst(t *testing.T) {
	c := newController(1, Rules{PerTarget: 1, Queue: 9, Entries: 1})
	running, fresh, stranded := ticket(), patient(time.Minute), patient(time.Minute)
	stranded.Stranded, stranded.Fresh = true, -time.Second
	require.Equal(t, Go, c.Arrive(start, running))
	require.Equal(t, Wait, c.Arrive(start, fresh))
	require.Equal(t, Wait, c.Arrive(start.Add(time.Millisecond), stranded))
	c.Done(start.Add(time.Second), running, End{})
	requireGranted(t, fresh, false)
	requireGranted(t, stranded, true)
}

// Guards against callers who leave as their requests, cut off a lost host, wait beside empty slots.
func TestStrandedRequestGetsAnEmptySlot(t *testing.T) {
	c := newController(2, Rules{PerTarget: 8, Queue: 9, Entries: 1})
	list := c.Targets("svc")
	list[0].Slots, list[1].Slots = 12, 12
	arrive := func(isStranded bool) (*Ticket, Verdict) {
		k := patient(time.Minute)
		k.Stranded = isStranded
		k.Tried = []string{"t0"}
		return k, c.Arrive(start, k)
	}
	tell := func(load int) {
		c.Told(start, Look{Group: theGroup, Open: true, Targets: map[string]Told{
			"t0": {Lost: true, Load: load}, "t1": {Load: load},
		}})
	}
	tell(11)
	_, v := arrive(false)
	require.Equal(t, Wait, v, "the planner grants none")
	_, v = arrive(true)
	require.Equal(t, Go, v)
	second, v := arrive(true)
	require.Equal(t, Wait, v, "that was the last slot")
	tell(10)
	requireGranted(t, second, true)
}
