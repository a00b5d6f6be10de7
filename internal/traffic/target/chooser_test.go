package target

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var blocks = Blocks{Bytes: 128, Count: 8}

func at(d time.Duration) time.Time { return epoch.Add(d) }

// candidates returns n candidates named prefix0, prefix1 and so on.
func candidates(dc host.DataCentre, prefix string, n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Name: Name(fmt.Sprint(prefix, i)), DataCentre: dc, Weight: 1, Incarnation: 1}
	}
	return out
}

func newChooser(cfg Config, cands ...Candidate) *Chooser {
	if cfg.DataCentre == "" {
		cfg.DataCentre = "mtl-a"
	}
	c := New(epoch, cfg, rand.New(rand.NewPCG(1, 2)))
	c.Update(cands)
	return c
}

// share picks n times, finishes each choice at once, and returns how often each target
// was chosen.
func share(t require.TestingT, c *Chooser, now time.Time, n int, q Query) map[Name]int {
	counts := make(map[Name]int)
	for range n {
		ch, ok := c.Pick(now, q)
		require.True(t, ok)
		counts[ch.Name]++
		c.Finish(now, ch, End{Kind: Answered})
	}
	require.Empty(t, c.Violations())
	return counts
}

func report(c *Chooser, now time.Time, name Name, outstanding int64, capacity float64) bool {
	return c.Report(now, Report{Name: name, Incarnation: 1, Outstanding: outstanding, Capacity: capacity, Limit: 10})
}

func TestEligible(t *testing.T) {
	three := candidates("mtl-a", "t", 3)
	t.Run("leaving, refused and tried targets are never chosen", func(t *testing.T) {
		c := newChooser(Config{}, three...)
		c.Leave("t0", 1)
		ch, ok := c.Pick(at(0), Query{Tokens: 1, Tried: []Name{"t2"}})
		require.True(t, ok)
		require.Equal(t, Name("t1"), ch.Name)
		c.Finish(at(0), ch, End{Kind: Refused, RetryAfter: time.Second})
		assert.Equal(t, map[Name]int{"t2": 50}, share(t, c, at(0), 50, Query{Tokens: 1}))
		c.Suspend("t2")
		none, ok := c.Pick(at(200*time.Millisecond), Query{Tokens: 1})
		require.False(t, ok)
		assert.Equal(t, 800*time.Millisecond, none.RetryAfter)
		assert.Equal(t, map[Name]int{"t1": 5}, share(t, c, at(time.Second), 5, Query{Tokens: 1}))
	})
	t.Run("neither a new list nor a report of load brings a leaving target back", func(t *testing.T) {
		c := newChooser(Config{}, three[0])
		c.Leave("t0", 1)
		c.Update(three[:1])
		c.Report(at(0), Report{Name: "t0", Incarnation: 2, Capacity: 1})
		_, ok := c.Pick(at(0), Query{Tokens: 1})
		require.False(t, ok)
		c.Resume("t0", 1)
		_, ok = c.Pick(at(0), Query{Tokens: 1})
		require.False(t, ok, "call for an earlier incarnation")
		c.Resume("t0", 2)
		_, ok = c.Pick(at(0), Query{Tokens: 1})
		require.True(t, ok)
	})
	t.Run("no candidates", func(t *testing.T) {
		_, ok := newChooser(Config{}).Pick(at(0), Query{})
		assert.False(t, ok)
	})
}

func TestFailures(t *testing.T) {
	t.Run("a target that fails fast is ejected", func(t *testing.T) {
		// A target responds to each request with an error at once. It has no work, so it
		// looks best. It is ejected after three consecutive failures; after the ejection
		// it gets one request at a time.
		c := newChooser(Config{}, candidates("mtl-a", "t", 4)...)
		failures := 0
		for i := range 1000 {
			now := at(time.Duration(i) * time.Millisecond)
			ch, ok := c.Pick(now, Query{Tokens: 1})
			require.True(t, ok)
			if ch.Name == "t0" {
				failures++
				c.Finish(now, ch, End{Kind: Failed})
			}
		}
		assert.LessOrEqual(t, failures, 5)
	})
	t.Run("an ejected target is tried again by one request", func(t *testing.T) {
		c := newChooser(Config{}, candidates("mtl-a", "t", 4)...)
		for c.states["t0"].failures < 3 {
			ch, _ := c.Pick(at(0), Query{Tokens: 1, Tried: []Name{"t1", "t2", "t3"}})
			c.Finish(at(0), ch, End{Kind: Failed})
		}
		tries := 0
		for range 100 {
			ch, _ := c.Pick(at(time.Minute), Query{Tokens: 1})
			if ch.Name == "t0" {
				tries++
			}
		}
		assert.Equal(t, 1, tries)
	})
	t.Run("not all targets are ejected", func(t *testing.T) {
		// The entry's own network fails, so all requests fail at all targets. If all
		// targets were ejected, the entry would refuse all requests for a long time after
		// the network has recovered.
		c := newChooser(Config{}, candidates("mtl-a", "t", 4)...)
		for range 100 {
			ch, ok := c.Pick(at(0), Query{Tokens: 1})
			require.True(t, ok)
			c.Finish(at(0), ch, End{Kind: Failed})
		}
		assert.Len(t, share(t, c, at(0), 100, Query{Tokens: 1}), 2)
	})
}

func TestWeights(t *testing.T) {
	cands := candidates("mtl-a", "t", 11)
	cands[0].Weight = 0.1
	t.Run("by load", func(t *testing.T) {
		c := newChooser(Config{}, cands...)
		counts := make(map[Name]int)
		for i := range 10100 {
			ch, _ := c.Pick(at(0), Query{Tokens: 1})
			counts[ch.Name]++
			if i%2 == 0 {
				c.Finish(at(0), ch, End{Kind: Answered})
			}
		}
		assert.InDelta(t, 100, counts["t0"], 40)
	})
	t.Run("by prefix", func(t *testing.T) {
		c := newChooser(Config{}, cands...)
		n := 0
		for i := range 10100 {
			n += share(t, c, at(0), 1, Query{Tokens: 1, Prefix: Prefix{Coarse: mix(uint64(i), 1), Fine: mix(uint64(i), 2)}})["t0"]
		}
		assert.InDelta(t, 100, n, 40)
	})
}

func TestDataCentres(t *testing.T) {
	all := append(candidates("mtl-a", "a", 2), candidates("mtl-b", "b", 2)...)
	t.Run("own first", func(t *testing.T) {
		counts := share(t, newChooser(Config{}, all...), at(0), 100, Query{Tokens: 1})
		assert.Equal(t, 100, counts["a0"]+counts["a1"])
	})
	t.Run("others for the rest of the requests", func(t *testing.T) {
		counts := share(t, newChooser(Config{LocalShare: 0.75}, all...), at(0), 1000, Query{Tokens: 1})
		assert.InDelta(t, 250, counts["b0"]+counts["b1"], 40)
	})
	t.Run("others when its own are loaded", func(t *testing.T) {
		c := newChooser(Config{}, all...)
		for _, cand := range all {
			report(c, at(0), cand.Name, 0, 100)
		}
		report(c, at(0), "a0", 200, 100)
		report(c, at(0), "a1", 200, 100)
		counts := share(t, c, at(0), 100, Query{Tokens: 1})
		assert.Equal(t, 100, counts["b0"]+counts["b1"])
	})
	t.Run("others when its own are gone", func(t *testing.T) {
		c := newChooser(Config{}, all...)
		c.Leave("a0", 1)
		c.Suspend("a1")
		counts := share(t, c, at(0), 100, Query{Tokens: 1})
		assert.Equal(t, 100, counts["b0"]+counts["b1"])
	})
}

func TestAffinity(t *testing.T) {
	prompt := make([]byte, 4*blocks.Bytes)
	q := Query{Prefix: blocks.Prefix("w1", prompt), Tokens: 10}
	t.Run("all entries send a prompt to the same target", func(t *testing.T) {
		one := share(t, newChooser(Config{}, candidates("mtl-a", "t", 16)...), at(0), 20, q)
		other := New(epoch, Config{DataCentre: "mtl-a"}, rand.New(rand.NewPCG(7, 7)))
		other.Update(candidates("mtl-a", "t", 16))
		require.Len(t, one, 1)
		assert.Equal(t, one, share(t, other, at(0), 20, q))
	})
	t.Run("a workspace's prompts go to a few targets", func(t *testing.T) {
		c := newChooser(Config{}, candidates("mtl-a", "t", 16)...)
		reached := make(map[Name]bool)
		for n := range 50 {
			prompt[3*blocks.Bytes] = byte(n)
			for name := range share(t, c, at(0), 1, Query{Prefix: blocks.Prefix("w1", prompt), Tokens: 1}) {
				reached[name] = true
			}
		}
		assert.Len(t, reached, ownerCount)
	})
	t.Run("load bounds affinity", func(t *testing.T) {
		c := newChooser(Config{}, candidates("mtl-a", "t", 16)...)
		counts := make(map[Name]int)
		for range 160 {
			ch, ok := c.Pick(at(0), q)
			require.True(t, ok)
			counts[ch.Name]++
		}
		for name, n := range counts {
			assert.LessOrEqual(t, n, 20, "%s", name)
		}
	})
	t.Run("a change of candidates moves few prompts", func(t *testing.T) {
		before := newChooser(Config{}, candidates("mtl-a", "t", 16)...)
		after := newChooser(Config{}, candidates("mtl-a", "t", 15)...)
		moved := 0
		for n := range 1000 {
			prompt[0], prompt[1] = byte(n), byte(n>>8)
			q := Query{Prefix: blocks.Prefix("w", prompt), Tokens: 1}
			a, b := share(t, before, at(0), 1, q), share(t, after, at(0), 1, q)
			if fmt.Sprint(a) != fmt.Sprint(b) {
				moved++
			}
		}
		// The removed target was among the owners of 4 in 16 prompts. It was the first
		// owner of a quarter of these, and its successor is the first of as many.
		assert.InDelta(t, 1000*4.0/16*2/5, moved, 30)
	})
}

func TestReports(t *testing.T) {
	two := candidates("mtl-a", "t", 2)
	t.Run("the less loaded target is chosen, own work included", func(t *testing.T) {
		c := newChooser(Config{}, two...)
		report(c, at(0), "t0", 100, 1000)
		report(c, at(0), "t1", 0, 1000)
		counts := make(map[Name]int)
		for range 30 {
			ch, _ := c.Pick(at(0), Query{Tokens: 10})
			counts[ch.Name]++
		}
		assert.InDelta(t, 10, counts["t0"], 4)
	})
	t.Run("work sent since a delayed report was measured is added", func(t *testing.T) {
		c := newChooser(Config{}, two[0])
		for i := range 10 {
			c.Pick(at(time.Duration(i)*200*time.Millisecond), Query{Tokens: 10})
		}
		s := c.states["t0"]
		c.Report(at(2*time.Second), Report{Name: "t0", Incarnation: 1, Outstanding: 50, Capacity: 100, Age: time.Second})
		assert.EqualValues(t, 50, s.sentSinceReport)
	})
	t.Run("other entries send as much", func(t *testing.T) {
		// Three entries have the same delayed report of an idle target. Each sends it a
		// third of the work that would fill it, and not all of that.
		c := newChooser(Config{Entries: 3}, two...)
		report(c, at(0), "t0", 300, 1000)
		report(c, at(0), "t1", 0, 1000)
		counts := make(map[Name]int)
		for range 30 {
			ch, _ := c.Pick(at(0), Query{Tokens: 10})
			counts[ch.Name]++
		}
		assert.InDelta(t, 10, counts["t0"], 2)
	})
	t.Run("work that has ended is no longer counted", func(t *testing.T) {
		c := newChooser(Config{}, two[0])
		c.Pick(at(0), Query{Tokens: 10})
		c.Report(at(time.Second), Report{Name: "t0", Incarnation: 1, Outstanding: 10, Capacity: 100})
		later, _ := c.Pick(at(1100*time.Millisecond), Query{Tokens: 10})
		c.Finish(at(1200*time.Millisecond), later, End{Kind: Answered})
		assert.Zero(t, c.states["t0"].sentSinceReport)
	})
	t.Run("frozen", func(t *testing.T) {
		// Reports stop after one target was reported idle. If reports didn't lose weight,
		// all entries would send all requests to it until the next report.
		c := newChooser(Config{}, candidates("mtl-a", "t", 4)...)
		for i := range 4 {
			report(c, at(0), Name(fmt.Sprint("t", i)), int64(i*1000), 1000)
		}
		counts := share(t, c, at(10*time.Second), 1000, Query{Tokens: 1})
		for name, n := range counts {
			assert.InDelta(t, 250, n, 60, "%s", name)
		}
	})
	t.Run("absurd", func(t *testing.T) {
		c := newChooser(Config{}, two...)
		for _, capacity := range []float64{math.NaN(), math.Inf(1), 0, -5, 1e300} {
			assert.False(t, report(c, at(0), "t0", 1, capacity), "%f", capacity)
		}
		assert.False(t, report(c, at(0), "t0", -1, 100))
		assert.False(t, report(c, at(0), "t0", math.MaxInt64, 100))
		assert.False(t, report(c, at(0), "nobody", 1, 100))
		report(c, at(0), "t0", 0, maxCapacity)
		report(c, at(0), "t1", 0, 1000)
		counts := make(map[Name]int)
		for range 900 {
			ch, _ := c.Pick(at(0), Query{Tokens: 10})
			counts[ch.Name]++
		}
		assert.Greater(t, counts["t1"], 10, "an extreme capacity is clamped")
	})
	t.Run("of an earlier incarnation", func(t *testing.T) {
		c := newChooser(Config{}, two...)
		require.True(t, c.Report(at(0), Report{Name: "t0", Incarnation: 2, Outstanding: 5, Capacity: 10}))
		assert.False(t, c.Report(at(0), Report{Name: "t0", Incarnation: 1, Outstanding: 9, Capacity: 10}))
	})
}

func TestDeclined(t *testing.T) {
	// Under overload the sidecar has no room for a further request of a workspace
	// whose prompts all go to its target. Other targets get the workspace's requests
	// for the retry delay that the sidecar gave; the target still serves the other
	// workspaces.
	c := newChooser(Config{}, candidates("mtl-a", "t", 16)...)
	q := Query{Prefix: Prefix{Coarse: 1, Fine: 1}, Tokens: 1}
	first, ok := c.Pick(at(0), q)
	require.True(t, ok)
	c.Finish(at(0), first, End{Kind: Declined, RetryAfter: time.Second})
	assert.Zero(t, share(t, c, at(time.Millisecond), 50, q)[first.Name])
	assert.NotZero(t, share(t, c, at(time.Millisecond), 200, Query{Tokens: 1})[first.Name])
	assert.Len(t, share(t, c, at(time.Second), 50, q), 1, "back at its own target")
}

func TestRanks(t *testing.T) {
	ranks := append(candidates("mtl-a", "a", 6), candidates("mtl-b", "b", 2)...)
	for i := range ranks {
		ranks[i].Group = "drafting"
	}
	for name, q := range map[string]Query{
		"without prefix": {Tokens: 10},
		"one prefix":     {Tokens: 10, Prefix: Prefix{Coarse: 5, Fine: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChooser(Config{}, ranks...)
			c.Report(at(0), Report{Name: "a0", Incarnation: 1, Capacity: 1000}) // reported idle, which must not matter
			counts := make(map[Name]int)
			for range 80 {
				ch, ok := c.Pick(at(0), q)
				require.True(t, ok)
				counts[ch.Name]++
			}
			require.Len(t, counts, 8)
			for name, n := range counts {
				assert.InDelta(t, 10, n, 2, "%s", name)
			}
		})
	}
}

func TestGroupsOfDataCentres(t *testing.T) {
	ranks := append(candidates("mtl-a", "a", 2), candidates("mtl-b", "b", 2)...)
	for i := range ranks {
		ranks[i].Group = GroupName(ranks[i].DataCentre)
	}
	counts := share(t, newChooser(Config{}, ranks...), at(0), 100, Query{Tokens: 1})
	assert.Equal(t, 100, counts["a0"]+counts["a1"], "the group of its own data centre first")
}
