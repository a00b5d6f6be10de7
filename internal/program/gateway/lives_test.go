package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
)

// listed returns a target as the store lists it.
func listed(id string, started time.Time, heartbeats, revision int64) feed.Change[roster.Target] {
	return feed.Change[roster.Target]{Name: id, Object: roster.Target{
		ID: id, Service: "svc", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: started, Heartbeats: heartbeats, ListedAt: position.Position{Revision: 1}, ChangedAt: position.Position{Revision: revision},
	}}
}

var noon = time.UnixMilli(1_700_000_000_000)

// A server announces its shutdown and starts again under the same id. Guards against taking its
// entry for that of the incarnation that left: it would get no request until all entries were
// restarted.
func TestServerLeavesAndRestartsUnderItsID(t *testing.T) {
	for name, next := range map[string]feed.Change[roster.Target]{
		"born later": listed("a", noon.Add(time.Minute), 1, 9),
		"born earlier, as its clock was set back": listed("a", noon.Add(-time.Hour), 1, 9),
		"its beats start again":                   listed("a", time.Time{}, 1, 9),
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			earlier := listed("a", noon, 70, 5)
			if next.Object.Started.IsZero() {
				earlier.Object.Started = time.Time{}
			}
			earlier.Object.Leaving = true
			g.applyTarget(earlier)
			requireServing(t, g)
			g.applyTarget(next)
			requireServing(t, g, "a")
		})
	}
}

// The same incarnation is listed again, without its time of birth or with a later beat. A leaving
// target does not come back because of that.
func TestSameIncarnationDoesNotComeBack(t *testing.T) {
	g := newGateway()
	leaving := listed("a", noon, 70, 5)
	leaving.Object.Leaving = true
	g.applyTarget(leaving)
	g.applyTarget(listed("a", noon, 71, 9))
	g.applyTarget(listed("a", time.Time{}, 72, 10))
	requireServing(t, g)
}

// Another server takes a target's address, and the target gets no more requests. The target starts
// again there under its id: it is used again, and the other server is gone.
func TestAddressIsTakenAndReclaimed(t *testing.T) {
	g := newGateway()
	g.applyTarget(listed("a", noon, 70, 5))
	other := listed("b", noon.Add(time.Second), 1, 7)
	other.Object.ListedAt = position.Position{Revision: 7}
	g.applyTarget(other)
	requireServing(t, g, "b")
	g.applyTarget(listed("a", noon.Add(time.Minute), 1, 9))
	requireServing(t, g, "a")
}

// A target is avoided after failures, its host was reported as lost and its rank as having no free
// slot. When it starts again under its id, that state must be discarded: otherwise callers would be
// refused for lack of a target though it serves.
func TestStateOfAnEarlierIncarnationIsForgotten(t *testing.T) {
	g := newGateway()
	g.applyTarget(listed("a", noon, 70, 5))
	now := time.Now()
	group := roster.Group{Service: "svc", Name: "g"}
	g.admit.ApplyUpdate(now, admission.GroupUpdate{Group: group, Open: true, Targets: map[string]admission.TargetReport{"a": {Load: 9, Lost: true}}})
	k := &admission.Ticket{Service: "svc"}
	require.NotEqual(t, admission.Admitted, g.admit.Arrive(now, k))
	g.applyTarget(listed("a", noon.Add(time.Minute), 1, 9))
	require.Equal(t, roster.Group{Service: "svc"}, g.admit.GroupOf(roster.Target{ID: "a", Service: "svc"}))
}

// A server's entry becomes unreadable because another writer has overwritten it. The server gets no
// new request, and is used again once its entry can be read.
func TestEntryTurnsUnreadable(t *testing.T) {
	g := newGateway()
	g.applyTarget(listed("a", noon, 70, 5))
	requireServing(t, g, "a")
	g.applyTarget(feed.Change[roster.Target]{Name: "a", Unreadable: true})
	requireServing(t, g)
	_, found := g.roster.Get("a")
	require.True(t, found, "requests that run there continue")
	g.applyTarget(feed.Change[roster.Target]{Name: "never-seen", Unreadable: true})
	requireServing(t, g)
	g.applyTarget(listed("a", noon, 71, 9))
	requireServing(t, g, "a")
}

// Guards against using a target again that announced its shutdown, because a list has it as ready.
func TestAnnouncedLeavingOutlivesLists(t *testing.T) {
	ready := listed("a", noon, 70, 5)
	announce := func(g *Gateway) { g.admit.ApplyNotice(time.Now(), ticketOf(t, g), notice.Notice{Leaves: true}) }
	removed := feed.Change[roster.Target]{Name: "a", Removed: true}
	for name, c := range map[string]struct {
		changes []feed.Change[roster.Target]
		serving bool
	}{
		"at once":                           {nil, false},
		"listed as ready":                   {[]feed.Change[roster.Target]{listed("a", noon, 71, 9)}, false},
		"removed and listed again":          {[]feed.Change[roster.Target]{removed, listed("a", noon, 72, 11)}, false},
		"listed again without its birth":    {[]feed.Change[roster.Target]{removed, listed("a", time.Time{}, 72, 11)}, false},
		"started again":                     {[]feed.Change[roster.Target]{listed("a", noon.Add(time.Minute), 1, 12)}, true},
		"removed, and started again":        {[]feed.Change[roster.Target]{removed, listed("a", noon.Add(time.Minute), 1, 12)}, true},
		"started again, its clock set back": {[]feed.Change[roster.Target]{listed("a", noon.Add(-time.Hour), 1, 12)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.installConfig(0, version(7))
			g.applyTarget(ready)
			requireServing(t, g, "a")
			announce(g)
			requireServing(t, g)
			for _, change := range c.changes {
				g.applyTarget(change)
			}
			if !c.serving {
				requireServing(t, g)
				return
			}
			requireServing(t, g, "a")
			announce(g)
			requireServing(t, g)
		})
	}
}

// Guards against refusing callers while all targets are leaving and still serve, and against
// requests to them after that.
func TestAllTargetsLeave(t *testing.T) {
	countServing := func(g *Gateway) int { return len(g.serving("svc")) }
	leaving := listed("a", noon, 71, 9)
	leaving.Object.Leaving = true
	for name, leave := range map[string]func(*Gateway){
		"announced in the list":   func(g *Gateway) { g.applyTarget(leaving) },
		"announced in a response": func(g *Gateway) { g.admit.ApplyNotice(time.Now(), ticketOf(t, g), notice.Notice{Leaves: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.bounds.Store(&deployed.Bounds{Drain: time.Second})
			g.installConfig(0, version(7))
			g.storeAnswered(time.Now())
			g.applyTarget(listed("a", noon, 70, 5))
			g.storeAnswered(time.Now())
			leave(g)
			requireServing(t, g)
			require.Equal(t, 1, countServing(g))
			require.False(t, g.admit.Withdrawn(time.Now(), ticketOf(t, g)))
			g.applyTarget(feed.Change[roster.Target]{Name: "a", Object: leaving.Object})
			time.Sleep(time.Duration(lastUseShare * float64(time.Second)))
			require.Zero(t, countServing(g))
			g.applyTarget(listed("a", noon, 72, 11))
			require.Zero(t, countServing(g), "listed again")
		})
	}
	t.Run("not one that is gone", func(t *testing.T) {
		g := newGateway()
		g.applyTarget(listed("a", noon, 70, 5))
		misdirect(g, "a", "")
		require.Zero(t, countServing(g))
	})
	t.Run("not one that is first seen as leaving", func(t *testing.T) {
		g := newGateway()
		g.applyTarget(leaving)
		require.Zero(t, countServing(g))
	})
	t.Run("not while another serves", func(t *testing.T) {
		g := newGateway()
		g.applyTarget(listed("a", noon, 70, 5))
		other := listed("b", noon, 70, 6)
		other.Object.Address = netip.MustParseAddrPort("10.0.0.2:80")
		g.applyTarget(other)
		g.applyTarget(leaving)
		require.Equal(t, "b", g.serving("svc")[0].ID)
		require.Equal(t, 1, countServing(g))
	})
}

// ticketOf returns the ticket of a request that was sent to a target of the service.
func ticketOf(t *testing.T, g *Gateway) *admission.Ticket {
	k := &admission.Ticket{Service: "svc"}
	require.Equal(t, admission.Admitted, g.admit.Arrive(time.Now(), k))
	return k
}
