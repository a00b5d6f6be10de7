package gateway

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

var plannersAt = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7401"), netip.MustParseAddrPort("10.0.0.2:7401")}

// A planner's host stood still, and another took its place. The first one wakes and tells
// what it knew; the entry would send by that until the next word of the other.
func TestEarlierPlannerIsNotHeard(t *testing.T) {
	g := newGateway()
	g.takeDigest(plannersAt[1], digest.Digest{Service: "svc", Term: 8, Limit: 5})
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Term: 7, Limit: 9})
	requirePlanner(t, g, roster.Group{Service: "svc"}, plannersAt[1])
	g.takeDigest(plannersAt[0], digest.Digest{Service: "other", Term: 7, Limit: 9})
	requirePlanner(t, g, roster.Group{Service: "other"}, plannersAt[0])
}

func requirePlanner(t *testing.T, g *Gateway, group roster.Group, at netip.AddrPort) {
	t.Helper()
	p, heard := g.planners.of(time.Now(), group)
	require.True(t, heard)
	require.Equal(t, at, p.address)
}

// A service has two groups, each with a planner. The second one's term is lower, as it has
// planned for longer; an entry that took it for an earlier planner of the first would not
// know a place of its group, and send all callers to the first.
func TestEachGroupHasItsPlanner(t *testing.T) {
	g := newGateway()
	g.roster.Put(roster.Target{ID: "a", Service: "svc"})
	g.roster.Put(roster.Target{ID: "b", Service: "svc"})
	one, two := roster.Group{Service: "svc", Name: "one"}, roster.Group{Service: "svc", Name: "two"}
	g.takeDigest(plannersAt[1], digest.Digest{Service: "svc", Group: "one", Term: 8, Open: true, Entries: 3, Ranks: []digest.Rank{{Target: "a"}}})
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Group: "two", Term: 7, Open: true, Entries: 2, Ranks: []digest.Rank{{Target: "b", Grant: 1}}})
	requirePlanner(t, g, one, plannersAt[1])
	requirePlanner(t, g, two, plannersAt[0])
	require.Equal(t, two, g.admit.GroupOf(roster.Target{ID: "b", Service: "svc"}))
	entries, known := g.planners.entries(time.Now())
	require.True(t, known)
	require.Equal(t, 3, entries, "as the one says that hears most")
}

// A planner tells that a rank is slow. The entry lets requests leave it, which hold up the
// whole group, for a rank that is not.
func TestSlowRanksAreTaken(t *testing.T) {
	g := newGateway()
	g.roster.Put(roster.Target{ID: "a", Service: "svc"})
	d := digest.Digest{Service: "svc", Group: "g", Term: 1, Open: true, Ranks: []digest.Rank{{Target: "a", Grant: 1}}}
	g.takeDigest(plannersAt[0], d)
	k := &admission.Ticket{Service: "svc"}
	require.Equal(t, admission.Go, g.admit.Arrive(time.Now(), k))
	left := false
	g.admit.OnSlow(k, func() bool { left = true; return true })
	g.roster.Put(roster.Target{ID: "b", Service: "svc"})
	d.Ranks = []digest.Rank{{Target: "a", Load: 1, Slow: true}, {Target: "b", Grant: 1}}
	g.takeDigest(plannersAt[0], d)
	require.True(t, left)
}

// The entries' demand decides on their shares of the places. Reading it begins the count
// anew, so a group whose planner were told last would think that nobody comes.
func TestDemandIsToldToEachGroup(t *testing.T) {
	g := newGateway()
	config := routing.New(routing.Config{Version: 3, Services: []routing.Service{{Name: "svc", Engine: &routing.Engine{}}}})
	g.installRules(deployed.Elapsed(), feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: config}}})
	listeners, heard := listen(t, 2)
	for i, s := range listeners {
		name := roster.GroupName(rune('a' + i))
		g.takeDigest(s.Addr(), digest.Digest{Service: "svc", Group: name, Term: 1, Open: true})
	}
	g.roster.Put(roster.Target{ID: "t", Service: "svc"})
	for range 5 {
		g.admit.Arrive(time.Now(), &admission.Ticket{Service: "svc"})
	}
	from, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	g.hello(time.Now(), from)
	for range listeners {
		select {
		case h := <-heard:
			require.InDelta(t, 10, h.Demand, 0, "5 came, and wait")
		case <-time.After(20 * time.Second):
			require.Fail(t, "a planner was not greeted")
		}
	}
}

// listen opens sockets and hands on the hellos that come to any of them.
func listen(t *testing.T, n int) ([]*digest.Socket, <-chan digest.Hello) {
	t.Helper()
	heard := make(chan digest.Hello, 16)
	var list []*digest.Socket
	for range n {
		s, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(t, err)
		list = append(list, s)
		go func() {
			_ = s.Serve(t.Context(), func(_ netip.AddrPort, h digest.Hello) { heard <- h }, func(netip.AddrPort, digest.Digest) {})
		}()
	}
	return list, heard
}

// The store turns this entry away and serves the others. Its callers come back at once,
// through another entry; if all entries were turned away they would come back later.
func TestOthersHaveFreshRules(t *testing.T) {
	g := newGateway()
	now := time.Now()
	require.False(t, g.planners.elsewhere(now), "nobody tells")
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Term: 7, Fresh: 1})
	require.False(t, g.planners.elsewhere(now), "that one may be this entry")
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Term: 7, Fresh: 4})
	require.True(t, g.planners.elsewhere(time.Now()))
	require.False(t, g.planners.elsewhere(now.Add(time.Minute)), "long ago")
}

// hellos greets what there is to greet once, and counts who hears of it.
func hellos(t *testing.T, g *Gateway, now time.Time, listeners ...*digest.Socket) []int {
	t.Helper()
	from, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	counts := make([]int, len(listeners))
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	done := make(chan int, len(listeners))
	for i, l := range listeners {
		go func() {
			_ = l.Serve(ctx, func(netip.AddrPort, digest.Hello) { counts[i]++ }, func(netip.AddrPort, digest.Digest) {})
			done <- i
		}()
	}
	g.hello(now, from)
	for range listeners {
		<-done
	}
	return counts
}

// An entry that hears of a planner greets that one alone. To greet all sidecars each
// second does not fit 1,300 of them; while nobody tells anything, any may plan next.
func TestGreetsThePlanner(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration // since the planner was heard
		want  []int
	}{
		"heard lately": {0, []int{1, 0}},
		"quiet":        {2 * plannerQuiet, []int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			var listeners []*digest.Socket
			var at []netip.AddrPort
			for _, addr := range []string{"127.0.0.1:0", "127.0.0.2:0"} {
				a := netip.MustParseAddrPort(addr)
				if len(at) > 0 {
					a = netip.AddrPortFrom(a.Addr(), at[0].Port()) // all listen at the same port
				}
				s, err := digest.Open(a)
				require.NoError(t, err)
				listeners, at = append(listeners, s), append(at, s.Addr())
			}
			g := newGateway()
			g.settings.Listen.Peers = netip.AddrPortFrom(at[0].Addr(), at[0].Port())
			config := routing.New(routing.Config{Version: 3, Services: []routing.Service{{Name: "svc", Engine: &routing.Engine{}}}})
			g.installRules(deployed.Elapsed(), feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: config}}})
			for i, a := range at {
				g.roster.Put(roster.Target{ID: string(rune('a' + i)), Service: "svc", Address: a})
			}
			ranks := []digest.Rank{{Target: "a"}, {Target: "b"}}
			g.takeDigest(at[0], digest.Digest{Service: "svc", Group: "g", Term: 1, Open: true, Ranks: ranks})
			require.Equal(t, c.want, hellos(t, g, time.Now().Add(c.after), listeners...))
		})
	}
}
