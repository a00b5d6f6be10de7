package companion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/platform"
)

// All sidecars of a group seek the duty when its planner is gone. One that has just
// got it must be left time to ask, or planners would follow each other without end; a
// holder that is gone must not be waited for, or callers wait for a map.
func TestNewHoldersAreLeftTimeToAsk(t *testing.T) {
	record := func(revision int64, taken time.Time) platform.Record {
		return platform.Record{Name: "planner.g", Position: position.Position{Revision: revision}, Holder: "another", Taken: taken}
	}
	t.Run("new holder", func(t *testing.T) {
		c := newPlanner().c
		require.True(t, c.takenLately(start, record(7, start)))
		require.False(t, c.takenLately(start, record(7, start)), "it had its time")
		require.True(t, c.takenLately(start, record(8, start)), "the next one")
	})
	t.Run("its clock is wrong", func(t *testing.T) {
		require.True(t, newPlanner().c.takenLately(start, record(7, start.Add(4*time.Second))))
	})
	t.Run("gone for long", func(t *testing.T) {
		require.False(t, newPlanner().c.takenLately(start, record(7, start.Add(-time.Minute))))
	})
	t.Run("it has asked here before", func(t *testing.T) {
		c := newPlanner().c
		c.following().term = 7
		require.False(t, c.takenLately(start, record(7, start)))
	})
}

// Power comes back everywhere, and the groups open a second or two later. Whoever is first
// in turn plans as soon as that is seen; the others have their turns from then on.
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
	var a, b seeking
	for range 9 {
		require.False(t, a.due(start, report(first, false), 0))
		require.False(t, b.due(start, report(second, false), 0))
	}
	require.True(t, a.due(start, report(first, true), 0))
	require.False(t, b.due(start, report(second, true), 0))
	require.True(t, b.due(start.Add(patiencePerRank), report(second, true), 0), "the first one did not get it")
	require.False(t, b.due(start.Add(patiencePerRank), report(second, false), 0))
	require.False(t, b.due(start.Add(2*patiencePerRank), report(second, true), 0), "it has just opened again")
}

// The planner of a group of 72 ranks stands still in the middle of a change. The first in turn
// takes the duty, and has asked the second 0.17 s later; that one had taken the duty itself,
// and the group was held for longer.
func TestTurnsOfALargeGroup(t *testing.T) {
	const ranks, asked = 72, 170 * time.Millisecond
	second := 0
	for rank := range ranks {
		if turnOf(rank, 43, ranks) == 1 {
			second = rank
		}
	}
	var s seeking
	report := changeover.Report{Group: "g", Rank: second, Ranks: ranks, Open: true}
	require.False(t, s.due(start, report, 43))
	require.False(t, s.due(start.Add(asked), report, 43))
	require.True(t, s.due(start.Add(2*asked), report, 43), "the first one did not get it")
}

// A sidecar starts and learns of its group from its engine. Its patience runs since it
// started: nobody asked it meanwhile, whatever the group is called.
func TestPatienceRunsFromTheStart(t *testing.T) {
	c := newPlanner().c
	c.silence(start)
	c.joins(start.Add(patience), "g")
	waited, _ := c.silence(start.Add(patience))
	require.Equal(t, patience, waited)
	c.joins(start.Add(patience), "another")
	waited, _ = c.silence(start.Add(patience))
	require.Zero(t, waited, "that group's planner gets time to ask")
}
