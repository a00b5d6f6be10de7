package plan

import (
	"math"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// layer is the working state of the search in one layer. It is reused from
// layer to layer. Times are relative to the ideal.
type layer struct {
	shape expertmap.Shape
	inv   []float64 // per rank: time that the whole layer's tokens would take, over the ideal
	share []float64 // per expert
	noise []float64 // per expert: deviation of share
	cells []uint16  // [rank][slot], own copy
	held  []bool    // per cell: loaded so lately that it must stay
	count []int32   // per expert: replicas
	part  []float64 // per expert: share of one replica
	hosts [][]uint16
	time  []float64 // per rank
	peak  []float64 // per rank: time of the expert that takes the longest
	holds []uint64  // bit set of [rank][expert]
	words int       // words of holds per rank
}

func newLayer(s expertmap.Shape, speed []float64) *layer {
	words := (s.Experts + 63) / 64
	l := &layer{
		shape: s,
		inv:   make([]float64, s.Ranks),
		cells: make([]uint16, s.Ranks*s.Slots),
		count: make([]int32, s.Experts),
		part:  make([]float64, s.Experts),
		hosts: make([][]uint16, s.Experts),
		time:  make([]float64, s.Ranks),
		peak:  make([]float64, s.Ranks),
		holds: make([]uint64, s.Ranks*words),
		words: words,
	}
	total := 0.0
	for _, v := range speed {
		total += v
	}
	for r, v := range speed {
		l.inv[r] = total / v
	}
	return l
}

// load sets the state to one layer of a map.
func (l *layer) load(cells []uint16, share, noise []float64, held []bool) {
	copy(l.cells, cells)
	l.share = share
	l.noise = noise
	l.held = held
	clear(l.count)
	clear(l.holds)
	for e := range l.hosts {
		l.hosts[e] = l.hosts[e][:0]
	}
	for i, e := range l.cells {
		if e != expertmap.Empty {
			l.attach(i/l.shape.Slots, e)
		}
	}
	for e, n := range l.count {
		l.part[e] = share[e] / float64(max(n, 1))
	}
	for r := range l.time {
		l.refresh(r)
	}
}

func (l *layer) attach(rank int, e uint16) {
	l.hosts[e] = append(l.hosts[e], uint16(rank))
	l.count[e]++
	l.holds[rank*l.words+int(e)/64] |= 1 << (e % 64)
}

func (l *layer) detach(rank int, e uint16) {
	i := slices.Index(l.hosts[e], uint16(rank))
	l.hosts[e] = slices.Delete(l.hosts[e], i, i+1)
	l.count[e]--
	l.holds[rank*l.words+int(e)/64] &^= 1 << (e % 64)
}

func (l *layer) has(rank int, e uint16) bool {
	return l.holds[rank*l.words+int(e)/64]&(1<<(e%64)) != 0
}

func (l *layer) row(rank int) []uint16 {
	return l.cells[rank*l.shape.Slots : (rank+1)*l.shape.Slots]
}

// refresh computes a rank's time from its row.
func (l *layer) refresh(rank int) {
	load, peak := 0.0, 0.0
	for _, e := range l.row(rank) {
		if e != expertmap.Empty {
			load += l.part[e]
			peak = max(peak, l.part[e])
		}
	}
	l.time[rank] = load * l.inv[rank]
	l.peak[rank] = peak * l.inv[rank]
}

// hottest returns the slowest rank and its time.
func (l *layer) hottest() (rank int, time float64) {
	for r, t := range l.time {
		if t > time {
			rank, time = r, t
		}
	}
	return rank, time
}

// deviation is the standard deviation of a rank's time that the noise of the
// demand explains.
func (l *layer) deviation(rank int) float64 {
	sum := 0.0
	for _, e := range l.row(rank) {
		if e != expertmap.Empty {
			d := l.noise[e] / float64(l.count[e])
			sum += d * d
		}
	}
	return math.Sqrt(sum) * l.inv[rank]
}

// set changes the content of a cell and the times of all ranks concerned.
func (l *layer) set(cell int, in uint16) {
	rank := cell / l.shape.Slots
	out := l.cells[cell]
	l.cells[cell] = in
	if out != expertmap.Empty {
		l.detach(rank, out)
		l.split(out)
	}
	if in != expertmap.Empty {
		l.attach(rank, in)
		l.split(in)
	}
	l.refresh(rank)
}

// split recomputes the part of an expert's replicas and its hosts' times.
func (l *layer) split(e uint16) {
	l.part[e] = l.share[e] / float64(max(l.count[e], 1))
	for _, r := range l.hosts[e] {
		l.refresh(int(r))
	}
}
