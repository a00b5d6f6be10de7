package plan

import (
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Relabel returns a map that divides the work like to, but assigns the rows of each
// layer to the ranks that hold most of their experts in from, which saves loads. A row
// consists of the cells of one rank in one layer. Rows are only exchanged among ranks of
// equal speed. The maps must have the same shape.
func Relabel(from, to *expertmap.Map, speed []float64) *expertmap.Map {
	m := to.Clone()
	for i := range from.Shape().Layers {
		relabelLayer(from.Layer(i), m.Layer(i), from.Shape(), speed)
	}
	return m
}

// relabelLayer reorders the rows of the cells to. Rows that have the most experts in
// common with a rank are assigned first.
func relabelLayer(from, to []uint16, s expertmap.Shape, speed []float64) {
	rows := slices.Clone(to)
	assigned := make([]bool, s.Ranks) // per row: it has a rank
	used := make([]bool, s.Ranks)     // per rank: it has a row
	holders := holdersOf(from, s)
	common := make([]int, s.Ranks)
	for minCommon := s.Slots; minCommon >= 0; minCommon-- {
		for i := range s.Ranks {
			if assigned[i] {
				continue
			}
			row := rows[i*s.Slots : (i+1)*s.Slots]
			r := findRank(row, holders, common, used, minCommon, i, speed)
			if r < 0 {
				continue
			}
			assigned[i], used[r] = true, true
			align(from[r*s.Slots:(r+1)*s.Slots], row, to[r*s.Slots:(r+1)*s.Slots])
		}
	}
}

// holdersOf lists for each expert the ranks that hold a replica.
func holdersOf(cells []uint16, s expertmap.Shape) [][]uint16 {
	holders := make([][]uint16, s.Experts)
	for i, e := range cells {
		if e != expertmap.Empty {
			holders[e] = append(holders[e], uint16(i/s.Slots))
		}
	}
	return holders
}

// findRank returns a rank without a row that is as fast as rank i and holds at least
// minCommon experts of the row, or -1 if there is none.
func findRank(row []uint16, holders [][]uint16, common []int, used []bool, minCommon, i int, speed []float64) int {
	if minCommon == 0 {
		for r := range used {
			if !used[r] && speed[r] == speed[i] {
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
		for _, r := range holders[e] {
			common[r]++
			if common[r] >= minCommon && !used[r] && speed[r] == speed[i] {
				return int(r)
			}
		}
	}
	return -1
}

// align writes a row to dst. Experts that the rank holds already stay in their slots.
func align(current, row, dst []uint16) {
	for i, e := range current {
		dst[i] = expertmap.Empty
		if e != expertmap.Empty && slices.Contains(row, e) {
			dst[i] = e
		}
	}
	next := 0
	for _, e := range row {
		if e == expertmap.Empty || slices.Contains(current, e) {
			continue
		}
		for dst[next] != expertmap.Empty {
			next++
		}
		dst[next] = e
	}
}
