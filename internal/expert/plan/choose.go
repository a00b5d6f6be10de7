package plan

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// choose accepts segments, those with the largest gain per load first, while each is
// worth its cost and both the allowance and the ranks have room for its loads.
func (s *session) choose() {
	sortSegments(s.segments)
	remaining := s.result.Allowance
	closed := make([]bool, s.cfg.Shape.Layers) // per layer: no further segment is accepted
	paced := false                             // a segment was rejected for lack of room
	for _, g := range s.segments {
		if closed[g.layer] {
			continue
		}
		if !s.isWorthwhile(g) {
			closed[g.layer] = true
			continue
		}
		bytes := int64(g.loads) * s.cfg.ExpertBytes
		if bytes > remaining || !s.reserve(g) {
			closed[g.layer] = true
			paced = true
			continue
		}
		remaining -= bytes
		s.accept(g)
	}
	s.decideSwitch(paced)
}

// isWorthwhile reports whether the gain of a segment outweighs its cost. The gain counts
// over the time for which the demand still lasts after the accepted segments and
// this one have been loaded.
func (s *session) isWorthwhile(g segment) bool {
	return s.outweighs(s.timeGained(g, s.result.Loads+g.loads), s.loadCost(g.loads))
}

// outweighs reports whether a gain exceeds a cost, both in seconds of inference time,
// under the weights of the document and with the hysteresis.
func (s *session) outweighs(gain, cost float64) bool {
	w := s.cfg.Weights
	return w.Skew*gain > w.Moves*cost*(1+s.cfg.Hysteresis)
}

// timeGained returns the inference time in seconds that a segment gains, if the given
// number of experts is loaded first.
func (s *session) timeGained(g segment, loads int) float64 {
	lasts := s.estimate.ValidFor.Seconds()
	if g.repacked {
		lasts = min(lasts, s.trend.repackLifetime(g.gain))
	}
	lasts -= float64(loads) * s.cfg.loadTime()
	return max(0, lasts) * s.cfg.ExpertPart * g.gain / float64(s.cfg.Shape.Layers)
}

// loadCost returns the inference time in seconds that the given number of loads
// costs.
func (s *session) loadCost(loads int) float64 {
	return float64(loads) * s.cfg.loadTime() * s.cfg.Interference
}

// reserve adds the loads of a segment to the counts of their ranks. It reports false,
// and changes no count, if a rank has no room for them.
func (s *session) reserve(g segment) bool {
	for i, c := range s.changes[g.layer][g.from:g.to] {
		if s.countLoads(c, 1) {
			continue
		}
		for _, c := range s.changes[g.layer][g.from : g.from+i+1] {
			s.countLoads(c, -1)
		}
		return false
	}
	return true
}

// countLoads adds n for each load of a change to the count of its rank, and reports
// whether the ranks have room.
func (s *session) countLoads(c change, n int) bool {
	slots := s.cfg.Shape.Slots
	ok := true
	if c.other != noCell && c.otherIn != expertmap.Empty {
		r := int(c.other) / slots
		s.rankLoads[r] += n
		ok = s.rankLoads[r] <= s.cfg.MaxLoadsPerRank
	}
	if c.in != expertmap.Empty {
		r := int(c.cell) / slots
		s.rankLoads[r] += n
		ok = ok && s.rankLoads[r] <= s.cfg.MaxLoadsPerRank
	}
	return ok
}

// accept makes a segment part of the plan.
func (s *session) accept(g segment) {
	s.accepted[g.layer] = g.to
	s.result.Loads += g.loads
	s.result.Won += toDuration(s.timeGained(g, 0))
	s.result.Cost += toDuration(s.loadCost(g.loads))
}

func toDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// decideSwitch decides whether the accepted segments are worth a map switch. The
// parameter paced means that a segment was rejected for lack of room.
func (s *session) decideSwitch(paced bool) {
	r := &s.result
	if r.Won == 0 {
		s.explainNoSegment(paced)
		return
	}
	cost := r.Cost + s.cfg.SwitchCost
	if !s.outweighs(r.Won.Seconds(), cost.Seconds()) {
		r.Cost = cost
		r.Loads = 0
		r.Reason = NotWorth
		return
	}
	r.Cost = cost
	r.Reason = Move
}

// explainNoSegment sets the reason of a plan that accepted no segment.
func (s *session) explainNoSegment(paced bool) {
	r := &s.result
	if paced {
		r.Reason = Paced
		return
	}
	best := s.segments[0]
	r.Reason = NotWorth
	r.Won = toDuration(s.timeGained(best, best.loads))
	r.Cost = toDuration(s.loadCost(best.loads))
}
