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
		Target: target, Answered: true, Last: name,
		Report: changeover.Report{Group: name, Rank: rank, Ranks: ranks, Open: true},
	}
}

// silence lets a server not answer, and forget what it said before if it is new.
func silence(list []seating.Server, at int, isNew bool) []seating.Server {
	s := &list[at]
	s.Answered, s.Silent, s.Report = false, true, changeover.Report{}
	if isNew {
		s.Last = ""
	}
	return list
}

// requireSeated checks which server each rank has; an "" stands for one that is not known,
// and a target after a "?" for one that is lost.
func requireSeated(t *testing.T, name roster.GroupName, servers []seating.Server, want ...string) {
	t.Helper()
	s, err := seating.Of(name, servers)
	require.NoError(t, err)
	var got []string
	for _, r := range s.Ranks {
		text := ""
		if r.Lost {
			text = "?"
		}
		if r.Server != seating.Nobody {
			text += servers[r.Server].Target
		}
		got = append(got, text)
	}
	require.Equal(t, want, got)
}

func TestGroupsOfOneService(t *testing.T) {
	servers := append(group("a", 2), group("b", 3)...)
	servers = append(servers, seating.Server{Target: "plain", Answered: true})
	requireSeated(t, "a", servers, "a0", "a1")
	requireSeated(t, "b", servers, "b0", "b1", "b2")
	_, err := seating.Of("c", servers)
	require.ErrorIs(t, err, seating.ErrIncomplete, "a group that has vanished")
}

// One host stands still as a planner begins: it can't tell its rank. The planner begins
// without it, or callers of the whole group would wait until the host is back.
func TestRanksThatDontAnswerAreSeated(t *testing.T) {
	t.Run("its only group misses one", func(t *testing.T) {
		requireSeated(t, "a", silence(group("a", 4), 3, true), "a0", "a1", "a2", "?a3")
	})
	t.Run("its entry has lapsed", func(t *testing.T) {
		requireSeated(t, "a", group("a", 4)[:3], "a0", "a1", "a2", "?")
	})
	t.Run("the group misses nobody", func(t *testing.T) {
		servers := append(group("a", 2), seating.Server{Target: "x", Silent: true})
		requireSeated(t, "a", servers, "a0", "a1")
	})
	t.Run("too many", func(t *testing.T) {
		servers := silence(silence(silence(group("a", 8), 1, true), 2, true), 3, true)
		_, err := seating.Of("a", servers)
		require.ErrorIs(t, err, seating.ErrIncomplete)
	})
}

// A host of one group stands still, and the planner of another looks for its ranks. It
// must not take that host for one of its own: entries would send it nothing though it is
// no rank of the group, or its own group would wait for it.
func TestSilentServerOfAnotherGroup(t *testing.T) {
	all := func() []seating.Server { return append(group("a", 4), group("b", 4)...) }
	t.Run("both miss one, and it said before where it is", func(t *testing.T) {
		servers := silence(silence(all(), 1, false), 6, false)
		requireSeated(t, "a", servers, "a0", "?a1", "a2", "a3")
		requireSeated(t, "b", servers, "b0", "b1", "?b2", "b3")
	})
	t.Run("both miss one, and nobody knows which is which", func(t *testing.T) {
		servers := silence(silence(all(), 1, true), 6, true)
		requireSeated(t, "a", servers, "a0", "?", "a2", "a3")
	})
	t.Run("the other one is known", func(t *testing.T) {
		servers := silence(silence(all(), 1, true), 6, false)
		requireSeated(t, "a", servers, "a0", "?a1", "a2", "a3")
	})
	t.Run("more are silent than are missing", func(t *testing.T) {
		servers := append(silence(group("a", 4), 1, true), seating.Server{Target: "x", Silent: true})
		requireSeated(t, "a", servers, "a0", "?", "a2", "a3")
	})
}

// Words that don't fit are findings, and nothing is ordered on them: a map for ranks that
// two servers claim would leave one of them with another map in the next pass.
func TestWordsThatDontFit(t *testing.T) {
	for name, c := range map[string]struct {
		odd     seating.Server
		problem seating.Problem
		seated  bool // the group all the same
	}{
		"no group":                 {answers("x", "", 0, 0), seating.NoGroup, true},
		"rank outside its size":    {answers("x", "a", 4, 4), seating.NoSuch, true},
		"negative rank":            {answers("x", "a", -1, 4), seating.NoSuch, true},
		"no size":                  {answers("x", "a", 0, 0), seating.NoSuch, true},
		"size beyond any":          {answers("x", "a", 1, 1<<40), seating.TooMany, true},
		"another size than others": {answers("x", "a", 1, 9), seating.Unlike, true},
		"rank that another claims": {answers("x", "a", 1, 4), seating.TwoClaim, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []bool{true, false} {
				servers := append(group("a", 4), c.odd)
				if first {
					servers = append([]seating.Server{c.odd}, group("a", 4)...)
				}
				s, err := seating.Of("a", servers)
				if c.seated {
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

// A server starts again and comes up in the other group. Its new rank is believed, and the
// change told.
func TestRankInAnotherGroup(t *testing.T) {
	servers := append(group("a", 2), group("b", 3)[:2]...)
	moved := answers("a2", "b", 2, 3)
	moved.Last = "a"
	servers = append(servers, moved)
	requireSeated(t, "b", servers, "b0", "b1", "a2")
	s, err := seating.Of("a", servers)
	require.NoError(t, err)
	require.Equal(t, []seating.Finding{{Target: "a2", Problem: seating.Elsewhere, Group: "b", Rank: 2, Ranks: 3}}, s.Findings)
}
