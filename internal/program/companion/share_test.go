package companion

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

func entriesWith(demands ...float64) []entry {
	var list []entry
	for i, d := range demands {
		list = append(list, entry{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), demand: d})
	}
	return list
}

func sum(grants []int) int {
	n := 0
	for _, g := range grants {
		n += g
	}
	return n
}

// Each free place goes to one entry. Two that sent to the same place would leave one
// request waiting behind a full rank.
func TestShareGivesEachPlaceOnce(t *testing.T) {
	free := []int{3, 0, -2, 5}
	for turn := range uint64(50) {
		grants := share(free, entriesWith(1, 5, 0), turn)
		for rank, n := range free {
			got := 0
			for _, g := range grants {
				got += g[rank]
			}
			require.Equal(t, max(n, 0), got, "rank %d", rank)
		}
	}
}

func TestShareFollowsDemand(t *testing.T) {
	free := make([]int, 72)
	for i := range free {
		free[i] = 4
	}
	grants := share(free, entriesWith(30, 10, 0), 3)
	total := float64(sum(grants[0]) + sum(grants[1]) + sum(grants[2]))
	require.InDelta(t, 0.67, float64(sum(grants[0]))/total, 0.03, "three quarters of four fifths, and a third of the rest")
	require.InDelta(t, 0.067, float64(sum(grants[2]))/total, 0.03, "an idle entry can take its first request")
}

func TestShareWithoutDemand(t *testing.T) {
	grants := share([]int{4, 4}, entriesWith(0, 0), 0)
	require.Equal(t, 8, sum(grants[0])+sum(grants[1]))
	require.Empty(t, share([]int{4}, nil, 0))
}

// Passes get longer than the pauses that callers bear. Fewer requests run at a time
// until they are short enough, and more again when there is room.
func TestLimitFollowsPasses(t *testing.T) {
	var l limit
	now := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	step := int64(0)
	play := func(pass time.Duration, windows int) {
		for range windows {
			l.see(now, step, 12, 120*time.Millisecond)
			now = now.Add(7 * pass)
			step += 7
			if 7*pass < passWindow {
				now = now.Add(passWindow)
				step += int64(passWindow / pass)
			}
		}
		l.see(now, step, 12, 120*time.Millisecond)
	}
	play(110*time.Millisecond, 20)
	require.Equal(t, 6, l.value, "half of the slots in any case")
	play(50*time.Millisecond, 20)
	require.Equal(t, 12, l.value)
}

func TestLimitOfIdleGroup(t *testing.T) {
	var l limit
	now := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	for range 20 {
		l.see(now, 5, 12, 120*time.Millisecond)
		now = now.Add(time.Second)
	}
	require.Equal(t, 9, l.value, "an idle group says nothing of its passes")
}

// The orders of a change take long beside a pass. Made at the next one, all ranks
// would wait for them.
func TestAhead(t *testing.T) {
	l := limit{pass: 60 * time.Millisecond}
	require.Equal(t, int64(1), l.ahead(16))
	require.Equal(t, int64(2), l.ahead(72))
	require.Equal(t, int64(2), (&limit{}).ahead(16), "as long as passes are not known")
}

func TestGapAim(t *testing.T) {
	c := routing.New(routing.Config{Routes: []routing.Route{
		{GapAim: 150 * time.Millisecond, Shares: []routing.Share{{Service: "a"}}},
		{GapAim: 120 * time.Millisecond, Shares: []routing.Share{{Service: "a"}}},
		{GapAim: 90 * time.Millisecond, Shares: []routing.Share{{Service: "b"}}},
	}})
	require.Equal(t, 120*time.Millisecond, gapAim(c, "a"))
	require.Zero(t, gapAim(c, "c"))
}

// One rank has turned slow. It gets no new request, as all others would wait for each
// prompt that is read there; if all are slow there is no better one.
func TestSlowRankGetsNothing(t *testing.T) {
	reports := func(paces ...float64) []changeover.Report {
		var list []changeover.Report
		for _, p := range paces {
			list = append(list, changeover.Report{Pace: p, Running: 2})
		}
		return list
	}
	require.Equal(t, []int{10, 0, 10}, freePlaces(reports(1, 12, 1.1), 12))
	require.Equal(t, []int{10, 4, 10}, freePlaces(reports(1, 2, 1), 12), "a little slow")
	require.Equal(t, []int{0, 1}, freePlaces(reports(6, 4), 12), "all are")
}

// A group whose passes take longer than the pauses on time says so.
func TestSlowGroup(t *testing.T) {
	const aim = 120 * time.Millisecond
	require.True(t, (&limit{pass: aim + time.Millisecond}).slow(aim))
	require.False(t, (&limit{pass: aim}).slow(aim))
	require.False(t, (&limit{}).slow(aim), "not known yet")
	require.False(t, (&limit{pass: time.Second}).slow(0), "no route aims at anything")
}

// Power comes back everywhere, and more callers wait than a group carries. Its experts are
// where they were placed in turn: with the usual number of requests each pass would take
// 200 ms, and all of them, and those that come after, would be late.
func TestLimitForeseesThePass(t *testing.T) {
	e := &routing.Engine{Slots: 12, PassSteps: 4, StepTime: 4550 * time.Microsecond, StepPerRequest: 905 * time.Microsecond, ExpertShare: 0.85}
	const aim = 120 * time.Millisecond
	require.Equal(t, 6, mostOnTime(e, aim, 3.2))
	require.Equal(t, 10, mostOnTime(e, aim, 2.4))
	require.Equal(t, 12, mostOnTime(e, aim, 1.3))
	require.Equal(t, leastRequests, mostOnTime(e, aim, 12), "some at least")
	require.Equal(t, 12, mostOnTime(e, 0, 12), "no route aims at anything")
	require.Equal(t, 12, mostOnTime(&routing.Engine{Slots: 12}, aim, 12), "the engine does not say what a pass takes")
}

// As a group has formed, neither its map nor the demand is known. It is not even.
func TestSkewOfANewGroup(t *testing.T) {
	m, err := expertmap.Even(expertmap.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3})
	require.NoError(t, err)
	v := view{ranks: make([]*seat, 2), reports: make([]changeover.Report, 2), demand: make([]float64, 4)}
	require.InDelta(t, assumedSkew, skewOf(nil, v), 0)
	require.InDelta(t, assumedSkew, skewOf(m, v), 0, "nothing was counted yet")
	v.demand = []float64{1, 1, 1, 1}
	require.InDelta(t, 1, skewOf(m, v), 0)
}
