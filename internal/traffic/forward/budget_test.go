package forward

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

func TestBudgetBoundsRepeats(t *testing.T) {
	b := &Budget{Limits: func() Limits { return Limits{Ratio: 0.2, Window: 10 * time.Second, Fixed: 2} }}
	now := time.Now()
	for range 12 {
		b.CountRequest(now, "svc")
	}
	n := 0
	for b.Reserve(now, "svc") {
		b.Spend(now, "svc")
		n++
	}
	require.Equal(t, 3, n, "two, and a fifth of half of the twelve requests")
	require.False(t, b.Reserve(now.Add(5*time.Second), "svc"))
	require.True(t, b.Reserve(now.Add(30*time.Second), "svc"), "the window has passed")
}

// Guards against more repeats in a window than the platform allows, when entries restart one
// after the other or all at once while every request fails. A new incarnation of an entry does
// not know how many repeats the earlier one has just sent.
func TestRepeatsOfEntriesThatRestart(t *testing.T) {
	const (
		entries = 5
		ratio   = 0.2
		slack   = 94.0
		window  = 10 * time.Second
		tick    = 10 * time.Millisecond
		perTick = 0.05 // requests of an entry in a tick
	)
	limits := func() Limits {
		return Limits{Ratio: ratio, Window: window, Fixed: slack / (entries*1.25 + 1)}
	}
	for name, restarts := range map[string]func(entry int, at time.Duration) bool{
		"none": func(int, time.Duration) bool { return false },
		"one after another": func(i int, at time.Duration) bool {
			return at > window && (at/tick)%200 == 0 && int(at/tick/200)%entries == i
		},
		"all at once": func(_ int, at time.Duration) bool { return at == 3*window/2 },
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
			budgets := make([]*Budget, entries)
			var requests, repeats []time.Duration
			due := make([]float64, entries)
			for at := time.Duration(0); at < 4*window; at += tick {
				now := begin.Add(at)
				for i := range budgets {
					if budgets[i] == nil || restarts(i, at) {
						budgets[i] = &Budget{Limits: limits, Started: now}
					}
					for due[i] += perTick; due[i] >= 1; due[i]-- {
						budgets[i].CountRequest(now, "svc")
						requests = append(requests, at)
					}
					if budgets[i].Reserve(now, "svc") {
						budgets[i].Spend(now, "svc")
						repeats = append(repeats, at)
					}
				}
			}
			count := func(list []time.Duration, until time.Duration) (n int) {
				for _, at := range list {
					if at > until-window && at <= until {
						n++
					}
				}
				return n
			}
			for at := time.Second; at < 4*window; at += 100 * time.Millisecond {
				most := ratio*float64(count(requests, at)) + slack
				require.LessOrEqual(t, float64(count(repeats, at)), most, "in the window to %s", at)
			}
		})
	}
}

// Guards against more repeats in a window than allowed, when those that were allowed earlier wait in
// the queue and are sent together with new ones.
func TestRepeatsThatWaitedCountWhenTheyAreSent(t *testing.T) {
	const (
		fixed  = 4
		window = 150 * time.Millisecond
	)
	free := make(chan struct{})
	release := sync.OnceFunc(func() { close(free) })
	busy := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		<-free
		w.Complete(http.StatusOK, "hello")
	})
	b := newTestbed(t, busy)
	t.Cleanup(release)
	b.Budget = &Budget{Limits: func() Limits { return Limits{Window: window, Fixed: fixed} }}
	b.Admission.RulesFor = func(string) admission.Limits {
		return admission.Limits{PerTarget: 2 * fixed, Queue: 4 * fixed, Entries: 1}
	}
	var calls sync.WaitGroup
	send := func(n int, to *standin.Server) {
		for range n {
			calls.Go(func() { b.call(http.MethodGet, "/safe/x") })
		}
		require.Eventually(t, func() bool { return len(to.Seen()) == n }, 3*time.Second, time.Millisecond)
	}
	// sendRefused sends requests that a target refuses all at once, as it leaves the list. It is the
	// same target each time, so that those that wait don't go there.
	sendRefused := func() {
		const id = "i-1"
		refuse := make(chan struct{})
		refuseAll := sync.OnceFunc(func() { close(refuse) })
		refuses := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
			<-refuse
			w.NotRun()
		})
		t.Cleanup(refuseAll)
		b.targets.Put(roster.Target{ID: id, Service: "svc", Address: refuses.Address, Slots: fixed})
		send(fixed, refuses)
		b.targets.Remove(id)
		refuseAll()
	}
	settled := func() int { // requests that wait, or have ended
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.Admission.Waiting("svc") + len(b.records)
	}
	send(2*fixed, busy)
	sendRefused()
	require.Eventually(t, func() bool { return settled() == fixed }, 3*time.Second, time.Millisecond)
	time.Sleep(window * (windowSlices + 1) / windowSlices) // after that, the repeats are no longer in the window
	sendRefused()
	require.Eventually(t, func() bool { return settled() == 2*fixed }, 3*time.Second, time.Millisecond)
	released := time.Now()
	release()
	calls.Wait()
	t.Logf("%d repeats within %s", len(busy.Seen())-2*fixed, time.Since(released))
	require.LessOrEqual(t, len(busy.Seen())-2*fixed, fixed)
}

// Guards against a budget that runs dry by repeats that are allowed and never sent.
func TestRepeatThatIsNotSentIsGivenBack(t *testing.T) {
	refuse := make(chan struct{})
	refuses := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		<-refuse
		w.NotRun()
	})
	b := newTestbed(t, refuses)
	refuseAll := sync.OnceFunc(func() { close(refuse) })
	t.Cleanup(refuseAll)
	b.Budget = &Budget{Limits: func() Limits { return Limits{Window: time.Minute, Fixed: 1} }}
	reserved := func() int {
		b.Budget.mu.Lock()
		defer b.Budget.mu.Unlock()
		return b.Budget.services["svc"].reserved
	}
	var call sync.WaitGroup
	call.Go(func() { b.call(http.MethodGet, "/safe/x") })
	require.Eventually(t, func() bool { return len(refuses.Seen()) == 1 }, 10*time.Second, time.Millisecond)
	other := newSilentServer(t)
	b.targets.Put(roster.Target{ID: "i-1", Service: "svc", Address: other.Address, Slots: 1})
	b.Admission.RulesFor = func(string) admission.Limits { return admission.Limits{PerTarget: 1, Queue: 4, Entries: 1} }
	call.Go(func() { b.call(http.MethodGet, "/safe/x") })
	require.Eventually(t, func() bool { return len(other.Seen()) == 1 }, 10*time.Second, time.Millisecond)
	refuseAll()
	require.Eventually(t, func() bool { return reserved() == 1 }, 10*time.Second, time.Millisecond, "the repeat waits")
	call.Wait()
	require.Zero(t, reserved())
	require.True(t, b.Budget.Reserve(time.Now(), "svc"))
}

// newSilentServer starts a target that does not respond until the test ends.
func newSilentServer(t *testing.T) *standin.Server {
	end := make(chan struct{})
	s := standin.NewServer(t, func(standin.Reply, standin.Request) { <-end })
	t.Cleanup(func() { close(end) })
	return s
}

// repeatLoad is a course of requests and failures at several entries, in simulated time.
type repeatLoad struct {
	lasts   time.Duration
	rate    func(at time.Duration) float64 // requests a second of all entries
	fails   func(at time.Duration) bool    // whether requests fail at that time, each one once
	entry   func(n int) int                // the entry of the n-th request
	entries int
}

// requireRepeatsWithin checks the platform's rule for all windows of a load: in none more repeats
// than the slack and a ratio of the requests in the window, in the one before it, or in the one that begins
// half a window earlier, whichever has most.
func requireRepeatsWithin(t *testing.T, l repeatLoad) {
	t.Helper()
	const (
		ratio  = 0.2
		slack  = 132.0
		window = 10 * time.Second
		tick   = time.Millisecond
	)
	begin := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	limits := func() Limits {
		return Limits{Ratio: ratio, Window: window, Fixed: slack / (float64(l.entries)*1.25 + 1)}
	}
	budgets := make([]*Budget, l.entries)
	for i := range budgets {
		budgets[i] = &Budget{Limits: limits, Started: begin.Add(-time.Hour)}
	}
	var requests, repeats []time.Duration
	due := 0.0
	for at := time.Duration(0); at < l.lasts; at += tick {
		now := begin.Add(at)
		for due += l.rate(at) * tick.Seconds(); due >= 1; due-- {
			b := budgets[l.entry(len(requests))%l.entries]
			b.CountRequest(now, "svc")
			requests = append(requests, at)
			if l.fails(at) && b.Reserve(now, "svc") {
				b.Spend(now, "svc")
				repeats = append(repeats, at)
			}
		}
	}
	count := func(list []time.Duration, from, until time.Duration) int {
		first, _ := slices.BinarySearch(list, from)
		last, _ := slices.BinarySearch(list, until)
		return last - first
	}
	for from := -window; from < l.lasts; from += 50 * time.Millisecond {
		until := from + window
		most := max(count(requests, from, until), count(requests, from-window, from), count(requests, from-window/2, from+window/2))
		require.LessOrEqual(t, float64(count(repeats, from, until)), ratio*float64(most)+slack, "in the window from %s", from)
	}
	t.Logf("%d repeats of %d requests", len(repeats), len(requests))
}

// Guards against more repeats than allowed when requests come in bursts, or move from some entries to
// others: each entry then counts requests for its repeats that are in no one window of the platform's.
func TestRepeatsOfUnevenRequests(t *testing.T) {
	const entries = 16
	within := func(at time.Duration, from, until float64) bool { return at.Seconds() >= from && at.Seconds() < until }
	byTurns := func(n int) int { return n % entries }
	for name, l := range map[string]repeatLoad{
		"two bursts": {
			lasts: 14 * time.Second, entry: byTurns,
			rate: func(at time.Duration) float64 {
				if within(at, 0, 1) || within(at, 9, 10) {
					return 3000
				}
				return 100
			},
			fails: func(at time.Duration) bool { return within(at, 9, 11) },
		},
		"a short day": {
			lasts: 9 * time.Second, entry: byTurns,
			rate:  func(time.Duration) float64 { return 400 },
			fails: func(at time.Duration) bool { return at > 7*time.Second },
		},
		"a steady load": {
			lasts: 40 * time.Second, entry: byTurns,
			rate:  func(time.Duration) float64 { return 400 },
			fails: func(at time.Duration) bool { return within(at, 5, 35) },
		},
		"most entries drain while all requests fail": {
			lasts: 22 * time.Second,
			rate:  func(time.Duration) float64 { return 400 },
			entry: func(n int) int {
				if n < 400*11 {
					return n % entries
				}
				return n % 2
			},
			fails: func(at time.Duration) bool { return within(at, 10, 22) },
		},
		"half of the entries after the others": {
			lasts: 20 * time.Second,
			rate:  func(time.Duration) float64 { return 400 },
			entry: func(n int) int { return n%(entries/2) + n/(400*8)%2*entries/2 },
			fails: func(at time.Duration) bool { return within(at, 6, 20) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			l.entries = entries
			requireRepeatsWithin(t, l)
		})
	}
}

func BenchmarkReserve(b *testing.B) {
	now := time.Now()
	budget := &Budget{Limits: func() Limits { return Limits{Ratio: 0.2, Window: 10 * time.Second, Fixed: 1e9} }}
	for range b.N {
		now = now.Add(time.Millisecond)
		budget.CountRequest(now, "svc")
		if budget.Reserve(now, "svc") {
			budget.Spend(now, "svc")
		}
	}
}

// Guards against a budget that runs dry by requests that leave a slow target and are not sent again.
func TestRepeatForASlowTargetIsGivenBack(t *testing.T) {
	b := newTestbed(t)
	require.True(t, b.Budget.Reserve(time.Now(), "svc"))
	c := &call{f: b.Forwarder, service: "svc"}
	c.leftSlow.Store(true)
	c.releaseRepeats()
	require.Zero(t, b.Budget.services["svc"].reserved)
}
