package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// randomGroup is a group whose size, demand, speeds and limits are drawn at random.
type randomGroup struct {
	rt    *rapid.T
	shape expertmap.Shape
	cfg   Config
	share []float64
	speed []float64
}

func drawGroup(rt *rapid.T) *randomGroup {
	ranks := rapid.IntRange(1, 8).Draw(rt, "ranks")
	slots := rapid.IntRange(1, 5).Draw(rt, "slots")
	s := expertmap.Shape{
		Layers:  rapid.IntRange(1, 3).Draw(rt, "layers"),
		Experts: rapid.IntRange(1, ranks*slots).Draw(rt, "experts"),
		Ranks:   ranks,
		Slots:   slots,
	}
	d := &randomGroup{rt: rt, shape: s, share: make([]float64, s.Layers*s.Experts), speed: make([]float64, ranks)}
	d.cfg = Config{
		Shape:           s,
		ExpertBytes:     100,
		StoreRate:       rapid.Int64Range(1, 1000).Draw(rt, "rate"),
		Burst:           time.Duration(rapid.IntRange(1, 600).Draw(rt, "burst")) * time.Second,
		HoldTime:        time.Duration(rapid.IntRange(0, 20).Draw(rt, "hold")) * time.Minute,
		MaxLoadsPerRank: rapid.IntRange(1, 20).Draw(rt, "room"),
		MaxCandidates:   rapid.SampledFrom([]int{1, 500, 1_000_000}).Draw(rt, "work"),
		Confidence:      rapid.SampledFrom([]float64{0.01, 2}).Draw(rt, "confidence"),
		Weights:         Weights{Skew: 1, Moves: rapid.SampledFrom([]float64{0, 1, 1000}).Draw(rt, "moves")},
	}
	return d
}

// redraw draws new demand and speeds. Many experts get no tokens, some nearly all.
func (d *randomGroup) redraw() {
	one := rapid.SampledFrom([]float64{0, 0, 1, 1, 2, 5, 300})
	for l := range d.shape.Layers {
		share := d.share[l*d.shape.Experts : (l+1)*d.shape.Experts]
		sum := 0.0
		for e := range share {
			share[e] = one.Draw(d.rt, "weight")
			sum += share[e]
		}
		for e := range share {
			share[e] /= max(sum, 1)
		}
	}
	for r := range d.speed {
		d.speed[r] = rapid.SampledFrom([]float64{1, 1, 1, 0.6, 0.1, 1.5}).Draw(d.rt, "speed")
	}
}

func (d *randomGroup) estimate(now, since time.Time) demand.Estimate {
	return demand.Estimate{
		Share:     d.share,
		Deviation: make([]float64, len(d.share)),
		Speed:     d.speed,
		ValidFor:  time.Hour,
		Windows:   10,
		At:        now,
		LastShift: since,
	}
}

// For random sizes, demands and limits: every planned map is valid, a plan never raises
// the predicted step time, the loads stay within the load allowance and the limits of
// the ranks, replicas on hold stay, and the same input gives the same plan.
func TestPlansKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawGroup(rt)
		d.redraw()
		planner, err := New(d.cfg)
		require.NoError(rt, err)
		m, err := expertmap.Even(d.shape)
		require.NoError(rt, err)
		now, since, bytes, loaded := startTime, time.Time{}, int64(0), loadTimes{}
		limit := max(d.cfg.StoreRate*int64(d.cfg.Burst/time.Second), d.cfg.ExpertBytes)
		for range rapid.IntRange(1, 6).Draw(rt, "plans") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "seconds")) * time.Second)
			if rapid.Bool().Draw(rt, "changed") {
				d.redraw()
			}
			if rapid.Bool().Draw(rt, "shift") {
				since = now
			}
			e := d.estimate(now, since)
			p, err := planner.Plan(now, m, e)
			require.NoError(rt, err)
			requireInvariants(rt, m, p)
			again, err := planner.Plan(now, m, e)
			require.NoError(rt, err)
			require.Equal(rt, p, again)
			loaded.check(rt, d.cfg.HoldTime, now, since, m, p)
			bytes += p.Bytes
			require.LessOrEqual(rt, bytes, limit+d.cfg.StoreRate*int64(now.Sub(startTime)/time.Second))
			if p.Map != nil {
				require.NoError(rt, planner.Installed(now, m, p.Map))
				m = p.Map
			}
		}
	})
}

// loadTimes holds the time at which each replica was loaded.
type loadTimes map[expertmap.Placement]time.Time

// check requires that each replica that a plan drops was loaded long enough ago, or
// before the last shift, or is in a layer that the plan improves by minHoldBreakGain or
// more.
func (l loadTimes) check(t require.TestingT, hold time.Duration, now, since time.Time, from *expertmap.Map, p Proposal) {
	if p.Map == nil {
		return
	}
	d, err := expertmap.Diff(from, p.Map)
	require.NoError(t, err)
	gained := map[uint16]float64{}
	for _, step := range p.Layers {
		gained[uint16(step.Layer)] = step.Before - step.After
	}
	for _, drop := range d.Drops {
		at, ok := l[drop]
		if ok && now.Sub(at) < hold && !at.Before(since) {
			require.GreaterOrEqual(t, gained[drop.Layer], minHoldBreakGain)
		}
		delete(l, drop)
	}
	for _, load := range d.Loads {
		l[load] = now
	}
}

// The working state that the search updates with each change must equal the state
// computed from its cells, and no change may lengthen the time of the hottest rank.
func TestSearchKeepsItsState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawGroup(rt)
		d.redraw()
		m, err := expertmap.Even(d.shape)
		require.NoError(rt, err)
		share := d.share[:d.shape.Experts]
		onHold := make([]bool, d.shape.Ranks*d.shape.Slots)
		l := newLayer(d.shape, d.speed)
		l.reset(m.Layer(0), share, share, onHold)
		_, before := l.hottest()
		finder := search{layer: l, candidatesLeft: 100_000}
		for _, c := range finder.run(nil, 50, 1) {
			require.LessOrEqual(rt, c.time, before)
			before = c.time
		}
		recomputed := newLayer(d.shape, d.speed)
		recomputed.reset(l.cells, share, share, onHold)
		require.Equal(rt, recomputed.replicas, l.replicas)
		require.Equal(rt, recomputed.present, l.present)
		require.InDeltaSlice(rt, recomputed.rankTime, l.rankTime, 1e-9)
	})
}

// A search that returns to an earlier state spends loads on changes that undo one another.
func TestSearchDoesNotGoInCircles(t *testing.T) {
	cases := []struct {
		name          string
		slots         int
		weight, speed []float64
	}{
		{"equal ranks", 1, []float64{5, 2, 0, 0, 300, 1, 0}, []float64{1, 1, 1, 1, 1, 1, 1}},
		{"a slow rank", 1, []float64{0, 2, 0, 1, 0, 0, 300, 0}, []float64{1, 1, 1, 1, 1, 0.1, 1, 1}},
		{
			"two slots", 2,
			[]float64{0, 2, 0, 1, 0, 0, 0, 5, 1, 0, 300, 1, 5, 0, 0, 1},
			[]float64{1, 1, 1, 1, 1, 0.1, 1, 0.1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := expertmap.Shape{Layers: 1, Experts: len(c.weight), Ranks: len(c.speed), Slots: c.slots}
			requireNoCircle(t, s, sharesOf(c.weight), c.speed)
		})
	}
	t.Run("random", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			d := drawGroup(rt)
			d.redraw()
			requireNoCircle(rt, d.shape, d.share[:d.shape.Experts], d.speed)
		})
	})
}

// requireNoCircle requires that no two states of a search in the first layer are equal.
func requireNoCircle(t require.TestingT, s expertmap.Shape, share, speed []float64) {
	m, err := expertmap.Even(s)
	require.NoError(t, err)
	l := newLayer(s, speed)
	l.reset(m.Layer(0), share, share, make([]bool, s.Ranks*s.Slots))
	finder := search{layer: l, candidatesLeft: 100_000}
	changes := finder.run(nil, 50, 1)
	l.reset(m.Layer(0), share, share, nil)
	states := [][]uint16{slices.Clone(l.cells)}
	for _, c := range changes {
		finder.apply(c)
		require.NotContains(t, states, l.cells)
		states = append(states, slices.Clone(l.cells))
	}
}

// A relocation that is judged part by part, though its parts add work to the same rank,
// can lengthen the hottest rank's time.
func TestRelocationDoesNotLengthenTheHottestRank(t *testing.T) {
	cases := []struct {
		name          string
		slots         int
		weight, speed []float64
	}{
		{
			"six ranks", 4,
			[]float64{3, 8, 4, 40, 1, 8, 12, 7, 3, 2, 2, 1, 12, 15, 40, 2},
			[]float64{0.1, 1, 0.6, 0.1, 0.1, 1},
		},
		{
			"seven ranks", 4,
			[]float64{4, 10, 6, 30, 6, 10, 10, 10, 30, 20, 2, 6},
			[]float64{1, 1, 0.6, 1, 1, 1, 1},
		},
		{
			"eight ranks", 5,
			[]float64{4, 2, 40, 1, 1, 1, 8, 20, 3, 12, 3, 8, 4, 12, 12},
			[]float64{1, 1, 1.5, 1, 1, 0.6, 1, 1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := expertmap.Shape{Layers: 1, Experts: len(c.weight), Ranks: len(c.speed), Slots: c.slots}
			requireEachChangeGains(t, s, sharesOf(c.weight), c.speed)
		})
	}
	t.Run("random", func(t *testing.T) {
		weight := rapid.SampledFrom([]float64{1, 2, 3, 4, 6, 8, 10, 12, 15, 20, 40})
		rapid.Check(t, func(rt *rapid.T) {
			d := drawGroup(rt)
			d.redraw()
			weights := rapid.SliceOfN(weight, d.shape.Experts, d.shape.Experts).Draw(rt, "weights")
			requireEachChangeGains(rt, d.shape, sharesOf(weights), d.speed)
		})
	})
}

// requireEachChangeGains requires that each change of a search in the first layer lowers
// the sum of potentials and doesn't lengthen the hottest rank's time.
func requireEachChangeGains(t require.TestingT, s expertmap.Shape, share, speed []float64) {
	m, err := expertmap.Even(s)
	require.NoError(t, err)
	l := newLayer(s, speed)
	l.reset(m.Layer(0), share, share, make([]bool, s.Ranks*s.Slots))
	finder := search{layer: l, candidatesLeft: 100_000}
	changes := finder.run(nil, 50, 1)
	l.reset(m.Layer(0), share, share, nil)
	_, longest := l.hottest()
	sum := sumOfPotentials(l)
	for _, c := range changes {
		finder.apply(c)
		_, time := l.hottest()
		require.LessOrEqual(t, time, longest)
		require.Less(t, sumOfPotentials(l), sum)
		longest, sum = time, sumOfPotentials(l)
	}
}

func sumOfPotentials(l *layer) float64 {
	sum := 0.0
	for _, t := range l.rankTime {
		sum += potential(t)
	}
	return sum
}

// sharesOf returns weights divided by their sum.
func sharesOf(weight []float64) []float64 {
	sum := 0.0
	for _, w := range weight {
		sum += w
	}
	share := make([]float64, len(weight))
	for e, w := range weight {
		share[e] = w / sum
	}
	return share
}

// No map has a time below the bound on time, and none is reached with fewer loads than
// the bound on loads.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawGroup(rt)
		d.redraw()
		share := d.share[:d.shape.Experts]
		from, err := expertmap.Even(d.shape)
		require.NoError(rt, err)
		to, err := Resolve(d.shape, d.share, d.speed)
		require.NoError(rt, err)
		require.Empty(rt, to.Problems())
		to = Relabel(from, to, d.speed)
		require.Empty(rt, to.Problems())
		l := newLayer(d.shape, d.speed)
		l.reset(to.Layer(0), share, nil, nil)
		_, time := l.hottest()
		if time > 0 {
			require.GreaterOrEqual(rt, time, Bound(d.shape, share, d.speed)-1e-3)
		}
		diff, err := expertmap.Diff(from, to)
		require.NoError(rt, err)
		made := 0
		for _, load := range diff.Loads {
			if load.Layer == 0 {
				made++
			}
		}
		require.LessOrEqual(rt, FewestLoads(d.shape, from.Layer(0), share, d.speed, max(time, 1e-6)), made)
	})
}

// The check at the end of each plan is the last safeguard before a group loads a map, so
// each of its parts must find its fault. A valid session is corrupted in one way at a
// time.
func TestVerifyFindsEachViolation(t *testing.T) {
	corruptions := map[ViolationKind]func(*session){
		InvalidMap:   func(s *session) { s.result.Map.Set(0, 0, 0, s.result.Map.At(0, 0, 1)) },
		LoadMismatch: func(s *session) { s.result.Loads = 0 },
		OverPace:     func(s *session) { s.result.Allowance = 1 },
		OverRank:     func(s *session) { s.cfg.MaxLoadsPerRank = 0 },
		RaisedCost:   func(s *session) { s.result.After.Time = s.result.Before.Time + 0.1 },
		UnpaidLoads:  func(s *session) { s.result.Won = 0 },
		BrokenHold: func(s *session) {
			for i := range s.onHold {
				s.onHold[i] = true
			}
		},
	}
	for kind, corrupt := range corruptions {
		t.Run(string(kind), func(t *testing.T) {
			s := validSession(t)
			s.verify()
			require.Equal(t, Move, s.result.Reason)
			s = validSession(t)
			corrupt(s)
			s.verify()
			require.Equal(t, Faulty, s.result.Reason)
			require.Nil(t, s.result.Map)
			kinds := make([]ViolationKind, 0, len(s.result.Violations))
			for _, v := range s.result.Violations {
				kinds = append(kinds, v.Kind)
			}
			require.Contains(t, kinds, kind)
		})
	}
}

// validSession returns a session that is about to be verified.
func validSession(t *testing.T) *session {
	g := newGroup(t, Config{})
	first := g.m
	g.repeat(30, counts(shape, ramp), nil)
	planner, err := New(Config{Shape: shape})
	require.NoError(t, err)
	s := newSession(planner, g.now, first, g.tracker.Estimate())
	s.searchLayers()
	s.choose()
	require.Equal(t, Move, s.result.Reason)
	s.build()
	return s
}
