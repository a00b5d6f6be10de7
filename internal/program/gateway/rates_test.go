package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// inNeed is a target that names a rate, and remembers what it got of whom.
type inNeed struct {
	*standin.Server
	mu      sync.Mutex
	rate    string
	told    map[string]time.Time // when an entry got the first answer that named it
	arrived []arrival
}

type arrival struct {
	entry string
	at    time.Time
}

// entryOf is the entry through which a test sent a request.
func entryOf(id string) string { return id[:len("entry-1")] }

func newInNeed(t *testing.T, rate string) *inNeed {
	s := &inNeed{rate: rate, told: make(map[string]time.Time)}
	s.Server = standin.NewServer(t, func(w standin.Reply, r standin.Request) {
		s.mu.Lock()
		entry := entryOf(r.ID)
		s.arrived = append(s.arrived, arrival{entry, time.Now()})
		if _, found := s.told[entry]; !found {
			s.told[entry] = time.Now()
		}
		s.mu.Unlock()
		w.Header("Server-Limit", s.rate)
		w.Whole(http.StatusOK, "hello")
	})
	return s
}

const (
	// rateWindow in which requests to a target that names a rate are counted, and what is
	// allowed there: one and a half times the rate, and rateSlack.
	rateWindow = 4 * time.Second
	rateSlack  = 5
	// rateNotice is how long after an entry was told its requests begin to count.
	rateNotice = 500 * time.Millisecond
)

// most is the largest number of requests in a window from entries that had been told.
func (s *inNeed) most() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counted []time.Time
	for _, a := range s.arrived {
		if a.at.Sub(s.told[a.entry]) >= rateNotice {
			counted = append(counted, a.at)
		}
	}
	most, from := 0, 0
	for i, at := range counted {
		for at.Sub(counted[from]) > rateWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// newRateWorld starts entries before targets of one service.
func newRateWorld(t *testing.T, entries int, targets ...*standin.Server) []*running {
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{
		Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
		Routes: []standin.Route{{Name: "safe", Kind: "safe", Service: "app"}},
	}))
	for n, s := range targets {
		store.PutServer(fmt.Sprint("app-", n), "app", s.Address)
	}
	var list []*running
	for n := range entries {
		list = append(list, start(t, host.Name(fmt.Sprint("entry-", n)), store.Address))
	}
	return list
}

// press sends requests through all entries by turns for some time, without waiting for their
// answers, and returns how many ended with each status.
func press(t *testing.T, entries []*running, pause, lasts time.Duration) map[int]int {
	var (
		calls    sync.WaitGroup
		mu       sync.Mutex
		statuses = make(map[int]int)
	)
	end := time.Now().Add(lasts)
	for n := 0; time.Now().Before(end); n++ {
		calls.Go(func() {
			status, _, _ := entries[n%len(entries)].call(t, fmt.Sprintf("entry-%d-%d", n%len(entries), n), "/safe/x", "")
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(pause)
	}
	calls.Wait()
	return statuses
}

// One of four targets is in need: each of its answers names the rate that it takes from all
// entries together, one request a second. Callers see nothing of it; the target gets as many
// requests as the others from each of five entries, for as long as it needs help. An answer's
// headers were passed on to the caller, and nothing looked at that one. Records had 2.3
// requests a second there before it named 1, and 3.5 after, from four entries by turns that had
// all been told: 14 in 4 s, where 11 are allowed. What an entry bounded was requests at the
// same time, and each by itself.
func TestTargetThatNamesARateGetsNoMore(t *testing.T) {
	t.Parallel()
	limited := newInNeed(t, "1.0")
	targets := []*standin.Server{limited.Server}
	for range 3 {
		targets = append(targets, standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Whole(http.StatusOK, "hello") }))
	}
	entries := newRateWorld(t, 5, targets...)
	statuses := press(t, entries, 20*time.Millisecond, rateNotice+rateWindow+rateWindow/4)
	t.Logf("%d requests in %s, of all %v", limited.most(), rateWindow, statuses)
	require.LessOrEqual(t, limited.most(), int(1.5*1.0*rateWindow.Seconds())+rateSlack)
	require.Len(t, statuses, 1, "the others serve what it doesn't take")
	require.Contains(t, statuses, http.StatusOK)
}

// All targets are in need, and callers press on. Each target gets no more than it takes; who
// can't be served is refused at once, and told when to come back. Where a planner tells the
// entries their places they give out most of what the targets take.
func TestAllTargetsNameARate(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		tell   func(*testing.T, []*running)
		served int // at least
	}{
		"nobody tells the entries of each other": {func(*testing.T, []*running) {}, 3},
		"a planner does":                         {tellPlaces, 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var limited []*inNeed
			var targets []*standin.Server
			for range 3 {
				s := newInNeed(t, "1.2")
				limited, targets = append(limited, s), append(targets, s.Server)
			}
			entries := newRateWorld(t, 3, targets...)
			c.tell(t, entries)
			statuses := press(t, entries, 20*time.Millisecond, 2*rateWindow)
			t.Logf("%v", statuses)
			for _, s := range limited {
				require.LessOrEqual(t, s.most(), int(1.5*1.2*rateWindow.Seconds())+rateSlack)
			}
			require.GreaterOrEqual(t, statuses[http.StatusOK], c.served)
			require.Positive(t, statuses[http.StatusServiceUnavailable])
			require.Len(t, statuses, 2, "served, or refused with the promise that it did not run")
		})
	}
}

// tellPlaces has entries know their places among all, as a planner of another service tells
// them time and again until the test ends.
func tellPlaces(t *testing.T, entries []*running) {
	tell := func() {
		for n, e := range entries {
			e.gateway.takeDigest(plannersAt[0], digest.Digest{
				Service: "other", Group: "g", Term: 1, Open: true, Entries: len(entries), Place: n + 1,
			})
		}
	}
	tell()
	ended := make(chan struct{})
	ctx, stop := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			tell()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

// requireLimited tells whether an entry has a turn for a target's service left.
func requireLimited(t *testing.T, g *Gateway, want admission.Verdict) {
	t.Helper()
	require.Equal(t, want, g.admit.Arrive(time.Now(), &admission.Ticket{Service: "svc"}))
}

// A target in need is asked by two entries of sixteen. The others hear of its rate, and that
// it needs help no more, from the planner; nobody else would ever tell them.
func TestRatesAreToldByOtherEntries(t *testing.T) {
	g := newGateway()
	g.installRules(0, version(7))
	g.roster.Put(roster.Target{ID: "a", Service: "svc"})
	requireLimited(t, g, admission.Go)
	d := digest.Digest{Service: "other", Group: "g", Term: 1, Open: true, Entries: 16, Place: 1}
	d.Rates = []digest.Rate{{Target: "a", Named: true, Rate: 0.2}, {Target: "b", Named: true, Rate: 1}, {Target: "a", Named: true, Rate: math.Inf(-1)}}
	g.takeDigest(plannersAt[0], d)
	requireLimited(t, g, admission.Limited)
	d.Rates = []digest.Rate{{Target: "a", Age: time.Minute}}
	g.takeDigest(plannersAt[0], d)
	requireLimited(t, g, admission.Limited) // it has named it since
	d.Rates = []digest.Rate{{Target: "a"}}
	g.takeDigest(plannersAt[0], d)
	requireLimited(t, g, admission.Go)
}

// What a target says of its rate goes out with the entry's hellos for some seconds, as any of
// them may be lost, and then no more: a day without need costs nothing.
func TestHellosTellOfRates(t *testing.T) {
	g := newGateway()
	config := routing.New(routing.Config{Version: 3, Services: []routing.Service{{Name: "svc", Engine: &routing.Engine{}}}})
	g.installRules(deployed.Elapsed(), feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: config}}})
	listeners, heard := listen(t, 1)
	g.takeDigest(listeners[0].Addr(), digest.Digest{Service: "svc", Group: "g", Term: 1, Open: true, Ranks: []digest.Rank{{Target: "a", Grant: 1}}})
	g.roster.Put(roster.Target{ID: "a", Service: "svc"})
	from, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	now := time.Now()
	hello := func(at time.Time) []ratelimit.Word {
		g.hello(at, from)
		select {
		case h := <-heard:
			return digest.Words(h.Rates)
		case <-time.After(20 * time.Second):
			require.Fail(t, "the planner was not greeted")
			return nil
		}
	}
	require.Empty(t, hello(now))
	k := &admission.Ticket{Service: "svc"}
	require.Equal(t, admission.Go, g.admit.Arrive(now, k))
	said := ratelimit.Said{Kind: ratelimit.Named, Rate: 1.2}
	g.admit.Heard(now, k, said, true)
	require.Equal(t, []ratelimit.Word{{Target: "a", Said: said, Age: time.Second}}, hello(now.Add(time.Second)))
	require.Empty(t, g.admit.Rates(now.Add(rateTold+time.Millisecond), rateTold, digest.MostRates, 0))
}

// Two planners tell of the entries. All entries go by the one that hears most, so that their
// places are of one row; if both hear as many, by the same one of the two.
func TestPlaceAmongEntries(t *testing.T) {
	g := newGateway()
	now := time.Now()
	require.Equal(t, ratelimit.Senders{Count: assumedEntries}, g.senders(now), "nobody tells")
	tell := func(at int, group roster.GroupName, entries, place int) {
		g.takeDigest(plannersAt[at], digest.Digest{Service: "svc", Group: group, Term: 1, Entries: entries, Place: place})
	}
	tell(1, "two", 5, 4)
	tell(0, "one", 5, 3)
	require.Equal(t, ratelimit.Senders{Count: 5, Place: 3}, g.senders(now))
	tell(1, "two", 6, 5)
	require.Equal(t, ratelimit.Senders{Count: 6, Place: 5}, g.senders(now))
	require.Zero(t, g.senders(now.Add(countLasts+time.Second)).Place, "nobody has told for long")
}

// Forty entries are told of each other; then no planner tells anything, as a data centre is
// lost. Each entry would take a sixteenth of what all may send together, which is two and a
// half times that.
func TestEntriesAreRememberedWithoutAPlanner(t *testing.T) {
	g := newGateway()
	now := time.Now()
	require.InDelta(t, assumedEntries, g.sharers(now), 0)
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Group: "g", Term: 1, Entries: 40})
	later := now.Add(countLasts + plannerKept)
	g.planners.live(later, "svc") // forgets planners that are quiet
	require.GreaterOrEqual(t, g.sharers(later), 40.0)
	g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Group: "g", Term: 1, Entries: 3})
	require.GreaterOrEqual(t, g.sharers(later), float64(assumedEntries), "some may not be heard by whoever told last")
}

// A target takes a number of connections from all entries together and resets what is beyond
// that, kept ones included. Forty entries with six requests each would have 240 where 110 are taken, and
// callers would lose requests that can't be sent again.
func TestConnectionsOfAllEntries(t *testing.T) {
	for _, entries := range []int{1, 5, 16, 40, 100} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			g := newGateway()
			config := routing.New(routing.Config{Version: 3, Services: []routing.Service{
				{Name: "plain", MaxConnections: 110}, {Name: "engine", MaxConnections: 110, Engine: &routing.Engine{Slots: 64}},
			}})
			g.installRules(deployed.Elapsed(), feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: config}}})
			g.takeDigest(plannersAt[0], digest.Digest{Service: "svc", Group: "g", Term: 1, Entries: entries})
			plain, engine := g.limits("plain").PerTarget, g.limits("engine").PerTarget
			require.Positive(t, plain)
			require.LessOrEqual(t, plain*entries, 110)
			require.LessOrEqual(t, engine, 110, "which all entries have together")
			at := netip.MustParseAddrPort("10.0.0.9:80")
			g.roster.Put(roster.Target{ID: "p", Service: "plain", Address: at})
			require.LessOrEqual(t, g.idleConnections(at)*entries, 110)
		})
	}
}
