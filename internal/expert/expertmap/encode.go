package expertmap

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/bits"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrEncoding reports bytes that do not encode a map, or a map that can't be encoded.
var ErrEncoding = merry.New("expert map: bad encoding")

// Digest identifies the shape and contents of a map: the first 16 bytes of a
// SHA-256. The zero Digest stands for no map.
type Digest [16]byte

// String formats the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText formats the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Digest returns the digest of the map. It takes time linear in the number of cells.
func (m *Map) Digest() Digest {
	buf := make([]byte, 0, 16+2*len(m.cells))
	for _, n := range []int{m.shape.Layers, m.shape.Experts, m.shape.Ranks, m.shape.Slots} {
		buf = binary.BigEndian.AppendUint32(buf, uint32(n))
	}
	for _, e := range m.cells {
		buf = binary.BigEndian.AppendUint16(buf, e)
	}
	sum := sha256.Sum256(buf)
	return Digest(sum[:16])
}

// packed is the encoding of a map on the wire and in the platform's store: each
// cell is a number of a fixed width in bits, 0 for an empty slot or the expert
// plus 1.
type packed struct {
	Shape Shape  `cbor:"1,keyasint"`
	Cells []byte `cbor:"2,keyasint"`
}

// width returns the number of bits that a cell takes.
func (s Shape) width() int {
	return bits.Len(uint(s.Experts))
}

// packedBytes returns the number of bytes that all cells take.
func (s Shape) packedBytes() int {
	return (s.Cells()*s.width() + 7) / 8
}

// MarshalCBOR encodes the map. It returns [ErrEncoding] if a slot names an
// expert that the shape doesn't have.
func (m *Map) MarshalCBOR() ([]byte, error) {
	out := make([]byte, 0, m.shape.packedBytes())
	width := m.shape.width()
	var acc uint64
	var n int
	for _, e := range m.cells {
		if e != Empty && int(e) >= m.shape.Experts {
			return nil, merry.Appendf(ErrEncoding, "expert %d in a layer of %d", e, m.shape.Experts)
		}
		acc = acc<<width | uint64(e+1) // Empty wraps around to 0
		n += width
		for ; n >= 8; n -= 8 {
			out = append(out, byte(acc>>(n-8)))
		}
	}
	if n > 0 {
		out = append(out, byte(acc<<(8-n)))
	}
	return cbor.Marshal(packed{Shape: m.shape, Cells: out})
}

// UnmarshalCBOR decodes a map. It returns [ErrShape] or [ErrEncoding] for
// anything that [Map.MarshalCBOR] does not write. It checks the shape and the
// length of the input before it allocates the cells.
func (m *Map) UnmarshalCBOR(b []byte) error {
	var p packed
	if err := cbor.Unmarshal(b, &p); err != nil {
		return merry.Prepend(err, ErrEncoding.Error())
	}
	if err := p.Shape.Check(); err != nil {
		return err
	}
	if len(p.Cells) != p.Shape.packedBytes() {
		return merry.Appendf(ErrEncoding, "%d bytes of cells, want %d", len(p.Cells), p.Shape.packedBytes())
	}
	cells, err := unpack(p)
	if err != nil {
		return err
	}
	m.shape, m.cells = p.Shape, cells
	return nil
}

// unpack decodes the cells. It returns [ErrEncoding] if a cell names an expert
// that the shape doesn't have, or if the padding is not zero.
func unpack(p packed) ([]uint16, error) {
	cells := make([]uint16, p.Shape.Cells())
	width := p.Shape.width()
	mask := uint64(1)<<width - 1
	var acc uint64
	var n, next int
	for i := range cells {
		for ; n < width; n += 8 {
			acc = acc<<8 | uint64(p.Cells[next])
			next++
		}
		n -= width
		v := acc >> n & mask
		if int(v) > p.Shape.Experts {
			return nil, merry.Appendf(ErrEncoding, "expert %d in a layer of %d", v-1, p.Shape.Experts)
		}
		cells[i] = uint16(v) - 1
	}
	if acc&(1<<n-1) != 0 {
		return nil, merry.Appendf(ErrEncoding, "padding is not zero")
	}
	return cells, nil
}
