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
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// The store comes back from a copy that is some seconds old. Since then one server has left,
// and stands in the copy as ready; another has started, and isn't in it; both know nothing of
// the drill. Callers are served all the while, none by the server that left. The entry went by
// its old list for good, and asked for the new one ten thousand times a second.
func TestStoreComesBackFromACopy(t *testing.T) {
	t.Parallel()
	for name, era := range map[string]int64{"eras are told": 1, "no era is told": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore(t)
			store.TellEra(era)
			require.NoError(t, store.PutConfig(standin.Config{
				Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
				Routes: []standin.Route{{Name: "safe", Kind: "safe", Service: "app"}},
			}))
			hello := func(w standin.Reply, _ standin.Request) { w.Whole(http.StatusOK, "hello") }
			stays, leaves, starts := standin.NewServer(t, hello), standin.NewServer(t, hello), standin.NewServer(t, hello)
			store.PutServer("stays", "app", stays.Address)
			store.PutServer("leaves", "app", leaves.Address)
			entry := start(t, "entry-1", store.Address)
			awaitServing(t, entry, "leaves", "stays")
			saved := store.Copy()
			store.Remove("servers", "leaves")
			store.PutServer("starts", "app", starts.Address)
			awaitServing(t, entry, "starts", "stays")
			calls := len(store.Calls())
			reached, began := len(leaves.Seen()), time.Now()
			store.PutBack(saved)
			writtenAgain := false
			for n := 0; time.Since(began) < missingWait+eraSeen; n++ {
				status, _, _ := entry.call(t, fmt.Sprint("during-", n), "/safe/x", "")
				require.Equal(t, http.StatusOK, status)
				if !writtenAgain && time.Since(began) > time.Second {
					writtenAgain = true
					store.PutServer("starts", "app", starts.Address)
				}
				time.Sleep(10 * time.Millisecond)
			}
			awaitServing(t, entry, "starts", "stays")
			require.Len(t, leaves.Seen(), reached, "it has left")
			require.NotEmpty(t, entry.heard.of("storeEra"))
			require.Less(t, len(store.Calls())-calls, 100, "calls of the store in %s", time.Since(began))
			store.PutServer("later", "app", starts.Address)
			awaitServing(t, entry, "later", "stays")
		})
	}
}

// eraSeen is how long an entry may take to see a new era and read all anew.
const eraSeen = 4 * time.Second

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

// A copy has older rules than those in force. They stay, as in any case; but what the store
// says since does not prove that no key was taken away: the version that did so may be lost,
// until the operator has written it again.
func TestRulesOfACopyProveNothing(t *testing.T) {
	g := newGateway()
	page := func(n int64, renewed bool) feed.Page[*routing.Config] {
		p := version(n)
		p.Renewed = renewed
		return p
	}
	old := deployed.Elapsed() - 3*time.Second
	g.installRules(old, page(12, false))
	now := deployed.Elapsed()
	g.installRules(now, page(10, true))
	requireRules(t, g, 12, false)
	g.installRules(now, feed.Page[*routing.Config]{})
	requireRules(t, g, 12, false)
	g.installRules(now, page(11, false))
	requireRules(t, g, 12, false)
	g.installRules(now, page(12, false))
	requireRules(t, g, 12, true)
	g.installRules(old, page(14, false))
	g.installRules(now, feed.Page[*routing.Config]{Renewed: true})
	requireRules(t, g, 14, false) // there are none
	g.installRules(now, page(15, false))
	requireRules(t, g, 15, true)
}

// requireRules tells which rules are in force, and whether they are proved to be the newest.
func requireRules(t *testing.T, g *Gateway, version int64, fresh bool) {
	t.Helper()
	r := g.currentRules()
	require.Equal(t, version, r.Config.Version)
	require.Equal(t, fresh, r.Age < 2*time.Second)
}

// listedAt is a list of targets at one address, by the position at which each was listed
// first.
func listedAt(renewed bool, since map[string]position.Position) feed.Page[roster.Target] {
	p := feed.Page[roster.Target]{Renewed: renewed}
	for id, at := range since {
		c := listed(id, time.Time{}, 1, at.Revision)
		c.Object.Since, c.Object.Changed = at, at
		p.Changes = append(p.Changes, c)
	}
	return p
}

// Of two servers at one address the later lives. After a copy was put back the numbers that
// say so have begun anew.
func TestAddressAcrossEras(t *testing.T) {
	g := newGateway()
	now := time.Now()
	before := position.Position{Era: 1, Revision: 90}
	g.listTargets(now, listedAt(false, map[string]position.Position{"a": before}))
	requireServing(t, g, "a")
	g.listTargets(now, listedAt(true, map[string]position.Position{"a": {Era: 2, Revision: 30}, "b": {Era: 2, Revision: 41}}))
	requireServing(t, g, "b")
}

// The copy lists an earlier server at a target's address, of which this entry has never heard,
// and lacks the target itself. The target writes its entry again: it lives, and the other does
// not. It had counted as one that leaves, which no target comes back from, and its callers
// found none for as long as the entry lived.
func TestAddressOfAnEarlierServerInACopy(t *testing.T) {
	g := newGateway()
	now := time.Now()
	at := func(id string, p position.Position) feed.Change[roster.Target] {
		c := listed(id, time.Time{}, 1, p.Revision)
		c.Object.Since, c.Object.Changed = p, p
		return c
	}
	g.listTargets(now, feed.Page[roster.Target]{Changes: []feed.Change[roster.Target]{at("life-5", position.Position{Era: 1, Revision: 90})}})
	requireServing(t, g, "life-5")
	g.listTargets(now, feed.Page[roster.Target]{Renewed: true, Changes: []feed.Change[roster.Target]{at("life-3", position.Position{Era: 2, Revision: 30})}})
	g.changeTarget(at("life-5", position.Position{Era: 2, Revision: 45}))
	requireServing(t, g, "life-5")
	g.changeTarget(feed.Change[roster.Target]{Name: "life-3", Removed: true})
	g.settleTargets(now.Add(time.Minute))
	requireServing(t, g, "life-5")
}

// A server left, and stands in a copy as ready: it stays gone. One of another life under its
// id is a new one, and so is what is listed when copies are long over.
func TestTargetsThatLeftStayGone(t *testing.T) {
	for name, c := range map[string]struct {
		list    feed.Change[roster.Target]
		after   time.Duration
		renewed bool
		serves  bool
	}{
		"in a copy":               {listed("a", noon, 70, 5), 0, true, false},
		"in a copy, another life": {listed("a", noon.Add(time.Minute), 1, 5), 0, true, true},
		"listed again, no copy":   {listed("a", noon, 70, 99), 0, false, true},
		"in a copy, long after":   {listed("a", noon, 70, 5), 2 * leftKept, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.changeTarget(listed("a", noon, 70, 5))
			g.changeTarget(feed.Change[roster.Target]{Name: "a", Removed: true})
			requireServing(t, g)
			if c.after > 0 {
				life := g.left.lives["a"]
				life.at = life.at.Add(-c.after)
				g.left.lives["a"] = life
			}
			g.listTargets(time.Now(), feed.Page[roster.Target]{Renewed: c.renewed, Changes: []feed.Change[roster.Target]{c.list}})
			if c.serves {
				requireServing(t, g, "a")
			} else {
				requireServing(t, g)
			}
		})
	}
}

// A server had lost the store, and its entry had lapsed; it counted as one that left. The copy
// has its entry. It lives, so that the entry does not lapse again, and as nothing in it
// changes no watch tells: it is used once the entry of one that left would be gone.
func TestTargetOfACopyThatLives(t *testing.T) {
	copied := feed.Page[roster.Target]{Renewed: true, Changes: []feed.Change[roster.Target]{listed("a", noon, 70, 5)}}
	heldTarget := func() (*Gateway, time.Time) {
		g, now := newGateway(), time.Now()
		g.changeTarget(listed("a", noon, 70, 5))
		g.changeTarget(feed.Change[roster.Target]{Name: "a", Removed: true})
		g.listTargets(now, copied)
		requireServing(t, g)
		return g, now
	}
	t.Run("its entry stays", func(t *testing.T) {
		g, now := heldTarget()
		g.settleTargets(now.Add(copyLasts - time.Millisecond))
		requireServing(t, g)
		g.settleTargets(now.Add(copyLasts))
		requireServing(t, g, "a")
	})
	t.Run("it writes its entry", func(t *testing.T) {
		g, _ := heldTarget()
		g.changeTarget(listed("a", noon, 71, 9))
		requireServing(t, g, "a")
	})
	t.Run("its entry lapses", func(t *testing.T) {
		g, now := heldTarget()
		g.changeTarget(feed.Change[roster.Target]{Name: "a", Removed: true})
		g.settleTargets(now.Add(copyLasts))
		requireServing(t, g)
	})
}

// Another entry told of later rules that the store has lost, and has started anew since. What
// the store has is the newest again, and keys are served by it.
func TestWordOfLaterRulesEnds(t *testing.T) {
	g := newGateway()
	g.begun = time.Now().Add(-time.Minute)
	g.installRules(deployed.Elapsed()-3*time.Second, version(10))
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Term: 1, Rules: 12})
	g.installRules(deployed.Elapsed(), feed.Page[*routing.Config]{})
	requireRules(t, g, 10, false)
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Term: 1, Rules: 10})
	g.installRules(deployed.Elapsed(), feed.Page[*routing.Config]{})
	requireRules(t, g, 10, true)
}

// A server said that it leaves. The copy has its entry from before; it does not come back.
func TestLeavingTargetInACopy(t *testing.T) {
	g := newGateway()
	was := listed("a", noon, 70, 5)
	was.Object.Leaving = true
	g.changeTarget(was)
	g.listTargets(time.Now(), feed.Page[roster.Target]{Renewed: true, Changes: []feed.Change[roster.Target]{listed("a", noon, 69, 3)}})
	requireServing(t, g)
}

// Guards against a target that leaves and is used again, as a copy has an earlier life of it.
func TestEarlierLifeOfALeavingTargetInACopy(t *testing.T) {
	for name, c := range map[string]struct{ is, copied feed.Change[roster.Target] }{
		"told by birth": {listed("a", noon, 70, 5), listed("a", noon.Add(-time.Minute), 300, 3)},
		"told by beats": {listed("a", time.Time{}, 70, 5), listed("a", time.Time{}, 69, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.installRules(0, version(7))
			g.changeTarget(c.is)
			k := &admission.Ticket{Service: "svc"}
			require.Equal(t, admission.Go, g.admit.Arrive(time.Now(), k))
			g.admit.Noticed(time.Now(), k, notice.Said{Leaves: true})
			now := time.Now()
			g.listTargets(now, feed.Page[roster.Target]{Renewed: true, Changes: []feed.Change[roster.Target]{c.copied}})
			requireServing(t, g)
			g.changeTarget(c.is) // it writes its entry again
			requireServing(t, g)
			g.settleTargets(now.Add(copyLasts))
			requireServing(t, g)
		})
	}
	t.Run("a later life is no copy's", func(t *testing.T) {
		g := newGateway()
		g.installRules(0, version(7))
		g.changeTarget(listed("a", noon, 70, 5))
		require.True(t, g.roster.Leave("a", noon))
		g.listTargets(time.Now(), feed.Page[roster.Target]{Renewed: true, Changes: []feed.Change[roster.Target]{listed("a", noon.Add(time.Minute), 1, 3)}})
		requireServing(t, g, "a")
	})
}

// A request is held back as it crashed servers. The store comes back from a copy without the
// records of it: that is no operator who frees the request. The entry writes what it saw
// again; an entry that starts after that knows as well.
func TestCrashesAcrossEras(t *testing.T) {
	t.Parallel()
	store := standin.NewStore(t)
	store.TellEra(1)
	require.NoError(t, store.PutConfig(standin.Config{Version: 1, Host: callsHost, Plain: "app"}))
	one, two := start(t, "entry-1", store.Address), start(t, "entry-2", store.Address)
	saved := store.Copy()
	fatal := quarantine.Fingerprint{7}
	one.crashUnder("i-1", fatal)
	requireCrashes(t, two, fatal, 1)
	two.crashUnder("i-2", fatal)
	requireCrashes(t, one, fatal, 2)
	store.PutBack(saved)
	require.Eventually(t, func() bool {
		return len(one.heard.of("storeEra")) > 0 && len(two.heard.of("storeEra")) > 0
	}, time.Minute, time.Millisecond)
	for end := time.Now().Add(eraSeen); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, e := range []*running{one, two} {
			require.Equal(t, 2, e.gateway.crashes.Quarantine.Look(time.Now(), fatal).Crashes)
		}
	}
	requireCrashes(t, start(t, "entry-3", store.Address), fatal, 2)
}

// A process starts while the store has come back from a copy, and reads rules of before. A key
// that was taken away since is good in them. Another entry has the later rules, and its
// planner tells: until the operator has written them again the new process serves no keys.
func TestProcessThatStartsFromACopy(t *testing.T) {
	g := newGateway()
	g.targets.Store(true)
	g.installRules(deployed.Elapsed(), version(10))
	require.True(t, g.ready())
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Term: 1, Rules: 12})
	require.False(t, g.ready())
	require.Greater(t, g.currentRules().Age, g.bounds.Load().Revoke)
	g.installRules(deployed.Elapsed(), feed.Page[*routing.Config]{})
	require.False(t, g.ready())
	g.installRules(deployed.Elapsed(), version(12))
	require.True(t, g.ready())
}

// An entry that lives hears that another one has later rules. It serves on by the proof that it
// has, for as long as that holds; nothing that the store says renews it.
func TestOtherEntryHasLaterRules(t *testing.T) {
	g := newGateway()
	g.begun = time.Now().Add(-time.Minute)
	g.installRules(deployed.Elapsed()-3*time.Second, version(10))
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Term: 1, Rules: 12})
	requireRules(t, g, 10, false)
	g.installRules(deployed.Elapsed(), feed.Page[*routing.Config]{})
	requireRules(t, g, 10, false)
	require.Less(t, g.currentRules().Age, g.bounds.Load().Revoke)
	g.installRules(deployed.Elapsed(), version(12))
	requireRules(t, g, 12, true)
}

// The store has come back from a copy at some time. A process that starts waits a moment for
// the word of the others; nobody says anything, and it serves.
func TestNewProcessWaitsForTheWordOfOthers(t *testing.T) {
	g := newGateway()
	_, _ = g.store.Eras.Heard(time.Now(), 3)
	g.targets.Store(true)
	g.installRules(deployed.Elapsed(), version(10))
	require.False(t, g.ready())
	g.begun = g.begun.Add(-wordWait)
	require.True(t, g.ready())
	g.begun = time.Now()
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Term: 1, Rules: 10})
	require.True(t, g.ready(), "they have the same")
}
