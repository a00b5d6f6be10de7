package gateway

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/platform"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

func newGateway() *Gateway {
	s := deployed.Settings{Bounds: deployed.Bounds{Revoke: 5 * time.Second, Apply: 2 * time.Second, RepeatWindow: time.Second, Grace: 10 * time.Second}}
	return New(s, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet())
}

func version(n int64) feed.Page[*routing.Config] {
	c := routing.New(routing.Config{Version: n})
	return feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: c}}}
}

// The store shows an older version after a newer one. A caller that was served by a
// new route would be told that there is none.
func TestRulesNeverGoBack(t *testing.T) {
	g := newGateway()
	g.installRules(0, version(7))
	g.installRules(0, version(4))
	require.Equal(t, int64(7), g.currentRules().Config.Version)
	g.installRules(0, version(12))
	require.Equal(t, int64(12), g.currentRules().Config.Version)
}

// An empty watch proves that nothing is newer, and keys hold for longer; its age
// counts from before it was asked.
func TestEmptyWatchRenewsRules(t *testing.T) {
	g := newGateway()
	g.installRules(deployed.Elapsed()-10*time.Second, version(7))
	require.Greater(t, g.currentRules().Age, 9*time.Second)
	g.installRules(deployed.Elapsed()-time.Second, feed.Page[*routing.Config]{})
	require.Less(t, g.currentRules().Age, 5*time.Second)
	require.GreaterOrEqual(t, g.currentRules().Age, time.Second)
}

// The store answers late. A key that was taken away while it did must not count as
// proved by that answer, so the age of rules runs from before the store was asked.
func TestRulesAgeFromBeforeTheyWereAsked(t *testing.T) {
	const late = 200 * time.Millisecond
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{Version: 7, Host: "calls.example"}))
	store.Fail(func(string, string) standin.Fault {
		time.Sleep(late)
		return standin.None
	})
	g := newGateway()
	g.store = platform.NewStore(store.Address)
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.followRules(ctx) }()
	require.Eventually(t, func() bool { return g.currentRules().Config != nil }, 10*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, g.currentRules().Age, late)
	end()
	require.NoError(t, <-ended)
}

func TestNotReadyWithoutRulesAndTargets(t *testing.T) {
	g := newGateway()
	require.False(t, g.ready())
	g.installRules(deployed.Elapsed(), version(7))
	require.False(t, g.ready(), "no targets are known")
	g.targets.Store(true)
	require.True(t, g.ready())
	g.draining.Store(true)
	require.False(t, g.ready())
}

func put(id string, leaving bool) feed.Change[roster.Target] {
	return feed.Change[roster.Target]{Name: id, Object: roster.Target{ID: id, Service: "svc", Leaving: leaving}}
}

func gone(id string) feed.Change[roster.Target] {
	return feed.Change[roster.Target]{Name: id, Removed: true}
}

func requireServing(t *testing.T, g *Gateway, ids ...string) {
	t.Helper()
	var got []string
	for _, target := range g.roster.Serving("svc") {
		got = append(got, target.ID)
	}
	require.Equal(t, ids, got)
}

func TestTargetsComeAndGo(t *testing.T) {
	g := newGateway()
	g.changeTarget(put("a", false))
	g.changeTarget(put("b", false))
	requireServing(t, g, "a", "b")
	g.changeTarget(put("a", true))
	requireServing(t, g, "b")
	g.changeTarget(put("a", false))
	requireServing(t, g, "b")
	g.changeTarget(gone("b"))
	requireServing(t, g)
}

// The store was down, and entries of servers that live have lapsed. Callers would be
// refused for want of a target though all of them serve; those that live are listed
// again within two seconds, those that are not by then are gone.
func TestLapsedTargetsAreKept(t *testing.T) {
	g := newGateway()
	g.changeTarget(put("a", false))
	g.changeTarget(put("b", false))
	g.missing.storeFailed(time.Now())
	g.listTargets(time.Now(), feed.Page[roster.Target]{})
	requireServing(t, g, "a", "b")
	g.changeTarget(put("a", false))
	g.settleTargets(time.Now().Add(missingWait))
	requireServing(t, g, "a")
}

// Without trouble at the store a target that is not listed is gone at once: it may
// serve for two more seconds only.
func TestUnlistedTargetIsGone(t *testing.T) {
	g := newGateway()
	g.changeTarget(put("a", false))
	g.listTargets(time.Now(), feed.Page[roster.Target]{})
	requireServing(t, g)
}

// Sixteen entries each take their part of what all may send twice. Taken for fewer,
// they would together send more than is allowed.
func TestRepeatsAreShared(t *testing.T) {
	g := newGateway()
	now := time.Now()
	require.InDelta(t, assumedEntries, g.sharers(now), 0, "nobody tells")
	g.takeDigest(netip.AddrPort{}, digest.Digest{Service: "svc", Entries: 16})
	require.GreaterOrEqual(t, g.sharers(time.Now()), 16.0)
	g.takeDigest(netip.AddrPort{}, digest.Digest{Service: "svc", Entries: 4})
	require.InDelta(t, 6, g.sharers(time.Now()), 0)
	require.InDelta(t, assumedEntries, g.sharers(now.Add(time.Minute)), 0, "nobody tells any more")
}
