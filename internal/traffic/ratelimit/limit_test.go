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
	alone := Senders{Count: 1, Place: 1}
	fmt.Println(l.Free(start, "t", alone))
	l.Named(start, 2, 0)
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

// crowd are entries that are all told of a rate, and would send to its target at any time.
type crowd struct {
	target  string
	rate    Rate
	limits  []Limit
	senders func(entry int, at time.Duration) Senders
}

func newCrowd(entries int, rate Rate, senders func(entry int, at time.Duration) Senders, seed uint64) *crowd {
	c := &crowd{target: fmt.Sprint("t", seed), rate: rate, limits: make([]Limit, entries), senders: senders}
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range c.limits {
		// They hear it one after the other, within half a second.
		c.limits[i].Named(start.Add(time.Duration(r.IntN(500))*time.Millisecond), rate, r.Float64())
	}
	return c
}

const (
	crowdTick = 10 * time.Millisecond
	// window and slack are what a target in need bears: one and a half times its rate in a
	// window, and slack.
	window = 4 * time.Second
	slack  = 5
)

// play has all entries send as soon as they may, and returns the largest number of requests
// in a window, and how many there were in all.
func (c *crowd) play(lasts time.Duration) (most, sent int) {
	var times []time.Duration
	for at := 500 * time.Millisecond; at < lasts; at += crowdTick {
		now := start.Add(at)
		for i := range c.limits {
			l := &c.limits[i]
			l.Named(now, c.rate, 0) // somebody hears it again
			if l.Free(now, c.target, c.senders(i, at)) {
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

func requireWithin(t *testing.T, c *crowd, lasts time.Duration) {
	t.Helper()
	most, sent := c.play(lasts)
	require.LessOrEqual(t, most, allowed(c.rate), "%d entries, %d requests in %s", len(c.limits), sent, lasts)
}

var rates = []Rate{0, 0.1, 0.5, 1, 1.2, 3, 10, 60}

// A target in need names a rate, and all entries have callers for it all the time. If each
// kept to the rate by itself the target would get as many times that as there are entries.
// Each knows its place among them, so that two send and the others don't.
func TestAllEntriesTogether(t *testing.T) {
	for _, entries := range []int{1, 2, 5, 16, 340} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			for seed := range uint64(4) {
				for _, rate := range rates {
					c := newCrowd(entries, rate, func(i int, _ time.Duration) Senders {
						return Senders{Count: float64(entries), Place: i + 1}
					}, seed)
					requireWithin(t, c, 30*time.Second)
				}
			}
		})
	}
}

// Half of the entries are told of all, the other half of themselves alone, as a cut goes
// between two planners. Each half has holders of its own.
func TestEntriesAreToldDifferently(t *testing.T) {
	for _, entries := range []int{4, 6, 16, 80} {
		for seed := range uint64(8) {
			for _, rate := range rates {
				c := newCrowd(entries, rate, func(i int, _ time.Duration) Senders {
					if i < entries/2 {
						return Senders{Count: float64(entries / 2), Place: i + 1}
					}
					return Senders{Count: float64(entries), Place: i + 1}
				}, seed)
				requireWithin(t, c, 20*time.Second)
			}
		}
	}
}

// Entries restart one after the other, and each time the places of all that follow move. Who
// takes the place of a holder waits before it sends, as that one may just have sent.
func TestEntriesComeAndGo(t *testing.T) {
	const entries = 8
	for seed := range uint64(8) {
		for _, rate := range rates {
			c := newCrowd(entries, rate, func(i int, at time.Duration) Senders {
				away := int(at/time.Second) % entries
				switch {
				case i == away:
					return Senders{Count: entries, Place: i + 1} // what it was told last
				case i > away:
					return Senders{Count: entries - 1, Place: i}
				}
				return Senders{Count: entries - 1, Place: i + 1}
			}, seed)
			requireWithin(t, c, 30*time.Second)
		}
	}
}

// Nobody tells the entries their places any more, and all go over to shares of their own at the
// same moment. All but two have not sent for long; they must not all send at once.
func TestPlacesAreLost(t *testing.T) {
	for _, entries := range []int{2, 5, 16} {
		for seed := range uint64(8) {
			for _, rate := range rates {
				c := newCrowd(entries, rate, func(i int, at time.Duration) Senders {
					if at < 10*time.Second {
						return Senders{Count: float64(entries), Place: i + 1}
					}
					return Senders{Count: 1.25*float64(entries) + 1}
				}, seed)
				requireWithin(t, c, 30*time.Second)
			}
		}
	}
}

// What two holders send is well over half of what the target takes.
func TestRateIsUsed(t *testing.T) {
	for _, rate := range []Rate{0.5, 1.2, 10} {
		const lasts = time.Minute
		c := newCrowd(16, rate, func(i int, _ time.Duration) Senders { return Senders{Count: 16, Place: i + 1} }, 3)
		_, sent := c.play(lasts)
		require.Greater(t, float64(sent), 0.6*float64(rate)*lasts.Seconds())
	}
}

// Each target has other holders, so that no entry has all of the work of those in need.
func TestHoldersAreSpread(t *testing.T) {
	const entries, targets = 16, 400
	held := make([]int, entries)
	for n := range targets {
		for i := range entries {
			if _, ok := (Senders{Count: entries, Place: i + 1}).interval(fmt.Sprint("i-", n), 1); ok {
				held[i]++
			}
		}
	}
	total := 0
	for i, n := range held {
		require.InDelta(t, targets*holders/entries, n, targets*holders/entries*0.6, "entry %d", i)
		total += n
	}
	require.Equal(t, targets*holders, total)
}

// A target ceases to name its rate. An answer to a request that was sent before it was heard
// to name it says nothing of now.
func TestLimitEnds(t *testing.T) {
	var l Limit
	require.True(t, l.Named(start, 1, 0))
	require.False(t, l.Named(start, 1, 0), "no news")
	require.False(t, l.Unnamed(start.Add(-time.Millisecond)))
	require.True(t, l.Active())
	require.True(t, l.Unnamed(start.Add(time.Second)))
	require.False(t, l.Active())
	require.True(t, l.Free(start.Add(time.Second), "t", Senders{Count: 16}))
}

// An old word comes late. It changes nothing.
func TestOldWordOfARate(t *testing.T) {
	var l Limit
	l.Named(start, 1, 0)
	require.False(t, l.Named(start.Add(-time.Second), 9, 0))
	require.Equal(t, Rate(1), l.Rate())
}

// An entry hears that a target is in need no more. Another one's word from before comes late,
// by way of a third: it must not limit the target again.
func TestOldWordAfterTheEnd(t *testing.T) {
	var l Limit
	l.Named(start, 1, 0)
	require.True(t, l.Unnamed(start.Add(time.Second)))
	require.False(t, l.Named(start.Add(900*time.Millisecond), 1, 0))
	require.False(t, l.Active())
	require.True(t, l.Named(start.Add(2*time.Second), 1, 0))
}

// Nobody has callers for a target in need, so nobody hears whether it still is. It is taken
// for sound after a minute; but an entry whose own turn comes later than that waits for it.
func TestLimitLapses(t *testing.T) {
	var l Limit
	l.Named(start, 1, 0)
	holder := Senders{Count: 1, Place: 1}
	require.False(t, l.Lapse(start.Add(59*time.Second), "t", holder))
	require.False(t, l.Lapse(start.Add(2*time.Minute), "t", Senders{Count: 340}))
	require.True(t, l.Lapse(start.Add(2*time.Minute), "t", holder))
	require.False(t, l.Active())
}
