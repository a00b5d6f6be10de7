package expertmap_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

func ExampleDiff() {
	from, _ := expertmap.Even(expertmap.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3})
	to := from.Clone()
	to.Set(0, 1, 2, 0) // a second replica of expert 0, on rank 1
	d, _ := expertmap.Diff(from, to)
	fmt.Println(d.Loads, d.Bytes(44<<20))
	// Output: [{1 0 0}] 46137344
}

func drawMap(t *rapid.T, s expertmap.Shape) *expertmap.Map {
	m, err := expertmap.Even(s)
	require.NoError(t, err)
	for range rapid.IntRange(0, 20).Draw(t, "changes") {
		layer := rapid.IntRange(0, s.Layers-1).Draw(t, "layer")
		rank := rapid.IntRange(0, s.Ranks-1).Draw(t, "rank")
		slot := rapid.IntRange(0, s.Slots-1).Draw(t, "slot")
		e := rapid.IntRange(-1, s.Experts-1).Draw(t, "expert")
		m.Set(layer, rank, slot, uint16(e))
	}
	return m
}

func drawShape(t *rapid.T) expertmap.Shape {
	s := expertmap.Shape{
		Layers:  rapid.IntRange(1, 4).Draw(t, "layers"),
		Experts: rapid.IntRange(1, 300).Draw(t, "experts"),
		Ranks:   rapid.IntRange(1, 9).Draw(t, "ranks"),
	}
	s.Slots = min((s.Experts+s.Ranks-1)/s.Ranks+rapid.IntRange(0, 2).Draw(t, "spare"), expertmap.MaxSlots)
	if s.Check() != nil {
		t.Skip()
	}
	return s
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		from, to := drawMap(t, shape), drawMap(t, shape)
		b, err := cbor.Marshal(to)
		require.NoError(t, err)
		var got expertmap.Map
		require.NoError(t, cbor.Unmarshal(b, &got))
		assert.True(t, to.Equal(&got))
		assert.Equal(t, to.Digest(), got.Digest())

		changes, err := expertmap.SlotChanges(from, to)
		require.NoError(t, err)
		applied, err := from.Apply(changes)
		require.NoError(t, err)
		assert.True(t, applied.Equal(to))
		assertDifference(t, from, to)
	})
}

// assertDifference checks that ranks which hold the weights of from hold the
// weights of to after the loads and drops of their difference.
func assertDifference(t *rapid.T, from, to *expertmap.Map) {
	d, err := expertmap.Diff(from, to)
	require.NoError(t, err)
	held := weights(from)
	for _, p := range d.Loads {
		assert.False(t, held[p], "loads weights that the rank already holds: %v", p)
		held[p] = true
	}
	for _, p := range d.Drops {
		delete(held, p)
	}
	assert.Equal(t, weights(to), held)
}

// weights returns the experts that the ranks hold.
func weights(m *expertmap.Map) map[expertmap.Placement]bool {
	held := map[expertmap.Placement]bool{}
	s := m.Shape()
	for layer := range s.Layers {
		for rank := range s.Ranks {
			for _, e := range m.Row(layer, rank) {
				if e != expertmap.Empty {
					held[expertmap.Placement{Rank: uint16(rank), Layer: uint16(layer), Expert: e}] = true
				}
			}
		}
	}
	return held
}

func TestCheck(t *testing.T) {
	shape := expertmap.Shape{Layers: 2, Experts: 4, Ranks: 2, Slots: 3}
	tests := []struct {
		name   string
		change func(m *expertmap.Map)
		want   []expertmap.Problem
	}{
		{"even", func(*expertmap.Map) {}, nil},
		{"no replica", func(m *expertmap.Map) { m.Set(1, 0, 0, expertmap.Empty) },
			[]expertmap.Problem{{Kind: expertmap.NoReplica, Layer: 1, Rank: -1, Expert: 0}}},
		{"out of range", func(m *expertmap.Map) { m.Set(0, 1, 2, 4) },
			[]expertmap.Problem{{Kind: expertmap.OutOfRange, Layer: 0, Rank: 1, Expert: 4}}},
		{"repeated", func(m *expertmap.Map) { m.Set(0, 0, 2, 2) },
			[]expertmap.Problem{{Kind: expertmap.Repeated, Layer: 0, Rank: 0, Expert: 2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, err := expertmap.Even(shape)
			require.NoError(t, err)
			tt.change(m)
			assert.Equal(t, tt.want, m.Problems())
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	// A message of few bytes that declares a huge map must not allocate memory,
	// and a cell with an expert that doesn't exist must not reach the planner's
	// counts.
	type wire struct {
		Shape expertmap.Shape `cbor:"1,keyasint"`
		Cells []byte          `cbor:"2,keyasint"`
	}
	small := expertmap.Shape{Layers: 1, Experts: 2, Ranks: 2, Slots: 1}
	tests := []struct {
		name string
		give wire
		want error
	}{
		{"huge", wire{Shape: expertmap.Shape{Layers: 512, Experts: 4096, Ranks: 2048, Slots: 256}}, expertmap.ErrShape},
		{"negative", wire{Shape: expertmap.Shape{Layers: -1, Experts: 1, Ranks: 1, Slots: 1}}, expertmap.ErrShape},
		{"short", wire{Shape: small}, expertmap.ErrEncoding},
		{"expert out of range", wire{Shape: small, Cells: []byte{0b0111_0000}}, expertmap.ErrEncoding},
		{"padding", wire{Shape: small, Cells: []byte{0b0110_0001}}, expertmap.ErrEncoding},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, err := cbor.Marshal(tt.give)
			require.NoError(t, err)
			var m expertmap.Map
			assert.ErrorIs(t, m.UnmarshalCBOR(b), tt.want)
		})
	}
}

// fullSize is the shape of a group of the full size that the system is designed for.
var fullSize = expertmap.Shape{Layers: 58, Experts: 256, Ranks: 256, Slots: 2}

func FuzzUnmarshal(f *testing.F) {
	m, _ := expertmap.Even(expertmap.Shape{Layers: 2, Experts: 5, Ranks: 2, Slots: 3})
	b, _ := m.MarshalCBOR()
	f.Add(b)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m expertmap.Map
		if m.UnmarshalCBOR(b) != nil {
			return
		}
		again, err := m.MarshalCBOR()
		require.NoError(t, err)
		var got expertmap.Map
		require.NoError(t, got.UnmarshalCBOR(again))
		assert.True(t, m.Equal(&got))
	})
}

func BenchmarkFullSize(b *testing.B) {
	m, err := expertmap.Even(fullSize)
	require.NoError(b, err)
	for layer := range fullSize.Layers {
		for rank := range fullSize.Ranks {
			m.Set(layer, rank, 1, uint16((rank+layer+1)%fullSize.Experts))
		}
	}
	enc, err := m.MarshalCBOR()
	require.NoError(b, err)
	other, err := expertmap.Even(fullSize)
	require.NoError(b, err)
	b.Run("marshal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = m.MarshalCBOR()
		}
		b.ReportMetric(float64(len(enc)), "encoded-bytes")
	})
	b.Run("unmarshal", func(b *testing.B) {
		var got expertmap.Map
		for b.Loop() {
			_ = got.UnmarshalCBOR(enc)
		}
	})
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			m.Digest()
		}
	})
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			m.Problems()
		}
	})
	b.Run("diff", func(b *testing.B) {
		for b.Loop() {
			_, _ = expertmap.Diff(other, m)
		}
	})
}
