package plan

import (
	"math"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Bound returns a lower bound on the time of one layer's hottest rank, relative to
// the ideal, for any map of the shape. It assumes that tokens can be divided over
// the ranks freely, and requires only that there are enough slots for the replicas
// that each expert then needs: an expert with n replicas keeps some rank busy with
// 1/n of its tokens.
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

// fits reports whether there are enough slots for the replicas that keep the share of
// each replica at or below maxShare.
func fits(s expertmap.Shape, share []float64, maxShare float64) bool {
	freeSlots := s.Ranks * s.Slots
	for _, d := range share {
		n := neededReplicas(d, maxShare)
		if n > s.Ranks {
			return false
		}
		freeSlots -= n
	}
	return freeSlots >= 0
}

// neededReplicas returns how many replicas an expert needs so that each serves maxShare
// at most.
func neededReplicas(share, maxShare float64) int {
	const slack = 1e-9
	return max(1, int(math.Ceil(share/maxShare-slack)))
}

// FewestLoads returns a lower bound on the loads that any plan needs to change one
// layer's cells into a layer whose hottest rank takes no longer than maxTime,
// relative to the ideal. It is the larger of two bounds: the number of replicas that
// are missing, and the number of loads that move enough tokens away from ranks that
// hold the only replicas of their experts.
func FewestLoads(s expertmap.Shape, cells []uint16, share, speed []float64, maxTime float64) int {
	l := newLayer(s, speed)
	l.reset(cells, share, nil, nil)
	total, fastest := 0.0, 0.0
	for _, v := range speed {
		total += v
		fastest = max(fastest, v)
	}
	missing := 0
	for e, d := range share {
		missing += max(0, neededReplicas(d, maxTime*fastest/total)-int(l.replicas[e]))
	}
	moved := 0
	for r := range l.rankTime {
		moved += l.soleReplicasToMove(r, maxTime)
	}
	return max(missing, moved)
}

// soleReplicasToMove returns how many experts of which the rank holds the only replica
// must be loaded by other ranks, as a move or as a further replica, for the rank to
// take no longer than maxTime.
func (l *layer) soleReplicasToMove(rank int, maxTime float64) int {
	var soleShares []float64
	excess := -maxTime / l.fullTime[rank]
	for _, e := range l.row(rank) {
		if e != expertmap.Empty && l.replicas[e] == 1 {
			soleShares = append(soleShares, l.share[e])
			excess += l.share[e]
		}
	}
	slices.Sort(soleShares)
	n := 0
	for excess > minImprovement && n < len(soleShares) {
		n++
		excess -= soleShares[len(soleShares)-n]
	}
	return n
}
