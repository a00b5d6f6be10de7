package rankport

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

func TestChangesRoundTrip(t *testing.T) {
	for _, list := range [][]expertmap.SlotChange{
		nil,
		{{Cell: 0, Expert: 0}},
		{{Cell: 3, Expert: 7}, {Cell: 4, Expert: expertmap.Empty}, {Cell: 70000, Expert: 143}},
	} {
		got, err := DecodeDelta(EncodeDelta(list))
		require.NoError(t, err)
		require.Equal(t, list, got)
	}
}

func FuzzUnpackChanges(f *testing.F) {
	f.Add(EncodeDelta([]expertmap.SlotChange{{Cell: 3, Expert: 7}, {Cell: 9, Expert: 1}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x01})
	f.Add([]byte{0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := DecodeDelta(b)
		if err != nil {
			return
		}
		for _, c := range list {
			require.Less(t, c.Cell, uint32(expertmap.MaxCells))
		}
	})
}

func TestCounts(t *testing.T) {
	demand := make([]float64, 3)
	NewCounts([]uint64{0, 255, 100}).AddTo(demand)
	require.Equal(t, []float64{0, 255, 100}, demand, "small counts are exact")
	demand = make([]float64, 3)
	NewCounts([]uint64{0, 510000, 1000}).AddTo(demand)
	require.InDelta(t, 510000, demand[1], 1)
	require.InDelta(t, 1000, demand[2], 1000, "within half a unit")
}
