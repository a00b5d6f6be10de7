package companion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform"
)

// All sidecars of a group seek the duty when its planner is gone. One that has just
// got it must be left time to ask, or planners would follow each other without end; a
// holder that is gone must not be waited for, or callers wait for a map.
func TestNewHoldersAreLeftTimeToAsk(t *testing.T) {
	record := func(revision int64, taken time.Time) platform.Record {
		return platform.Record{Name: "planner.g", Revision: revision, Holder: "another", Taken: taken}
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
