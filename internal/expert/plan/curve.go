package plan

import (
	"cmp"
	"slices"
)

// segment is a run of a layer's changes that are worth taking together.
type segment struct {
	layer int
	from  int // first change
	to    int // one past the last change
	loads int
	win   float64 // relative time won by the layer
	slope float64 // win per load
	anew  bool    // packs the layer anew
}

// segments cuts the changes of a layer at the corners of the lower convex hull
// of time over loads, so that each segment wins less per load than the one
// before. Time under floor counts as floor: what lies below is noise.
func segments(dst []segment, layer int, changes []change, start, floor float64) []segment {
	first := len(dst)
	last := change{time: start}
	for from := 0; from < len(changes); {
		to, slope := steepest(changes, from, last, floor)
		if slope <= 0 {
			break
		}
		c := changes[to]
		dst = append(dst, segment{
			layer: layer,
			from:  from,
			to:    to + 1,
			loads: int(c.loads - last.loads),
			win:   max(last.time, floor) - max(c.time, floor),
			slope: slope,
			anew:  c.anew,
		})
		from, last = to+1, c
	}
	return dst[:max(first, len(dst))]
}

// steepest finds the change that wins the most per load counted from last.
func steepest(changes []change, from int, last change, floor float64) (at int, slope float64) {
	for i := from; i < len(changes); i++ {
		win := max(last.time, floor) - max(changes[i].time, floor)
		loads := float64(changes[i].loads - last.loads)
		// Changes without loads come first; the constant keeps their order.
		const free = 1e-3
		if s := win / max(loads, free); s > slope {
			at, slope = i, s
		}
	}
	return at, slope
}

// bySlope orders segments by what a load wins; those of a layer stay in order.
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
