package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/platform"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// The store is restored from a backup that is some seconds old. After the backup one server left,
// which the backup lists as ready, and another started, which it lacks; neither server knows of the
// restore. Callers must be served throughout, and none by the server that left. Guards against an
// entry that keeps its old list for good and requests the new one ten thousand times a second.
func TestStoreIsRestoredFromABackup(t *testing.T) {
	t.Parallel()
	for name, era := range map[string]int64{"with eras": 1, "without eras": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore(t)
			store.SetEra(era)
			require.NoError(t, store.PutConfig(standin.Config{
				Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
				Routes: []standin.Route{{Name: "safe", Kind: "safe", Service: "app"}},
			}))
			heartbeat := func(w standin.Reply, _ standin.Request) { w.Complete(http.StatusOK, "hello") }
			stays, leaves, starts := standin.NewServer(t, heartbeat), standin.NewServer(t, heartbeat), standin.NewServer(t, heartbeat)
			store.PutServer("stays", "app", stays.Address)
			store.PutServer("leaves", "app", leaves.Address)
			entry := start(t, "entry-1", store.Address)
			awaitServing(t, entry, "leaves", "stays")
			backup := store.Backup()
			store.Remove("servers", "leaves")
			store.PutServer("starts", "app", starts.Address)
			awaitServing(t, entry, "starts", "stays")
			calls := len(store.Calls())
			reached, restoredAt := len(leaves.Seen()), time.Now()
			store.Restore(backup)
			writtenAgain := false
			for n := 0; time.Since(restoredAt) < missingGrace+eraDetectionTime; n++ {
				status, _, _ := entry.call(t, fmt.Sprint("during-", n), "/safe/x", "")
				if status != http.StatusOK {
					requests := entry.logged.of("request")
					require.Equal(t, http.StatusOK, status, "%v, started %v, era %v", requests[len(requests)-1], entry.logged.of("started"), entry.logged.of("storeEra"))
				}
				if !writtenAgain && time.Since(restoredAt) > time.Second {
					writtenAgain = true
					store.PutServer("starts", "app", starts.Address)
				}
				time.Sleep(10 * time.Millisecond)
			}
			awaitServing(t, entry, "starts", "stays")
			require.Len(t, leaves.Seen(), reached, "the server has left")
			require.NotEmpty(t, entry.logged.of("storeEra"))
			require.Less(t, len(store.Calls())-calls, 100, "calls of the store in %s", time.Since(restoredAt))
			store.PutServer("later", "app", starts.Address)
			awaitServing(t, entry, "later", "stays")
		})
	}
}

// eraDetectionTime is how long an entry may take to notice a new era and read everything again.
const eraDetectionTime = 4 * time.Second

func awaitServing(t *testing.T, e *running, ids ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		var got []string
		for _, target := range e.gateway.roster.Serving("app") {
			got = append(got, target.ID)
		}
		return fmt.Sprint(got) == fmt.Sprint(ids)
	}, time.Minute, time.Millisecond)
}

// A backup has an older configuration than the active one, which stays active. But the store's
// responses after the restore do not prove that no key was revoked: the version that revoked it
// may be lost until the operator has written it again.
func TestRestoredConfigProvesNothing(t *testing.T) {
	g := newGateway()
	page := func(n int64, renewed bool) feed.Page[*routing.Config] {
		p := version(n)
		p.FirstOfEra = renewed
		return p
	}
	old := deployed.Elapsed() - 3*time.Second
	g.installConfig(old, page(12, false))
	now := deployed.Elapsed()
	g.installConfig(now, page(10, true))
	requireConfig(t, g, 12, false)
	g.installConfig(now, feed.Page[*routing.Config]{})
	requireConfig(t, g, 12, false)
	g.installConfig(now, page(11, false))
	requireConfig(t, g, 12, false)
	g.installConfig(now, page(12, false))
	requireConfig(t, g, 12, true)
	g.installConfig(old, page(14, false))
	g.installConfig(now, feed.Page[*routing.Config]{FirstOfEra: true})
	requireConfig(t, g, 14, false) // the store has no configuration
	g.installConfig(now, page(15, false))
	requireConfig(t, g, 15, true)
}

// A configuration without the tenants of the one before revokes their keys.
func TestLastTenantsKeyIsRevoked(t *testing.T) {
	g := newGateway()
	for n, text := range []string{`{"version":1,"tenants":[{"name":"acme","api_keys":["k1"]}]}`, `{"version":2}`, `{"version":3}`} {
		config, err := platform.ParseConfig([]byte(text))
		require.NoError(t, err)
		g.installConfig(deployed.Elapsed(), feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: config}}})
		require.EqualValues(t, n+1, g.currentConfig().Config.Version)
		require.True(t, g.currentConfig().Config.RequiresKeys())
	}
	require.Nil(t, g.currentConfig().Config.WorkspaceOf("k1"))
}

// requireConfig checks the active version, and whether it is proved to be the newest.
func requireConfig(t *testing.T, g *Gateway, version int64, fresh bool) {
	t.Helper()
	r := g.currentConfig()
	require.Equal(t, version, r.Config.Version)
	require.Equal(t, fresh, r.Age < 2*time.Second)
}

// listedAt returns a list of targets at one address, each first listed at the given position.
func listedAt(renewed bool, since map[string]position.Position) feed.Page[roster.Target] {
	p := feed.Page[roster.Target]{FirstOfEra: renewed}
	for id, at := range since {
		c := listed(id, time.Time{}, 1, at.Revision)
		c.Object.ListedAt, c.Object.ChangedAt = at, at
		p.Changes = append(p.Changes, c)
	}
	return p
}

// Of two servers at one address, the one listed later is live. After a restore from a backup the
// revisions that show this start again from lower values.
func TestAddressAcrossEras(t *testing.T) {
	g := newGateway()
	now := time.Now()
	before := position.Position{Era: 1, Revision: 90}
	g.applyTargetList(now, listedAt(false, map[string]position.Position{"a": before}))
	requireServing(t, g, "a")
	g.applyTargetList(now, listedAt(true, map[string]position.Position{"a": {Era: 2, Revision: 30}, "b": {Era: 2, Revision: 41}}))
	requireServing(t, g, "b")
}

// A backup lists an earlier server at a target's address, unknown to this entry, and lacks the
// target itself. The target writes its entry again: it is live, and the earlier server is not.
// Guards against taking the target for a leaving one: that state is final, and callers would find
// no target for as long as the entry runs.
func TestAddressOfAnEarlierServerInABackup(t *testing.T) {
	g := newGateway()
	now := time.Now()
	at := func(id string, p position.Position) feed.Change[roster.Target] {
		c := listed(id, time.Time{}, 1, p.Revision)
		c.Object.ListedAt, c.Object.ChangedAt = p, p
		return c
	}
	g.applyTargetList(now, feed.Page[roster.Target]{Changes: []feed.Change[roster.Target]{at("life-5", position.Position{Era: 1, Revision: 90})}})
	requireServing(t, g, "life-5")
	g.applyTargetList(now, feed.Page[roster.Target]{FirstOfEra: true, Changes: []feed.Change[roster.Target]{at("life-3", position.Position{Era: 2, Revision: 30})}})
	g.applyTarget(at("life-5", position.Position{Era: 2, Revision: 45}))
	requireServing(t, g, "life-5")
	g.applyTarget(feed.Change[roster.Target]{Name: "life-3", Removed: true})
	g.resolveHeldTargets(now.Add(time.Minute))
	requireServing(t, g, "life-5")
}

// A server that left stays gone although a backup lists it as ready. Another incarnation under its
// id counts as a new server, and so does one that is listed long after any backup.
func TestTargetsThatLeftStayGone(t *testing.T) {
	for name, c := range map[string]struct {
		list    feed.Change[roster.Target]
		after   time.Duration
		renewed bool
		serving bool
	}{
		"in a backup":                      {listed("a", noon, 70, 5), 0, true, false},
		"in a backup, another incarnation": {listed("a", noon.Add(time.Minute), 1, 5), 0, true, true},
		"listed again, no backup":          {listed("a", noon, 70, 99), 0, false, true},
		"in a backup, long after":          {listed("a", noon, 70, 5), 2 * departureRetention, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.applyTarget(listed("a", noon, 70, 5))
			g.applyTarget(feed.Change[roster.Target]{Name: "a", Removed: true})
			requireServing(t, g)
			if c.after > 0 {
				d := g.departed.departures["a"]
				d.at = d.at.Add(-c.after)
				g.departed.departures["a"] = d
			}
			g.applyTargetList(time.Now(), feed.Page[roster.Target]{FirstOfEra: c.renewed, Changes: []feed.Change[roster.Target]{c.list}})
			if c.serving {
				requireServing(t, g, "a")
			} else {
				requireServing(t, g)
			}
		})
	}
}

// A server had lost the store, its entry had expired, and it counted as one that left. The backup
// has its entry. As the server is live, the entry does not expire again, and as nothing in it
// changes, no watch reports it. The server is used again once the entry of a departed server would
// have expired.
func TestLiveTargetInABackup(t *testing.T) {
	backup := feed.Page[roster.Target]{FirstOfEra: true, Changes: []feed.Change[roster.Target]{listed("a", noon, 70, 5)}}
	withheldTarget := func() (*Gateway, time.Time) {
		g, now := newGateway(), time.Now()
		g.applyTarget(listed("a", noon, 70, 5))
		g.applyTarget(feed.Change[roster.Target]{Name: "a", Removed: true})
		g.applyTargetList(now, backup)
		requireServing(t, g)
		return g, now
	}
	t.Run("its entry stays", func(t *testing.T) {
		g, now := withheldTarget()
		g.resolveHeldTargets(now.Add(restoredEntryLifetime - time.Millisecond))
		requireServing(t, g)
		g.resolveHeldTargets(now.Add(restoredEntryLifetime))
		requireServing(t, g, "a")
	})
	t.Run("its entry is listed again, unchanged", func(t *testing.T) { // as after the history was dropped
		g, now := withheldTarget()
		g.applyTargetList(now, feed.Page[roster.Target]{Changes: backup.Changes})
		requireServing(t, g)
		g.resolveHeldTargets(now.Add(restoredEntryLifetime))
		requireServing(t, g, "a")
	})
	t.Run("it writes its entry", func(t *testing.T) {
		g, _ := withheldTarget()
		g.applyTarget(listed("a", noon, 71, 9))
		requireServing(t, g, "a")
	})
	t.Run("its entry expires", func(t *testing.T) {
		g, now := withheldTarget()
		g.applyTarget(feed.Change[roster.Target]{Name: "a", Removed: true})
		g.resolveHeldTargets(now.Add(restoredEntryLifetime))
		requireServing(t, g)
	})
}

// Another entry reported a later configuration that the store has lost, and has restarted since.
// The store's version is then the newest again, and proves keys.
func TestReportOfLaterConfigEnds(t *testing.T) {
	g := newGateway()
	g.startedAt = time.Now().Add(-time.Minute)
	g.installConfig(deployed.Elapsed()-3*time.Second, version(10))
	g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Term: 1, ConfigVersion: 12})
	g.installConfig(deployed.Elapsed(), feed.Page[*routing.Config]{})
	requireConfig(t, g, 10, false)
	g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Term: 1, ConfigVersion: 10})
	g.installConfig(deployed.Elapsed(), feed.Page[*routing.Config]{})
	requireConfig(t, g, 10, true)
}

// A server that announced its shutdown is not used again although a backup has its earlier entry.
func TestLeavingTargetInABackup(t *testing.T) {
	g := newGateway()
	leaving := listed("a", noon, 70, 5)
	leaving.Object.Leaving = true
	g.applyTarget(leaving)
	g.applyTargetList(time.Now(), feed.Page[roster.Target]{FirstOfEra: true, Changes: []feed.Change[roster.Target]{listed("a", noon, 69, 3)}})
	requireServing(t, g)
}

// Guards against using a leaving target again because a backup has an earlier incarnation of it.
func TestEarlierIncarnationOfALeavingTargetInABackup(t *testing.T) {
	for name, c := range map[string]struct{ current, backup feed.Change[roster.Target] }{
		"distinguished by birth": {listed("a", noon, 70, 5), listed("a", noon.Add(-time.Minute), 300, 3)},
		"distinguished by beats": {listed("a", time.Time{}, 70, 5), listed("a", time.Time{}, 69, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.installConfig(0, version(7))
			g.applyTarget(c.current)
			k := &admission.Ticket{Service: "svc"}
			require.Equal(t, admission.Admitted, g.admit.Arrive(time.Now(), k))
			g.admit.ApplyNotice(time.Now(), k, notice.Notice{Leaves: true})
			now := time.Now()
			g.applyTargetList(now, feed.Page[roster.Target]{FirstOfEra: true, Changes: []feed.Change[roster.Target]{c.backup}})
			requireServing(t, g)
			g.applyTarget(c.current) // it writes its entry again
			requireServing(t, g)
			g.resolveHeldTargets(now.Add(restoredEntryLifetime))
			requireServing(t, g)
		})
	}
	t.Run("a later incarnation is not from a backup", func(t *testing.T) {
		g := newGateway()
		g.installConfig(0, version(7))
		g.applyTarget(listed("a", noon, 70, 5))
		require.True(t, g.roster.MarkLeaving("a", noon))
		g.applyTargetList(time.Now(), feed.Page[roster.Target]{FirstOfEra: true, Changes: []feed.Change[roster.Target]{listed("a", noon.Add(time.Minute), 1, 3)}})
		requireServing(t, g, "a")
	})
}

// A request is quarantined because it crashed servers. The store is restored from a backup without
// the crash records. That must not count as an operator's release of the request: the entries write
// their records again, and an entry that starts later reads them.
func TestCrashesAcrossEras(t *testing.T) {
	t.Parallel()
	store := standin.NewStore(t)
	store.SetEra(1)
	require.NoError(t, store.PutConfig(standin.Config{Version: 1, Host: callsHost, Plain: "app"}))
	one, two := start(t, "entry-1", store.Address), start(t, "entry-2", store.Address)
	backup := store.Backup()
	fatal := quarantine.Fingerprint{7}
	one.crashTarget("i-1", fatal)
	requireCrashes(t, two, fatal, 1)
	two.crashTarget("i-2", fatal)
	requireCrashes(t, one, fatal, 2)
	store.Restore(backup)
	require.Eventually(t, func() bool {
		return len(one.logged.of("storeEra")) > 0 && len(two.logged.of("storeEra")) > 0
	}, time.Minute, time.Millisecond)
	for end := time.Now().Add(eraDetectionTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, e := range []*running{one, two} {
			require.Equal(t, 2, e.gateway.crashes.Quarantine.Check(time.Now(), fatal).Crashes)
		}
	}
	requireCrashes(t, start(t, "entry-3", store.Address), fatal, 2)
}

// A process starts after the store was restored from a backup, and reads an old configuration in
// which a key that was revoked since is valid. Another entry has the later version, and its planner
// reports that: the new process serves no keys until the operator has written that version again.
func TestProcessStartsFromABackup(t *testing.T) {
	g := newGateway()
	g.targetsListed.Store(true)
	g.crashes.MarkLoaded()
	g.installConfig(deployed.Elapsed(), version(10))
	require.True(t, g.ready())
	g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Term: 1, ConfigVersion: 12})
	require.False(t, g.ready())
	require.Greater(t, g.currentConfig().Age, g.bounds.Load().Revoke)
	g.installConfig(deployed.Elapsed(), feed.Page[*routing.Config]{})
	require.False(t, g.ready())
	g.installConfig(deployed.Elapsed(), version(12))
	require.True(t, g.ready())
}

// A running entry learns that another one has a later configuration. It keeps serving by its last
// proof for as long as that is valid; no response of the store renews it.
func TestOtherEntryHasLaterConfig(t *testing.T) {
	g := newGateway()
	g.startedAt = time.Now().Add(-time.Minute)
	g.installConfig(deployed.Elapsed()-3*time.Second, version(10))
	g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Term: 1, ConfigVersion: 12})
	requireConfig(t, g, 10, false)
	g.installConfig(deployed.Elapsed(), feed.Page[*routing.Config]{})
	requireConfig(t, g, 10, false)
	require.Less(t, g.currentConfig().Age, g.bounds.Load().Revoke)
	g.installConfig(deployed.Elapsed(), version(12))
	requireConfig(t, g, 12, true)
}

// The store was restored from a backup at some time. A process that starts waits briefly for
// reports of other entries' versions; if there are none, it serves.
func TestNewProcessWaitsForReportsOfOthers(t *testing.T) {
	g := newGateway()
	_, _ = g.store.Eras.Observe(time.Now(), 3)
	g.targetsListed.Store(true)
	g.crashes.MarkLoaded()
	page := version(10)
	page.Era = 3
	g.installConfig(deployed.Elapsed(), page)
	require.False(t, g.ready())
	g.startedAt = g.startedAt.Add(-peerReportWait)
	require.False(t, g.ready(), "nobody has been asked yet")
	asked := time.Now()
	g.askedAt.Store(&asked)
	require.False(t, g.ready(), "asked just now")
	asked = asked.Add(-peerReportWait)
	require.True(t, g.ready())
	g.askedAt.Store(nil)
	require.False(t, g.ready())
	g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Term: 1, ConfigVersion: 10, Entries: 1})
	require.False(t, g.ready(), "the planner knows this entry alone")
	g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Term: 1, ConfigVersion: 10, Entries: 2})
	require.True(t, g.ready(), "the other entries have the same version")
}

// Guards against refusing callers when the store is restored right after an entry has started: the
// entry has read its configuration before, so that it is none of the backup's.
func TestConfigFromBeforeARestoreIsProven(t *testing.T) {
	g := newGateway()
	_, _ = g.store.Eras.Observe(time.Now(), 1)
	page := version(7)
	page.Era = 1
	g.installConfig(deployed.Elapsed(), page)
	_, _ = g.store.Eras.Observe(time.Now(), 2)
	require.Less(t, g.currentConfig().Age, time.Second)
}
