package plan

import (
	"math"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// session is the making of one proposal.
type session struct {
	cfg      Config
	from     *expertmap.Map
	estimate demand.Estimate
	held     []bool
	trend    *trend
	layer    *layer
	result   Proposal

	starts   []float64  // per layer: time of the hottest rank now
	changes  [][]change // per layer
	segments []segment
	taken    []int  // per layer: changes that are part of the plan
	anew     []bool // per layer: whether its changes may break holds
	ranks    []int  // per rank: loads of the plan
}

func newSession(p *Planner, now time.Time, m *expertmap.Map, e demand.Estimate) *session {
	layers := p.cfg.Shape.Layers
	s := &session{
		cfg:      p.cfg,
		from:     m,
		estimate: e,
		held:     p.held(now, e),
		trend:    &p.trend,
		layer:    newLayer(p.cfg.Shape, e.Speed),
		starts:   make([]float64, layers),
		changes:  make([][]change, layers),
		taken:    make([]int, layers),
		anew:     make([]bool, layers),
		ranks:    make([]int, p.cfg.Shape.Ranks),
	}
	s.result = Proposal{
		Horizon:   e.Lasts,
		Weights:   p.cfg.Weights,
		Allowance: max(0, int64(p.allowance.now(now))),
	}
	s.result.Before = predict(s.layer, m, e.Share)
	s.result.After = s.result.Before
	s.result.Reason = s.ready(now)
	return s
}

// ready returns the reason not to plan at all, or none.
func (s *session) ready(now time.Time) Reason {
	switch {
	case s.estimate.Windows < minWindows:
		return Learning
	case now.Sub(s.estimate.At) > s.cfg.Stale:
		return Stale
	}
	return ""
}

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

// searchLayers finds each layer's trade-off between loads and time.
func (s *session) searchLayers() {
	shape := s.cfg.Shape
	most := int(s.result.Allowance / s.cfg.ExpertBytes)
	if most == 0 {
		s.result.Reason = Paced
		return
	}
	away := 0
	for i := range shape.Layers {
		if s.searchLayer(i, most) {
			away++
		}
	}
	if away == 0 {
		s.result.Reason = Balanced
		return
	}
	if len(s.segments) > 0 {
		return
	}
	s.result.Reason = Stuck
	if s.result.LeftGain > 0 {
		s.result.Reason = Noise
	}
}

// searchLayer tells whether the layer is further from its bound than noise
// explains, and finds its changes if they win more than noise explains, too.
// What noise seems to win would be lost to the next noise, and each time cost
// loads.
func (s *session) searchLayer(i, most int) bool {
	shape := s.cfg.Shape
	share := s.slice(s.estimate.Share, i)
	s.load(i)
	hot, start := s.layer.hottest()
	s.starts[i] = start
	bound := Bound(shape, share, s.estimate.Speed)
	deviation := s.layer.deviation(hot)
	noise := s.cfg.Confidence * chance(shape.Ranks) * deviation
	if start <= bound+noise {
		return false
	}
	floor := bound + deviation
	find := search{layer: s.layer, work: s.cfg.Work / shape.Layers}
	changes := find.run(nil, most, floor)
	changes = s.restart(i, changes, most, floor)
	if gain := start - lowest(changes); gain <= noise {
		if gain > s.result.LeftGain {
			s.result.LeftGain, s.result.LeftNoise = gain, noise
		}
		return true
	}
	s.changes[i] = changes
	s.segments = segments(s.segments, i, changes, start, floor)
	return true
}

// chance is about how many standard deviations the highest of n ranks rises over
// its like by noise alone, with a margin. A search fits the map to the noise of the
// present estimate; against that, the noise of the next one counts twice in variance.
func chance(n int) float64 {
	const (
		fewest = 2
		margin = 0.5 // about the deviation of the highest of n normal variables
	)
	highest := math.Sqrt(2 * math.Log(float64(max(n, fewest))))
	return math.Sqrt2 * (highest + margin)
}

// lowest is the shortest time that any of the changes leads to.
func lowest(changes []change) float64 {
	time := math.Inf(1)
	for _, c := range changes {
		time = min(time, c.time)
	}
	return time
}

func (s *session) slice(cells []float64, layer int) []float64 {
	n := s.cfg.Shape.Experts
	return cells[layer*n : (layer+1)*n]
}

func (s *session) load(i int) {
	n := s.cfg.Shape.Ranks * s.cfg.Shape.Slots
	share := s.slice(s.estimate.Share, i)
	noise := s.slice(s.estimate.Deviation, i)
	s.layer.load(s.from.Layer(i), share, noise, s.held[i*n:(i+1)*n])
}

// build applies what was taken to a copy of the map in force.
func (s *session) build() {
	to := s.from.Clone()
	for i, n := range s.taken {
		if n == 0 {
			continue
		}
		s.load(i)
		find := search{layer: s.layer}
		for _, c := range s.changes[i][:n] {
			find.apply(c)
		}
		copy(to.Layer(i), s.layer.cells)
		last := s.changes[i][n-1]
		s.result.Layers = append(s.result.Layers, LayerStep{
			Layer: i, Loads: int(last.loads), Before: s.starts[i], After: last.time,
		})
	}
	slices.SortStableFunc(s.result.Layers, func(a, b LayerStep) int {
		return bySlope(segment{slope: a.Before - a.After}, segment{slope: b.Before - b.After})
	})
	s.result.Map = to
	s.result.After = predict(s.layer, to, s.estimate.Share)
}
