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
	s := deployed.Settings{Bounds: deployed.Bounds{Revoke: 5 * time.Second, Apply: 2 * time.Second, Drain: drainTime, RepeatWindow: time.Second, Grace: 10 * time.Second}}
	return New(s, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet())
}

func version(n int64) feed.Page[*routing.Config] {
	c := routing.New(routing.Config{Version: n})
	return feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: c}}}
}

// The store returns an older version after a newer one. If it were installed, a caller of a new
// route would be refused because the route is unknown.
func TestConfigNeverGoesBack(t *testing.T) {
	g := newGateway()
	g.installConfig(0, version(7))
	g.installConfig(0, version(4))
	require.Equal(t, int64(7), g.currentConfig().Config.Version)
	g.installConfig(0, version(12))
	require.Equal(t, int64(12), g.currentConfig().Config.Version)
}

// An empty watch proves that nothing is newer, which extends the trust in keys; its age counts
// from before the watch was sent.
func TestEmptyWatchRenewsConfig(t *testing.T) {
	g := newGateway()
	g.installConfig(deployed.Elapsed()-10*time.Second, version(7))
	require.Greater(t, g.currentConfig().Age, 9*time.Second)
	g.installConfig(deployed.Elapsed()-time.Second, feed.Page[*routing.Config]{})
	require.Less(t, g.currentConfig().Age, 5*time.Second)
	require.GreaterOrEqual(t, g.currentConfig().Age, time.Second)
}

// The store responds late. A key that was revoked in the meantime must not count as proved by that
// response, so the configuration's age counts from before the request was sent.
func TestConfigAgeCountsFromTheRequest(t *testing.T) {
	const late = 200 * time.Millisecond
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{Version: 7, Host: "calls.example"}))
	store.SetFault(func(string, string) standin.Fault {
		time.Sleep(late)
		return standin.None
	})
	g := newGateway()
	g.store = platform.NewStore(store.Address)
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.followConfig(ctx) }()
	require.Eventually(t, func() bool { return g.currentConfig().Config != nil }, 10*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, g.currentConfig().Age, late)
	end()
	require.NoError(t, <-ended)
}

// Guards against an entry that has just started, and sends what the others know to crash targets.
func TestNotReadyWithoutWhatItNeeds(t *testing.T) {
	g := newGateway()
	require.False(t, g.ready())
	g.installConfig(deployed.Elapsed(), version(7))
	require.False(t, g.ready(), "no targets are known")
	g.targetsListed.Store(true)
	require.False(t, g.ready(), "the crashes that others saw are not known")
	g.crashes.MarkLoaded()
	require.True(t, g.ready())
	g.drain.Begin(time.Now(), time.Now().Add(time.Second))
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
	g.applyTarget(put("a", false))
	g.applyTarget(put("b", false))
	requireServing(t, g, "a", "b")
	g.applyTarget(put("a", true))
	requireServing(t, g, "b")
	g.applyTarget(put("a", false))
	requireServing(t, g, "b")
	g.applyTarget(gone("b"))
	requireServing(t, g)
}

// The store was down, and entries of live servers have expired. Removing them would refuse callers
// for lack of a target though all servers serve. Live servers are listed again within two seconds;
// those that are not listed by then are gone.
func TestLapsedTargetsAreKept(t *testing.T) {
	g := newGateway()
	g.applyTarget(put("a", false))
	g.applyTarget(put("b", false))
	g.missing.storeFailed(time.Now())
	g.applyTargetList(time.Now(), feed.Page[roster.Target]{})
	requireServing(t, g, "a", "b")
	g.applyTarget(put("a", false))
	g.resolveHeldTargets(time.Now().Add(missingGrace))
	requireServing(t, g, "a")
}

// Guards against refusing all callers while none of the targets that expired is listed again yet, and
// against sending to such a target while others are listed.
func TestMissingTargetIsTheLastResort(t *testing.T) {
	g := newGateway()
	now := time.Now()
	g.applyTarget(put("a", false))
	g.applyTarget(put("b", false))
	g.missing.storeFailed(now.Add(-missingGrace))
	g.missing.storeAnswered(now, 0)
	g.applyTargetList(now, feed.Page[roster.Target]{})
	requireServing(t, g)
	require.Len(t, g.serving("svc"), 2, "none is listed")
	g.applyTarget(put("a", false))
	requireServing(t, g, "a")
	require.Len(t, g.serving("svc"), 1, "one is listed")
	g.resolveHeldTargets(now.Add(missingGrace))
	_, found := g.roster.Get("b")
	require.False(t, found)
}

// Guards against keeping a target that left during a failure too short for its entry to expire.
func TestTargetThatVanishesInAShortFailureHasLeft(t *testing.T) {
	for name, c := range map[string]struct {
		failure time.Duration
		want    stage
	}{
		"shorter than entries last": {2 * time.Second, stageGone},
		"as long as entries last":   {2400 * time.Millisecond, stageKept},
	} {
		t.Run(name, func(t *testing.T) {
			const expiry = 2400 * time.Millisecond
			m := newMissing()
			now := time.Now()
			m.storeAnswered(now, expiry)
			m.storeFailed(now.Add(c.failure - time.Second))
			m.storeAnswered(now.Add(c.failure), expiry)
			s, _ := m.vanished(now.Add(c.failure), "a", drainTime)
			require.Equal(t, c.want, s)
		})
	}
}

// Guards against keeping a target that left for as long as calls of the store fail now and then.
func TestKeptTargetIsNotKeptByLaterFailures(t *testing.T) {
	m := newMissing()
	now := time.Now()
	m.storeFailed(now)
	m.storeAnswered(now, 0)
	s, _ := m.vanished(now, "a", drainTime)
	require.Equal(t, stageKept, s)
	for at := now; at.Before(now.Add(drainTime)); at = at.Add(time.Second / 2) {
		m.storeFailed(at)
		m.storeAnswered(at, 0)
		require.Empty(t, m.due(at))
	}
	require.Equal(t, map[string]stage{"a": stageLastResort}, m.due(now.Add(drainTime)))
}

// Without a recent store failure a target that is no longer listed is removed at once: it serves
// for two more seconds at the most.
func TestUnlistedTargetIsGone(t *testing.T) {
	g := newGateway()
	g.applyTarget(put("a", false))
	g.applyTargetList(time.Now(), feed.Page[roster.Target]{})
	requireServing(t, g)
}

// Guards against more repeats of all entries together than allowed when planners report fewer entries
// than have sent repeats in the window: some are draining, or have sent no heartbeat to a new planner.
func TestFixedRepeatsAreDividedByAllEntriesOfTheWindow(t *testing.T) {
	const (
		slack  = 132.0
		window = 10 * time.Second
	)
	begin := time.Now()
	used := make([]float64, 16) // repeats of each entry in the window
	for reported, at := 16, begin; reported > 0; reported, at = reported-1, at.Add(window/20) {
		for i := range reported {
			g := newGateway()
			for n, earlier := 16, begin; n >= reported; n, earlier = n-1, earlier.Add(window/20) {
				g.planners.accept(earlier, netip.AddrPort{}, digest.Update{Service: "svc", Entries: n})
			}
			used[i] = max(used[i], slack/g.sharingEntries(at))
		}
	}
	sum := 0.0
	for _, n := range used {
		sum += n
	}
	t.Logf("%.0f repeats of %.0f", sum, slack)
	require.LessOrEqual(t, sum, slack)
}

// Sixteen entries share the retries that all may send together. With a divisor below their number
// they would together send more than is allowed.
func TestRetryBudgetIsShared(t *testing.T) {
	g := newGateway()
	now := time.Now()
	require.InDelta(t, assumedEntries, g.sharingEntries(now), 0, "no planner reports")
	g.applyPlannerUpdate(netip.AddrPort{}, digest.Update{Service: "svc", Entries: 16})
	require.GreaterOrEqual(t, g.sharingEntries(time.Now()), 16.0)
	g.applyPlannerUpdate(netip.AddrPort{}, digest.Update{Service: "svc", Entries: 4})
	require.GreaterOrEqual(t, g.sharingEntries(time.Now()), 16.0, "the others may still send")
	require.GreaterOrEqual(t, g.sharingEntries(now.Add(time.Minute)), 16.0, "the last report is too old")
	later := now.Add(2*entriesSpan + time.Second)
	g.planners.accept(later, netip.AddrPort{}, digest.Update{Service: "svc", Entries: 4})
	require.InDelta(t, 6, g.sharingEntries(later), 0, "the others are gone for long")
}

// Guards against using the last target of a service for its drain time from when an entry learns that it
// leaves, which may be long after the target announced it.
func TestLastTargetIsUsedFromItsAnnouncementOn(t *testing.T) {
	for name, c := range map[string]struct {
		learned time.Duration // after the store's answer before
		want    int
	}{
		"learned at once": {100 * time.Millisecond, 1},
		"learned late":    {1900 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			now := time.Now()
			g.storeAnswered(now.Add(-c.learned))
			g.applyTarget(put("a", false))
			g.storeAnswered(now)
			g.applyTarget(put("a", true))
			require.Len(t, g.serving("svc"), c.want)
		})
	}
}

// Guards against taking a dropped history for a failure of the store: what the next list lacks has left.
func TestDroppedHistoryIsNoFailure(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want stage
	}{
		"dropped history": {feed.ErrHistoryGone, stageGone},
		"failure":         {platform.ErrRefused, stageKept},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			now := time.Now()
			g.storeAnswered(now.Add(-time.Minute))
			g.noteStoreFailure(now, c.err)
			g.storeAnswered(now)
			s, _ := g.missing.vanished(now, "a", drainTime)
			require.Equal(t, c.want, s)
		})
	}
}
