package plan

import (
	"math"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// session computes one proposal.
type session struct {
	cfg      Config
	from     *expertmap.Map
	estimate demand.Estimate
	onHold   []bool // per cell: its replica is on hold
	trend    *trend
	layer    *layer
	result   Proposal

	startTimes    []float64  // per layer: time of the hottest rank in the active map
	changes       [][]change // per layer: those that the search found
	segments      []segment
	accepted      []int  // per layer: number of its changes that are part of the plan
	mayBreakHolds []bool // per layer: its changes may move replicas on hold
	rankLoads     []int  // per rank: number of its loads in the plan
}

func newSession(p *Planner, now time.Time, m *expertmap.Map, e demand.Estimate) *session {
	layers := p.cfg.Shape.Layers
	s := &session{
		cfg:           p.cfg,
		from:          m,
		estimate:      e,
		onHold:        p.onHold(now, e),
		trend:         &p.trend,
		layer:         newLayer(p.cfg.Shape, e.Speed),
		startTimes:    make([]float64, layers),
		changes:       make([][]change, layers),
		accepted:      make([]int, layers),
		mayBreakHolds: make([]bool, layers),
		rankLoads:     make([]int, p.cfg.Shape.Ranks),
	}
	s.result = Proposal{
		Horizon:   e.ValidFor,
		Weights:   p.cfg.Weights,
		Allowance: max(0, int64(p.allowance.available(now))),
	}
	s.result.Before = predict(s.layer, m, e.Share)
	s.result.After = s.result.Before
	s.result.Reason = s.reasonNotToPlan(now)
	return s
}

// reasonNotToPlan returns why no plan can be made from the estimate, or an empty
// reason.
func (s *session) reasonNotToPlan(now time.Time) Reason {
	switch {
	case s.estimate.Windows < minWindows:
		return Learning
	case now.Sub(s.estimate.At) > s.cfg.MaxEstimateAge:
		return Stale
	}
	return ""
}

// decide sets the result of the session.
func (s *session) decide() {
	if s.result.Reason != "" {
		return
	}
	s.searchLayers()
	if s.result.Reason != "" {
		return
	}
	s.choose()
	if s.result.Reason != Move {
		return
	}
	s.build()
	s.verify()
}

// searchLayers finds the trade-off of each layer between loads and time.
func (s *session) searchLayers() {
	shape := s.cfg.Shape
	maxLoads := int(s.result.Allowance / s.cfg.ExpertBytes)
	if maxLoads == 0 {
		s.result.Reason = Paced
		return
	}
	unbalanced := 0
	for i := range shape.Layers {
		if s.searchLayer(i, maxLoads) {
			unbalanced++
		}
	}
	if unbalanced == 0 {
		s.result.Reason = Balanced
		return
	}
	if len(s.segments) > 0 {
		return
	}
	s.result.Reason = Stuck
	if s.result.IgnoredGain > 0 {
		s.result.Reason = Noise
	}
}

// searchLayer reports whether the layer is further from its lower bound than noise
// explains. If so, it searches for changes, and keeps them if they gain more than noise
// explains. A gain from noise alone would be lost with the next estimate, and would cost
// loads each time.
func (s *session) searchLayer(i, maxLoads int) bool {
	shape := s.cfg.Shape
	share := s.ofLayer(s.estimate.Share, i)
	s.resetLayer(i)
	hotRank, start := s.layer.hottest()
	s.startTimes[i] = start
	bound := Bound(shape, share, s.estimate.Speed)
	deviation := s.layer.deviation(hotRank)
	noise := s.cfg.Confidence * noiseFactor(shape.Ranks) * deviation
	if start <= bound+noise {
		return false
	}
	floor := bound + deviation
	finder := search{layer: s.layer, candidatesLeft: s.cfg.MaxCandidates / shape.Layers}
	changes := finder.run(nil, maxLoads, floor)
	changes = s.tryRepack(i, changes, maxLoads, floor)
	if gain := start - shortestTime(changes); gain <= noise {
		if gain > s.result.IgnoredGain {
			s.result.IgnoredGain, s.result.IgnoredNoise = gain, noise
		}
		return true
	}
	s.changes[i] = changes
	s.segments = segments(s.segments, i, changes, start, floor)
	return true
}

// noiseFactor returns about how many standard deviations the highest of n equal ranks
// lies above their mean by noise alone, with a margin. A search fits the map to the
// noise of the current estimate, so the difference from the next estimate has twice the
// variance.
func noiseFactor(n int) float64 {
	const (
		fewest = 2
		margin = 0.5 // about the standard deviation of the highest of n normal variables
	)
	highest := math.Sqrt(2 * math.Log(float64(max(n, fewest))))
	return math.Sqrt2 * (highest + margin)
}

// shortestTime returns the shortest time of the layer's hottest rank after any of the
// changes.
func shortestTime(changes []change) float64 {
	time := math.Inf(1)
	for _, c := range changes {
		time = min(time, c.time)
	}
	return time
}

// ofLayer returns the part of a slice by layer and expert that belongs to one layer.
func (s *session) ofLayer(values []float64, layer int) []float64 {
	n := s.cfg.Shape.Experts
	return values[layer*n : (layer+1)*n]
}

// resetLayer sets the working state to a layer of the active map.
func (s *session) resetLayer(i int) {
	n := s.cfg.Shape.Ranks * s.cfg.Shape.Slots
	share := s.ofLayer(s.estimate.Share, i)
	noise := s.ofLayer(s.estimate.Deviation, i)
	s.layer.reset(s.from.Layer(i), share, noise, s.onHold[i*n:(i+1)*n])
}

// build applies the accepted changes to a copy of the active map.
func (s *session) build() {
	to := s.from.Clone()
	for i, n := range s.accepted {
		if n == 0 {
			continue
		}
		s.resetLayer(i)
		finder := search{layer: s.layer}
		for _, c := range s.changes[i][:n] {
			finder.apply(c)
		}
		copy(to.Layer(i), s.layer.cells)
		last := s.changes[i][n-1]
		s.result.Layers = append(s.result.Layers, LayerChange{
			Layer: i, Loads: int(last.loads), Before: s.startTimes[i], After: last.time,
		})
	}
	slices.SortStableFunc(s.result.Layers, func(a, b LayerChange) int {
		return bySlope(segment{slope: a.Before - a.After}, segment{slope: b.Before - b.After})
	})
	s.result.Map = to
	s.result.After = predict(s.layer, to, s.estimate.Share)
}
