package plan

import (
	"cmp"
	"math"
	"slices"
)

// segment is a run of changes of one layer that are accepted or rejected together.
type segment struct {
	layer    int
	from     int // index of the first change
	to       int // index after the last change
	loads    int
	gain     float64 // decrease of the layer's relative time
	slope    float64 // gain per load
	repacked bool    // repacks the whole layer
}

// segments divides the changes of a layer at the corners of the lower convex hull
// of time over loads, so that each segment gains less per load than the one
// before. A time below floor counts as floor, as a difference below it is noise.
func segments(dst []segment, layer int, changes []change, start, floor float64) []segment {
	first := len(dst)
	last := change{time: start}
	least := math.Inf(1) // slope of the segment before
	for from := 0; from < len(changes); {
		to, slope := steepest(changes, from, last, floor)
		if slope <= 0 {
			break
		}
		// Rounding can make the slope of a segment greater than that of the one before, if they are equal. The later
		// one would be sorted first, and accepted without the changes that it begins from.
		slope = min(slope, least)
		least = slope
		c := changes[to]
		dst = append(dst, segment{
			layer:    layer,
			from:     from,
			to:       to + 1,
			loads:    int(c.loads - last.loads),
			gain:     max(last.time, floor) - max(c.time, floor),
			slope:    slope,
			repacked: c.repacked,
		})
		from, last = to+1, c
	}
	return dst[:max(first, len(dst))]
}

// steepest finds the change after last that gains the most per load, both counted
// from last, and returns its index and its gain per load.
func steepest(changes []change, from int, last change, floor float64) (at int, slope float64) {
	for i := from; i < len(changes); i++ {
		gain := max(last.time, floor) - max(changes[i].time, floor)
		loads := float64(changes[i].loads - last.loads)
		// The constant avoids a division by zero, so that changes without loads
		// come first, ordered by gain.
		const free = 1e-3
		if s := gain / max(loads, free); s > slope {
			at, slope = i, s
		}
	}
	return at, slope
}

// bySlope orders segments by descending gain per load. Those of one layer keep their
// order.
func bySlope(a, b segment) int {
	return cmp.Or(
		cmp.Compare(b.slope, a.slope),
		cmp.Compare(a.layer, b.layer),
		cmp.Compare(a.from, b.from),
	)
}

func sortSegments(list []segment) {
	slices.SortFunc(list, bySlope)
}
