// Package expertmap holds expert maps: which rank of a group holds a replica of
// which expert, layer by layer.
//
// A map has a fixed number of slots on each rank and layer. A slot holds one
// expert or is empty. The cells are one flat slice of uint16, so that a planner
// can change them in place and scan them in order.
package expertmap

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// Empty is the content of a slot that holds no expert.
const Empty uint16 = 0xFFFF

// Bounds of a map. A decoder refuses a map that exceeds them before it allocates
// memory for it.
const (
	MaxLayers  = 1024
	MaxExperts = 4096
	MaxRanks   = 2048
	MaxSlots   = 256
	MaxCells   = 1 << 19
)

// ErrShape reports a shape that is out of bounds, or two maps of different shapes.
var ErrShape = merry.New("expert map: bad shape")

// Shape is the size of a map.
type Shape struct {
	Layers  int `cbor:"1,keyasint" json:"layers"`
	Experts int `cbor:"2,keyasint" json:"experts"` // experts per layer
	Ranks   int `cbor:"3,keyasint" json:"ranks"`
	Slots   int `cbor:"4,keyasint" json:"slots"` // slots per rank and layer
}

// Cells returns the number of slots over all ranks and layers.
func (s Shape) Cells() int {
	return s.Layers * s.Ranks * s.Slots
}

// Check returns [ErrShape] if the shape is out of bounds or has fewer slots
// than experts in a layer.
func (s Shape) Check() error {
	inBounds := s.Layers > 0 && s.Layers <= MaxLayers &&
		s.Experts > 0 && s.Experts <= MaxExperts &&
		s.Ranks > 0 && s.Ranks <= MaxRanks &&
		s.Slots > 0 && s.Slots <= MaxSlots
	if !inBounds {
		return merry.Appendf(ErrShape, "%+v is out of bounds", s)
	}
	if s.Cells() > MaxCells {
		return merry.Appendf(ErrShape, "%d cells are too many", s.Cells())
	}
	if s.Ranks*s.Slots < s.Experts {
		return merry.Appendf(ErrShape, "%d slots for %d experts", s.Ranks*s.Slots, s.Experts)
	}
	return nil
}

// Map records which expert each slot holds. Use [New] or [Even] to make one.
type Map struct {
	shape Shape
	cells []uint16 // [layer][rank][slot]
}

// New returns a map of empty slots.
func New(s Shape) (*Map, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	m := &Map{shape: s, cells: make([]uint16, s.Cells())}
	for i := range m.cells {
		m.cells[i] = Empty
	}
	return m, nil
}

// Even returns a map with one replica of each expert. The experts of each layer
// are assigned to the ranks in turn, and the remaining slots are empty.
func Even(s Shape) (*Map, error) {
	m, err := New(s)
	if err != nil {
		return nil, err
	}
	for layer := range s.Layers {
		for e := range s.Experts {
			m.Set(layer, e%s.Ranks, e/s.Ranks, uint16(e))
		}
	}
	return m, nil
}

// Shape returns the size of the map.
func (m *Map) Shape() Shape {
	return m.shape
}

// At returns the expert in one slot, or [Empty].
func (m *Map) At(layer, rank, slot int) uint16 {
	return m.cells[m.index(layer, rank, slot)]
}

// Set puts an expert, or [Empty], into one slot.
func (m *Map) Set(layer, rank, slot int, expert uint16) {
	m.cells[m.index(layer, rank, slot)] = expert
}

// Row returns the slots of a rank in a layer. The slice is the map's own:
// writing to it changes the map.
func (m *Map) Row(layer, rank int) []uint16 {
	i := m.index(layer, rank, 0)
	return m.cells[i : i+m.shape.Slots : i+m.shape.Slots]
}

// Layer returns the slots of all ranks in a layer, rank by rank. The slice is
// the map's own: writing to it changes the map.
func (m *Map) Layer(layer int) []uint16 {
	n := m.shape.Ranks * m.shape.Slots
	i := layer * n
	return m.cells[i : i+n : i+n]
}

// Holds reports whether a rank has a replica of an expert in a layer.
func (m *Map) Holds(layer, rank int, expert uint16) bool {
	return slices.Contains(m.Row(layer, rank), expert)
}

// Replicas writes the number of replicas of each expert in a layer to dst, which
// must have room for all experts, and returns dst with one element for each
// expert. Slots whose content is out of range are not counted.
func (m *Map) Replicas(layer int, dst []uint16) []uint16 {
	dst = dst[:m.shape.Experts]
	clear(dst)
	for _, e := range m.Layer(layer) {
		if int(e) < len(dst) {
			dst[e]++
		}
	}
	return dst
}

// AddMissing puts the experts that no rank holds into the empty slots of one rank.
// It reports whether there were enough empty slots.
func (m *Map) AddMissing(rank int) bool {
	replicas := make([]uint16, m.shape.Experts)
	for layer := range m.shape.Layers {
		replicas = m.Replicas(layer, replicas)
		row := m.Row(layer, rank)
		for expert, n := range replicas {
			if n > 0 {
				continue
			}
			slot := slices.Index(row, Empty)
			if slot < 0 {
				return false
			}
			m.Set(layer, rank, slot, uint16(expert))
		}
	}
	return true
}

// Clone returns a copy that shares no memory with the map.
func (m *Map) Clone() *Map {
	return &Map{shape: m.shape, cells: slices.Clone(m.cells)}
}

// CopyFrom makes the map equal to another one of the same shape without
// allocating.
func (m *Map) CopyFrom(other *Map) {
	if m.shape != other.shape {
		panic("expertmap: CopyFrom with different shapes")
	}
	copy(m.cells, other.cells)
}

// Equal reports whether both maps have the same shape and contents.
func (m *Map) Equal(other *Map) bool {
	return m.shape == other.shape && slices.Equal(m.cells, other.cells)
}

// index returns the index of a slot in cells.
func (m *Map) index(layer, rank, slot int) int {
	return (layer*m.shape.Ranks+rank)*m.shape.Slots + slot
}
