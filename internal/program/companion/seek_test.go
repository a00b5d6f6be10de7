package companion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/platform"
)

// All sidecars of a group seek the leadership when its planner is gone. A new holder must be
// given time to poll, or planners would replace each other endlessly. A holder that is gone must
// not be waited for, or callers wait for a map.
func TestNewHoldersGetTimeToPoll(t *testing.T) {
	record := func(revision int64, taken time.Time) platform.LeadershipRecord {
		return platform.LeadershipRecord{Name: "planner.g", Position: position.Position{Revision: revision}, Holder: "another", Taken: taken}
	}
	t.Run("new holder", func(t *testing.T) {
		c := newPlanner().c
		require.True(t, c.isNewHolder(start, record(7, start)))
		require.False(t, c.isNewHolder(start, record(7, start)), "it was given its time")
		require.True(t, c.isNewHolder(start, record(8, start)), "the next holder")
	})
	t.Run("its clock is wrong", func(t *testing.T) {
		require.True(t, newPlanner().c.isNewHolder(start, record(7, start.Add(4*time.Second))))
	})
	t.Run("gone for a long time", func(t *testing.T) {
		require.False(t, newPlanner().c.isNewHolder(start, record(7, start.Add(-time.Minute))))
	})
	t.Run("it has polled this sidecar before", func(t *testing.T) {
		c := newPlanner().c
		c.ownPlanner().term = 7
		require.False(t, c.isNewHolder(start, record(7, start)))
	})
}

// Power returns at all hosts, and the groups open a second or two later. The sidecar with the
// first turn plans as soon as it sees its group open; the other turns follow from then on.
func TestTurnsBeginAsTheGroupOpens(t *testing.T) {
	report := func(rank int, open bool) changeover.Report {
		return changeover.Report{Group: "g", Rank: rank, Ranks: 8, Open: open}
	}
	first, second := 0, 0
	for rank := range 8 {
		switch turnOf(rank, 0, 8) {
		case 0:
			first = rank
		case 1:
			second = rank
		}
	}
	var a, b leadershipTurn
	for range 9 {
		require.False(t, a.isDue(start, report(first, false), 0))
		require.False(t, b.isDue(start, report(second, false), 0))
	}
	require.True(t, a.isDue(start, report(first, true), 0))
	require.False(t, b.isDue(start, report(second, true), 0))
	require.True(t, b.isDue(start.Add(baseTurnTime), report(second, true), 0), "the first candidate did not acquire the leadership")
	require.False(t, b.isDue(start.Add(baseTurnTime), report(second, false), 0))
	require.False(t, b.isDue(start.Add(2*baseTurnTime), report(second, true), 0), "it has just opened again")
}

// The planner of a group of 72 ranks freezes in the middle of a map switch. The first candidate
// acquires the leadership, and has polled the second one 0.17 s later. With shorter turns the
// second one had acquired the leadership itself by then, and the group was held for longer.
func TestTurnsOfALargeGroup(t *testing.T) {
	const ranks, polledAfter = 72, 170 * time.Millisecond
	second := 0
	for rank := range ranks {
		if turnOf(rank, 43, ranks) == 1 {
			second = rank
		}
	}
	var turn leadershipTurn
	report := changeover.Report{Group: "g", Rank: second, Ranks: ranks, Open: true}
	require.False(t, turn.isDue(start, report, 43))
	require.False(t, turn.isDue(start.Add(polledAfter), report, 43))
	require.True(t, turn.isDue(start.Add(2*polledAfter), report, 43), "the first candidate did not acquire the leadership")
}

// A sidecar starts and learns its group from its engine. plannerTimeout runs from its start: no
// planner has polled it since, of whichever group.
func TestPlannerTimeoutRunsFromTheStart(t *testing.T) {
	c := newPlanner().c
	c.plannerSilence(start)
	c.setOwnGroup(start.Add(plannerTimeout), "g")
	waited, _ := c.plannerSilence(start.Add(plannerTimeout))
	require.Equal(t, plannerTimeout, waited)
	c.setOwnGroup(start.Add(plannerTimeout), "another")
	waited, _ = c.plannerSilence(start.Add(plannerTimeout))
	require.Zero(t, waited, "that group's planner gets time to ask")
}
