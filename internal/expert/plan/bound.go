package plan

import (
	"math"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Bound is a lower bound on the time of one layer's hottest rank, relative to
// the ideal, for any map of the shape. It lets tokens be divided over ranks at
// will and asks only that the replicas that each expert then needs fit into the
// slots: an expert with n replicas keeps some rank busy with 1/n of its tokens.
func Bound(s expertmap.Shape, share, speed []float64) float64 {
	total, fastest := 0.0, 0.0
	for _, v := range speed {
		total += v
		fastest = max(fastest, v)
	}
	heaviest := slices.Max(share)
	low, high := 1.0, max(1, heaviest*total/fastest)
	if fits(s, share, low*fastest/total) {
		return low
	}
	const precision = 1e-4
	for high-low > precision {
		mid := (low + high) / 2
		if fits(s, share, mid*fastest/total) {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}

// fits tells whether there are slots for enough replicas to keep each replica's
// part at or under most.
func fits(s expertmap.Shape, share []float64, most float64) bool {
	left := s.Ranks * s.Slots
	for _, d := range share {
		n := needed(d, most)
		if n > s.Ranks {
			return false
		}
		left -= n
	}
	return left >= 0
}

// needed is the number of replicas that keep each part of a share at or under most.
func needed(share, most float64) int {
	const slack = 1e-9
	return max(1, int(math.Ceil(share/most-slack)))
}

// FewestLoads is a lower bound on the loads that any plan needs to get from one
// layer's cells to a map whose hottest rank takes at most time, relative to the
// ideal. It is the larger of two bounds: replicas that are missing, and loads
// that take enough tokens off ranks whose experts are nowhere else.
func FewestLoads(s expertmap.Shape, cells []uint16, share, speed []float64, time float64) int {
	l := newLayer(s, speed)
	l.load(cells, share, nil, nil)
	total, fastest := 0.0, 0.0
	for _, v := range speed {
		total += v
		fastest = max(fastest, v)
	}
	missing := 0
	for e, d := range share {
		missing += max(0, needed(d, time*fastest/total)-int(l.count[e]))
	}
	stuck := 0
	for r := range l.time {
		stuck += l.stuck(r, time)
	}
	return max(missing, stuck)
}

// stuck is the number of a rank's sole replicas that must go elsewhere, at least
// in part, for it to take no longer than time.
func (l *layer) stuck(rank int, time float64) int {
	var sole []float64
	excess := -time / l.inv[rank]
	for _, e := range l.row(rank) {
		if e != expertmap.Empty && l.count[e] == 1 {
			sole = append(sole, l.share[e])
			excess += l.share[e]
		}
	}
	slices.Sort(sole)
	n := 0
	for excess > least && n < len(sole) {
		n++
		excess -= sole[len(sole)-n]
	}
	return n
}
