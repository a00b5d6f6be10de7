package plan

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// zipf returns a demand in which each layer's experts follow a Zipf distribution in a
// random order.
func zipf(s expertmap.Shape, r *rand.Rand) []float64 {
	demand := make([]float64, s.Layers*s.Experts)
	for l := range s.Layers {
		for i, e := range r.Perm(s.Experts) {
			demand[l*s.Experts+e] = 1 / math.Pow(float64(i+1), 1.1)
		}
	}
	return demand
}

// mostNewCopies returns the largest number of experts that one rank must copy in one
// layer.
func mostNewCopies(from, to *expertmap.Map) int {
	most := 0
	s := from.Shape()
	for l := range s.Layers {
		for r := range s.Ranks {
			n := 0
			for _, e := range to.Row(l, r) {
				if e != expertmap.Empty && !from.Holds(l, r, e) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

func TestFollow(t *testing.T) {
	for _, s := range []expertmap.Shape{{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}, {Layers: 12, Experts: 144, Ranks: 72, Slots: 3}} {
		r := rand.New(rand.NewPCG(1, 2))
		demand := zipf(s, r)
		m, err := expertmap.Even(s)
		require.NoError(t, err)
		before := Skew(m, demand, nil)
		for round := range 3 {
			next := Follow(m, demand, nil, FollowLimits{MaxCopiesPerLayer: 2, MaxCopiesPerRank: 8, MinGain: 0.01, EvenLoad: 1.25})
			if next == nil {
				break
			}
			require.Empty(t, next.Problems())
			require.LessOrEqual(t, mostNewCopies(m, next), 2)
			t.Logf("%+v round %d: skew %.2f to %.2f", s, round, Skew(m, demand, nil), Skew(next, demand, nil))
			m = next
		}
		require.Less(t, Skew(m, demand, nil), before/2)
	}
}

func TestFollowNoDemand(t *testing.T) {
	m, err := expertmap.Even(expertmap.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3})
	require.NoError(t, err)
	require.Nil(t, Follow(m, make([]float64, 4), nil, FollowLimits{MaxCopiesPerLayer: 2, MaxCopiesPerRank: 8, MinGain: 0.01, EvenLoad: 1.25}))
}

// One rank has become slow. All others wait for it in each step, and callers of all
// ranks see long pauses, until its experts move to other ranks.
func TestFollowSlowRank(t *testing.T) {
	s := expertmap.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}
	demand := zipf(s, rand.New(rand.NewPCG(1, 2)))
	slowdown := make([]float64, s.Ranks)
	for i := range slowdown {
		slowdown[i] = 1
	}
	slowdown[3] = 12
	m, err := expertmap.Even(s)
	require.NoError(t, err)
	for range 4 {
		if next := Follow(m, demand, slowdown, FollowLimits{MaxCopiesPerLayer: 2, MaxCopiesPerRank: 8, MinGain: 0.01, EvenLoad: 1.25}); next != nil {
			require.Empty(t, next.Problems())
			m = next
		}
	}
	require.Less(t, Skew(m, demand, slowdown), 1.6, "the skew was at least 12 before")
}

// The demand changes a little all the time. If each small imbalance led to a copy, ranks
// would copy experts without end, and all steps would take longer meanwhile.
func TestFollowLeavesEvenLayersAlone(t *testing.T) {
	s := expertmap.Shape{Layers: 1, Experts: 8, Ranks: 4, Slots: 3}
	m, err := expertmap.Even(s)
	require.NoError(t, err)
	demand := func(hottest float64) []float64 {
		d := []float64{1, 1, 1, 1, 1, 1, 1, 1}
		d[0] = 2*hottest*6/(8-2*hottest) - 1 // rank 0 has experts 0 and 4
		return d
	}
	limits := FollowLimits{MaxCopiesPerLayer: 2, MaxCopiesPerRank: 8, MinGain: 0.01, EvenLoad: 1.25}
	require.InDelta(t, 1.2, Skew(m, demand(1.2), nil), 1e-9)
	require.Nil(t, Follow(m, demand(1.2), nil, limits))
	require.NotNil(t, Follow(m, demand(1.4), nil, limits))
	limits.EvenLoad = 1.5
	require.Nil(t, Follow(m, demand(1.4), nil, limits))
	require.NotNil(t, Follow(m, demand(1.8), nil, limits))
}
