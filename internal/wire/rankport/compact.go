package rankport

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Counts are how often each expert was chosen, in one byte each: what matters is
// which experts are asked for most, and a planner's link is small.
type Counts struct {
	Unit  float64 `cbor:"1,keyasint"` // choices that one step of a byte stands for
	Steps []byte  `cbor:"2,keyasint"`
}

const mostSteps = 255

// NewCounts packs counts.
func NewCounts(counts []uint64) Counts {
	most := uint64(0)
	for _, n := range counts {
		most = max(most, n)
	}
	c := Counts{Unit: max(float64(most)/mostSteps, 1), Steps: make([]byte, len(counts))}
	for i, n := range counts {
		c.Steps[i] = byte(float64(n)/c.Unit + 0.5)
	}
	return c
}

// AddTo adds the counts to a demand of the same length.
func (c Counts) AddTo(demand []float64) {
	for i, n := range c.Steps {
		demand[i] += float64(n) * c.Unit
	}
}

// errChanges reports a list of changes that does not decode.
var errChanges = merry.New("malformed list of changes")

// PackChanges encodes changes of a map, ordered by cell: the distance to the cell
// before, and the expert.
func PackChanges(list []expertmap.Change) []byte {
	var b []byte
	last := uint32(0)
	for _, c := range list {
		b = binary.AppendUvarint(b, uint64(c.Cell-last))
		b = binary.AppendUvarint(b, uint64(c.Expert))
		last = c.Cell
	}
	return b
}

// UnpackChanges decodes what PackChanges made.
func UnpackChanges(b []byte) ([]expertmap.Change, error) {
	var list []expertmap.Change
	last := uint64(0)
	for len(b) > 0 {
		cell, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, merry.Wrap(errChanges)
		}
		expert, k := binary.Uvarint(b[n:])
		if k <= 0 || expert > uint64(expertmap.Empty) {
			return nil, merry.Wrap(errChanges)
		}
		last += cell
		if last >= expertmap.MaxCells {
			return nil, merry.Wrap(errChanges)
		}
		list = append(list, expertmap.Change{Cell: uint32(last), Expert: uint16(expert)})
		b = b[n+k:]
	}
	return list, nil
}
