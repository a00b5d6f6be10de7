package topic

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var smallConfig = Config{
	Layers:  2,
	Experts: 64,
	Ranks:   4,
	Terms:   []time.Duration{10 * time.Minute},
	Slow:    []Slow{{Rank: 1, From: 5 * time.Minute, To: 8 * time.Minute, Speed: 0.5}},
}

func shares(seed uint64, n int) [][]float64 {
	g := New(smallConfig, rand.New(rand.NewPCG(seed, 0)))
	var list [][]float64
	for range n {
		list = append(list, slices.Clone(g.Next().Share))
	}
	return list
}

func distance(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += math.Abs(a[i]-b[i]) / 2 / float64(smallConfig.Layers)
	}
	return sum
}

func TestSameSeedGivesSameDemand(t *testing.T) {
	require.Equal(t, shares(1, 5), shares(1, 5))
	require.NotEqual(t, shares(1, 5), shares(2, 5))
}

func TestTermStartShiftsDemandSharply(t *testing.T) {
	list := shares(1, 12)
	usualDistance := distance(list[7], list[8])
	require.Greater(t, distance(list[8], list[9]), 2*usualDistance)
	require.Less(t, distance(list[9], list[10]), 1.5*usualDistance)
}

func TestPopularityIsUneven(t *testing.T) {
	share := shares(1, 1)[0][:smallConfig.Experts]
	slices.Sort(share)
	require.Greater(t, share[63], 2*share[32])
	require.Greater(t, share[0], 0.0)
}

func TestSlowRank(t *testing.T) {
	g := New(smallConfig, rand.New(rand.NewPCG(1, 0)))
	var speeds []float64
	for range 9 {
		speeds = append(speeds, g.Next().Speed[1])
	}
	require.Equal(t, []float64{1, 1, 1, 1, 0.5, 0.5, 0.5, 1, 1}, speeds)
}
