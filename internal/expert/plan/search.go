package plan

import (
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// noCell marks a change of a single cell.
const noCell = -1

// change is one change that the search makes. It replaces the contents of one or two
// cells.
type change struct {
	cell     int32
	other    int32   // second cell, or noCell
	in       uint16  // new content of cell
	otherIn  uint16  // new content of other
	loads    int32   // total loads of this and all earlier changes of the layer
	time     float64 // time of the layer's hottest rank after the change
	repacked bool    // part of repacking the whole layer
}

// dropPrice is the cost in loads that dropping a replica counts as when candidates are
// compared. It needs no load, but the replica may be needed again later.
const dropPrice = 0.5

// minImprovement is the smallest difference between two relative times that counts.
const minImprovement = 1e-9

// minRelativeGain is the smallest improvement that counts in the search, relative to the
// time or the potential of the hottest rank. It is far above what rounding adds to a sum
// over all ranks. Without it, changes between states that are equal but for rounding
// would cost loads, and could undo one another.
const minRelativeGain = 1e-9

// search finds changes that shorten the time of the hottest rank of a layer.
type search struct {
	*layer
	candidatesLeft int // candidates that may still be compared

	hotRank      int     // hottest rank
	hotTime      float64 // time of the hottest rank
	limit        float64 // time that all ranks to which a change adds work must stay below
	minScore     float64 // gain per load that a candidate must exceed
	best         change  // best candidate so far
	bestScore    float64 // gain per load of best, or minScore if there is none
	destinations []destination
	timeBefore   []float64 // per rank: its time before a change that is tried
}

// potential is a convex function of a rank's time. The search lowers its sum over the
// ranks, which the hottest ranks dominate.
func potential(t float64) float64 {
	t *= t
	t *= t
	return t * t
}

// run appends changes to dst that need up to maxLoads loads together. It stops when the
// time of the hottest rank is no longer than floor or no change shortens it.
func (s *search) run(dst []change, maxLoads int, floor float64) []change {
	total := 0
	for s.candidatesLeft > 0 {
		if !s.findBest(floor) {
			break
		}
		loads := s.best.ownLoads()
		if total+loads > maxLoads {
			break
		}
		total += loads
		s.apply(s.best)
		_, s.best.time = s.hottest()
		s.best.loads = int32(total)
		dst = append(dst, s.best)
	}
	return dst
}

// ownLoads returns the number of loads of the change alone, without earlier ones.
func (c change) ownLoads() int {
	n := 0
	if c.other != noCell && c.otherIn != expertmap.Empty {
		n++
	}
	if c.in != expertmap.Empty {
		n++
	}
	return n
}

func (s *search) apply(c change) {
	if c.other == noCell {
		s.setCell(int(c.cell), c.in)
		return
	}
	s.setCell(int(c.cell), expertmap.Empty)
	s.setCell(int(c.other), c.otherIn)
	s.setCell(int(c.cell), c.in)
}

// findBest sets the best change around the hottest rank, and reports whether there is
// one.
func (s *search) findBest(floor float64) bool {
	s.hotRank, s.hotTime = s.hottest()
	if s.hotTime <= floor {
		return false
	}
	s.limit = s.hotTime * (1 - minRelativeGain)
	s.minScore = minRelativeGain * potential(s.hotTime)
	s.bestScore = s.minScore
	first := s.hotRank * s.shape.Slots
	for i, e := range s.row(s.hotRank) {
		if e == expertmap.Empty {
			continue
		}
		s.tryReplicas(e)
		s.tryExchanges(first+i, e)
		s.tryDrop(first+i, e)
		s.tryLighter(first+i, e)
	}
	if s.bestScore <= s.minScore {
		s.tryRelocations()
	}
	return s.bestScore > s.minScore
}

// offer keeps a candidate if its gain per price exceeds that of the best one so far.
// The price is in loads.
func (s *search) offer(gain, price float64, c change) {
	if score := gain / price; score > s.bestScore {
		s.bestScore = score
		s.best = c
	}
}

// tryReplicas considers a further replica of an expert of the hottest rank, on each
// other rank, in an empty cell or in place of an expert that has other replicas.
func (s *search) tryReplicas(in uint16) {
	newShare := s.share[in] / float64(s.replicas[in]+1)
	reduction := s.replicaShare[in] - newShare
	relief := s.relief(in, reduction)
	for r, t := range s.rankTime {
		if t+newShare*s.fullTime[r]-s.maxExpertTime[r] >= s.limit || s.has(r, in) {
			continue
		}
		first := r * s.shape.Slots
		for i, out := range s.row(r) {
			s.tryReplace(first+i, r, out, in, newShare, reduction, relief)
		}
	}
}

// relief returns the decrease in potential if the share that each replica of an expert
// serves falls by reduction.
func (s *search) relief(e uint16, reduction float64) float64 {
	gain := 0.0
	for _, q := range s.holders[e] {
		t := s.rankTime[q]
		gain += potential(t) - potential(t-reduction*s.fullTime[q])
	}
	return gain
}

// tryReplace considers replacing the expert out in a cell of rank r by the expert in.
func (s *search) tryReplace(cell, r int, out, in uint16, newShare, reduction, relief float64) {
	s.candidatesLeft--
	after := s.rankTime[r] + newShare*s.fullTime[r]
	if out != expertmap.Empty {
		if s.replicas[out] < 2 || s.onHold[cell] {
			return
		}
		after -= s.replicaShare[out] * s.fullTime[r]
	}
	gain := relief + potential(s.rankTime[r]) - potential(after)
	if after >= s.limit || gain <= s.bestScore {
		return
	}
	if out != expertmap.Empty {
		loss, ok := s.dropLoss(out, r, in, reduction)
		if !ok {
			return
		}
		gain -= loss
	}
	s.offer(gain, 1, change{cell: int32(cell), other: noCell, in: in})
}

// dropLoss returns the increase in potential on the other ranks that hold an expert when
// rank r drops its replica, while the share that each replica of the expert relieved
// serves falls by reduction. ok is false if one of the ranks would become as slow as
// the hottest rank is now.
func (s *search) dropLoss(out uint16, r int, relieved uint16, reduction float64) (loss float64, ok bool) {
	increase := s.share[out]/float64(s.replicas[out]-1) - s.replicaShare[out]
	for _, q := range s.holders[out] {
		if int(q) == r {
			continue
		}
		t := s.rankTime[q]
		if relieved != expertmap.Empty && s.has(int(q), relieved) {
			t -= reduction * s.fullTime[q]
		}
		after := t + increase*s.fullTime[q]
		if after >= s.limit {
			return 0, false
		}
		loss += potential(after) - potential(t)
	}
	return loss, true
}

// tryExchanges considers exchanging an expert of the hottest rank for an expert of
// another rank whose replica serves a smaller share.
func (s *search) tryExchanges(cell int, hotExpert uint16) {
	if s.onHold[cell] {
		return
	}
	hotPotential := potential(s.hotTime)
	for r, t := range s.rankTime {
		if r == s.hotRank || s.has(r, hotExpert) {
			continue
		}
		first := r * s.shape.Slots
		for i, otherExpert := range s.row(r) {
			s.tryExchange(cell, first+i, r, t, hotPotential, hotExpert, otherExpert)
		}
	}
}

func (s *search) tryExchange(cell, other, r int, t, hotPotential float64, hotExpert, otherExpert uint16) {
	s.candidatesLeft--
	if otherExpert == expertmap.Empty || s.onHold[other] || s.has(s.hotRank, otherExpert) {
		return
	}
	d := s.replicaShare[hotExpert] - s.replicaShare[otherExpert]
	after := t + d*s.fullTime[r]
	if d <= 0 || after >= s.limit {
		return
	}
	gain := hotPotential - potential(s.hotTime-d*s.fullTime[s.hotRank]) + potential(t) - potential(after)
	s.offer(gain, 2, change{cell: int32(cell), other: int32(other), in: otherExpert, otherIn: hotExpert})
}

// tryDrop considers dropping a replica of the hottest rank whose expert has other
// replicas.
func (s *search) tryDrop(cell int, out uint16) {
	s.candidatesLeft--
	if s.replicas[out] < 2 || s.onHold[cell] {
		return
	}
	loss, ok := s.dropLoss(out, s.hotRank, expertmap.Empty, 0)
	if !ok {
		return
	}
	after := s.hotTime - s.replicaShare[out]*s.fullTime[s.hotRank]
	gain := potential(s.hotTime) - potential(after) - loss
	s.offer(gain, dropPrice, change{cell: int32(cell), other: noCell, in: expertmap.Empty})
}

// tryLighter considers replacing an expert of the hottest rank that has other replicas
// by one whose replica would serve a smaller share.
func (s *search) tryLighter(cell int, out uint16) {
	if s.replicas[out] < 2 || s.onHold[cell] {
		return
	}
	for e := range s.shape.Experts {
		in := uint16(e)
		newShare := s.share[in] / float64(s.replicas[in]+1)
		s.candidatesLeft--
		if newShare >= s.replicaShare[out] || s.has(s.hotRank, in) {
			continue
		}
		reduction := s.replicaShare[in] - newShare
		s.tryReplace(cell, s.hotRank, out, in, newShare, reduction, s.relief(in, reduction))
	}
}
