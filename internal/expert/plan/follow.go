package plan

import (
	"cmp"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Follow returns a copy of a map that is adapted to a demand that changes every few
// seconds. It considers only the current demand: an expert is copied in a tenth of a
// second, so a map that fits now is better than one that fits on average.
//
// In each layer it moves work away from the hottest rank, change by change, until no
// change helps. Layers whose hottest rank has the largest load come first. The demand is
// indexed by layer and expert, and layers without demand stay as they are. The result is
// nil if the changes together gain too little.
//
// The slowdown of a rank is its step time relative to the usual one; nil means 1 for all
// ranks. All ranks wait for the slowest, so experts move away from a slow one.
func Follow(m *expertmap.Map, demand, slowdown []float64, l FollowLimits) *expertmap.Map {
	s := m.Shape()
	next := m.Clone()
	before, after := 0.0, 0.0
	var layers []*follower
	for layer := range s.Layers {
		f := newFollower(s, next.Layer(layer), demand[layer*s.Experts:(layer+1)*s.Experts], slowdown, l.MaxCopiesPerLayer)
		if f == nil {
			continue
		}
		before += f.hottestLoad()
		layers = append(layers, f)
	}
	slices.SortStableFunc(layers, func(a, b *follower) int { return cmp.Compare(b.hottestLoad(), a.hottestLoad()) })
	copies := make([]int, s.Ranks)
	for _, f := range layers {
		f.copies, f.maxPerRank, f.evenLoad = copies, l.MaxCopiesPerRank, l.EvenLoad
		f.improve()
		for rank, n := range f.newCopies {
			copies[rank] += n
		}
		after += f.hottestLoad()
	}
	if before == 0 || (before-after)/before < l.MinGain {
		return nil
	}
	return next
}

// FollowLimits are the limits of one call of [Follow].
type FollowLimits struct {
	MaxCopiesPerLayer int // experts of one layer that a rank may copy
	// MaxCopiesPerRank is how many experts of all layers a rank may copy. The rank with the most
	// copies determines how long the map switch takes.
	MaxCopiesPerRank int
	MinGain          float64 // relative decrease of the summed layer times that a new map must reach
	// EvenLoad is the load of the hottest rank, relative to the mean, below which a layer
	// stays as it is, as further copies would cost more than they gain.
	EvenLoad float64
}

// Skew returns the mean, over the layers with demand, of the hottest rank's load divided
// by the mean load of the ranks. It is 1 if no layer has any demand.
func Skew(m *expertmap.Map, demand, slowdown []float64) float64 {
	s := m.Shape()
	sum, n := 0.0, 0
	for layer := range s.Layers {
		f := newFollower(s, m.Layer(layer), demand[layer*s.Experts:(layer+1)*s.Experts], slowdown, 0)
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
	shape       expertmap.Shape
	cells       []uint16  // rank by rank
	share       []float64 // by expert: part of the layer's tokens
	replicas    []int     // by expert
	holders     [][]int   // by expert: ranks that hold it
	load        []float64 // by rank: time that it takes for its tokens
	slowdown    []float64 // by rank; nil if it is 1 for all
	newCopies   []int     // by rank: experts of the layer that it must copy
	initial     []uint16  // the cells before any change
	maxPerLayer int       // how many experts of the layer a rank may copy
	copies      []int     // by rank: copies for the layers improved before
	maxPerRank  int       // how many experts of all layers a rank may copy
	evenLoad    float64   // see FollowLimits.EvenLoad
	affected    []int     // ranks whose load the change under evaluation affects
}

func newFollower(s expertmap.Shape, cells []uint16, demand, slowdown []float64, maxPerLayer int) *follower {
	total := 0.0
	for _, d := range demand {
		total += d
	}
	if total <= 0 {
		return nil
	}
	f := &follower{
		shape: s, cells: cells, maxPerLayer: maxPerLayer, slowdown: slowdown,
		share:     make([]float64, s.Experts),
		replicas:  make([]int, s.Experts),
		holders:   make([][]int, s.Experts),
		load:      make([]float64, s.Ranks),
		newCopies: make([]int, s.Ranks),
		initial:   slices.Clone(cells),
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
			f.load[rank] += f.share[e] / float64(f.replicas[e]) * f.slowdownOf(rank)
		}
	}
}

func (f *follower) slowdownOf(rank int) float64 {
	if f.slowdown == nil {
		return 1
	}
	return f.slowdown[rank]
}

func (f *follower) hottestLoad() float64 { return slices.Max(f.load) }

// edit is one change of a layer. It puts the expert in, which the hottest rank holds,
// into a cell of another rank. The hottest rank keeps its replica, exchanges it for the
// expert that was in the cell, or is left with an empty cell.
type edit struct {
	cell        int     // the cell of the other rank
	in          uint16  // the expert that is put into it
	from        int     // the cell of the hottest rank that the expert leaves; -1 if it keeps its replica
	leavesEmpty bool    // the cell from becomes empty
	cost        float64 // change of the sum of powers of the loads; below 0 is an improvement
}

// improve applies the best change until no change helps. Each change lowers the sum of
// powers of the loads, so the loop ends.
func (f *follower) improve() {
	for range f.shape.Ranks * f.shape.Slots {
		if f.hottestLoad()*float64(f.shape.Ranks) < f.evenLoad {
			return
		}
		best := f.bestEdit()
		if best.cost >= 0 {
			return
		}
		f.apply(best)
	}
}

// minEditGain is the least relative gain of a change, so that no expert is copied
// because of noise in the demand.
const minEditGain = 1e-3

// bestEdit returns the change with the lowest cost. Its cost is 0 if no change gains
// enough.
func (f *follower) bestEdit() edit {
	hotRank := slices.Index(f.load, f.hottestLoad())
	best := edit{cost: -minEditGain * power(f.load[hotRank])}
	found := false
	first := hotRank * f.shape.Slots
	for i := first; i < first+f.shape.Slots; i++ {
		e := f.cells[i]
		if e == expertmap.Empty {
			continue
		}
		for cell := range f.cells {
			f.consider(&best, &found, hotRank, i, e, cell)
		}
	}
	if !found {
		best.cost = 0
	}
	return best
}

// consider evaluates the ways to put the expert e of the hottest rank into a cell: as a
// further replica, as a move, and in exchange for the expert in the cell.
func (f *follower) consider(best *edit, found *bool, hotRank, from int, e uint16, cell int) {
	rank := cell / f.shape.Slots
	if rank == hotRank || f.load[rank] >= f.load[hotRank] || f.holds(rank, e) || !f.mayPlace(rank, cell, e) {
		return
	}
	out := f.cells[cell]
	if out == expertmap.Empty || f.replicas[out] > 1 {
		f.keepIfBetter(best, found, edit{cell: cell, in: e, from: -1})
		f.keepIfBetter(best, found, edit{cell: cell, in: e, from: from, leavesEmpty: true})
	}
	if out == expertmap.Empty || f.holds(hotRank, out) || !f.mayPlace(hotRank, from, out) {
		return
	}
	f.keepIfBetter(best, found, edit{cell: cell, in: e, from: from})
}

// keepIfBetter replaces best by a candidate of lower cost.
func (f *follower) keepIfBetter(best *edit, found *bool, candidate edit) {
	candidate.cost = f.costOf(candidate)
	if candidate.cost < best.cost {
		*best, *found = candidate, true
	}
}

func (f *follower) holds(rank int, e uint16) bool {
	return slices.Contains(f.cells[rank*f.shape.Slots:(rank+1)*f.shape.Slots], e)
}

// heldBefore reports whether a rank held an expert before any change.
func (f *follower) heldBefore(rank int, e uint16) bool {
	return slices.Contains(f.initial[rank*f.shape.Slots:(rank+1)*f.shape.Slots], e)
}

// mayPlace reports whether a rank may take an expert into a cell. It may if it held the
// expert before, so that nothing is copied, or if one more copy is within the limits.
func (f *follower) mayPlace(rank, cell int, e uint16) bool {
	if f.heldBefore(rank, e) {
		return true
	}
	newCopies := f.newCopies[rank]
	if out := f.cells[cell]; out != expertmap.Empty && !f.heldBefore(rank, out) {
		newCopies-- // the expert replaces another new copy
	}
	return newCopies < f.maxPerLayer && f.copies[rank]+newCopies < f.maxPerRank
}

// power is a convex function of a load, so that the hottest ranks dominate the sum.
func power(load float64) float64 {
	square := load * load
	return square * square
}

// costOf returns by how much a change raises the sum of powers of the loads. It affects
// only the ranks that hold one of the two experts.
func (f *follower) costOf(ed edit) float64 {
	before := 0.0
	ranks := f.listAffected(ed)
	for _, r := range ranks {
		before += power(f.load[r])
	}
	out := f.cells[ed.cell]
	f.place(ed)
	after := 0.0
	for _, r := range ranks {
		after += power(f.loadOf(r))
	}
	f.revert(ed, out)
	return after - before
}

// listAffected returns the ranks whose load a change affects, each once.
func (f *follower) listAffected(ed edit) []int {
	f.affected = append(f.affected[:0], ed.cell/f.shape.Slots)
	f.addAffected(f.holders[ed.in])
	if out := f.cells[ed.cell]; out != expertmap.Empty {
		f.addAffected(f.holders[out])
	}
	return f.affected
}

func (f *follower) addAffected(ranks []int) {
	for _, r := range ranks {
		if !slices.Contains(f.affected, r) {
			f.affected = append(f.affected, r)
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
	return load * f.slowdownOf(rank)
}

// place makes a change in the cells and replica counts.
func (f *follower) place(ed edit) {
	out := f.cells[ed.cell]
	f.cells[ed.cell] = ed.in
	switch {
	case ed.leavesEmpty:
		f.cells[ed.from] = expertmap.Empty
	case ed.from >= 0:
		f.cells[ed.from] = out
		return
	default:
		f.replicas[ed.in]++
	}
	if out != expertmap.Empty {
		f.replicas[out]--
	}
}

// revert undoes place. The expert out is the one that was in the cell before.
func (f *follower) revert(ed edit, out uint16) {
	f.cells[ed.cell] = out
	switch {
	case ed.leavesEmpty:
		f.cells[ed.from] = ed.in
	case ed.from >= 0:
		f.cells[ed.from] = ed.in
		return
	default:
		f.replicas[ed.in]--
	}
	if out != expertmap.Empty {
		f.replicas[out]++
	}
}

// apply makes a change and recomputes everything that depends on the cells.
func (f *follower) apply(ed edit) {
	out, to := f.cells[ed.cell], ed.cell/f.shape.Slots
	f.holders[ed.in] = append(f.holders[ed.in], to)
	if out != expertmap.Empty {
		f.holders[out] = withoutRank(f.holders[out], to)
	}
	if ed.from >= 0 {
		hotRank := ed.from / f.shape.Slots
		f.holders[ed.in] = withoutRank(f.holders[ed.in], hotRank)
		if !ed.leavesEmpty {
			f.holders[out] = append(f.holders[out], hotRank)
		}
	}
	f.place(ed)
	f.reload()
	for rank := range f.newCopies {
		f.newCopies[rank] = 0
		for _, e := range f.cells[rank*f.shape.Slots : (rank+1)*f.shape.Slots] {
			if e != expertmap.Empty && !f.heldBefore(rank, e) {
				f.newCopies[rank]++
			}
		}
	}
}

func withoutRank(ranks []int, r int) []int {
	return slices.DeleteFunc(ranks, func(o int) bool { return o == r })
}
