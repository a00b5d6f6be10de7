package companion

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// engine is a model server that says of which group it is, and counts orders.
type engine struct {
	group  atomic.Value // roster.GroupName
	orders atomic.Int64
}

// besideEngine returns a sidecar and its engine.
func besideEngine(t *testing.T, group roster.GroupName) (*Companion, *engine) {
	t.Helper()
	e := &engine{}
	e.group.Store(group)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order" {
			e.orders.Add(1)
			return
		}
		_, _ = fmt.Fprintf(w, `{"group":{"name":%q,"epoch":1,"rank":0,"state":"open"},"size":8}`, e.group.Load()) // the test sees what arrives
	}))
	t.Cleanup(server.Close)
	c := newPlanner().c
	c.settings.Target.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return c, e
}

func asker(group roster.GroupName, term int64) rankport.Asker {
	return rankport.Asker{Group: group, Term: term, Name: "planner"}
}

// A service has two groups. Each group's planner asks all sidecars of the service for
// their ranks. If a sidecar followed the newest of both, the other group's planner would
// find itself deposed, take the duty again under a higher term, and depose the first.
func TestPlannersOfTwoGroups(t *testing.T) {
	c, _ := besideEngine(t, "one")
	look := func(group roster.GroupName, term int64) rankport.Seen {
		return c.look(t.Context(), rankport.Look{Asker: asker(group, term)})
	}
	require.Equal(t, int64(5), look("one", 5).Term)
	other := look("two", 9)
	require.Zero(t, other.Term, "it is not superseded")
	require.Equal(t, roster.GroupName("one"), other.Report.Group, "it learns whose rank this is")
	require.Equal(t, int64(5), look("one", 5).Term, "its own planner has the duty still")
	require.Equal(t, int64(5), look("one", 4).Term, "an earlier one is told so")
}

// A planner's list may still show a rank that is in another group by now. Its orders must
// not reach the engine there: a hold would stop a group that it does not plan for.
func TestOrdersOfAnotherGroupsPlanner(t *testing.T) {
	c, e := besideEngine(t, "one")
	order := rankport.Order{Asker: asker("two", 9), Order: changeover.Order{Operation: changeover.Hold, Epoch: 1, Step: 7}}
	require.Equal(t, changeover.Unfit, c.order(t.Context(), order).Result)
	require.Zero(t, e.orders.Load())
	order.Asker = asker("one", 3)
	require.Equal(t, changeover.Accepted, c.order(t.Context(), order).Result)
	require.Equal(t, int64(1), e.orders.Load())
}

// A server starts again and is a rank of another group. The sidecar follows that group's
// planner, whose term may be lower; the first group's planner orders nothing here.
func TestRankInANewGroup(t *testing.T) {
	c, e := besideEngine(t, "one")
	c.look(t.Context(), rankport.Look{Asker: asker("one", 9)})
	e.group.Store(roster.GroupName("two"))
	require.Zero(t, c.look(t.Context(), rankport.Look{Asker: asker("one", 9)}).Term)
	require.Equal(t, int64(4), c.look(t.Context(), rankport.Look{Asker: asker("two", 4)}).Term)
	order := rankport.Order{Asker: asker("one", 9), Order: changeover.Order{Operation: changeover.Go, Epoch: 1, Step: 7}}
	require.Equal(t, changeover.Unfit, c.order(t.Context(), order).Result)
}

// A server's word that does not fit is logged once and not each time that it is asked, ten
// times a second.
func TestFindingsAreLoggedOnce(t *testing.T) {
	c := newPlanner().c
	f := seating.Finding{Target: "x", Problem: seating.NoSuch, Group: "g", Rank: 9, Ranks: 8}
	c.doubt([]seating.Finding{f})
	c.doubt([]seating.Finding{f, {Target: "y", Problem: seating.NoGroup}})
	require.Len(t, c.doubted, 2)
}

// The store comes back from a copy, in which the duty's record has a lower revision. The next
// planner's term is of a later era, and is followed at once: when sidecars compared revisions
// alone the group had no planner for as long as they lived.
func TestPlannerOfANewEra(t *testing.T) {
	c, _ := besideEngine(t, "g")
	_, err := c.report(t.Context())
	require.NoError(t, err)
	before := position.Position{Era: 1, Revision: 900}.Term()
	next := position.Position{Era: 2, Revision: 41}.Term()
	requireFollows(t, c, start, before, true)
	requireFollows(t, c, start, next, true)
	requireFollows(t, c, start, before, false)
}

// The same where the store tells no era: the next planner's term is lower, and it is followed
// once the one before has not asked for some seconds, whoever tries meanwhile.
func TestPlannerOfANewEraThatIsNotTold(t *testing.T) {
	c, _ := besideEngine(t, "g")
	_, err := c.report(t.Context())
	require.NoError(t, err)
	requireFollows(t, c, start, 900, true)
	c.wait(start.Add(termLasts - time.Millisecond)) // this one has tried to take the duty
	requireFollows(t, c, start.Add(termLasts-time.Millisecond), 41, false)
	requireFollows(t, c, start.Add(termLasts), 41, true)
	requireFollows(t, c, start.Add(termLasts), 900, true) // it wakes, and is the later one by its number
}

func requireFollows(t *testing.T, c *Companion, now time.Time, term int64, follows bool) {
	t.Helper()
	_, got := c.follow(asker("g", term), now)
	require.Equal(t, follows, got)
}
