package plan

import (
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Relabel returns a map that does the same as to, with the rows of each layer
// given to the ranks that already hold most of them. Rows are only exchanged
// among ranks of like speed. The maps have the same shape.
func Relabel(from, to *expertmap.Map, speed []float64) *expertmap.Map {
	m := to.Clone()
	for i := range from.Shape().Layers {
		relabelLayer(from.Layer(i), m.Layer(i), from.Shape(), speed)
	}
	return m
}

// relabelLayer reorders the rows of the cells to. Rows that share the most
// experts with a rank choose first.
func relabelLayer(from, to []uint16, s expertmap.Shape, speed []float64) {
	rows := slices.Clone(to)
	given := make([]bool, s.Ranks) // per row
	taken := make([]bool, s.Ranks) // per rank
	hosts := hostsOf(from, s)
	common := make([]int, s.Ranks)
	for want := s.Slots; want >= 0; want-- {
		for i := range s.Ranks {
			if given[i] {
				continue
			}
			row := rows[i*s.Slots : (i+1)*s.Slots]
			r := pick(row, hosts, common, taken, want, i, speed)
			if r < 0 {
				continue
			}
			given[i], taken[r] = true, true
			align(from[r*s.Slots:(r+1)*s.Slots], row, to[r*s.Slots:(r+1)*s.Slots])
		}
	}
}

func hostsOf(cells []uint16, s expertmap.Shape) [][]uint16 {
	hosts := make([][]uint16, s.Experts)
	for i, e := range cells {
		if e != expertmap.Empty {
			hosts[e] = append(hosts[e], uint16(i/s.Slots))
		}
	}
	return hosts
}

// pick finds a free rank, as fast as rank i, that holds at least want experts of
// the row, or -1.
func pick(row []uint16, hosts [][]uint16, common []int, taken []bool, want, i int, speed []float64) int {
	if want == 0 {
		for r := range taken {
			if !taken[r] && speed[r] == speed[i] {
				return r
			}
		}
		return -1
	}
	clear(common)
	for _, e := range row {
		if e == expertmap.Empty {
			continue
		}
		for _, r := range hosts[e] {
			common[r]++
			if common[r] >= want && !taken[r] && speed[r] == speed[i] {
				return int(r)
			}
		}
	}
	return -1
}

// align writes a row to dst, with the experts that the rank holds already in
// the slots where they are.
func align(held, row, dst []uint16) {
	for i, e := range held {
		dst[i] = expertmap.Empty
		if e != expertmap.Empty && slices.Contains(row, e) {
			dst[i] = e
		}
	}
	next := 0
	for _, e := range row {
		if e == expertmap.Empty || slices.Contains(held, e) {
			continue
		}
		for dst[next] != expertmap.Empty {
			next++
		}
		dst[next] = e
	}
}
