package expertmap

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// ErrChanges reports a list of changes that doesn't fit the map that it is applied to.
var ErrChanges = merry.New("expert map: changes do not fit")

// Placement is one expert of one layer on one rank.
type Placement struct {
	Rank   uint16 `cbor:"1,keyasint" json:"rank"`
	Layer  uint16 `cbor:"2,keyasint" json:"layer"`
	Expert uint16 `cbor:"3,keyasint" json:"expert"`
}

// Difference lists what a group has to load and drop to get from one map to
// another. Both lists are ordered by rank, then layer. An expert that only
// changes its slot on a rank is in neither.
type Difference struct {
	Loads []Placement // weights that a rank needs and doesn't hold yet
	Drops []Placement // weights that a rank no longer needs
}

// Diff returns the difference that leads from one map to another. It returns
// [ErrShape] if the maps have different shapes.
func Diff(from, to *Map) (Difference, error) {
	var d Difference
	if from.shape != to.shape {
		return d, merry.Appendf(ErrShape, "%+v and %+v differ", from.shape, to.shape)
	}
	for rank := range from.shape.Ranks {
		for layer := range from.shape.Layers {
			fromRow, toRow := from.Row(layer, rank), to.Row(layer, rank)
			d.Loads = appendMissing(d.Loads, rank, layer, toRow, fromRow)
			d.Drops = appendMissing(d.Drops, rank, layer, fromRow, toRow)
		}
	}
	return d, nil
}

// appendMissing appends the experts of row a that row b doesn't hold, each once.
func appendMissing(dst []Placement, rank, layer int, a, b []uint16) []Placement {
	for slot, e := range a {
		if e == Empty || slices.Contains(b, e) || slices.Contains(a[:slot], e) {
			continue
		}
		dst = append(dst, Placement{uint16(rank), uint16(layer), e})
	}
	return dst
}

// LoadsPerRank returns the number of loads on each rank, indexed by rank.
func (d Difference) LoadsPerRank(ranks int) []int {
	n := make([]int, ranks)
	for _, p := range d.Loads {
		n[p.Rank]++
	}
	return n
}

// Bytes returns how many bytes all loads together fetch from the weight store, if
// the weights of one expert of one layer take perExpert bytes.
func (d Difference) Bytes(perExpert int64) int64 {
	return int64(len(d.Loads)) * perExpert
}

// ForRank returns the loads of one rank.
func (d Difference) ForRank(rank int) []Placement {
	var loads []Placement
	for _, p := range d.Loads {
		if int(p.Rank) == rank {
			loads = append(loads, p)
		}
	}
	return loads
}

// SlotChange sets the content of one slot. Cell is the index of the slot, counted by
// layer, then rank, then slot.
type SlotChange struct {
	Cell   uint32 `cbor:"1,keyasint"`
	Expert uint16 `cbor:"2,keyasint"`
}

// SlotChanges returns the slots in which two maps differ, with their new contents. A
// list of changes is much smaller than a map when few experts move. It returns
// [ErrShape] if the maps have different shapes.
func SlotChanges(from, to *Map) ([]SlotChange, error) {
	if from.shape != to.shape {
		return nil, merry.Appendf(ErrShape, "%+v and %+v differ", from.shape, to.shape)
	}
	var list []SlotChange
	for i, e := range to.cells {
		if from.cells[i] != e {
			list = append(list, SlotChange{uint32(i), e})
		}
	}
	return list, nil
}

// Apply returns a copy of the map with the changes applied. It returns [ErrChanges]
// if a change lies outside of the map.
func (m *Map) Apply(list []SlotChange) (*Map, error) {
	c := m.Clone()
	for _, change := range list {
		if int64(change.Cell) >= int64(len(c.cells)) {
			return nil, merry.Appendf(ErrChanges, "cell %d of a map of %d", change.Cell, len(c.cells))
		}
		c.cells[change.Cell] = change.Expert
	}
	return c, nil
}
