package plan

import (
	"math"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// minRepackGain is the least relative time that a repacked layer must gain over the
// result of the search to be considered.
const minRepackGain = 0.01

// minHoldBreakGain is the least relative time that a repacked layer must gain to be
// allowed to move replicas that are on hold. Otherwise a few replicas on hold would
// keep a whole layer badly packed, and each further change around them would put more
// replicas on hold.
const minHoldBreakGain = 0.05

// tryRepack computes a layer anew by the method of [Resolve]. If the result is much better
// than that of the search, it appends the changes that lead there to the layer's
// changes. With few slots per rank the search ends in local optima that no small
// number of changes improves. Only the last of the appended changes can end a segment,
// as after the others some experts may have no replica.
func (s *session) tryRepack(i int, changes []change, maxLoads int, floor float64) []change {
	_, reached := s.layer.hottest()
	if reached <= floor+minRepackGain {
		return changes
	}
	from := s.from.Layer(i)
	to := make([]uint16, len(from))
	resolveLayer(to, s.cfg.Shape, s.ofLayer(s.estimate.Share, i), s.estimate.Speed)
	relabelLayer(from, to, s.cfg.Shape, s.estimate.Speed)
	loads := s.loadsBetween(from, to)
	if loads > maxLoads {
		return changes
	}
	gain := minRepackGain
	breaks := s.breaksHold(from, to, i)
	if breaks {
		gain = minHoldBreakGain
	}
	first := len(changes)
	for cell, e := range to {
		if s.layer.cells[cell] != e {
			changes = append(changes, change{
				cell: int32(cell), other: noCell, in: e, loads: int32(loads), time: math.Inf(1), repacked: true,
			})
		}
	}
	s.layer.reset(to, s.ofLayer(s.estimate.Share, i), s.ofLayer(s.estimate.Deviation, i), nil)
	_, after := s.layer.hottest()
	if after > reached-gain {
		return changes[:first]
	}
	s.mayBreakHolds[i] = breaks
	last := &changes[len(changes)-1]
	last.time = after
	if first > 0 {
		last.loads = max(last.loads, changes[first-1].loads)
	}
	return changes
}

// loadsBetween returns the number of loads that change the cells from into the cells
// to.
func (s *session) loadsBetween(from, to []uint16) int {
	n := 0
	for cell, e := range to {
		if e != expertmap.Empty && from[cell] != e {
			n++
		}
	}
	return n
}

// breaksHold reports whether the cells to of layer i move a replica that is on hold.
func (s *session) breaksHold(from, to []uint16, i int) bool {
	first := i * len(from)
	for cell, e := range from {
		if s.onHold[first+cell] && to[cell] != e {
			return true
		}
	}
	return false
}
