package plan

import (
	"fmt"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// verify checks the proposal against the invariants of plans. It discards the map of a
// proposal that breaks one, as a wrong map would stop the whole group, while keeping
// the active map costs only skew.
func (s *session) verify() {
	r := &s.result
	d, err := expertmap.Diff(s.from, r.Map)
	if err != nil {
		s.violate(InvalidMap, "%v", err)
		return
	}
	s.verifyMap()
	s.verifyLoads(d)
	s.verifyWorth()
	s.verifyHolds()
	if len(r.Violations) > 0 {
		r.Reason, r.Map, r.After, r.Loads = Faulty, nil, r.Before, 0
		return
	}
	// Changes that undo one another need fewer loads than the sum of theirs.
	r.Loads = len(d.Loads)
	r.Bytes = d.Bytes(s.cfg.ExpertBytes)
}

func (s *session) violate(kind ViolationKind, format string, args ...any) {
	v := Violation{Kind: kind, Detail: fmt.Sprintf(format, args...)}
	s.result.Violations = append(s.result.Violations, v)
}

func (s *session) verifyMap() {
	for _, problem := range s.result.Map.Problems() {
		s.violate(InvalidMap, "%v", problem)
	}
}

func (s *session) verifyLoads(d expertmap.Difference) {
	r := &s.result
	if len(d.Loads) > r.Loads {
		s.violate(LoadMismatch, "%d loads, %d counted", len(d.Loads), r.Loads)
	}
	if bytes := d.Bytes(s.cfg.ExpertBytes); bytes > r.Allowance {
		s.violate(OverPace, "%d bytes of %d", bytes, r.Allowance)
	}
	for rank, n := range d.LoadsPerRank(s.cfg.Shape.Ranks) {
		if n > s.cfg.MaxLoadsPerRank {
			s.violate(OverRank, "%d loads on rank %d", n, rank)
		}
	}
}

func (s *session) verifyWorth() {
	r := &s.result
	if r.After.Time > r.Before.Time+minImprovement {
		s.violate(RaisedCost, "from %v to %v", r.Before.Time, r.After.Time)
	}
	if !s.outweighs(r.Won.Seconds(), r.Cost.Seconds()) {
		s.violate(UnpaidLoads, "%v won for %v", r.Won, r.Cost)
	}
}

func (s *session) verifyHolds() {
	shape := s.cfg.Shape
	for i, onHold := range s.onHold {
		if !onHold {
			continue
		}
		rank := i / shape.Slots
		layer := rank / shape.Ranks
		if s.mayBreakHolds[layer] {
			continue
		}
		rank %= shape.Ranks
		e := s.from.At(layer, rank, i%shape.Slots)
		if e != expertmap.Empty && !s.result.Map.Holds(layer, rank, e) {
			s.violate(BrokenHold, "expert %d on rank %d in layer %d", e, rank, layer)
		}
	}
}
