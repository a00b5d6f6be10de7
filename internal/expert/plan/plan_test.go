package plan

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/standin/topic"
)

var shape = expertmap.Shape{Layers: 3, Experts: 32, Ranks: 8, Slots: 5}

var startTime = time.Unix(1e9, 0)

// group is a small simulated group: its tracker and planner, and the active map, which
// each proposed map replaces at once.
type group struct {
	t       *testing.T
	cfg     Config
	tracker *demand.Tracker
	planner *Planner
	m       *expertmap.Map
	now     time.Time
	window  uint64
	loads   int // total of all installed maps
}

func newGroup(t *testing.T, cfg Config) *group {
	if cfg.Shape == (expertmap.Shape{}) {
		cfg.Shape = shape
	}
	s := cfg.Shape
	tracker, err := demand.New(demand.Size{Layers: s.Layers, Experts: s.Experts, Ranks: s.Ranks}, demand.Config{})
	require.NoError(t, err)
	planner, err := New(cfg)
	require.NoError(t, err)
	m, err := expertmap.Even(s)
	require.NoError(t, err)
	return &group{t: t, cfg: cfg, tracker: tracker, planner: planner, m: m, now: startTime}
}

// step reports one window of counts, plans, and installs the proposed map.
func (g *group) step(counts []uint32, speed []float64) Proposal {
	g.window++
	g.now = g.now.Add(time.Minute)
	for r := range g.cfg.Shape.Ranks {
		report := demand.Report{Rank: uint16(r), Window: g.window, Work: 1000, Busy: time.Second}
		if r == 0 {
			report.Counts = counts
		}
		if speed != nil {
			report.Work = uint64(1000 * speed[r])
		}
		_, err := g.tracker.Handle(report)
		require.NoError(g.t, err)
	}
	g.tracker.Close(g.now)
	return g.plan()
}

// plan plans once, and installs the proposed map.
func (g *group) plan() Proposal {
	require.NoError(g.t, g.planner.Observe(g.now, g.m, g.tracker.Estimate()))
	p, err := g.planner.Plan(g.now, g.m, g.tracker.Estimate())
	require.NoError(g.t, err)
	requireInvariants(g.t, g.m, p)
	if p.Map != nil {
		require.NoError(g.t, g.planner.Installed(g.now, g.m, p.Map))
		g.m = p.Map
		g.loads += p.Loads
	}
	return p
}

func (g *group) repeat(n int, counts []uint32, speed []float64) Proposal {
	var p Proposal
	for range n {
		p = g.step(counts, speed)
	}
	return p
}

// requireInvariants checks a proposal independently of the planner's own check, as far
// as the proposal and the map before it allow.
func requireInvariants(t require.TestingT, from *expertmap.Map, p Proposal) {
	require.Empty(t, p.Violations)
	require.Equal(t, p.Reason == Move, p.Map != nil)
	require.LessOrEqual(t, p.After.Time, p.Before.Time)
	if p.Map == nil {
		return
	}
	require.Empty(t, p.Map.Problems())
	d, err := expertmap.Diff(from, p.Map)
	require.NoError(t, err)
	require.Equal(t, len(d.Loads), p.Loads)
	require.LessOrEqual(t, p.Bytes, p.Allowance)
}

// counts returns the counts of a window, which are the same for each layer.
func counts(s expertmap.Shape, at func(e int) uint32) []uint32 {
	list := make([]uint32, 0, s.Layers*s.Experts)
	for range s.Layers {
		for e := range s.Experts {
			list = append(list, at(e))
		}
	}
	return list
}

func even(int) uint32 { return 1000 }

func ramp(e int) uint32 { return 200 + 100*uint32(e) }

func falling(e int) uint32 { return ramp(shape.Experts - 1 - e) }

func TestBalancedMapStays(t *testing.T) {
	g := newGroup(t, Config{})
	p := g.repeat(5, counts(shape, even), nil)
	require.Equal(t, Balanced, p.Reason)
	require.Zero(t, g.loads)
}

func TestUnevenDemandIsBalanced(t *testing.T) {
	g := newGroup(t, Config{})
	p := g.repeat(20, counts(shape, ramp), nil)
	require.Less(t, p.After.Time, 1.03)
	require.Less(t, g.loads, shape.Layers*shape.Ranks*shape.Slots/2)
}

// One expert receives more than half of a layer's tokens. It needs replicas on most
// ranks, which are added one after another, each in place of an expert that has another
// replica.
func TestDominantExpert(t *testing.T) {
	g := newGroup(t, Config{})
	p := g.repeat(20, counts(shape, func(e int) uint32 {
		if e == 7 {
			return 40_000
		}
		return 1000
	}), nil)
	share := g.tracker.Estimate().Share[:shape.Experts]
	speed := slices.Repeat([]float64{1}, shape.Ranks)
	require.Less(t, p.After.Time, 1.05*Bound(shape, share, speed))
}

// One rank throttles to 60% of its speed and later recovers. While it is slow it must
// get less work, as otherwise the whole group runs at its speed. Afterwards it must get
// its full part again.
func TestSlowRankGetsLess(t *testing.T) {
	g := newGroup(t, Config{})
	load := func(rank int) float64 {
		f, err := Predict(g.m, g.tracker.Estimate().Share, slices.Repeat([]float64{1}, shape.Ranks))
		require.NoError(t, err)
		return f.Ranks[rank]
	}
	speed := slices.Repeat([]float64{1}, shape.Ranks)
	speed[3] = 0.6
	p := g.repeat(40, counts(shape, ramp), speed)
	require.Less(t, load(3), 0.75)
	require.Less(t, p.After.Time, 1.06)
	speed[3] = 1
	p = g.repeat(40, counts(shape, ramp), speed)
	require.Greater(t, load(3), 0.9)
	require.Less(t, p.After.Time, 1.05)
}

// All customers stop sending requests, and windows report no tokens. The last estimate
// becomes too old to plan with, so the map must stay, whatever its skew was.
func TestDemandVanishes(t *testing.T) {
	g := newGroup(t, Config{})
	g.repeat(3, counts(shape, ramp), nil)
	g.repeat(10, counts(shape, func(int) uint32 { return 0 }), nil)
	before := g.loads
	p := g.repeat(10, counts(shape, func(int) uint32 { return 0 }), nil)
	require.Equal(t, Stale, p.Reason)
	require.Equal(t, before, g.loads)
}

// Two demands alternate with every window, as when the batches of two customers
// alternate. A plan for each would load the same replicas again and again. A loaded
// replica must stay until its hold ends, so there is at most one load per cell in each
// hold time.
func TestNoOscillation(t *testing.T) {
	g := newGroup(t, Config{Confidence: 0.01, Hysteresis: 0.01})
	a, b := counts(shape, ramp), counts(shape, falling)
	const minutes = 60
	for range minutes / 2 {
		g.step(a, nil)
		g.step(b, nil)
	}
	require.LessOrEqual(t, g.loads, minutes/10*shape.Cells())
	first := g.loads
	for range minutes / 2 {
		g.step(a, nil)
		g.step(b, nil)
	}
	require.Less(t, g.loads-first, shape.Cells()/2)
}

// Counts vary by a tenth from window to window around a constant demand. Once the map
// fits, the remaining skew is noise, and planning for it would cost loads without a
// gain.
func TestNoiseIsNotChased(t *testing.T) {
	loadsAfterSettling := func(confidence float64) int {
		rng := rand.New(rand.NewPCG(3, 3))
		g := newGroup(t, Config{Confidence: confidence})
		settled := 0
		for minute := range 240 {
			if minute == 60 {
				settled = g.loads
			}
			g.step(counts(shape, func(e int) uint32 {
				return uint32(float64(ramp(e)) * (1 + 0.1*rng.NormFloat64()))
			}), nil)
		}
		return g.loads - settled
	}
	const perHour = 6
	require.LessOrEqual(t, loadsAfterSettling(1), 3*perHour)
	require.Greater(t, loadsAfterSettling(0.01), 10*3*perHour)
}

// At night the same customers request a hundredth of the tokens, so the shares of a
// window are off by a quarter by chance alone. Moving experts because of them would
// leave the group badly balanced in the morning, and cost loads meanwhile.
func TestQuietNight(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	g := newGroup(t, Config{})
	runWindows := func(windows int, scale float64) {
		for range windows {
			g.step(counts(shape, func(e int) uint32 {
				mean := scale * float64(ramp(e))
				return uint32(max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
			}), nil)
		}
	}
	runWindows(60, 1)
	evening := g.loads
	runWindows(120, 0.01)
	require.LessOrEqual(t, g.loads-evening, 2)
}

// A loaded replica stays in its cell for the hold time, unless the demand shifts, as the
// demand that it was loaded for is gone then.
func TestHold(t *testing.T) {
	g := newGroup(t, Config{HoldTime: time.Hour})
	to := g.m.Clone()
	to.Set(1, 2, 4, 30)
	loadedAt := startTime.Add(time.Minute)
	require.NoError(t, g.planner.Installed(loadedAt, g.m, to))
	replicasOnHold := func(after time.Duration, since time.Time) int {
		n := 0
		for _, h := range g.planner.onHold(loadedAt.Add(after), demand.Estimate{LastShift: since}) {
			if h {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1, replicasOnHold(59*time.Minute, time.Time{}))
	require.Equal(t, 1, replicasOnHold(59*time.Minute, startTime))
	require.Zero(t, replicasOnHold(time.Hour, time.Time{}))
	require.Zero(t, replicasOnHold(time.Minute, loadedAt.Add(time.Second)))
}

func TestReasons(t *testing.T) {
	cases := []struct {
		name    string
		cfg     Config
		windows int
		wait    time.Duration
		lasts   time.Duration
		want    Reason
	}{
		{"learning", Config{}, 1, 0, time.Hour, Learning},
		{"stale", Config{}, 5, time.Hour, time.Hour, Stale},
		{"worth it", Config{}, 5, 0, time.Hour, Move},
		{"demand changes too soon", Config{}, 5, 0, time.Nanosecond, NotWorth},
		{"moves weigh too much", Config{Weights: Weights{Skew: 1, Moves: 1e6}}, 5, 0, time.Hour, NotWorth},
		{"a map switch costs too much", Config{SwitchCost: 100 * time.Hour}, 5, 0, time.Hour, NotWorth},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, c.cfg)
			first := g.m
			g.repeat(c.windows, counts(shape, ramp), nil)
			p := g.planWithNewPlanner(c.cfg, first, c.wait, c.lasts)
			require.Equal(t, c.want, p.Reason, p)
			require.NotEmpty(t, p.String())
		})
	}
}

// planWithNewPlanner plans for a map with a new planner, some time after the last window.
func (g *group) planWithNewPlanner(cfg Config, m *expertmap.Map, wait, lasts time.Duration) Proposal {
	cfg.Shape = shape
	planner, err := New(cfg)
	require.NoError(g.t, err)
	e := g.tracker.Estimate()
	e.ValidFor = lasts
	p, err := planner.Plan(g.now.Add(wait), m, e)
	require.NoError(g.t, err)
	requireInvariants(g.t, m, p)
	return p
}

// A repacked layer has to be repacked again when drift has used up its gain. How fast
// that happens is estimated from the active maps, and a sharp shift doesn't count as
// drift.
func TestTrend(t *testing.T) {
	g := newGroup(t, Config{})
	tr := &g.planner.trend
	e := demand.Estimate{Share: []float64{1}, Speed: []float64{1}}
	now := startTime
	for range 600 {
		now = now.Add(time.Minute)
		tr.observe(now, 1+now.Sub(startTime).Seconds()/1000, e)
	}
	require.InDelta(t, 0.001, tr.rise, 1e-5)
	e.LastShift = now
	tr.observe(now.Add(time.Minute), 9, e)
	require.InDelta(t, 0.001, tr.rise, 1e-5)
	s := &session{cfg: g.planner.cfg, trend: tr, estimate: demand.Estimate{ValidFor: time.Hour}}
	ratio := s.timeGained(segment{gain: 0.2}, 0) / s.timeGained(segment{gain: 0.2, repacked: true}, 0)
	require.InDelta(t, 36, ratio, 1) // the demand lasts an hour, the repacked layer half of 200 s
}

// The weight store serves two loads a minute. After a shift the planner must keep to
// that rate, and give Paced as the reason when the load allowance is used up.
func TestPacing(t *testing.T) {
	g := newGroup(t, Config{ExpertBytes: 600, StoreRate: 20, Burst: time.Minute})
	g.step(counts(shape, ramp), nil)
	paced := 0
	for i := range 5 {
		p := g.step(counts(shape, ramp), nil)
		require.LessOrEqual(t, g.loads, 2*(i+1))
		if p.Loads == 2 {
			require.Equal(t, Paced, g.plan().Reason)
			paced++
		}
	}
	require.NotZero(t, paced)
}

func TestLoadsPerRankAreLimited(t *testing.T) {
	g := newGroup(t, Config{MaxLoadsPerRank: 1})
	g.step(counts(shape, ramp), nil)
	for range 5 {
		from := g.m
		p := g.step(counts(shape, ramp), nil)
		if p.Map == nil {
			continue
		}
		d, err := expertmap.Diff(from, p.Map)
		require.NoError(t, err)
		require.LessOrEqual(t, slices.Max(d.LoadsPerRank(shape.Ranks)), 1)
	}
	require.NotZero(t, g.loads)
}

func TestWeightsTakeEffect(t *testing.T) {
	loads := func(w Weights) int {
		g := newGroup(t, Config{})
		require.NoError(t, g.planner.SetWeights(w))
		g.repeat(20, counts(shape, ramp), nil)
		return g.loads
	}
	require.Less(t, loads(Weights{Skew: 1, Moves: 30_000}), loads(Weights{Skew: 1, Moves: 1}))
	require.Error(t, newGroup(t, Config{}).planner.SetWeights(Weights{Skew: -1}))
}

func TestInputsAreChecked(t *testing.T) {
	g := newGroup(t, Config{})
	g.repeat(3, counts(shape, ramp), nil)
	good := g.tracker.Estimate()
	wide, err := expertmap.Even(expertmap.Shape{Layers: 3, Experts: 32, Ranks: 8, Slots: 6})
	require.NoError(t, err)
	none, err := expertmap.New(shape)
	require.NoError(t, err)
	bad := good
	bad.Speed = slices.Repeat([]float64{0}, shape.Ranks)
	short := good
	short.Share = short.Share[1:]
	cases := []struct {
		name string
		m    *expertmap.Map
		e    demand.Estimate
	}{
		{"other shape", wide, good},
		{"experts without replica", none, good},
		{"speed of zero", g.m, bad},
		{"share missing", g.m, short},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := g.planner.Plan(g.now, c.m, c.e)
			require.Error(t, err)
		})
	}
}

// At realistic sizes, the search must come close to the result of Resolve, with a
// fraction of the loads.
func TestSearchIsCloseToResolve(t *testing.T) {
	for _, s := range []expertmap.Shape{
		{Layers: 4, Experts: 256, Ranks: 16, Slots: 18},
		{Layers: 4, Experts: 256, Ranks: 64, Slots: 5},
		{Layers: 4, Experts: 256, Ranks: 256, Slots: 2},
	} {
		g := newGroup(t, Config{Shape: s, StoreRate: 1e11, MaxLoadsPerRank: 1000})
		source := topic.New(topic.Config{Layers: 4, Experts: 256, Ranks: s.Ranks}, rand.New(rand.NewPCG(1, 1)))
		var p Proposal
		for range 30 {
			p = g.step(source.Next().Counts, nil)
		}
		e := g.tracker.Estimate()
		best, err := Resolve(s, e.Share, e.Speed)
		require.NoError(t, err)
		f, err := Predict(best, e.Share, e.Speed)
		require.NoError(t, err)
		require.Less(t, p.After.Time, 1.05*f.Time, "%d ranks", s.Ranks)
	}
}
