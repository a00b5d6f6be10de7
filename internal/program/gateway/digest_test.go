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
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

var planners = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7401"), netip.MustParseAddrPort("10.0.0.2:7401")}

// A planner's host stood still, and another took its place. The first one wakes and tells
// what it knew; the entry would send by that until the next word of the other.
func TestEarlierPlannerIsNotHeard(t *testing.T) {
	g := newGateway()
	g.takeDigest(planners[1], digest.Digest{Service: "svc", Term: 8, Limit: 5})
	g.takeDigest(planners[0], digest.Digest{Service: "svc", Term: 7, Limit: 9})
	require.Equal(t, planners[1], g.plannerOf("svc").address)
	limit, _ := g.engineLimits.Load("svc")
	require.Equal(t, 5, limit)
	g.takeDigest(planners[0], digest.Digest{Service: "other", Term: 7, Limit: 9})
	require.Equal(t, planners[0], g.plannerOf("other").address, "of another service")
}

// The store turns this entry away and serves the others. Its callers come back at once,
// through another entry; if all entries were turned away they would come back later.
func TestOthersHaveFreshRules(t *testing.T) {
	g := newGateway()
	now := time.Now()
	require.False(t, g.elsewhere(now), "nobody tells")
	g.takeDigest(planners[0], digest.Digest{Service: "svc", Term: 7, Fresh: 1})
	require.False(t, g.elsewhere(now), "that one may be this entry")
	g.takeDigest(planners[0], digest.Digest{Service: "svc", Term: 7, Fresh: 4})
	require.True(t, g.elsewhere(time.Now()))
	require.False(t, g.elsewhere(now.Add(time.Minute)), "long ago")
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
			g.takeDigest(at[0], digest.Digest{Service: "svc", Term: 1})
			require.Equal(t, c.want, hellos(t, g, time.Now().Add(c.after), listeners...))
		})
	}
}
