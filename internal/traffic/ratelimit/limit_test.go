package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func ExampleLimit() {
	var l Limit
	alone := Senders{Count: 1, Index: 1}
	fmt.Println(l.Free(start, "t", alone))
	l.Set(start, 2, 0)
	fmt.Println(l.Free(start, "t", alone))
	l.Sent(start)
	fmt.Println(l.Free(start.Add(100*time.Millisecond), "t", alone))
	fmt.Println(l.Free(start.Add(time.Second), "t", alone))
	// Output:
	// true
	// true
	// false
	// true
}

// simulation has entries that all receive a rate, and have requests for its target at any time.
type simulation struct {
	target  string
	rate    Rate
	limits  []Limit
	senders func(entry int, at time.Duration) Senders
}

func newSimulation(entries int, rate Rate, senders func(entry int, at time.Duration) Senders, seed uint64) *simulation {
	s := &simulation{target: fmt.Sprint("t", seed), rate: rate, limits: make([]Limit, entries), senders: senders}
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range s.limits {
		// They receive it one after the other, within half a second.
		s.limits[i].Set(start.Add(time.Duration(r.IntN(500))*time.Millisecond), rate, r.Float64())
	}
	return s
}

const (
	tick = 10 * time.Millisecond
	// A rate-limited target bears one and a half times its rate in a window, plus slack.
	window = 4 * time.Second
	slack  = 5
)

// run has all entries send as soon as they may, and returns the largest number of requests in a
// window, and the number of all requests.
func (s *simulation) run(lasts time.Duration) (most, sent int) {
	var times []time.Duration
	for at := 500 * time.Millisecond; at < lasts; at += tick {
		now := start.Add(at)
		for i := range s.limits {
			l := &s.limits[i]
			l.Set(now, s.rate, 0) // another response names it again
			if l.Free(now, s.target, s.senders(i, at)) {
				l.Sent(now)
				times = append(times, at)
			}
		}
	}
	from := 0
	for i, at := range times {
		for at-times[from] > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most, len(times)
}

func allowed(rate Rate) int { return int(1.5*float64(rate)*window.Seconds()) + slack }

func requireWithin(t *testing.T, s *simulation, lasts time.Duration) {
	t.Helper()
	most, sent := s.run(lasts)
	require.LessOrEqual(t, most, allowed(s.rate), "%d entries, %d requests in %s", len(s.limits), sent, lasts)
}

var rates = []Rate{0, 0.1, 0.5, 1, 1.2, 3, 10, 60}

// A target names a rate, and all entries have requests for it all the time. If each kept to the
// rate by itself, the target would get that rate times the number of entries. Each knows its index
// among them, so that two send and the others don't.
func TestAllEntriesTogether(t *testing.T) {
	for _, entries := range []int{1, 2, 5, 16, 340} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			for seed := range uint64(4) {
				for _, rate := range rates {
					s := newSimulation(entries, rate, func(i int, _ time.Duration) Senders {
						return Senders{Count: float64(entries), Index: i + 1}
					}, seed)
					requireWithin(t, s, 30*time.Second)
				}
			}
		})
	}
}

// Half of the entries receive the count of all entries, the other half only their own count, as two
// planners are partitioned from each other. Each half has its own senders.
func TestEntriesWithDifferentCounts(t *testing.T) {
	for _, entries := range []int{4, 6, 16, 80} {
		for seed := range uint64(8) {
			for _, rate := range rates {
				s := newSimulation(entries, rate, func(i int, _ time.Duration) Senders {
					if i < entries/2 {
						return Senders{Count: float64(entries / 2), Index: i + 1}
					}
					return Senders{Count: float64(entries), Index: i + 1}
				}, seed)
				requireWithin(t, s, 20*time.Second)
			}
		}
	}
}

// Entries restart one after the other, and each time the indexes of all that follow change. An
// entry that becomes a sender waits before it sends, as the former one may just have sent.
func TestEntriesComeAndGo(t *testing.T) {
	const entries = 8
	for seed := range uint64(8) {
		for _, rate := range rates {
			s := newSimulation(entries, rate, func(i int, at time.Duration) Senders {
				away := int(at/time.Second) % entries
				switch {
				case i == away:
					return Senders{Count: entries, Index: i + 1} // the last index that it received
				case i > away:
					return Senders{Count: entries - 1, Index: i}
				}
				return Senders{Count: entries - 1, Index: i + 1}
			}, seed)
			requireWithin(t, s, 30*time.Second)
		}
	}
}

// The entries receive their indexes no more, and all change to even shares at the same moment. All
// but two have not sent for long; they must not all send at once.
func TestIndexesAreLost(t *testing.T) {
	for _, entries := range []int{2, 5, 16} {
		for seed := range uint64(8) {
			for _, rate := range rates {
				s := newSimulation(entries, rate, func(i int, at time.Duration) Senders {
					if at < 10*time.Second {
						return Senders{Count: float64(entries), Index: i + 1}
					}
					return Senders{Count: 1.25*float64(entries) + 1}
				}, seed)
				requireWithin(t, s, 30*time.Second)
			}
		}
	}
}

// Two senders together use well over half of what the target takes.
func TestRateIsUsed(t *testing.T) {
	for _, rate := range []Rate{0.5, 1.2, 10} {
		const lasts = time.Minute
		s := newSimulation(16, rate, func(i int, _ time.Duration) Senders { return Senders{Count: 16, Index: i + 1} }, 3)
		_, sent := s.run(lasts)
		require.Greater(t, float64(sent), 0.6*float64(rate)*lasts.Seconds())
	}
}

// Each target has other senders, so that no entry has to serve all rate-limited targets.
func TestSendersAreSpread(t *testing.T) {
	const entries, targets = 16, 400
	targetsOf := make([]int, entries)
	for n := range targets {
		for i := range entries {
			if _, ok := (Senders{Count: entries, Index: i + 1}).interval(fmt.Sprint("i-", n), 1); ok {
				targetsOf[i]++
			}
		}
	}
	total := 0
	for i, n := range targetsOf {
		require.InDelta(t, targets*sendersPerTarget/entries, n, targets*sendersPerTarget/entries*0.6, "entry %d", i)
		total += n
	}
	require.Equal(t, targets*sendersPerTarget, total)
}

// A target ceases to name its rate. A response to a request that was sent before the rate was named
// does not count.
func TestLimitEnds(t *testing.T) {
	var l Limit
	require.True(t, l.Set(start, 1, 0))
	require.False(t, l.Set(start, 1, 0), "no news")
	require.False(t, l.Clear(start.Add(-time.Millisecond)))
	require.True(t, l.Active())
	require.True(t, l.Clear(start.Add(time.Second)))
	require.False(t, l.Active())
	require.True(t, l.Free(start.Add(time.Second), "t", Senders{Count: 16}))
}

// An outdated rate arrives late. It changes nothing.
func TestOutdatedRate(t *testing.T) {
	var l Limit
	l.Set(start, 1, 0)
	require.False(t, l.Set(start.Add(-time.Second), 9, 0))
	require.Equal(t, Rate(1), l.Rate())
}

// A limit has ended. An earlier report of its rate by another entry arrives late, by way of a
// third: it must not limit the target again.
func TestOutdatedRateAfterTheEnd(t *testing.T) {
	var l Limit
	l.Set(start, 1, 0)
	require.True(t, l.Clear(start.Add(time.Second)))
	require.False(t, l.Set(start.Add(900*time.Millisecond), 1, 0))
	require.False(t, l.Active())
	require.True(t, l.Set(start.Add(2*time.Second), 1, 0))
}

// Guards against a limit that is forgotten while no entry has requests for its target: what it named last holds until
// it names none. Then requests come at all entries at the same time.
func TestLimitOutlastsAPause(t *testing.T) {
	for _, pause := range []time.Duration{rateLifetime - time.Second, rateLifetime + time.Second, 5 * time.Minute, time.Hour} {
		for _, entries := range []int{1, 2, 5, 16, 60} {
			for _, indexed := range []bool{true, false} {
				if !indexed && entries > 5 {
					continue // entries that know no index each have a turn after the pause
				}
				for _, rate := range rates {
					s := newSimulation(entries, rate, func(i int, _ time.Duration) Senders {
						if !indexed {
							return Senders{Count: 1.25*float64(entries) + 1}
						}
						return Senders{Count: float64(entries), Index: i + 1}
					}, uint64(entries))
					for i := range s.limits {
						s.limits[i].Sent(start)
					}
					require.LessOrEqual(t, s.burst(pause), allowed(rate), "%d entries, indexed %t, rate %v, after %s", entries, indexed, rate, pause)
				}
			}
		}
	}
}

// burst returns the largest number of requests in a window, if nothing is heard of the target any more, and all
// entries have requests for it from some time on.
func (s *simulation) burst(from time.Duration) (most int) {
	var times []time.Duration
	first := 0
	for at := from; at < from+20*time.Second; at += tick {
		now := start.Add(at)
		for i := range s.limits {
			if l := &s.limits[i]; l.Free(now, s.target, s.senders(i, at)) {
				l.Sent(now)
				times = append(times, at)
			}
		}
	}
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against an entry that sends nothing to a target for ever, as nobody tells it that the limit has ended.
func TestEntryVerifiesALimit(t *testing.T) {
	var l Limit
	l.Set(start, 1, 0)
	others := Senders{Count: 16}
	for others.Index = 1; ; others.Index++ {
		if _, sends := others.interval("t", 1); !sends {
			break
		}
	}
	require.False(t, l.Free(start.Add(rateLifetime-time.Second), "t", others))
	require.True(t, l.Free(start.Add(rateLifetime), "t", others))
	l.Sent(start.Add(rateLifetime))
	require.False(t, l.Free(start.Add(rateLifetime+16*time.Second), "t", others))
	l.Set(start.Add(rateLifetime+20*time.Second), 1, 0)
	require.False(t, l.Free(start.Add(rateLifetime+time.Minute), "t", others), "it has been heard of again")
}
