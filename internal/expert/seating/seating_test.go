package seating_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// group returns the servers of a group, all of which answer.
func group(name roster.GroupName, ranks int) []seating.Server {
	var list []seating.Server
	for r := range ranks {
		list = append(list, answers(fmt.Sprint(name, r), name, r, ranks))
	}
	return list
}

func answers(target string, name roster.GroupName, rank, ranks int) seating.Server {
	return seating.Server{
		Target: target, Answered: true, LastGroup: name,
		Report: changeover.Report{Group: name, Rank: rank, Ranks: ranks, Open: true},
	}
}

// silence makes a server silent; a new one has no earlier report either.
func silence(list []seating.Server, at int, isNew bool) []seating.Server {
	s := &list[at]
	s.Answered, s.Silent, s.Report = false, true, changeover.Report{}
	if isNew {
		s.LastGroup = ""
	}
	return list
}

// requireAssigned checks which server each rank has. A "?" marks a lost rank, and the target is
// left out if the server is not known.
func requireAssigned(t *testing.T, name roster.GroupName, servers []seating.Server, want ...string) {
	t.Helper()
	s, err := seating.Assign(name, servers)
	require.NoError(t, err)
	var got []string
	for _, r := range s.Ranks {
		text := ""
		if r.Lost {
			text = "?"
		}
		if r.Server != seating.Unknown {
			text += servers[r.Server].Target
		}
		got = append(got, text)
	}
	require.Equal(t, want, got)
}

func TestGroupsOfOneService(t *testing.T) {
	servers := append(group("a", 2), group("b", 3)...)
	servers = append(servers, seating.Server{Target: "plain", Answered: true})
	requireAssigned(t, "a", servers, "a0", "a1")
	requireAssigned(t, "b", servers, "b0", "b1", "b2")
	_, err := seating.Assign("c", servers)
	require.ErrorIs(t, err, seating.ErrIncomplete, "a group that has vanished")
}

// One host is frozen when a planner begins, so its rank is not known. The planner begins without
// its report; otherwise callers of the whole group would wait until the host runs again.
func TestSilentServersAreAssigned(t *testing.T) {
	t.Run("the only group misses one rank", func(t *testing.T) {
		requireAssigned(t, "a", silence(group("a", 4), 3, true), "a0", "a1", "a2", "?a3")
	})
	t.Run("its entry has lapsed", func(t *testing.T) {
		requireAssigned(t, "a", group("a", 4)[:3], "a0", "a1", "a2", "?")
	})
	t.Run("no rank is missing", func(t *testing.T) {
		servers := append(group("a", 2), seating.Server{Target: "x", Silent: true})
		requireAssigned(t, "a", servers, "a0", "a1")
	})
	t.Run("too many ranks are missing", func(t *testing.T) {
		servers := silence(silence(silence(group("a", 8), 1, true), 2, true), 3, true)
		_, err := seating.Assign("a", servers)
		require.ErrorIs(t, err, seating.ErrIncomplete)
	})
}

// A host of one group is frozen while the planner of another group assigns its ranks. It must
// not assign that host: entries would send the host no requests although it serves another
// group, or the planner's own group would wait for it.
func TestSilentServerOfAnotherGroup(t *testing.T) {
	all := func() []seating.Server { return append(group("a", 4), group("b", 4)...) }
	t.Run("both miss one rank, and the last reports name the groups", func(t *testing.T) {
		servers := silence(silence(all(), 1, false), 6, false)
		requireAssigned(t, "a", servers, "a0", "?a1", "a2", "a3")
		requireAssigned(t, "b", servers, "b0", "b1", "?b2", "b3")
	})
	t.Run("both miss one rank, and neither server ever reported", func(t *testing.T) {
		servers := silence(silence(all(), 1, true), 6, true)
		requireAssigned(t, "a", servers, "a0", "?", "a2", "a3")
	})
	t.Run("only the other group's server has reported", func(t *testing.T) {
		servers := silence(silence(all(), 1, true), 6, false)
		requireAssigned(t, "a", servers, "a0", "?a1", "a2", "a3")
	})
	t.Run("more are silent than are missing", func(t *testing.T) {
		servers := append(silence(group("a", 4), 1, true), seating.Server{Target: "x", Silent: true})
		requireAssigned(t, "a", servers, "a0", "?", "a2", "a3")
	})
}

// Inconsistent reports are findings, and no order is based on them: if two servers claim a rank,
// a map switch would leave one of them with another map in the next step.
func TestInconsistentReports(t *testing.T) {
	for name, c := range map[string]struct {
		odd      seating.Server
		problem  seating.Problem
		assigned bool // the group's ranks are assigned nevertheless
	}{
		"no group":                 {answers("x", "", 0, 0), seating.NoGroup, true},
		"rank outside its size":    {answers("x", "a", 4, 4), seating.BadRank, true},
		"negative rank":            {answers("x", "a", -1, 4), seating.BadRank, true},
		"no size":                  {answers("x", "a", 0, 0), seating.BadRank, true},
		"size beyond the bound":    {answers("x", "a", 1, 1<<40), seating.GroupTooLarge, true},
		"another size than others": {answers("x", "a", 1, 9), seating.SizeMismatch, true},
		"rank that another claims": {answers("x", "a", 1, 4), seating.DuplicateRank, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []bool{true, false} {
				servers := append(group("a", 4), c.odd)
				if first {
					servers = append([]seating.Server{c.odd}, group("a", 4)...)
				}
				s, err := seating.Assign("a", servers)
				if c.assigned {
					require.NoError(t, err)
					require.Len(t, s.Ranks, 4)
				} else {
					require.ErrorIs(t, err, seating.ErrIncomplete)
				}
				require.NotEmpty(t, s.Findings)
				found := false
				for _, f := range s.Findings {
					found = found || f.Target == "x" && f.Problem == c.problem
				}
				require.True(t, found, "%v", s.Findings)
			}
		})
	}
}

// A server restarts and comes up in the other group. Its new rank is assigned, and the move is
// a finding.
func TestRankInAnotherGroup(t *testing.T) {
	servers := append(group("a", 2), group("b", 3)[:2]...)
	moved := answers("a2", "b", 2, 3)
	moved.LastGroup = "a"
	servers = append(servers, moved)
	requireAssigned(t, "b", servers, "b0", "b1", "a2")
	s, err := seating.Assign("a", servers)
	require.NoError(t, err)
	require.Equal(t, []seating.Finding{{Target: "a2", Problem: seating.Moved, Group: "b", Rank: 2, Ranks: 3}}, s.Findings)
}
