// Package seating tells which server is which rank of an expert group, from what the
// servers of a service say of themselves.
//
// A service may have several groups, and engines in none. What a server says is taken
// at its word as far as the words fit together: a rank outside its group's size, or one
// that two servers claim, is a finding, and nothing is ordered on it. A host that stands
// still says nothing; its place is told by what it said before, or by what is missing.
package seating

import (
	"net/netip"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// ErrIncomplete reports a group of which too little is known to plan for it.
var ErrIncomplete = merry.New("not all ranks of the group could be asked")

const (
	// mostLost is the part of a group, one in so many, that may be lost while it counts
	// as serving. Beyond that it is rather this process that can't reach the others.
	mostLost = 4
	// mostRanks bounds what a server can make a planner set aside by the size that it
	// tells: sixteen times the largest group that is planned for.
	mostRanks = 4096
	// Nobody stands for a rank whose server is not known.
	Nobody = -1
)

// MayBeLost is how many of a group's ranks may be lost.
func MayBeLost(ranks int) int { return max(ranks/mostLost, 1) }

// Server is a server of the service, and what came of asking it.
type Server struct {
	Target   string
	Address  netip.AddrPort
	Answered bool
	Silent   bool              // it did not answer in time; one that refuses the connection is dead
	Report   changeover.Report // if it answered
	Last     roster.GroupName  // of which it was when it answered last; "" if it never did
}

// Rank is where a rank of a group is found.
type Rank struct {
	Server int  // its place in the list that was given; Nobody if that is not known
	Lost   bool // its host does not answer
}

// Seating is who is which rank of a group.
type Seating struct {
	Ranks    []Rank // by rank
	Findings []Finding
}

// Problem names what does not fit in a server's word.
type Problem string

// The problems.
const (
	NoGroup   Problem = "noGroup"   // the engine is in no group
	NoSuch    Problem = "noSuch"    // its rank lies outside its group's size
	Unlike    Problem = "unlike"    // its group has another size by the word of others
	TwoClaim  Problem = "twoClaim"  // another server says that it is the same rank
	TooMany   Problem = "tooMany"   // its group would be larger than any
	Elsewhere Problem = "elsewhere" // it has left for another group
)

// Finding is a server's word that was not followed.
type Finding struct {
	Target  string
	Problem Problem
	Group   roster.GroupName
	Rank    int
	Ranks   int
}

// Of seats the servers of a service that are ranks of a group.
func Of(group roster.GroupName, servers []Server) (Seating, error) {
	s := Seating{Findings: findings(servers)}
	faulty := make(map[string]bool)
	for _, f := range s.Findings {
		faulty[f.Target] = f.Problem != Elsewhere
		if f.Group == group && f.Problem == TwoClaim {
			return s, merry.Wrap(ErrIncomplete, merry.AppendMessagef("two servers claim rank %d", f.Rank))
		}
	}
	sizes := make(map[roster.GroupName]int)    // as the groups' servers tell
	answered := make(map[roster.GroupName]int) // ranks that answered
	for i, v := range servers {
		g := v.Report.Group
		if !v.Answered || g == "" || faulty[v.Target] {
			continue
		}
		if g == group && s.Ranks == nil {
			s.Ranks = empty(v.Report.Ranks)
		}
		if g == group {
			s.Ranks[v.Report.Rank] = Rank{Server: i}
		}
		sizes[g] = v.Report.Ranks
		answered[g]++
	}
	if s.Ranks == nil {
		return s, merry.Wrap(ErrIncomplete, merry.AppendMessage("no rank of the group"))
	}
	missing := sizes[group] - answered[group]
	if missing > MayBeLost(len(s.Ranks)) {
		return s, merry.Wrap(ErrIncomplete, merry.AppendMessagef("%d of %d ranks are missing", missing, len(s.Ranks)))
	}
	others := 0 // ranks that other groups lack
	for g, n := range sizes {
		if g != group {
			others += n - answered[g]
		}
	}
	s.seatSilent(silentOnes(group, servers, missing, others))
	return s, nil
}

func empty(ranks int) []Rank {
	list := make([]Rank, ranks)
	for i := range list {
		list[i] = Rank{Server: Nobody}
	}
	return list
}

// silentOnes are the servers that may be taken for the ranks that a group misses. Those
// that were of the group when they spoke last are; of the others, that nobody knows, only
// if they can't be another group's: each that is taken wrongly is a host that gets no
// request though it serves another group.
func silentOnes(group roster.GroupName, servers []Server, missing, others int) []int {
	var known, unknown []int
	for i, v := range servers {
		switch {
		case !v.Silent:
		case v.Last == group:
			known = append(known, i)
		case v.Last == "":
			unknown = append(unknown, i)
		default:
			others-- // its group is known, and lacks it
		}
	}
	if others <= 0 && len(known)+len(unknown) <= missing {
		return append(known, unknown...)
	}
	return known
}

// seatSilent gives the ranks that are missing to the servers that don't answer: a host
// may stand still and its group go on. Which of them is which rank can't be told, nor
// does it matter while none is asked for more than a sign of life. One that is not
// listed any more, since it could not renew its entry, gets a seat without a server.
func (s *Seating) seatSilent(silent []int) {
	for rank := range s.Ranks {
		if s.Ranks[rank].Server != Nobody {
			continue
		}
		s.Ranks[rank].Lost = true
		if len(silent) > 0 {
			s.Ranks[rank].Server, silent = silent[0], silent[1:]
		}
	}
}

// claim is a rank that a server says it is.
type claim struct {
	group roster.GroupName
	rank  int
}

// findings are the words that don't fit, in the order of the servers.
func findings(servers []Server) []Finding {
	agreed := agreedSizes(servers)
	claims := make(map[claim]int)
	for _, v := range servers {
		r := v.Report
		if v.Answered && unusable(r) == "" && r.Ranks == agreed[r.Group] {
			claims[claim{r.Group, r.Rank}]++
		}
	}
	var list []Finding
	for _, v := range servers {
		if !v.Answered {
			continue
		}
		r := v.Report
		problem := unusable(r)
		switch {
		case problem != "":
		case r.Ranks != agreed[r.Group]:
			problem = Unlike
		case claims[claim{r.Group, r.Rank}] > 1:
			problem = TwoClaim
		case v.Last != "" && v.Last != r.Group:
			problem = Elsewhere
		}
		if problem != "" {
			list = append(list, Finding{Target: v.Target, Problem: problem, Group: r.Group, Rank: r.Rank, Ranks: r.Ranks})
		}
	}
	return list
}

// agreedSizes are the sizes that most servers of each group tell.
func agreedSizes(servers []Server) map[roster.GroupName]int {
	type size struct {
		group roster.GroupName
		ranks int
	}
	told := make(map[size]int) // how many servers say so
	agreed := make(map[roster.GroupName]int)
	for _, v := range servers {
		r := v.Report
		if !v.Answered || unusable(r) != "" {
			continue
		}
		told[size{r.Group, r.Ranks}]++
		if told[size{r.Group, r.Ranks}] > told[size{r.Group, agreed[r.Group]}] {
			agreed[r.Group] = r.Ranks
		}
	}
	return agreed
}

// unusable says why a report can't be followed whatever other servers say.
func unusable(r changeover.Report) Problem {
	switch {
	case r.Group == "":
		return NoGroup
	case r.Ranks > mostRanks:
		return TooMany
	case r.Rank < 0 || r.Rank >= r.Ranks:
		return NoSuch
	}
	return ""
}
