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
	c := newController(2, Limits{PerTarget: 4, Queue: 9, Entries: 1})
	updateOpen(c, start, groupOne, "t0")
	updateOpen(c, start, groupTwo, "t1")
	return c
}

func updateOpen(c *Controller, now time.Time, g roster.Group, target string) {
	c.ApplyUpdate(now, GroupUpdate{Group: g, Open: true, Targets: map[string]TargetReport{target: {Grant: 4}}})
}

func updateClosed(c *Controller, now time.Time, g roster.Group, target string) {
	c.ApplyUpdate(now, GroupUpdate{Group: g, Targets: map[string]TargetReport{target: {}}})
}

// requireSentTo sends some requests, all of which go to one target.
func requireSentTo(t *testing.T, c *Controller, now time.Time, target string) {
	t.Helper()
	for range 3 {
		k := ticket()
		require.Equal(t, Admitted, c.Arrive(now, k))
		require.Equal(t, target, k.Target().ID)
		c.Done(now, k, End{})
	}
}

// One of two groups breaks. Its callers go to the other; if the whole service counted as closed,
// all of them would wait for a second or two though half of the slots are free.
func TestBrokenGroupLeavesTheOtherOpen(t *testing.T) {
	t.Run("as its planner reports", func(t *testing.T) {
		c := twoGroups()
		updateClosed(c, start, groupOne, "t0")
		requireSentTo(t, c, start, "t1")
	})
	t.Run("as one of its targets reports", func(t *testing.T) {
		c := twoGroups()
		c.GroupClosed(start, roster.Target{ID: "t1", Service: "svc"})
		requireSentTo(t, c, start, "t0")
	})
}

// One group is broken, the other serves. If both shared their state, each response of the other
// would open the broken one, and callers sent there would be refused.
func TestOpenGroupDoesNotOpenTheBroken(t *testing.T) {
	c := twoGroups()
	c.GroupClosed(start, roster.Target{ID: "t0", Service: "svc"})
	c.ResponseBegun(start, roster.Target{ID: "t1", Service: "svc"})
	updateOpen(c, start, groupTwo, "t1")
	requireSentTo(t, c, start, "t1")
}

// The server of a rank has started again. Its earlier incarnation is still listed for three
// heartbeats, though the group's planner no longer reports it; a request that is sent there is
// refused by the new incarnation, which wastes an attempt.
func TestEarlierIncarnationOfARank(t *testing.T) {
	c := newController(2, Limits{PerTarget: 4, Queue: 9, Entries: 1})
	updateOpen(c, start, groupOne, "t0")
	later := start.Add(updateLifetime)
	updateOpen(c, later, groupOne, "t1")
	requireSentTo(t, c, later, "t1")
	updateClosed(c, later, groupOne, "t1")
	require.Equal(t, Wait, c.Arrive(later, ticket()), "nor while the group is closed")
}

// A rank comes back while its group is closed, and its new incarnation is listed before the planner
// has found it. It must not count as a target without a group, to which requests may be sent.
func TestNewTargetWaitsForAPlannerUpdate(t *testing.T) {
	c := twoGroups()
	c.Targets = func(string) []roster.Target {
		return []roster.Target{{ID: "t0", Service: "svc"}, {ID: "t1", Service: "svc"}, {ID: "new", Service: "svc"}}
	}
	updateClosed(c, start, groupOne, "t0")
	requireSentTo(t, c, start, "t1")
	updateClosed(c, start.Add(joinPause-updateLifetime/2), groupOne, "new")
	updateOpen(c, start.Add(joinPause), groupTwo, "t1")
	requireSentTo(t, c, start.Add(joinPause), "t1")
}

// Engines of a service need not be in a group. No planner reports them; the entry uses them by its
// own count, along with the groups of the same service.
func TestEnginesWithoutAGroup(t *testing.T) {
	c := newController(2, Limits{PerTarget: 2, Queue: 9, Entries: 1})
	c.ApplyUpdate(start, GroupUpdate{Group: groupOne, Open: true, Targets: map[string]TargetReport{"t0": {}}})
	require.Equal(t, Wait, c.Arrive(start, ticket()))
	later := start.Add(joinPause)
	c.ApplyUpdate(later, GroupUpdate{Group: groupOne, Open: true, Targets: map[string]TargetReport{"t0": {}}})
	k := ticket()
	require.Equal(t, Admitted, c.Arrive(later, k))
	require.Equal(t, "t1", k.Target().ID)
}

// A rank may be in another group after its server has started again, under a new id or in a new
// epoch. The last planner update decides.
func TestRankThatChangesItsGroup(t *testing.T) {
	c := twoGroups()
	updateOpen(c, start, groupTwo, "t0")
	require.Equal(t, groupTwo, c.GroupOf(roster.Target{ID: "t0", Service: "svc"}))
	updateClosed(c, start, groupOne, "t9")
	requireAdmitted := func() { require.Equal(t, Admitted, c.Arrive(start, ticket())) }
	requireAdmitted()
	requireAdmitted()
}

// Groups come and go for years. The state of those that no planner reports any more is dropped, and
// so are targets that planners reported and the store never listed.
func TestForgottenGroups(t *testing.T) {
	c := twoGroups()
	later := start.Add(2 * unreportedKept)
	c.Sweep(later, func(id string) bool { return id == "t0" })
	require.Empty(t, c.groups)
	require.Len(t, c.targets, 1)
}

// A rank of one group has turned slow, and all that its group serves is late. Requests go to the
// other group while that has free slots, and are late only beyond that.
func TestSlowGroupIsUsedLast(t *testing.T) {
	c := twoGroups()
	c.ApplyUpdate(start, GroupUpdate{Group: groupOne, Open: true, Slow: true, Targets: map[string]TargetReport{"t0": {Grant: 4}}})
	c.ApplyUpdate(start, GroupUpdate{Group: groupTwo, Open: true, Targets: map[string]TargetReport{"t1": {Load: 7, Grant: 2}}})
	for _, want := range []string{"t1", "t1", "t0"} {
		k := ticket()
		require.Equal(t, Admitted, c.Arrive(start, k))
		require.Equal(t, want, k.Target().ID)
	}
}

// The whole group waits for the requests at a slow rank. These leave it, as many as have a free
// slot elsewhere now: one that left without a slot would wait at the entry for longer than the slow
// rank takes, and a stream that has begun could not be moved.
func TestRequestsLeaveASlowRank(t *testing.T) {
	c := twoGroups()
	left := 0
	for range 4 {
		k := ticket()
		k.Tried = []string{"t1"}
		require.Equal(t, Admitted, c.Arrive(start, k))
		c.OnSlow(k, func() bool { left++; return true })
	}
	slow := map[string]TargetReport{"t0": {Load: 4, Slow: true}}
	c.ApplyUpdate(start, GroupUpdate{Group: groupTwo, Open: true, Targets: map[string]TargetReport{"t1": {}}})
	c.ApplyUpdate(start, GroupUpdate{Group: groupOne, Open: true, Targets: slow})
	require.Zero(t, left, "no free slot elsewhere")
	c.ApplyUpdate(start, GroupUpdate{Group: groupTwo, Open: true, Targets: map[string]TargetReport{"t1": {Grant: 3}}})
	c.ApplyUpdate(start, GroupUpdate{Group: groupOne, Open: true, Targets: slow})
	require.Equal(t, 3, left)
	c.ApplyUpdate(start, GroupUpdate{Group: groupOne, Open: true, Targets: slow})
	require.Equal(t, 4, left, "each is asked to leave once")
}

// A group opens after a loss, and a hundred callers wait. There is no planner update yet, and steps
// take three times as long as they will later: if all requests went in at once, all would be late
// and hold the slots for three seconds.
func TestFewGoIntoAGroupThatHasJustOpened(t *testing.T) {
	c := newController(1, Limits{PerTarget: 9, Queue: 99, Entries: 1})
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
	require.Equal(t, 1, granted(), "one request finds out whether it has opened")
	c.ResponseBegun(opens, roster.Target{ID: "t0", Service: "svc"})
	require.Equal(t, 3, granted())
	c.Tick(opens.Add(openedDuration))
	require.Equal(t, 9, granted(), "there is no planner update")
}

// More requests wait than can be on time. Of the late ones, those with the least time left go
// first: they were refused before, and are not served at all if they are refused once more.
func TestLateRequestsGoByTimeLeft(t *testing.T) {
	c := newController(1, Limits{PerTarget: 1, Queue: 9, Entries: 1})
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

// An operator asks why callers of one group waited. Each change of the entry's view of the group is
// reported once, with its source, and not ten times a second.
func TestGroupChangesAreReportedOnce(t *testing.T) {
	c := newController(2, Limits{PerTarget: 4, Queue: 9, Entries: 1})
	var reported []GroupView
	c.OnGroupChange = func(v GroupView) { reported = append(reported, v) }
	for range 5 {
		updateOpen(c, start, groupOne, "t0")
	}
	c.GroupClosed(start, roster.Target{ID: "t0", Service: "svc"})
	c.ResponseBegun(start, roster.Target{ID: "t0", Service: "svc"})
	c.ApplyUpdate(start, GroupUpdate{Group: groupOne, Open: true, Slow: true, Targets: map[string]TargetReport{"t0": {}}})
	require.Equal(t, []GroupView{
		{Group: groupOne, Open: true, Source: "planner"},
		{Group: groupOne, Source: "target"},
		{Group: groupOne, Open: true, Source: "answer"},
		{Group: groupOne, Open: true, Slow: true, Source: "planner"},
	}, reported)
}

// A host freezes in the middle of a map switch, and its group is held: it takes no requests.
// Requests at that host could not go elsewhere, as only updates of open groups reported lost hosts;
// their callers left after two seconds, and the requests ran on when the host woke.
func TestLostTargetOfAClosedGroup(t *testing.T) {
	c := newController(2, Limits{PerTarget: 8, Queue: 9, Entries: 1})
	updateTargets(c, start, 2, TargetReport{Grant: 1})
	at := make(map[string]*bool)
	for range 2 {
		k := ticket()
		require.Equal(t, Admitted, c.Arrive(start, k))
		lost := new(bool)
		at[k.Target().ID] = lost
		c.OnLost(start, k, func() { *lost = true })
	}
	require.Len(t, at, 2)
	c.ApplyUpdate(start.Add(100*time.Millisecond), GroupUpdate{Group: theGroup, Targets: map[string]TargetReport{"t0": {Lost: true}, "t1": {}}})
	require.True(t, *at["t0"])
	require.False(t, *at["t1"])
}

// Guards against a queue that is sent, by the entry's own count, into a group whose step is held.
func TestStalledGroupGetsNothing(t *testing.T) {
	c := newController(2, Limits{PerTarget: 4, Queue: 9, Entries: 1})
	updateTargets(c, start, 2, TargetReport{Grant: 4})
	running := patient(time.Minute)
	require.Equal(t, Admitted, c.Arrive(start, running))
	running.Progress(start.Add(100 * time.Millisecond))
	silent := start.Add(updateLifetime + time.Millisecond)
	require.Equal(t, Wait, c.Arrive(silent, patient(time.Minute)), "no stream has had an event for 0.6 s")
	running.Progress(silent)
	c.Tick(silent)
	require.Zero(t, c.Waiting("svc"), "the group makes steps again")
}

// Guards against a group that gets nothing for good after its planner and its streams have ended.
func TestGroupIsNotStalledForGood(t *testing.T) {
	c := newController(2, Limits{PerTarget: 4, Queue: 9, Entries: 1})
	updateTargets(c, start, 2, TargetReport{Grant: 4})
	running := patient(time.Minute)
	require.Equal(t, Admitted, c.Arrive(start, running))
	running.Progress(start)
	silent := start.Add(updateLifetime + time.Millisecond)
	require.Equal(t, Wait, c.Arrive(silent, patient(time.Minute)))
	c.Done(silent, running, End{})
	require.Zero(t, c.Waiting("svc"), "one request at a time finds out")
	require.Equal(t, Wait, c.Arrive(silent, patient(time.Minute)))
	c.Tick(start.Add(maxStall + time.Millisecond))
	require.Zero(t, c.Waiting("svc"))
}
