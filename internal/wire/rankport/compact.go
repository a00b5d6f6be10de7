package rankport

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Counts holds how often each expert was chosen, in one byte each. That is precise enough
// to find the experts that are chosen most, and it saves bandwidth of the planner's link,
// which is small.
type Counts struct {
	Unit   float64 `cbor:"1,keyasint"` // number of choices that a byte counts as one
	Scaled []byte  `cbor:"2,keyasint"`
}

// maxStep is the greatest value in Counts.Scaled.
const maxStep = 255

// NewCounts scales counts so that each fits into a byte.
func NewCounts(counts []uint64) Counts {
	most := uint64(0)
	for _, n := range counts {
		most = max(most, n)
	}
	c := Counts{Unit: max(float64(most)/maxStep, 1), Scaled: make([]byte, len(counts))}
	for i, n := range counts {
		c.Scaled[i] = byte(float64(n)/c.Unit + 0.5)
	}
	return c
}

// AddTo adds the counts to the demand for each expert, a slice of the same length.
func (c Counts) AddTo(demand []float64) {
	for i, n := range c.Scaled {
		demand[i] += float64(n) * c.Unit
	}
}

// errDelta reports a delta of a map that does not decode.
var errDelta = merry.New("malformed delta of an expert map")

// EncodeDelta encodes the delta of a map, which is ordered by cell. Each change is the
// distance to the previous cell, followed by the expert.
func EncodeDelta(list []expertmap.SlotChange) []byte {
	var b []byte
	last := uint32(0)
	for _, c := range list {
		b = binary.AppendUvarint(b, uint64(c.Cell-last))
		b = binary.AppendUvarint(b, uint64(c.Expert))
		last = c.Cell
	}
	return b
}

// DecodeDelta decodes the result of EncodeDelta.
func DecodeDelta(b []byte) ([]expertmap.SlotChange, error) {
	var list []expertmap.SlotChange
	last := uint64(0)
	for len(b) > 0 {
		cell, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, merry.Wrap(errDelta)
		}
		expert, k := binary.Uvarint(b[n:])
		if k <= 0 || expert > uint64(expertmap.Empty) {
			return nil, merry.Wrap(errDelta)
		}
		last += cell
		if last >= expertmap.MaxCells {
			return nil, merry.Wrap(errDelta)
		}
		list = append(list, expertmap.SlotChange{Cell: uint32(last), Expert: uint16(expert)})
		b = b[n+k:]
	}
	return list, nil
}
