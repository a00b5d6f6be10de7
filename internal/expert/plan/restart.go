package plan

import (
	"math"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// restartGain is the relative time that a layer packed anew must win over what
// the search reached for it to be considered at all.
const restartGain = 0.01

// breakGain is the relative time that a layer packed anew must win to break the
// hold of replicas. A few replicas on hold would otherwise keep a whole layer
// badly packed, and each further change around them would extend it.
const breakGain = 0.05

// restart appends to a layer's changes those that lead on to the layer packed
// anew, if that is better by far. With few slots per rank the search ends in
// places from which no few changes lead further. Only the last of the appended
// changes can end a segment; on the way there experts may have no replica.
func (s *session) restart(i int, changes []change, most int, floor float64) []change {
	_, reached := s.layer.hottest()
	if reached <= floor+restartGain {
		return changes
	}
	from := s.from.Layer(i)
	to := make([]uint16, len(from))
	resolveLayer(to, s.cfg.Shape, s.slice(s.estimate.Share, i), s.estimate.Speed)
	relabelLayer(from, to, s.cfg.Shape, s.estimate.Speed)
	loads := s.loadsBetween(from, to)
	if loads > most {
		return changes
	}
	gain := restartGain
	breaks := s.breaksHold(from, to, i)
	if breaks {
		gain = breakGain
	}
	first := len(changes)
	for cell, e := range to {
		if s.layer.cells[cell] != e {
			changes = append(changes, change{
				cell: int32(cell), other: noCell, in: e, loads: int32(loads), time: math.Inf(1), anew: true,
			})
		}
	}
	s.layer.load(to, s.slice(s.estimate.Share, i), s.slice(s.estimate.Deviation, i), nil)
	_, after := s.layer.hottest()
	if after > reached-gain {
		return changes[:first]
	}
	s.anew[i] = breaks
	last := &changes[len(changes)-1]
	last.time = after
	if first > 0 {
		last.loads = max(last.loads, changes[first-1].loads)
	}
	return changes
}

// loadsBetween counts the loads that lead from one layer's cells to another's.
func (s *session) loadsBetween(from, to []uint16) int {
	n := 0
	for cell, e := range to {
		if e != expertmap.Empty && from[cell] != e {
			n++
		}
	}
	return n
}

func (s *session) breaksHold(from, to []uint16, i int) bool {
	first := i * len(from)
	for cell, e := range from {
		if s.held[first+cell] && to[cell] != e {
			return true
		}
	}
	return false
}
