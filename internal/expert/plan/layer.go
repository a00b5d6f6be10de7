package plan

import (
	"math"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// layer is the working state of the search in one layer. One value is reused for
// all layers. Times are relative to the ideal.
type layer struct {
	shape         expertmap.Shape
	fullTime      []float64  // per rank: its time for all tokens of the layer
	share         []float64  // per expert: part of the layer's tokens
	noise         []float64  // per expert: standard deviation of share
	cells         []uint16   // expert of each slot, rank by rank; a copy that the search changes
	onHold        []bool     // per cell: its replica is on hold and must stay
	replicas      []int32    // per expert: number of replicas
	replicaShare  []float64  // per expert: share that each of its replicas serves
	holders       [][]uint16 // per expert: ranks that hold a replica
	rankTime      []float64  // per rank
	maxExpertTime []float64  // per rank: time of its expert that takes the longest
	present       []uint64   // bit set over [rank][expert]: the rank holds a replica
	wordsPerRank  int        // words of present per rank
}

func newLayer(s expertmap.Shape, speed []float64) *layer {
	words := (s.Experts + 63) / 64
	l := &layer{
		shape:         s,
		fullTime:      make([]float64, s.Ranks),
		cells:         make([]uint16, s.Ranks*s.Slots),
		replicas:      make([]int32, s.Experts),
		replicaShare:  make([]float64, s.Experts),
		holders:       make([][]uint16, s.Experts),
		rankTime:      make([]float64, s.Ranks),
		maxExpertTime: make([]float64, s.Ranks),
		present:       make([]uint64, s.Ranks*words),
		wordsPerRank:  words,
	}
	total := 0.0
	for _, v := range speed {
		total += v
	}
	for r, v := range speed {
		l.fullTime[r] = total / v
	}
	return l
}

// reset sets the state to one layer of a map.
func (l *layer) reset(cells []uint16, share, noise []float64, onHold []bool) {
	copy(l.cells, cells)
	l.share = share
	l.noise = noise
	l.onHold = onHold
	clear(l.replicas)
	clear(l.present)
	for e := range l.holders {
		l.holders[e] = l.holders[e][:0]
	}
	for i, e := range l.cells {
		if e != expertmap.Empty {
			l.addReplica(i/l.shape.Slots, e)
		}
	}
	for e, n := range l.replicas {
		l.replicaShare[e] = share[e] / float64(max(n, 1))
	}
	for r := range l.rankTime {
		l.refreshRank(r)
	}
}

// addReplica records that a rank holds a replica of an expert.
func (l *layer) addReplica(rank int, e uint16) {
	l.holders[e] = append(l.holders[e], uint16(rank))
	l.replicas[e]++
	l.present[rank*l.wordsPerRank+int(e)/64] |= 1 << (e % 64)
}

// removeReplica records that a rank no longer holds a replica of an expert.
func (l *layer) removeReplica(rank int, e uint16) {
	i := slices.Index(l.holders[e], uint16(rank))
	l.holders[e] = slices.Delete(l.holders[e], i, i+1)
	l.replicas[e]--
	l.present[rank*l.wordsPerRank+int(e)/64] &^= 1 << (e % 64)
}

// has reports whether a rank holds a replica of an expert.
func (l *layer) has(rank int, e uint16) bool {
	return l.present[rank*l.wordsPerRank+int(e)/64]&(1<<(e%64)) != 0
}

// row returns the cells of a rank.
func (l *layer) row(rank int) []uint16 {
	return l.cells[rank*l.shape.Slots : (rank+1)*l.shape.Slots]
}

// refreshRank computes a rank's times from its row.
func (l *layer) refreshRank(rank int) {
	load, largest := 0.0, 0.0
	for _, e := range l.row(rank) {
		if e != expertmap.Empty {
			load += l.replicaShare[e]
			largest = max(largest, l.replicaShare[e])
		}
	}
	l.rankTime[rank] = load * l.fullTime[rank]
	l.maxExpertTime[rank] = largest * l.fullTime[rank]
}

// hottest returns the rank with the longest time, and that time.
func (l *layer) hottest() (rank int, longest float64) {
	for r, t := range l.rankTime {
		if t > longest {
			rank, longest = r, t
		}
	}
	return rank, longest
}

// deviation returns the standard deviation of a rank's time that results from the
// noise of the demand.
func (l *layer) deviation(rank int) float64 {
	sum := 0.0
	for _, e := range l.row(rank) {
		if e != expertmap.Empty {
			d := l.noise[e] / float64(l.replicas[e])
			sum += d * d
		}
	}
	return math.Sqrt(sum) * l.fullTime[rank]
}

// setCell changes the content of a cell, and the times of all ranks that this affects.
func (l *layer) setCell(cell int, in uint16) {
	rank := cell / l.shape.Slots
	out := l.cells[cell]
	l.cells[cell] = in
	if out != expertmap.Empty {
		l.removeReplica(rank, out)
		l.refreshExpert(out)
	}
	if in != expertmap.Empty {
		l.addReplica(rank, in)
		l.refreshExpert(in)
	}
	l.refreshRank(rank)
}

// refreshExpert recomputes the share that each replica of an expert serves, and the
// times of the ranks that hold it.
func (l *layer) refreshExpert(e uint16) {
	l.replicaShare[e] = l.share[e] / float64(max(l.replicas[e], 1))
	for _, r := range l.holders[e] {
		l.refreshRank(int(r))
	}
}
