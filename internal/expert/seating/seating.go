// Package seating determines the rank assignment of an expert group: which server of a
// service is which rank, from the servers' own reports.
//
// A service may have several groups, and engines in no group. Reports are trusted as far as
// they are consistent: a rank outside its group's size, or one that two servers claim, is a
// finding, and no order is based on it. A frozen host sends no report; its server is assigned
// by its earlier report, or to a rank that is missing.
package seating

import (
	"net/netip"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// ErrIncomplete reports a group of which too little is known to plan for it.
var ErrIncomplete = merry.New("the state of the group is not completely known")

const (
	// maxLostDivisor is the part of a group, one rank in so many, that may be lost while the
	// group counts as serving. If more are lost, it is more likely that this process can't
	// reach the others.
	maxLostDivisor = 4
	// maxRanks bounds the memory that a server can make a planner allocate by the group size
	// in its report: sixteen times the largest group that is planned for.
	maxRanks = 4096
	// Unknown stands for the server of a rank if that is not known.
	Unknown = -1
)

// MaxLost returns how many ranks of a group may be lost while it counts as serving.
func MaxLost(ranks int) int { return max(ranks/maxLostDivisor, 1) }

// Server is a server of the service and the outcome of reading its report.
type Server struct {
	Target    string
	Address   netip.AddrPort
	Answered  bool
	Silent    bool              // it did not answer in time; a server that refuses the connection is dead, not silent
	Report    changeover.Report // if it answered
	LastGroup roster.GroupName  // group of its last report; "" if it never answered
}

// Rank is the server of a rank of a group.
type Rank struct {
	Server int  // index in the list given to Assign; Unknown if not known
	Lost   bool // its host does not answer
}

// Assignment is the rank assignment of a group.
type Assignment struct {
	Ranks    []Rank // indexed by rank
	Findings []Finding
}

// Problem names what is wrong with a server's report.
type Problem string

// The problems.
const (
	NoGroup       Problem = "noGroup"   // the engine is in no group
	BadRank       Problem = "noSuch"    // its rank lies outside its group's size
	SizeMismatch  Problem = "unlike"    // other servers of its group report another size
	DuplicateRank Problem = "twoClaim"  // another server reports the same rank
	GroupTooLarge Problem = "tooMany"   // its group would have more than maxRanks ranks
	Moved         Problem = "elsewhere" // it has moved to another group
)

// Finding is a problem with a server's report.
type Finding struct {
	Target  string
	Problem Problem
	Group   roster.GroupName
	Rank    int
	Ranks   int
}

// Assign returns the rank assignment of a group from the servers of its service.
func Assign(group roster.GroupName, servers []Server) (Assignment, error) {
	s := Assignment{Findings: findings(servers)}
	faulty := make(map[string]bool)
	for _, f := range s.Findings {
		faulty[f.Target] = f.Problem != Moved
		if f.Group == group && f.Problem == DuplicateRank {
			return s, merry.Wrap(ErrIncomplete, merry.AppendMessagef("two servers claim rank %d", f.Rank))
		}
	}
	sizes := make(map[roster.GroupName]int)    // as reported by the servers of each group
	answered := make(map[roster.GroupName]int) // ranks that answered
	for i, v := range servers {
		g := v.Report.Group
		if !v.Answered || g == "" || faulty[v.Target] {
			continue
		}
		if g == group && s.Ranks == nil {
			s.Ranks = unassigned(v.Report.Ranks)
		}
		if g == group {
			s.Ranks[v.Report.Rank] = Rank{Server: i}
		}
		sizes[g] = v.Report.Ranks
		answered[g]++
	}
	if s.Ranks == nil {
		return s, merry.Wrap(ErrIncomplete, merry.AppendMessage("no server reports a rank of the group"))
	}
	missing := sizes[group] - answered[group]
	if missing > MaxLost(len(s.Ranks)) {
		return s, merry.Wrap(ErrIncomplete, merry.AppendMessagef("%d of %d ranks are missing", missing, len(s.Ranks)))
	}
	others := 0 // ranks missing in other groups
	for g, n := range sizes {
		if g != group {
			others += n - answered[g]
		}
	}
	s.assignSilent(silentServers(group, servers, missing, others))
	return s, nil
}

// unassigned returns ranks whose servers are not known.
func unassigned(ranks int) []Rank {
	list := make([]Rank, ranks)
	for i := range list {
		list[i] = Rank{Server: Unknown}
	}
	return list
}

// silentServers returns the silent servers that are assigned to the missing ranks of a group:
// those whose last report named the group, and those that never reported if they can't belong
// to another group. A host that is assigned wrongly gets no requests although it serves
// another group.
func silentServers(group roster.GroupName, servers []Server, missing, others int) []int {
	var known, unknown []int
	for i, v := range servers {
		switch {
		case !v.Silent:
		case v.LastGroup == group:
			known = append(known, i)
		case v.LastGroup == "":
			unknown = append(unknown, i)
		default:
			others-- // it is one of the missing ranks of its own group
		}
	}
	if others <= 0 && len(known)+len(unknown) <= missing {
		return append(known, unknown...)
	}
	return known
}

// assignSilent assigns the silent servers to the missing ranks: the group may go on while a
// host is frozen. Which of these servers is which rank is not known, and does not matter while
// they are only checked for reachability. A server that is no longer listed, because it could
// not renew its entry in the store, leaves a rank without a server.
func (s *Assignment) assignSilent(silent []int) {
	for rank := range s.Ranks {
		if s.Ranks[rank].Server != Unknown {
			continue
		}
		s.Ranks[rank].Lost = true
		if len(silent) > 0 {
			s.Ranks[rank].Server, silent = silent[0], silent[1:]
		}
	}
}

// claim is the rank that a server reports as its own.
type claim struct {
	group roster.GroupName
	rank  int
}

// findings returns the problems with the reports, in the order of the servers.
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
			problem = SizeMismatch
		case claims[claim{r.Group, r.Rank}] > 1:
			problem = DuplicateRank
		case v.LastGroup != "" && v.LastGroup != r.Group:
			problem = Moved
		}
		if problem != "" {
			list = append(list, Finding{Target: v.Target, Problem: problem, Group: r.Group, Rank: r.Rank, Ranks: r.Ranks})
		}
	}
	return list
}

// agreedSizes returns for each group the size that most of its servers report.
func agreedSizes(servers []Server) map[roster.GroupName]int {
	type size struct {
		group roster.GroupName
		ranks int
	}
	votes := make(map[size]int) // how many servers report each size
	agreed := make(map[roster.GroupName]int)
	for _, v := range servers {
		r := v.Report
		if !v.Answered || unusable(r) != "" {
			continue
		}
		votes[size{r.Group, r.Ranks}]++
		if votes[size{r.Group, r.Ranks}] > votes[size{r.Group, agreed[r.Group]}] {
			agreed[r.Group] = r.Ranks
		}
	}
	return agreed
}

// unusable returns the problem that a report has whatever other servers report.
func unusable(r changeover.Report) Problem {
	switch {
	case r.Group == "":
		return NoGroup
	case r.Ranks > maxRanks:
		return GroupTooLarge
	case r.Rank < 0 || r.Rank >= r.Ranks:
		return BadRank
	}
	return ""
}
