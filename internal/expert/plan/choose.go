package plan

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// choose takes segments, the most worthwhile first, while each is worth its
// price and there is room for its loads.
func (s *session) choose() {
	sortSegments(s.segments)
	left := s.result.Allowance
	closed := make([]bool, s.cfg.Shape.Layers)
	paced := false
	for _, g := range s.segments {
		if closed[g.layer] {
			continue
		}
		if !s.worth(g) {
			closed[g.layer] = true
			continue
		}
		bytes := int64(g.loads) * s.cfg.ExpertBytes
		if bytes > left || !s.reserve(g) {
			closed[g.layer] = true
			paced = true
			continue
		}
		left -= bytes
		s.take(g)
	}
	s.settle(paced)
}

// worth tells whether a segment wins more than its price, over the time that is
// left of the demand once everything taken and this segment has been loaded.
func (s *session) worth(g segment) bool {
	return s.weigh(s.value(g, s.result.Loads+g.loads), s.price(g.loads))
}

// weigh compares drafting seconds won and lost by the weights of the document.
func (s *session) weigh(won, cost float64) bool {
	w := s.cfg.Weights
	return w.Skew*won > w.Moves*cost*(1+s.cfg.Hysteresis)
}

// value is the drafting time in seconds that a segment wins, with loads experts
// loaded first.
func (s *session) value(g segment, loads int) float64 {
	lasts := s.estimate.Lasts.Seconds()
	if g.anew {
		lasts = min(lasts, s.trend.lasts(g.win))
	}
	lasts -= float64(loads) * s.cfg.loadTime()
	return max(0, lasts) * s.cfg.ExpertPart * g.win / float64(s.cfg.Shape.Layers)
}

// price is the drafting time in seconds that loads experts cost.
func (s *session) price(loads int) float64 {
	return float64(loads) * s.cfg.loadTime() * s.cfg.Interference
}

// reserve makes room for the loads of a segment on their ranks, or tells that
// there is none.
func (s *session) reserve(g segment) bool {
	for i, c := range s.changes[g.layer][g.from:g.to] {
		if s.count(c, 1) {
			continue
		}
		for _, c := range s.changes[g.layer][g.from : g.from+i+1] {
			s.count(c, -1)
		}
		return false
	}
	return true
}

// count adds the loads of a change to its ranks and tells whether they have room.
func (s *session) count(c change, n int) bool {
	slots := s.cfg.Shape.Slots
	ok := true
	if c.other != noCell && c.also != expertmap.Empty {
		r := int(c.other) / slots
		s.ranks[r] += n
		ok = s.ranks[r] <= s.cfg.RankLoads
	}
	if c.in != expertmap.Empty {
		r := int(c.cell) / slots
		s.ranks[r] += n
		ok = ok && s.ranks[r] <= s.cfg.RankLoads
	}
	return ok
}

func (s *session) take(g segment) {
	s.taken[g.layer] = g.to
	s.result.Loads += g.loads
	s.result.Won += seconds(s.value(g, 0))
	s.result.Cost += seconds(s.price(g.loads))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// settle decides whether what was taken is worth a change of map.
func (s *session) settle(paced bool) {
	r := &s.result
	if r.Won == 0 {
		s.explainNothing(paced)
		return
	}
	cost := r.Cost + s.cfg.Switch
	if !s.weigh(r.Won.Seconds(), cost.Seconds()) {
		r.Cost = cost
		r.Loads = 0
		r.Reason = NotWorth
		return
	}
	r.Cost = cost
	r.Reason = Move
}

func (s *session) explainNothing(paced bool) {
	r := &s.result
	if paced {
		r.Reason = Paced
		return
	}
	best := s.segments[0]
	r.Reason = NotWorth
	r.Won = seconds(s.value(best, best.loads))
	r.Cost = seconds(s.price(best.loads))
}
