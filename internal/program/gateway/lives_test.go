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

// listed is a target as the store tells it.
func listed(id string, born time.Time, beat, revision int64) feed.Change[roster.Target] {
	return feed.Change[roster.Target]{Name: id, Object: roster.Target{
		ID: id, Service: "svc", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: born, Beat: beat, Since: position.Position{Revision: 1}, Changed: position.Position{Revision: revision},
	}}
}

var noon = time.UnixMilli(1_700_000_000_000)

// A server says that it leaves, and starts again under the id that it had. Its entry was taken
// for that of the life that left, and it got no request until all entries had started anew.
func TestServerLeavesAndStartsAgainUnderItsID(t *testing.T) {
	for name, next := range map[string]feed.Change[roster.Target]{
		"born later":                           listed("a", noon.Add(time.Minute), 1, 9),
		"born earlier, as its clock went back": listed("a", noon.Add(-time.Hour), 1, 9),
		"its beats begin anew":                 listed("a", time.Time{}, 1, 9),
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			was := listed("a", noon, 70, 5)
			if next.Object.Born.IsZero() {
				was.Object.Born = time.Time{}
			}
			was.Object.Leaving = true
			g.changeTarget(was)
			requireServing(t, g)
			g.changeTarget(next)
			requireServing(t, g, "a")
		})
	}
}

// The same life is told of again, without its time of birth or with a later beat. One that
// leaves does not come back for that.
func TestTheSameLifeDoesNotComeBack(t *testing.T) {
	g := newGateway()
	was := listed("a", noon, 70, 5)
	was.Object.Leaving = true
	g.changeTarget(was)
	g.changeTarget(listed("a", noon, 71, 9))
	g.changeTarget(listed("a", time.Time{}, 72, 10))
	requireServing(t, g)
}

// Another server answers at a target's address, which gets nothing more. The target starts
// again there under its id: it is used again, and the other is the one that is gone.
func TestAddressIsTakenAndTakenBack(t *testing.T) {
	g := newGateway()
	g.changeTarget(listed("a", noon, 70, 5))
	other := listed("b", noon.Add(time.Second), 1, 7)
	other.Object.Since = position.Position{Revision: 7}
	g.changeTarget(other)
	requireServing(t, g, "b")
	g.changeTarget(listed("a", noon.Add(time.Minute), 1, 9))
	requireServing(t, g, "a")
}

// A target is avoided after failures, its host was told to be lost and its rank to have no
// place. It starts again under its id, and nothing of that holds: callers were refused for
// want of a target though it served.
func TestWhatWasBelievedOfAnEarlierLife(t *testing.T) {
	g := newGateway()
	g.changeTarget(listed("a", noon, 70, 5))
	now := time.Now()
	group := roster.Group{Service: "svc", Name: "g"}
	g.admit.Told(now, admission.Look{Group: group, Open: true, Targets: map[string]admission.Told{"a": {Load: 9, Lost: true}}})
	k := &admission.Ticket{Service: "svc"}
	require.NotEqual(t, admission.Go, g.admit.Arrive(now, k))
	g.changeTarget(listed("a", noon.Add(time.Minute), 1, 9))
	require.Equal(t, roster.Group{Service: "svc"}, g.admit.GroupOf(roster.Target{ID: "a", Service: "svc"}))
}

// A server's entry turns unreadable, as another writer has written there. It gets no new
// request, and is used again once its entry can be read.
func TestEntryTurnsUnreadable(t *testing.T) {
	g := newGateway()
	g.changeTarget(listed("a", noon, 70, 5))
	requireServing(t, g, "a")
	g.changeTarget(feed.Change[roster.Target]{Name: "a", Unreadable: true})
	requireServing(t, g)
	_, found := g.roster.Get("a")
	require.True(t, found, "what runs there goes on")
	g.changeTarget(feed.Change[roster.Target]{Name: "never-seen", Unreadable: true})
	requireServing(t, g)
	g.changeTarget(listed("a", noon, 71, 9))
	requireServing(t, g, "a")
}

// Guards against a target that says that it leaves and is used again as some list has it.
func TestWordOfLeavingOutlivesLists(t *testing.T) {
	was := listed("a", noon, 70, 5)
	says := func(g *Gateway) { g.admit.Noticed(time.Now(), ticketOf(t, g), notice.Said{Leaves: true}) }
	removed := feed.Change[roster.Target]{Name: "a", Removed: true}
	for name, c := range map[string]struct {
		changes []feed.Change[roster.Target]
		serves  bool
	}{
		"at once":                       {nil, false},
		"listed as ready":               {[]feed.Change[roster.Target]{listed("a", noon, 71, 9)}, false},
		"lost by the list, and back":    {[]feed.Change[roster.Target]{removed, listed("a", noon, 72, 11)}, false},
		"back without its birth":        {[]feed.Change[roster.Target]{removed, listed("a", time.Time{}, 72, 11)}, false},
		"started again":                 {[]feed.Change[roster.Target]{listed("a", noon.Add(time.Minute), 1, 12)}, true},
		"gone, and started again":       {[]feed.Change[roster.Target]{removed, listed("a", noon.Add(time.Minute), 1, 12)}, true},
		"started again, its clock back": {[]feed.Change[roster.Target]{listed("a", noon.Add(-time.Hour), 1, 12)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.installRules(0, version(7))
			g.changeTarget(was)
			requireServing(t, g, "a")
			says(g)
			requireServing(t, g)
			for _, change := range c.changes {
				g.changeTarget(change)
			}
			if !c.serves {
				requireServing(t, g)
				return
			}
			requireServing(t, g, "a")
			says(g)
			requireServing(t, g)
		})
	}
}

// Guards against callers that are refused while all targets leave and still serve, and against
// requests there after that.
func TestAllTargetsLeave(t *testing.T) {
	list := func(g *Gateway) int { return len(g.serving("svc")) }
	leaving := listed("a", noon, 71, 9)
	leaving.Object.Leaving = true
	for name, leave := range map[string]func(*Gateway){
		"by the list": func(g *Gateway) { g.changeTarget(leaving) },
		"by its word": func(g *Gateway) { g.admit.Noticed(time.Now(), ticketOf(t, g), notice.Said{Leaves: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.bounds.Store(&deployed.Bounds{Drain: time.Second})
			g.installRules(0, version(7))
			g.changeTarget(listed("a", noon, 70, 5))
			leave(g)
			requireServing(t, g)
			require.Equal(t, 1, list(g))
			require.False(t, g.admit.Withdrawn(time.Now(), ticketOf(t, g)))
			g.changeTarget(feed.Change[roster.Target]{Name: "a", Object: leaving.Object})
			time.Sleep(time.Duration(lastUse * float64(time.Second)))
			require.Zero(t, list(g))
			g.changeTarget(listed("a", noon, 72, 11))
			require.Zero(t, list(g), "told again")
		})
	}
	t.Run("not one that is gone", func(t *testing.T) {
		g := newGateway()
		g.changeTarget(listed("a", noon, 70, 5))
		g.heardGone("a")
		require.Zero(t, list(g))
	})
	t.Run("not one that is met as leaving", func(t *testing.T) {
		g := newGateway()
		g.changeTarget(leaving)
		require.Zero(t, list(g))
	})
	t.Run("not while another serves", func(t *testing.T) {
		g := newGateway()
		g.changeTarget(listed("a", noon, 70, 5))
		other := listed("b", noon, 70, 6)
		other.Object.Address = netip.MustParseAddrPort("10.0.0.2:80")
		g.changeTarget(other)
		g.changeTarget(leaving)
		require.Equal(t, "b", g.serving("svc")[0].ID)
		require.Equal(t, 1, list(g))
	})
}

// ticketOf is a request that has been sent to a target of the service.
func ticketOf(t *testing.T, g *Gateway) *admission.Ticket {
	k := &admission.Ticket{Service: "svc"}
	require.Equal(t, admission.Go, g.admit.Arrive(time.Now(), k))
	return k
}
