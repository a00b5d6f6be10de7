package plan

import (
	"container/heap"
	"math"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Resolve computes a map from nothing: in each layer it gives the spare slots
// to the experts with the largest parts, then packs the replicas, largest
// first, each on the rank that finishes it soonest. It is the baseline that
// ignores the map in force, and the way to a first map when there is none.
func Resolve(s expertmap.Shape, share, speed []float64) (*expertmap.Map, error) {
	m, err := expertmap.New(s)
	if err != nil {
		return nil, err
	}
	if err := fit(s, share, speed); err != nil {
		return nil, err
	}
	for i := range s.Layers {
		resolveLayer(m.Layer(i), s, share[i*s.Experts:(i+1)*s.Experts], speed)
	}
	return m, nil
}

// resolveLayer fills the cells of a layer.
func resolveLayer(cells []uint16, s expertmap.Shape, share, speed []float64) {
	for i := range cells {
		cells[i] = expertmap.Empty
	}
	pack(cells, s, replicate(s, share), speed)
}

// replica is one of the replicas that wait for a rank.
type replica struct {
	expert uint16
	part   float64
}

// replicas is a heap of experts with the largest part on top.
type replicas struct {
	share []float64
	count []int
	order []uint16
}

func (h *replicas) part(i int) float64 {
	e := h.order[i]
	return h.share[e] / float64(h.count[e])
}

// Len is the number of experts.
func (h *replicas) Len() int { return len(h.order) }

// Less puts the larger part first.
func (h *replicas) Less(i, j int) bool { return h.part(i) > h.part(j) }

// Swap exchanges two experts.
func (h *replicas) Swap(i, j int) { h.order[i], h.order[j] = h.order[j], h.order[i] }

// Push is not used.
func (h *replicas) Push(any) {}

// Pop removes the last expert.
func (h *replicas) Pop() any {
	last := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return last
}

// replicate gives the spare slots of a layer, one after another, to the expert
// with the largest part, and returns all replicas, largest first.
func replicate(s expertmap.Shape, share []float64) []replica {
	h := &replicas{share: share, count: make([]int, s.Experts)}
	for e := range h.count {
		h.count[e] = 1
		h.order = append(h.order, uint16(e))
	}
	heap.Init(h)
	for spare := s.Ranks*s.Slots - s.Experts; spare > 0 && h.Len() > 0; {
		e := h.order[0]
		if h.count[e] == s.Ranks {
			heap.Pop(h)
			continue
		}
		h.count[e]++
		spare--
		heap.Fix(h, 0)
	}
	var list []replica
	for e, n := range h.count {
		for range n {
			list = append(list, replica{uint16(e), share[e] / float64(n)})
		}
	}
	slices.SortStableFunc(list, func(a, b replica) int {
		switch {
		case a.part > b.part:
			return -1
		case a.part < b.part:
			return 1
		}
		return 0
	})
	return list
}

// pack places the replicas, each on the rank that would finish it soonest. A
// replica that only fits beside another one of its expert is left out.
func pack(cells []uint16, s expertmap.Shape, list []replica, speed []float64) {
	used := make([]int, s.Ranks)
	load := make([]float64, s.Ranks)
	open := make([]int, s.Ranks) // ranks with free slots
	for r := range open {
		open[r] = r
	}
	for _, p := range list {
		i := soonest(open, p, cells, used, load, speed, s.Slots)
		if i < 0 {
			continue
		}
		r := open[i]
		cells[r*s.Slots+used[r]] = p.expert
		used[r]++
		load[r] += p.part
		if used[r] == s.Slots {
			open = slices.Delete(open, i, i+1)
		}
	}
}

// soonest is the index in open of the rank that would finish a replica first and
// doesn't hold its expert, or -1.
func soonest(open []int, p replica, cells []uint16, used []int, load, speed []float64, slots int) int {
	best, finish := -1, math.Inf(1)
	for i, r := range open {
		at := (load[r] + p.part) / speed[r]
		if at >= finish {
			continue
		}
		first := r * slots
		if slices.Contains(cells[first:first+used[r]], p.expert) {
			continue
		}
		best, finish = i, at
	}
	return best
}
