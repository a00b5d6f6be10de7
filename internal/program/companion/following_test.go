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

// engine is a model server that reports its group and counts orders.
type engine struct {
	group  atomic.Value // roster.GroupName
	orders atomic.Int64
}

// startEngine starts an engine and returns a sidecar for it, and the engine.
func startEngine(t *testing.T, group roster.GroupName) (*Companion, *engine) {
	t.Helper()
	e := &engine{}
	e.group.Store(group)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order" {
			e.orders.Add(1)
			return
		}
		_, _ = fmt.Fprintf(w, `{"group":{"name":%q,"epoch":1,"rank":0,"state":"open"},"size":8}`, e.group.Load()) // an incomplete response fails the test
	}))
	t.Cleanup(server.Close)
	c := newPlanner().c
	c.settings.Target.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return c, e
}

func plannerOf(group roster.GroupName, term int64) rankport.Planner {
	return rankport.Planner{Group: group, Term: term, Name: "planner"}
}

// A service has two groups. Each group's planner polls all sidecars of the service to find
// its ranks. If a sidecar accepted the newest of both, the other group's planner would
// be deposed, acquire the leadership again under a higher term, and depose the first.
func TestPlannersOfTwoGroups(t *testing.T) {
	c, _ := startEngine(t, "one")
	poll := func(group roster.GroupName, term int64) rankport.State {
		return c.handlePoll(t.Context(), rankport.Poll{Asker: plannerOf(group, term)})
	}
	require.Equal(t, int64(5), poll("one", 5).Term)
	other := poll("two", 9)
	require.Zero(t, other.Term, "it is not superseded")
	require.Equal(t, roster.GroupName("one"), other.Report.Group, "it learns which group the rank belongs to")
	require.Equal(t, int64(5), poll("one", 5).Term, "the planner of the own group is still the leader")
	require.Equal(t, int64(5), poll("one", 4).Term, "an earlier planner receives the newer term")
}

// A planner's list may still contain a rank that has moved to another group. Its orders must
// not reach that rank's engine: a hold would stop a group that it does not plan for.
func TestOrdersOfAnotherGroupsPlanner(t *testing.T) {
	c, e := startEngine(t, "one")
	order := rankport.Order{Asker: plannerOf("two", 9), Order: changeover.Order{Operation: changeover.Hold, Epoch: 1, Step: 7}}
	require.Equal(t, changeover.WrongState, c.handleOrder(t.Context(), order).Result)
	require.Zero(t, e.orders.Load())
	order.Asker = plannerOf("one", 3)
	require.Equal(t, changeover.Accepted, c.handleOrder(t.Context(), order).Result)
	require.Equal(t, int64(1), e.orders.Load())
}

// A server restarts and becomes a rank of another group. The sidecar accepts that group's
// planner, whose term may be lower, and refuses orders of the first group's planner.
func TestRankInANewGroup(t *testing.T) {
	c, e := startEngine(t, "one")
	c.handlePoll(t.Context(), rankport.Poll{Asker: plannerOf("one", 9)})
	e.group.Store(roster.GroupName("two"))
	require.Zero(t, c.handlePoll(t.Context(), rankport.Poll{Asker: plannerOf("one", 9)}).Term)
	require.Equal(t, int64(4), c.handlePoll(t.Context(), rankport.Poll{Asker: plannerOf("two", 4)}).Term)
	order := rankport.Order{Asker: plannerOf("one", 9), Order: changeover.Order{Operation: changeover.Release, Epoch: 1, Step: 7}}
	require.Equal(t, changeover.WrongState, c.handleOrder(t.Context(), order).Result)
}

// A report that does not fit the group is logged once, and not at each poll, ten times a
// second.
func TestFindingsAreLoggedOnce(t *testing.T) {
	c := newPlanner().c
	f := seating.Finding{Target: "x", Problem: seating.BadRank, Group: "g", Rank: 9, Ranks: 8}
	c.logFindings([]seating.Finding{f})
	c.logFindings([]seating.Finding{f, {Target: "y", Problem: seating.NoGroup}})
	require.Len(t, c.loggedFindings, 2)
}

// The store was restored from a backup, in which the leadership record has a lower revision. The
// next planner's term is of a later era, and is accepted at once: when sidecars compared only
// revisions, the group had no planner until the sidecars restarted.
func TestPlannerOfANewEra(t *testing.T) {
	c, _ := startEngine(t, "g")
	_, err := c.report(t.Context())
	require.NoError(t, err)
	before := position.Position{Era: 1, Revision: 900}.Term()
	next := position.Position{Era: 2, Revision: 41}.Term()
	requireAccepted(t, c, start, before, true)
	requireAccepted(t, c, start, next, true)
	requireAccepted(t, c, start, before, false)
}

// The same with a store that reports no era: the next planner's term is lower, and it is accepted
// once the previous planner has not asked for termPrecedence, although this sidecar itself tried
// to acquire the leadership meanwhile.
func TestPlannerOfANewEraThatIsNotAnnounced(t *testing.T) {
	c, _ := startEngine(t, "g")
	_, err := c.report(t.Context())
	require.NoError(t, err)
	requireAccepted(t, c, start, 900, true)
	c.resetPlannerTimeout(start.Add(termPrecedence - time.Millisecond)) // this sidecar has tried to acquire the leadership
	requireAccepted(t, c, start.Add(termPrecedence-time.Millisecond), 41, false)
	requireAccepted(t, c, start.Add(termPrecedence), 41, true)
	requireAccepted(t, c, start.Add(termPrecedence), 900, true) // it is no longer frozen, and its term is higher
}

func requireAccepted(t *testing.T, c *Companion, now time.Time, term int64, accepted bool) {
	t.Helper()
	_, got := c.acceptPlanner(plannerOf("g", term), now)
	require.Equal(t, accepted, got)
}
