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

// rateLimitedTarget is a target that names a rate, and records which entry sent each request.
type rateLimitedTarget struct {
	*standin.Server
	mu           sync.Mutex
	rate         string
	limitedSince map[string]time.Time // when an entry got its first response with the rate
	arrived      []arrival
}

type arrival struct {
	entry string
	at    time.Time
}

// entryOf returns the name of the entry through which a test sent a request.
func entryOf(id string) string { return id[:len("entry-1")] }

func newRateLimitedTarget(t *testing.T, rate string) *rateLimitedTarget {
	s := &rateLimitedTarget{rate: rate, limitedSince: make(map[string]time.Time)}
	s.Server = standin.NewServer(t, func(w standin.Reply, r standin.Request) {
		s.mu.Lock()
		entry := entryOf(r.ID)
		s.arrived = append(s.arrived, arrival{entry, time.Now()})
		if _, found := s.limitedSince[entry]; !found {
			s.limitedSince[entry] = time.Now()
		}
		s.mu.Unlock()
		w.Header("Server-Limit", s.rate)
		w.Complete(http.StatusOK, "hello")
	})
	return s
}

const (
	// rateWindow is the window in which requests to a rate-limited target are counted. One and a
	// half times the rate, plus rateSlack, are allowed in it.
	rateWindow = 4 * time.Second
	rateSlack  = 5
	// rateNoticeGrace is how long after an entry learned of the rate its requests begin to count.
	rateNoticeGrace = 500 * time.Millisecond
)

// maxInWindow returns the largest number of requests in a window from entries that know the rate.
func (s *rateLimitedTarget) maxInWindow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counted []time.Time
	for _, a := range s.arrived {
		if a.at.Sub(s.limitedSince[a.entry]) >= rateNoticeGrace {
			counted = append(counted, a.at)
		}
	}
	largest, from := 0, 0
	for i, at := range counted {
		for at.Sub(counted[from]) > rateWindow {
			from++
		}
		largest = max(largest, i-from+1)
	}
	return largest
}

// startEntries starts entries in front of targets of one service.
func startEntries(t *testing.T, entries int, targets ...*standin.Server) []*running {
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

// sendLoad sends requests through all entries in turn for some time, without waiting for their
// responses, and returns how many ended with each status.
func sendLoad(t *testing.T, entries []*running, pause, lasts time.Duration) map[int]int {
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

// One of four targets is rate-limited: each of its responses names the rate that it takes from all
// entries together, one request a second. Guards against entries that ignore this header: the
// target then gets as many requests as the others from each of five entries for as long as it is
// limited, and callers notice nothing. Recorded runs had 2.3 requests a second there before it
// named 1, and 3.5 after, from four entries in turn that all knew the rate: 14 in 4 s, where 11
// are allowed. Each entry limited only its concurrent requests, independently of the others.
func TestTargetThatNamesARateGetsNoMore(t *testing.T) {
	t.Parallel()
	limited := newRateLimitedTarget(t, "1.0")
	targets := []*standin.Server{limited.Server}
	for range 3 {
		targets = append(targets, standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Complete(http.StatusOK, "hello") }))
	}
	entries := startEntries(t, 5, targets...)
	statuses := sendLoad(t, entries, 20*time.Millisecond, rateNoticeGrace+rateWindow+rateWindow/4)
	t.Logf("%d requests in %s, of all %v", limited.maxInWindow(), rateWindow, statuses)
	require.LessOrEqual(t, limited.maxInWindow(), int(1.5*1.0*rateWindow.Seconds())+rateSlack)
	require.Len(t, statuses, 1, "the other targets serve what it doesn't take")
	require.Contains(t, statuses, http.StatusOK)
}

// All targets are rate-limited, and callers keep sending. Each target gets no more than it takes;
// a request that can't be served is refused at once, with a retry delay. Where a planner reports
// the entries' indexes, the entries use most of what the targets take.
func TestAllTargetsNameARate(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		report func(*testing.T, []*running)
		served int // at least
	}{
		"no planner reports the entries": {func(*testing.T, []*running) {}, 3},
		"a planner reports the entries":  {reportEntryIndexes, 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var limited []*rateLimitedTarget
			var targets []*standin.Server
			for range 3 {
				s := newRateLimitedTarget(t, "1.2")
				limited, targets = append(limited, s), append(targets, s.Server)
			}
			entries := startEntries(t, 3, targets...)
			c.report(t, entries)
			statuses := sendLoad(t, entries, 20*time.Millisecond, 2*rateWindow)
			t.Logf("%v", statuses)
			for _, s := range limited {
				require.LessOrEqual(t, s.maxInWindow(), int(1.5*1.2*rateWindow.Seconds())+rateSlack)
			}
			require.GreaterOrEqual(t, statuses[http.StatusOK], c.served)
			require.Positive(t, statuses[http.StatusServiceUnavailable])
			require.Len(t, statuses, 2, "served, or refused as certainly not executed")
		})
	}
}

// reportEntryIndexes reports to the entries their indexes, as a planner of another service does
// repeatedly, until the test ends.
func reportEntryIndexes(t *testing.T, entries []*running) {
	report := func() {
		for n, e := range entries {
			e.gateway.applyPlannerUpdate(plannerAddresses[0], digest.Update{
				Service: "other", Group: "g", Term: 1, Open: true, Entries: len(entries), Index: n + 1,
			})
		}
	}
	report()
	ended := make(chan struct{})
	ctx, stop := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			report()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

// requireVerdict requires the admission verdict on a new request for the targets' service.
func requireVerdict(t *testing.T, g *Gateway, want admission.Verdict) {
	t.Helper()
	require.Equal(t, want, g.admit.Arrive(time.Now(), &admission.Ticket{Service: "svc"}))
}

// Only two entries of sixteen send requests to a rate-limited target. The others learn of its
// rate, and of the end of the limit, from the planner; they have no other source.
func TestRatesAreLearnedFromOtherEntries(t *testing.T) {
	g := newGateway()
	g.installConfig(0, version(7))
	g.roster.Put(roster.Target{ID: "a", Service: "svc"})
	requireVerdict(t, g, admission.Admitted)
	d := digest.Update{Service: "other", Group: "g", Term: 1, Open: true, Entries: 16, Index: 1}
	d.Rates = []digest.Rate{{Target: "a", Named: true, Rate: 0.2}, {Target: "b", Named: true, Rate: 1}, {Target: "a", Named: true, Rate: math.Inf(-1)}}
	g.applyPlannerUpdate(plannerAddresses[0], d)
	requireVerdict(t, g, admission.Limited)
	d.Rates = []digest.Rate{{Target: "a", Age: time.Minute}}
	g.applyPlannerUpdate(plannerAddresses[0], d)
	requireVerdict(t, g, admission.Limited) // the target named the rate after that
	d.Rates = []digest.Rate{{Target: "a"}}
	g.applyPlannerUpdate(plannerAddresses[0], d)
	requireVerdict(t, g, admission.Admitted)
}

// A target's rate report is sent with the entry's heartbeats for some seconds, as any of them may
// be lost, and then no longer: without rate-limited targets there is no cost.
func TestHeartbeatsReportRates(t *testing.T) {
	g := newGateway()
	config := routing.New(routing.Config{Version: 3, Services: []routing.Service{{Name: "svc", Engine: &routing.Engine{}}}})
	g.installConfig(deployed.Elapsed(), feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: config}}})
	listeners, received := listen(t, 1)
	g.applyPlannerUpdate(listeners[0].Addr(), digest.Update{Service: "svc", Group: "g", Term: 1, Open: true, Ranks: []digest.Rank{{Target: "a", Grant: 1}}})
	g.roster.Put(roster.Target{ID: "a", Service: "svc"})
	from, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	now := time.Now()
	heartbeat := func(at time.Time) []ratelimit.Report {
		g.sendHeartbeats(at, from)
		select {
		case h := <-received:
			return digest.ToReports(h.Rates)
		case <-time.After(20 * time.Second):
			require.Fail(t, "the planner got no heartbeat")
			return nil
		}
	}
	require.Empty(t, heartbeat(now))
	k := &admission.Ticket{Service: "svc"}
	require.Equal(t, admission.Admitted, g.admit.Arrive(now, k))
	limit := ratelimit.Statement{Kind: ratelimit.Named, Rate: 1.2}
	g.admit.ApplyRate(now, k, limit, true)
	require.Equal(t, []ratelimit.Report{{Target: "a", Statement: limit, Age: time.Second}}, heartbeat(now.Add(time.Second)))
	require.Empty(t, g.admit.RecentRates(now.Add(rateReportLifetime+time.Millisecond), rateReportLifetime, digest.MaxRates, 0))
}

// Two planners report the entries. All entries use the report of the planner that receives
// heartbeats from the most, so that their indexes belong to one sequence; if the numbers are equal,
// all use the same one of the two.
func TestIndexAmongEntries(t *testing.T) {
	g := newGateway()
	now := time.Now()
	require.Equal(t, ratelimit.Senders{Count: assumedEntries}, g.senders(now), "no planner reports")
	report := func(at int, group roster.GroupName, entries, index int) {
		g.applyPlannerUpdate(plannerAddresses[at], digest.Update{Service: "svc", Group: group, Term: 1, Entries: entries, Index: index})
	}
	report(1, "two", 5, 4)
	report(0, "one", 5, 3)
	require.Equal(t, ratelimit.Senders{Count: 5, Index: 3}, g.senders(now))
	report(1, "two", 6, 5)
	require.Equal(t, ratelimit.Senders{Count: 6, Index: 5}, g.senders(now))
	require.Zero(t, g.senders(now.Add(countLifetime+time.Second)).Index, "the last report is too old")
}

// A planner reports forty entries; then no planner reports anything, as a data centre is lost. If
// each entry then took a sixteenth of what all may send together, the sum would be two and a half
// times the limit.
func TestEntryCountIsRememberedWithoutAPlanner(t *testing.T) {
	g := newGateway()
	now := time.Now()
	require.InDelta(t, assumedEntries, g.sharingEntries(now), 0)
	g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Group: "g", Term: 1, Entries: 40})
	later := now.Add(countLifetime + plannerRetention)
	g.planners.live(later, "svc") // forgets planners that send nothing
	require.GreaterOrEqual(t, g.sharingEntries(later), 40.0)
	g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Group: "g", Term: 1, Entries: 3})
	require.GreaterOrEqual(t, g.sharingEntries(later), float64(assumedEntries), "the last reporting planner may not receive all heartbeats")
}

// A target accepts a number of connections from all entries together and resets connections beyond
// that, idle ones included. Forty entries with six requests each would have 240 where 110 are
// accepted, and callers would lose requests that can't be retried.
func TestConnectionsOfAllEntries(t *testing.T) {
	for _, entries := range []int{1, 5, 16, 40, 100} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			g := newGateway()
			config := routing.New(routing.Config{Version: 3, Services: []routing.Service{
				{Name: "plain", MaxConnections: 110}, {Name: "engine", MaxConnections: 110, Engine: &routing.Engine{MaxRequests: 64}},
			}})
			g.installConfig(deployed.Elapsed(), feed.Page[*routing.Config]{Changes: []feed.Change[*routing.Config]{{Name: "main", Object: config}}})
			g.applyPlannerUpdate(plannerAddresses[0], digest.Update{Service: "svc", Group: "g", Term: 1, Entries: entries})
			plain, engine := g.limits("plain").PerTarget, g.limits("engine").PerTarget
			require.Positive(t, plain)
			require.LessOrEqual(t, plain*entries, 110)
			require.LessOrEqual(t, engine, 110, "the limit of all entries together")
			at := netip.MustParseAddrPort("10.0.0.9:80")
			g.roster.Put(roster.Target{ID: "p", Service: "plain", Address: at})
			require.LessOrEqual(t, g.idleConnections(at)*entries, 110)
		})
	}
}
