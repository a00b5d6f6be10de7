package places

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

func sum(grants []int) int {
	n := 0
	for _, g := range grants {
		n += g
	}
	return n
}

// Each free slot is granted to one entry. If two entries sent a request to the same slot, one
// of the requests would wait at a full rank.
func TestShareGrantsEachSlotOnce(t *testing.T) {
	free := []int{3, 0, -2, 5}
	for turn := range uint64(50) {
		grants := Grants(free, []float64{1, 5, 0}, turn)
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
	grants := Grants(free, []float64{30, 10, 0}, 3)
	total := float64(sum(grants[0]) + sum(grants[1]) + sum(grants[2]))
	require.InDelta(t, 0.67, float64(sum(grants[0]))/total, 0.03, "three quarters of four fifths, and a third of the rest")
	require.InDelta(t, 0.067, float64(sum(grants[2]))/total, 0.03, "an idle entry can take its first request")
}

func TestShareWithoutDemand(t *testing.T) {
	grants := Grants([]int{4, 4}, []float64{0, 0}, 0)
	require.Equal(t, 8, sum(grants[0])+sum(grants[1]))
	require.Empty(t, Grants([]int{4}, nil, 0))
}

// Steps get longer than the pauses that are on time. The limit falls until steps are short
// enough, and rises again when steps are short.
func TestLimitFollowsStepTime(t *testing.T) {
	var l Limit
	now := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	step := int64(0)
	run := func(stepTime time.Duration, windows int) {
		for range windows {
			l.Observe(now, step, 12, 120*time.Millisecond)
			now = now.Add(7 * stepTime)
			step += 7
			if 7*stepTime < stepWindow {
				now = now.Add(stepWindow)
				step += int64(stepWindow / stepTime)
			}
		}
		l.Observe(now, step, 12, 120*time.Millisecond)
	}
	run(110*time.Millisecond, 20)
	require.Equal(t, 6, l.Value, "half of the slots are always used")
	run(50*time.Millisecond, 20)
	require.Equal(t, 12, l.Value)
}

func TestLimitOfIdleGroup(t *testing.T) {
	var l Limit
	now := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	for range 20 {
		l.Observe(now, 5, 12, 120*time.Millisecond)
		now = now.Add(time.Second)
	}
	require.Equal(t, 9, l.Value, "an idle group shows no step time")
	l.StepTime = time.Second
	require.True(t, l.Slow(120*time.Millisecond))
	l.Observe(now, 5, 12, 120*time.Millisecond)
	require.False(t, l.Slow(120*time.Millisecond), "a group that gets no requests because it was slow")
}

// The orders of a map switch take long compared with a step. If the map were switched at the
// next step, all ranks would wait for the orders.
func TestAhead(t *testing.T) {
	l := Limit{StepTime: 60 * time.Millisecond}
	require.Equal(t, int64(1), l.StepsAhead(16))
	require.Equal(t, int64(2), l.StepsAhead(72))
	require.Equal(t, int64(2), (&Limit{}).StepsAhead(16), "as long as the step time is not known")
}

func TestGapAim(t *testing.T) {
	c := routing.New(routing.Config{Routes: []routing.Route{
		{GapGoal: 150 * time.Millisecond, Shares: []routing.Share{{Service: "a"}}},
		{GapGoal: 120 * time.Millisecond, Shares: []routing.Share{{Service: "a"}}},
		{GapGoal: 90 * time.Millisecond, Shares: []routing.Share{{Service: "b"}}},
	}})
	require.Equal(t, 120*time.Millisecond, GapAim(c, "a"))
	require.Zero(t, GapAim(c, "c"))
}

// One rank has become slow. It gets no new request, as all others would wait for each
// prompt that it reads; if all ranks are slow, none is better.
func TestSlowRankGetsNoRequest(t *testing.T) {
	reports := func(slowdowns ...float64) []changeover.Report {
		var list []changeover.Report
		for _, p := range slowdowns {
			list = append(list, changeover.Report{Slowdown: p, Running: 2})
		}
		return list
	}
	require.Equal(t, []int{10, 0, 10}, FreeSlots(reports(1, 12, 1.1), 12))
	require.Equal(t, []int{10, 4, 10}, FreeSlots(reports(1, 2, 1), 12), "a little slow")
	require.Equal(t, []int{0, 1}, FreeSlots(reports(6, 4), 12), "all are slow")
}

// A group is slow if its steps take longer than the pauses that are on time.
func TestSlowGroup(t *testing.T) {
	const goal = 120 * time.Millisecond
	require.True(t, (&Limit{StepTime: goal + time.Millisecond}).Slow(goal))
	require.False(t, (&Limit{StepTime: goal}).Slow(goal))
	require.False(t, (&Limit{}).Slow(goal), "not known yet")
	require.False(t, (&Limit{StepTime: time.Second}).Slow(0), "no route has a goal")
}

// After a power failure of all hosts, more callers wait than a group can serve. Its experts are
// placed round robin, without regard to demand: with the usual number of requests each step would
// take 200 ms, and these requests and those that come after them would all be late.
func TestMostOnTimePredictsTheStepTime(t *testing.T) {
	e := &routing.Engine{MaxRequests: 12, EngineSteps: 4, EngineStepTime: 4550 * time.Microsecond, EngineStepPerRequest: 905 * time.Microsecond, ExpertShare: 0.85}
	const goal = 120 * time.Millisecond
	require.Equal(t, 6, MaxOnTime(e, goal, 3.2))
	require.Equal(t, 10, MaxOnTime(e, goal, 2.4))
	require.Equal(t, 12, MaxOnTime(e, goal, 1.3))
	require.Equal(t, leastRequests, MaxOnTime(e, goal, 12), "at least a few")
	require.Equal(t, 12, MaxOnTime(e, 0, 12), "no route has a goal")
	require.Equal(t, 12, MaxOnTime(&routing.Engine{MaxRequests: 12}, goal, 12), "the engine does not state its step time")
}

// A report's slowdown may be missing or impossible; the rank then still gets requests.
func TestSlowdown(t *testing.T) {
	for reported, want := range map[float64]float64{0: 1, -3: 1, 1.1: 1, 1.5: 1.5, 12: 12, 1e300: maxSlowdown} {
		require.InDelta(t, want, Slowdown(changeover.Report{Slowdown: reported}), 0, "%g", reported)
	}
}
