package book

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a tail that holds other bytes than the latest of its answer, or memory for those that were dropped.
func TestTail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var held tail
		var want []byte
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			data := rapid.SliceOfN(rapid.Byte(), 0, 3*tailPart/2).Draw(t, "data")
			held.add(data)
			want = append(want, data...)
			n := rapid.IntRange(0, len(want)).Draw(t, "dropped")
			held.drop(n)
			want = want[n:]
			require.Equal(t, len(want), held.size)
			from := rapid.IntRange(0, len(want)).Draw(t, "from")
			got := []byte{}
			held.from(from, func(data []byte) { got = append(got, data...) })
			require.Equal(t, string(want[from:]), string(got))
		}
	})
	var held tail
	for range 1000 {
		held.add(make([]byte, 32<<10))
		held.drop(max(held.size-(1<<20), 0))
	}
	capacity := 0
	for _, part := range held.parts {
		capacity += cap(part)
	}
	require.LessOrEqual(t, capacity, 1<<20+64<<10)
	held.drop(held.size)
	require.Nil(t, held.parts)
}
