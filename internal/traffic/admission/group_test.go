package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

var (
	groupOne = roster.Group{Service: "svc", Name: "one"}
	groupTwo = roster.Group{Service: "svc", Name: "two"}
)

// twoGroups returns a controller for a service with a target in each of two groups: t0 in
// the first, t1 in the second.
func twoGroups() *Controller {
	c := newController(2, Rules{PerTarget: 4, Queue: 9, Entries: 1})
	tellOpen(c, start, groupOne, "t0")
	tellOpen(c, start, groupTwo, "t1")
	return c
}

func tellOpen(c *Controller, now time.Time, g roster.Group, target string) {
	c.Told(now, Look{Group: g, Open: true, Targets: map[string]Told{target: {Grant: 4}}})
}

func tellClosed(c *Controller, now time.Time, g roster.Group, target string) {
	c.Told(now, Look{Group: g, Targets: map[string]Told{target: {}}})
}

// requireSentTo sends some requests, all of which go to one target.
func requireSentTo(t *testing.T, c *Controller, now time.Time, target string) {
	t.Helper()
	for range 3 {
		k := ticket()
		require.Equal(t, Go, c.Arrive(now, k))
		require.Equal(t, target, k.Target().ID)
		c.Done(now, k, End{})
	}
}

// One of two groups breaks. Its callers go to the other; if the whole service counted as
// closed, all of them would wait for a second or two though half of the places are free.
func TestBrokenGroupLeavesTheOtherOpen(t *testing.T) {
	t.Run("as its planner tells", func(t *testing.T) {
		c := twoGroups()
		tellClosed(c, start, groupOne, "t0")
		requireSentTo(t, c, start, "t1")
	})
	t.Run("as one of its targets says", func(t *testing.T) {
		c := twoGroups()
		c.GroupClosed(start, roster.Target{ID: "t1", Service: "svc"})
		requireSentTo(t, c, start, "t0")
	})
}

// One group is broken, the other serves. Each answer of the other would open the broken
// one if both were one, and callers that are sent there are refused.
func TestOpenGroupDoesNotOpenTheBroken(t *testing.T) {
	c := twoGroups()
	c.GroupClosed(start, roster.Target{ID: "t0", Service: "svc"})
	c.Serves(start, roster.Target{ID: "t1", Service: "svc"})
	tellOpen(c, start, groupTwo, "t1")
	requireSentTo(t, c, start, "t1")
}

// The server of a rank has started again. Its earlier life is listed for three heartbeats
// yet, though the group's planner does not tell of it any more; a request that is sent
// there is refused by the new one, and has lost a try.
func TestEarlierLifeOfARank(t *testing.T) {
	c := newController(2, Rules{PerTarget: 4, Queue: 9, Entries: 1})
	tellOpen(c, start, groupOne, "t0")
	later := start.Add(toldLasts)
	tellOpen(c, later, groupOne, "t1")
	requireSentTo(t, c, later, "t1")
	tellClosed(c, later, groupOne, "t1")
	require.Equal(t, Wait, c.Arrive(later, ticket()), "nor while the group is closed")
}

// A rank comes back while its group is closed, and its new life is listed before the
// planner has found it. It is no target without a group, to which callers may be sent.
func TestNewTargetIsToldOfFirst(t *testing.T) {
	c := twoGroups()
	c.Targets = func(string) []roster.Target {
		return []roster.Target{{ID: "t0", Service: "svc"}, {ID: "t1", Service: "svc"}, {ID: "new", Service: "svc"}}
	}
	tellClosed(c, start, groupOne, "t0")
	requireSentTo(t, c, start, "t1")
	tellClosed(c, start.Add(joinTime-toldLasts/2), groupOne, "new")
	tellOpen(c, start.Add(joinTime), groupTwo, "t1")
	requireSentTo(t, c, start.Add(joinTime), "t1")
}

// Engines of a service need not be in a group. Nobody tells of them; they are used by the
// entry's own count, beside the groups of the same service.
func TestEnginesWithoutAGroup(t *testing.T) {
	c := newController(2, Rules{PerTarget: 2, Queue: 9, Entries: 1})
	c.Told(start, Look{Group: groupOne, Open: true, Targets: map[string]Told{"t0": {}}})
	require.Equal(t, Wait, c.Arrive(start, ticket()))
	later := start.Add(joinTime)
	c.Told(later, Look{Group: groupOne, Open: true, Targets: map[string]Told{"t0": {}}})
	k := ticket()
	require.Equal(t, Go, c.Arrive(later, k))
	require.Equal(t, "t1", k.Target().ID)
}

// A rank may be in another group after its server has started again, under a new id or in
// a new epoch; what its group is told to be last counts.
func TestRankThatChangesItsGroup(t *testing.T) {
	c := twoGroups()
	tellOpen(c, start, groupTwo, "t0")
	require.Equal(t, groupTwo, c.GroupOf(roster.Target{ID: "t0", Service: "svc"}))
	tellClosed(c, start, groupOne, "t9")
	requireGo := func() { require.Equal(t, Go, c.Arrive(start, ticket())) }
	requireGo()
	requireGo()
}

// Groups come and go for years. What is known of those that nobody tells of any more is
// dropped, and so are targets that planners told of and the store never listed.
func TestForgottenGroups(t *testing.T) {
	c := twoGroups()
	later := start.Add(2 * untoldKept)
	c.Sweep(later, func(id string) bool { return id == "t0" })
	require.Empty(t, c.groups)
	require.Len(t, c.targets, 1)
}

// A rank of one group has turned slow, and all that its group serves is late. Callers go
// to the other group while that has places, and are late only beyond that.
func TestSlowGroupIsUsedLast(t *testing.T) {
	c := twoGroups()
	c.Told(start, Look{Group: groupOne, Open: true, Slow: true, Targets: map[string]Told{"t0": {Grant: 4}}})
	c.Told(start, Look{Group: groupTwo, Open: true, Targets: map[string]Told{"t1": {Load: 7, Grant: 2}}})
	for _, want := range []string{"t1", "t1", "t0"} {
		k := ticket()
		require.Equal(t, Go, c.Arrive(start, k))
		require.Equal(t, want, k.Target().ID)
	}
}

// The whole group waits for what runs at a slow rank: its requests leave it, as many as
// have a place elsewhere now. One that left without a place would wait at the entry for
// longer than the slow rank takes, and a stream that has begun could not be sent on.
func TestRequestsLeaveASlowRank(t *testing.T) {
	c := twoGroups()
	left := 0
	for range 4 {
		k := ticket()
		k.Tried = []string{"t1"}
		require.Equal(t, Go, c.Arrive(start, k))
		c.OnSlow(k, func() bool { left++; return true })
	}
	slow := map[string]Told{"t0": {Load: 4, Slow: true}}
	c.Told(start, Look{Group: groupTwo, Open: true, Targets: map[string]Told{"t1": {}}})
	c.Told(start, Look{Group: groupOne, Open: true, Targets: slow})
	require.Zero(t, left, "no place elsewhere")
	c.Told(start, Look{Group: groupTwo, Open: true, Targets: map[string]Told{"t1": {Grant: 3}}})
	c.Told(start, Look{Group: groupOne, Open: true, Targets: slow})
	require.Equal(t, 3, left)
	c.Told(start, Look{Group: groupOne, Open: true, Targets: slow})
	require.Equal(t, 4, left, "each is asked to leave once")
}

// A group opens after a loss, and a hundred callers wait. Nobody tells of it yet, and its
// passes take three times as long as they will: if all went in at once all would be late,
// and hold the places for three seconds.
func TestFewGoIntoAGroupThatHasOpened(t *testing.T) {
	c := newController(1, Rules{PerTarget: 9, Queue: 99, Entries: 1})
	c.GroupClosed(start, roster.Target{ID: "t0", Service: "svc"})
	waiting := make([]*Ticket, 20)
	for i := range waiting {
		waiting[i] = ticket()
		c.Arrive(start, waiting[i])
	}
	granted := func() (n int) {
		for _, k := range waiting {
			select {
			case <-k.Granted():
				n++
			default:
			}
		}
		return n
	}
	opens := start.Add(closedPause)
	c.Tick(opens)
	require.Equal(t, 1, granted(), "one finds out whether it has opened")
	c.Serves(opens, roster.Target{ID: "t0", Service: "svc"})
	require.Equal(t, 3, granted())
	c.Tick(opens.Add(openedLasts))
	require.Equal(t, 9, granted(), "nobody has told anything")
}

// More callers wait than can be on time. Of the late ones those go first that have least
// time left: they were refused before, and are not served at all if they are once more.
func TestLateOnesByTheTimeTheyHaveLeft(t *testing.T) {
	c := newController(1, Rules{PerTarget: 1, Queue: 9, Entries: 1})
	running, first, returned, fresh := ticket(), ticket(), ticket(), ticket()
	c.Arrive(start, running)
	first.Deadline, returned.Deadline = start.Add(8*time.Second), start.Add(4*time.Second)
	c.Arrive(start, first)
	c.Arrive(start.Add(100*time.Millisecond), returned)
	later := start.Add(1500 * time.Millisecond)
	c.Arrive(later, fresh)
	c.Done(later, running, End{})
	requireGranted(t, fresh, true)
	c.Done(later, fresh, End{})
	requireGranted(t, returned, true)
	requireGranted(t, first, false)
}

// An operator asks why callers of one group waited. Each change of what the entry took the
// group for is told once, with who said so, and not ten times a second.
func TestChangesOfBelief(t *testing.T) {
	c := newController(2, Rules{PerTarget: 4, Queue: 9, Entries: 1})
	var told []Belief
	c.Believes = func(b Belief) { told = append(told, b) }
	for range 5 {
		tellOpen(c, start, groupOne, "t0")
	}
	c.GroupClosed(start, roster.Target{ID: "t0", Service: "svc"})
	c.Serves(start, roster.Target{ID: "t0", Service: "svc"})
	c.Told(start, Look{Group: groupOne, Open: true, Slow: true, Targets: map[string]Told{"t0": {}}})
	require.Equal(t, []Belief{
		{Group: groupOne, Open: true, Source: "planner"},
		{Group: groupOne, Source: "target"},
		{Group: groupOne, Open: true, Source: "answer"},
		{Group: groupOne, Open: true, Slow: true, Source: "planner"},
	}, told)
}

// A host stands still in the middle of a change, and its group is held: it takes no requests.
// What runs at that host could not go elsewhere, as only the groups that take some told of
// hosts that are lost; its callers left after two seconds, and the requests ran on when the
// host woke.
func TestLostTargetOfAClosedGroup(t *testing.T) {
	c := newController(2, Rules{PerTarget: 8, Queue: 9, Entries: 1})
	told(c, start, 2, Told{Grant: 1})
	at := make(map[string]*bool)
	for range 2 {
		k := ticket()
		require.Equal(t, Go, c.Arrive(start, k))
		lost := new(bool)
		at[k.Target().ID] = lost
		c.OnLost(start, k, func() { *lost = true })
	}
	require.Len(t, at, 2)
	c.Told(start.Add(100*time.Millisecond), Look{Group: theGroup, Targets: map[string]Told{"t0": {Lost: true}, "t1": {}}})
	require.True(t, *at["t0"])
	require.False(t, *at["t1"])
}

// Guards against a queue that is sent into a group whose pass is held, by the entry's own count.
func TestStalledGroupGetsNothing(t *testing.T) {
	c := newController(2, Rules{PerTarget: 4, Queue: 9, Entries: 1})
	told(c, start, 2, Told{Grant: 4})
	running := patient(time.Minute)
	require.Equal(t, Go, c.Arrive(start, running))
	running.Progress(start.Add(100 * time.Millisecond))
	silent := start.Add(toldLasts + time.Millisecond)
	require.Equal(t, Wait, c.Arrive(silent, patient(time.Minute)), "nobody has had an event for 0.6 s")
	running.Progress(silent)
	c.Tick(silent)
	require.Zero(t, c.Waiting("svc"), "its passes go on")
}

// Guards against a group that gets nothing for good, as its planner ended and its streams did.
func TestGroupIsNotStalledForGood(t *testing.T) {
	c := newController(2, Rules{PerTarget: 4, Queue: 9, Entries: 1})
	told(c, start, 2, Told{Grant: 4})
	running := patient(time.Minute)
	require.Equal(t, Go, c.Arrive(start, running))
	running.Progress(start)
	silent := start.Add(toldLasts + time.Millisecond)
	require.Equal(t, Wait, c.Arrive(silent, patient(time.Minute)))
	c.Done(silent, running, End{})
	require.Zero(t, c.Waiting("svc"), "one at a time finds out")
	require.Equal(t, Wait, c.Arrive(silent, patient(time.Minute)))
	c.Tick(start.Add(stallLasts + time.Millisecond))
	require.Zero(t, c.Waiting("svc"))
}
