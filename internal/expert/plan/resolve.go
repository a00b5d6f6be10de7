package plan

import (
	"container/heap"
	"math"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Resolve computes a map without regard to the active one. In each layer it assigns
// the spare slots to the experts whose replicas serve the largest shares. Then it
// places the replicas, largest first, each on the rank that would finish it soonest.
// It serves as a baseline, and gives the first map when there is none.
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

// replica is a replica that has no rank yet.
type replica struct {
	expert uint16
	share  float64 // part of the layer's tokens that it serves
}

// expertHeap is a heap of experts. On top is the one whose replicas serve the largest
// share.
type expertHeap struct {
	share []float64 // per expert
	count []int     // per expert: number of replicas
	order []uint16  // experts in the order of the heap
}

// replicaShare returns the share that each replica of the expert at index i of the heap
// serves.
func (h *expertHeap) replicaShare(i int) float64 {
	e := h.order[i]
	return h.share[e] / float64(h.count[e])
}

// Len returns the number of experts.
func (h *expertHeap) Len() int { return len(h.order) }

// Less orders experts by descending share of their replicas.
func (h *expertHeap) Less(i, j int) bool { return h.replicaShare(i) > h.replicaShare(j) }

// Swap exchanges two experts.
func (h *expertHeap) Swap(i, j int) { h.order[i], h.order[j] = h.order[j], h.order[i] }

// Push does nothing, as no expert is ever added. [heap.Interface] requires it.
func (h *expertHeap) Push(any) {}

// Pop removes and returns the last expert.
func (h *expertHeap) Pop() any {
	last := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return last
}

// replicate assigns the spare slots of a layer, one after another, to the expert whose
// replicas serve the largest share at that point. It returns all replicas, largest
// share first.
func replicate(s expertmap.Shape, share []float64) []replica {
	h := &expertHeap{share: share, count: make([]int, s.Experts)}
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
		case a.share > b.share:
			return -1
		case a.share < b.share:
			return 1
		}
		return 0
	})
	return list
}

// pack places the replicas, each on the rank that would finish it soonest. A replica
// is left out if all ranks with free slots hold one of the same expert.
func pack(cells []uint16, s expertmap.Shape, list []replica, speed []float64) {
	used := make([]int, s.Ranks) // slots per rank
	load := make([]float64, s.Ranks)
	freeRanks := make([]int, s.Ranks) // ranks with free slots
	for r := range freeRanks {
		freeRanks[r] = r
	}
	for _, p := range list {
		i := soonest(freeRanks, p, cells, used, load, speed, s.Slots)
		if i < 0 {
			continue
		}
		r := freeRanks[i]
		cells[r*s.Slots+used[r]] = p.expert
		used[r]++
		load[r] += p.share
		if used[r] == s.Slots {
			freeRanks = slices.Delete(freeRanks, i, i+1)
		}
	}
}

// soonest returns the index in freeRanks of the rank that would finish a replica first
// and doesn't hold its expert, or -1 if there is none.
func soonest(freeRanks []int, p replica, cells []uint16, used []int, load, speed []float64, slots int) int {
	best, earliest := -1, math.Inf(1)
	for i, r := range freeRanks {
		finish := (load[r] + p.share) / speed[r]
		if finish >= earliest {
			continue
		}
		first := r * slots
		if slices.Contains(cells[first:first+used[r]], p.expert) {
			continue
		}
		best, earliest = i, finish
	}
	return best
}
