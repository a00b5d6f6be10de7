package plan

import (
	"cmp"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// maxDestinations bounds the cells that relocations consider as destinations.
const maxDestinations = 24

// destination is a cell that can take another expert: it is empty, or its expert has
// other replicas that can serve its tokens.
type destination struct {
	cell     int
	rank     int
	out      uint16  // expert in the cell, or Empty
	baseTime float64 // time of the rank without the expert in the cell
	loss     float64 // increase in potential on the other ranks that hold the expert
}

// tryRelocations considers changes that put an expert into a destination. With few
// slots per rank, the other kinds of change get stuck: the rank with a replica that can
// be dropped is too busy for an expert of the hottest rank, and the rank that has time
// for it has no replica that can be dropped.
func (s *search) tryRelocations() {
	s.findDestinations()
	first := s.hotRank * s.shape.Slots
	for i, e := range s.row(s.hotRank) {
		if e == expertmap.Empty {
			continue
		}
		s.tryMove(first+i, e)
		s.tryDisplace(e)
		s.trySpread(e)
	}
}

// findDestinations lists the destinations whose ranks would be the least busy.
func (s *search) findDestinations() {
	s.destinations = s.destinations[:0]
	for cell, out := range s.cells {
		s.candidatesLeft--
		r := cell / s.shape.Slots
		if r == s.hotRank {
			continue
		}
		s.addDestination(destination{cell: cell, rank: r, out: out, baseTime: s.rankTime[r]})
	}
	slices.SortFunc(s.destinations, func(a, b destination) int {
		return cmp.Or(cmp.Compare(a.baseTime, b.baseTime), cmp.Compare(a.cell, b.cell))
	})
	s.destinations = s.destinations[:min(len(s.destinations), maxDestinations)]
}

// addDestination adds a cell to the destinations if its expert, if any, can be dropped.
func (s *search) addDestination(d destination) {
	if d.out != expertmap.Empty {
		if s.replicas[d.out] < 2 || s.onHold[d.cell] {
			return
		}
		loss, ok := s.dropLoss(d.out, d.rank, expertmap.Empty, 0)
		if !ok {
			return
		}
		d.loss = loss
		d.baseTime -= s.replicaShare[d.out] * s.fullTime[d.rank]
	}
	s.destinations = append(s.destinations, d)
}

// tryMove considers moving an expert of the hottest rank into a destination and leaving
// its cell empty.
func (s *search) tryMove(cell int, hotExpert uint16) {
	if s.onHold[cell] {
		return
	}
	relief := potential(s.hotTime) - potential(s.hotTime-s.replicaShare[hotExpert]*s.fullTime[s.hotRank])
	for _, d := range s.destinations {
		s.candidatesLeft--
		after := d.baseTime + s.replicaShare[hotExpert]*s.fullTime[d.rank]
		if after >= s.limit || s.has(d.rank, hotExpert) || s.conflicts(d, s.hotRank) {
			continue
		}
		gain := relief + potential(s.rankTime[d.rank]) - potential(after) - d.loss
		s.offer(gain, 1, change{cell: int32(cell), other: int32(d.cell), in: expertmap.Empty, otherIn: hotExpert})
	}
}

// conflicts reports whether a rank is among those that serve more tokens when the
// destination's expert is dropped.
func (s *search) conflicts(d destination, rank int) bool {
	return d.out != expertmap.Empty && s.has(rank, d.out)
}

// tryDisplace considers a further replica of an expert of the hottest rank, in a cell
// whose expert moves into a destination.
func (s *search) tryDisplace(in uint16) {
	newShare := s.share[in] / float64(s.replicas[in]+1)
	relief := s.relief(in, s.replicaShare[in]-newShare)
	for cell, moved := range s.cells {
		r := cell / s.shape.Slots
		if moved == expertmap.Empty || s.onHold[cell] || s.has(r, in) {
			continue
		}
		after := s.rankTime[r] + (newShare-s.replicaShare[moved])*s.fullTime[r]
		if after >= s.limit {
			continue
		}
		gain := relief + potential(s.rankTime[r]) - potential(after)
		s.tryDestinations(cell, r, moved, in, gain)
	}
}

// tryDestinations considers each destination for the expert that a further replica of
// the expert in displaces. The parameter gain is that of the change without the move of
// the displaced expert.
func (s *search) tryDestinations(cell, r int, moved, in uint16, gain float64) {
	for _, d := range s.destinations {
		s.candidatesLeft--
		if d.rank == r || d.out == in || d.out == moved || s.has(d.rank, moved) || s.conflicts(d, r) {
			continue
		}
		after := d.baseTime + s.replicaShare[moved]*s.fullTime[d.rank]
		if after >= s.limit {
			// The destinations are in the order of baseTime, which on ranks of
			// equal speed is also the order of the time after the change.
			return
		}
		total := gain + potential(s.rankTime[d.rank]) - potential(after) - d.loss
		s.offerExact(total, change{cell: int32(cell), other: int32(d.cell), in: in, otherIn: moved})
	}
}

// trySpread considers two further replicas in two destinations: one of an expert of the
// hottest rank, and one of an expert that the rank of the first destination keeps. That
// rank serves tokens of the first expert and fewer of the second.
func (s *search) trySpread(in uint16) {
	newShare := s.share[in] / float64(s.replicas[in]+1)
	relief := s.relief(in, s.replicaShare[in]-newShare)
	for _, d := range s.destinations {
		if d.out == in || s.has(d.rank, in) {
			continue
		}
		for i, kept := range s.row(d.rank) {
			if d.cell != d.rank*s.shape.Slots+i && kept != expertmap.Empty {
				s.trySecondReplica(d, in, kept, d.baseTime+newShare*s.fullTime[d.rank], relief-d.loss)
			}
		}
	}
}

// trySecondReplica considers each destination for the second replica, that of the expert
// kept. The rank of the first destination takes timeWithIn with the expert in, before
// the second replica reduces its share of kept.
func (s *search) trySecondReplica(first destination, in, kept uint16, timeWithIn, gain float64) {
	newShare := s.share[kept] / float64(s.replicas[kept]+1)
	reduction := s.replicaShare[kept] - newShare
	after := timeWithIn - reduction*s.fullTime[first.rank]
	if after >= s.limit {
		return
	}
	gain += potential(s.rankTime[first.rank]) - potential(after)
	for _, d := range s.destinations {
		s.candidatesLeft--
		if d.rank == first.rank || d.out == in || d.out == kept || s.has(d.rank, kept) {
			continue
		}
		sameExpert := d.out != expertmap.Empty && d.out == first.out
		if sameExpert || s.conflicts(d, first.rank) || s.conflicts(first, d.rank) {
			continue
		}
		otherAfter := d.baseTime + newShare*s.fullTime[d.rank]
		if otherAfter >= s.limit {
			return
		}
		total := gain + potential(s.rankTime[d.rank]) - potential(otherAfter) - d.loss
		s.offerExact(total, change{cell: int32(first.cell), other: int32(d.cell), in: in, otherIn: kept})
	}
}

// offerExact keeps a candidate of two loads if it is the best one so far. The parameter
// gain is the sum over the parts of the change. It differs from the gain of the change
// where two parts affect the same rank, so the gain is computed from the state that the
// change leads to.
func (s *search) offerExact(gain float64, c change) {
	const loads = 2
	if gain/loads <= s.bestScore {
		return
	}
	back := change{cell: c.cell, other: c.other, in: s.cells[c.cell], otherIn: s.cells[c.other]}
	s.timeBefore = append(s.timeBefore[:0], s.rankTime...)
	s.apply(c)
	gain, ok := s.gainSince(s.timeBefore)
	s.apply(back)
	if ok {
		s.offer(gain, loads, c)
	}
}

// gainSince returns the decrease in potential from earlier times of the ranks. ok is false
// if a rank to which work was added is as slow as the hottest rank was.
func (s *search) gainSince(earlier []float64) (gain float64, ok bool) {
	for r, t := range s.rankTime {
		if t > earlier[r] && t >= s.limit {
			return 0, false
		}
		if t != earlier[r] {
			gain += potential(earlier[r]) - potential(t)
		}
	}
	return gain, true
}
