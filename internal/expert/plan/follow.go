package plan

import (
	"cmp"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Follow changes a map towards a demand that moves every few seconds. It looks only
// at the next moments: experts copy in a tenth of a second, so a map that fits now
// is worth more than one that will fit on average.
//
// In each layer it takes work off the hottest rank, change by change, until none
// helps; the layers whose hottest rank is worst come first. Demand is given by layer
// and expert; layers without any are left alone. The result is nil if no change
// wins enough.
//
// Pace is how much longer than usual each rank takes for its work; nil if all are
// alike. All ranks wait for the slowest, so a slow one gives its experts to others.
func Follow(m *expertmap.Map, demand, pace []float64, l FollowLimits) *expertmap.Map {
	s := m.Shape()
	next := m.Clone()
	before, after := 0.0, 0.0
	var layers []*follower
	for layer := range s.Layers {
		f := newFollower(s, next.Layer(layer), demand[layer*s.Experts:(layer+1)*s.Experts], pace, l.PerLayer)
		if f == nil {
			continue
		}
		before += f.hottestLoad()
		layers = append(layers, f)
	}
	slices.SortStableFunc(layers, func(a, b *follower) int { return cmp.Compare(b.hottestLoad(), a.hottestLoad()) })
	copies := make([]int, s.Ranks)
	for _, f := range layers {
		f.copies, f.perRank, f.even = copies, l.PerRank, l.Even
		f.improve()
		for rank, n := range f.fresh {
			copies[rank] += n
		}
		after += f.hottestLoad()
	}
	if before == 0 || (before-after)/before < l.Gain {
		return nil
	}
	return next
}

// FollowLimits bound one change of map.
type FollowLimits struct {
	PerLayer int     // experts of a layer that a rank may copy
	PerRank  int     // experts that a rank may copy at all; the one with most decides how long it takes
	Gain     float64 // part of the layers' times that a change must win, together
	// Even is the hottest rank's load, relative to the mean, below which a layer is left
	// alone: further copies cost more than the little that they win.
	Even float64
}

// Skew is the mean over the layers of the hottest rank's work over that of the mean
// rank. Layers without demand are left out; it is 1 if no layer has any.
func Skew(m *expertmap.Map, demand, pace []float64) float64 {
	s := m.Shape()
	sum, n := 0.0, 0
	for layer := range s.Layers {
		f := newFollower(s, m.Layer(layer), demand[layer*s.Experts:(layer+1)*s.Experts], pace, 0)
		if f == nil {
			continue
		}
		sum += f.hottestLoad() * float64(s.Ranks)
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// follower improves one layer.
type follower struct {
	shape    expertmap.Shape
	cells    []uint16  // rank by rank
	share    []float64 // of the layer's tokens, by expert
	replicas []int
	holders  [][]int   // ranks that hold an expert
	load     []float64 // by rank, in the time that it takes
	pace     []float64 // by rank; nil if all are alike
	fresh    []int     // experts that a rank must copy
	was      []uint16  // the cells before
	spare    int
	copies   []int // that ranks make for other layers
	perRank  int
	even     float64
	ranks    []int // those that a weighed change touches
}

func newFollower(s expertmap.Shape, cells []uint16, demand, pace []float64, spare int) *follower {
	total := 0.0
	for _, d := range demand {
		total += d
	}
	if total <= 0 {
		return nil
	}
	f := &follower{
		shape: s, cells: cells, spare: spare, pace: pace,
		share:    make([]float64, s.Experts),
		replicas: make([]int, s.Experts),
		holders:  make([][]int, s.Experts),
		load:     make([]float64, s.Ranks),
		fresh:    make([]int, s.Ranks),
		was:      slices.Clone(cells),
	}
	for e, d := range demand {
		f.share[e] = d / total
	}
	for cell, e := range cells {
		if e != expertmap.Empty {
			f.replicas[e]++
			f.holders[e] = append(f.holders[e], cell/s.Slots)
		}
	}
	f.reload()
	return f
}

// reload computes the ranks' loads from the cells.
func (f *follower) reload() {
	clear(f.load)
	for cell, e := range f.cells {
		if e != expertmap.Empty {
			rank := cell / f.shape.Slots
			f.load[rank] += f.share[e] / float64(f.replicas[e]) * f.paceOf(rank)
		}
	}
}

func (f *follower) paceOf(rank int) float64 {
	if f.pace == nil {
		return 1
	}
	return f.pace[rank]
}

func (f *follower) hottestLoad() float64 { return slices.Max(f.load) }

// step is one change: the expert in, of the hottest rank, is put into a cell. It stays
// where it was too, or leaves: then what was in the cell goes there in exchange, or
// nothing does.
type step struct {
	cell  int    // of another rank
	in    uint16 // the expert that is put there
	from  int    // cell of the hottest rank that it leaves; -1 if it stays
	moves bool   // it leaves, and nothing comes back
	cost  float64
}

// improve does the best change until none helps. Each lowers the sum of powers of
// the loads, so it ends.
func (f *follower) improve() {
	for range f.shape.Ranks * f.shape.Slots {
		if f.hottestLoad()*float64(f.shape.Ranks) < f.even {
			return
		}
		best := f.bestStep()
		if best.cost >= 0 {
			return
		}
		f.apply(best)
	}
}

// minStep is the least relative gain of a change, so that noise in the demand is not
// worth the copying of an expert.
const minStep = 1e-3

func (f *follower) bestStep() step {
	hot := slices.Index(f.load, f.hottestLoad())
	best := step{cost: -minStep * power(f.load[hot])}
	found := false
	first := hot * f.shape.Slots
	for i := first; i < first+f.shape.Slots; i++ {
		e := f.cells[i]
		if e == expertmap.Empty {
			continue
		}
		for cell := range f.cells {
			f.consider(&best, &found, hot, i, e, cell)
		}
	}
	if !found {
		best.cost = 0
	}
	return best
}

// consider weighs putting the expert e of the hottest rank into a cell, as a further
// replica and in exchange.
func (f *follower) consider(best *step, found *bool, hot, from int, e uint16, cell int) {
	rank := cell / f.shape.Slots
	if rank == hot || f.load[rank] >= f.load[hot] || f.holds(rank, e) || !f.mayTake(rank, cell, e) {
		return
	}
	out := f.cells[cell]
	if out == expertmap.Empty || f.replicas[out] > 1 {
		f.weigh(best, found, step{cell: cell, in: e, from: -1})
		f.weigh(best, found, step{cell: cell, in: e, from: from, moves: true})
	}
	if out == expertmap.Empty || f.holds(hot, out) || !f.mayTake(hot, from, out) {
		return
	}
	f.weigh(best, found, step{cell: cell, in: e, from: from})
}

func (f *follower) weigh(best *step, found *bool, try step) {
	try.cost = f.costOf(try)
	if try.cost < best.cost {
		*best, *found = try, true
	}
}

func (f *follower) holds(rank int, e uint16) bool {
	return slices.Contains(f.cells[rank*f.shape.Slots:(rank+1)*f.shape.Slots], e)
}

func (f *follower) held(rank int, e uint16) bool {
	return slices.Contains(f.was[rank*f.shape.Slots:(rank+1)*f.shape.Slots], e)
}

// mayTake tells whether a rank can copy one more expert, into a cell.
func (f *follower) mayTake(rank, cell int, e uint16) bool {
	if f.held(rank, e) {
		return true
	}
	fresh := f.fresh[rank]
	if out := f.cells[cell]; out != expertmap.Empty && !f.held(rank, out) {
		fresh-- // it takes the place of another copy
	}
	return fresh < f.spare && f.copies[rank]+fresh < f.perRank
}

// power makes the hottest ranks count most.
func power(load float64) float64 {
	square := load * load
	return square * square
}

// costOf computes how a change moves the sum of powers. Only the ranks that hold one
// of the two experts are touched.
func (f *follower) costOf(t step) float64 {
	before := 0.0
	ranks := f.touched(t)
	for _, r := range ranks {
		before += power(f.load[r])
	}
	undo := f.cells[t.cell]
	f.place(t)
	after := 0.0
	for _, r := range ranks {
		after += power(f.loadOf(r))
	}
	f.unplace(t, undo)
	return after - before
}

// touched lists the ranks whose load a change moves, each once.
func (f *follower) touched(t step) []int {
	f.ranks = append(f.ranks[:0], t.cell/f.shape.Slots)
	f.touch(f.holders[t.in])
	if out := f.cells[t.cell]; out != expertmap.Empty {
		f.touch(f.holders[out])
	}
	return f.ranks
}

func (f *follower) touch(ranks []int) {
	for _, r := range ranks {
		if !slices.Contains(f.ranks, r) {
			f.ranks = append(f.ranks, r)
		}
	}
}

func (f *follower) loadOf(rank int) float64 {
	load := 0.0
	for _, e := range f.cells[rank*f.shape.Slots : (rank+1)*f.shape.Slots] {
		if e != expertmap.Empty {
			load += f.share[e] / float64(f.replicas[e])
		}
	}
	return load * f.paceOf(rank)
}

// place puts a change into the cells.
func (f *follower) place(t step) {
	out := f.cells[t.cell]
	f.cells[t.cell] = t.in
	switch {
	case t.moves:
		f.cells[t.from] = expertmap.Empty
	case t.from >= 0:
		f.cells[t.from] = out
		return
	default:
		f.replicas[t.in]++
	}
	if out != expertmap.Empty {
		f.replicas[out]--
	}
}

// unplace takes a change back.
func (f *follower) unplace(t step, out uint16) {
	f.cells[t.cell] = out
	switch {
	case t.moves:
		f.cells[t.from] = t.in
	case t.from >= 0:
		f.cells[t.from] = t.in
		return
	default:
		f.replicas[t.in]--
	}
	if out != expertmap.Empty {
		f.replicas[out]++
	}
}

func (f *follower) apply(t step) {
	out, to := f.cells[t.cell], t.cell/f.shape.Slots
	f.holders[t.in] = append(f.holders[t.in], to)
	if out != expertmap.Empty {
		f.holders[out] = without(f.holders[out], to)
	}
	if t.from >= 0 {
		hot := t.from / f.shape.Slots
		f.holders[t.in] = without(f.holders[t.in], hot)
		if !t.moves {
			f.holders[out] = append(f.holders[out], hot)
		}
	}
	f.place(t)
	f.reload()
	for rank := range f.fresh {
		f.fresh[rank] = 0
		for _, e := range f.cells[rank*f.shape.Slots : (rank+1)*f.shape.Slots] {
			if e != expertmap.Empty && !f.held(rank, e) {
				f.fresh[rank]++
			}
		}
	}
}

func without(ranks []int, r int) []int {
	return slices.DeleteFunc(ranks, func(o int) bool { return o == r })
}
