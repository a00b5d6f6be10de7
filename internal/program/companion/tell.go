package companion

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// sendUpdate sends a planner update with the result of the last poll to the entries. While the
// group does not continue, the update says that it accepts no requests.
func (p *planner) sendUpdate() {
	p.polls++
	entries := p.c.liveEntries(time.Now())
	if len(entries) == 0 {
		return
	}
	v := p.lastView()
	d := digest.Update{
		Term: p.asker.Term, Poll: p.polls, Service: p.c.settings.Target.Service, Group: p.group,
		Open: v.serving, Slow: p.limit.Slow(p.gapGoal), Entries: len(entries), Limit: p.limit.Value, Rates: p.c.ratesDue(time.Now()),
	}
	demands := make([]float64, len(entries))
	for i, e := range entries {
		demands[i] = e.demand
		d.ConfigVersion = max(d.ConfigVersion, e.configVersion)
		if e.configFresh {
			d.FreshEntries++
		}
	}
	if !v.serving {
		d.Ranks = p.members(v)
		for i, e := range entries {
			d.Index = i + 1
			p.c.socket.SendUpdate(e.at, d)
		}
		return
	}
	free := make([]int, len(v.ranks))
	var ranks []int // ranks in d.Ranks, in its order
	d.Age = time.Since(v.beganAt)
	freeSlots := places.FreeSlots(v.reports, min(p.limit.Value, places.MaxOnTime(v.engineConfig, p.gapGoal, v.skew)))
	for rank, s := range v.ranks {
		if s.target == "" {
			continue
		}
		load := v.reports[rank].Running + v.reports[rank].Waiting
		d.Ranks = append(d.Ranks, digest.Rank{Target: s.target, Load: load, Lost: s.lost.Load(), Slow: v.reports[rank].Slowdown >= places.LeaveSlowdown})
		ranks = append(ranks, rank)
		if !slices.Contains(v.lost, rank) {
			free[rank] = freeSlots[rank]
		}
	}
	grants := places.Grants(free, demands, p.polls)
	for i, e := range entries {
		for n := range d.Ranks {
			d.Ranks[n].Grant = grants[i][ranks[n]]
		}
		d.Index = i + 1
		p.c.socket.SendUpdate(e.at, d)
	}
}

// members returns the targets of a group that is closed. Without them an entry would treat a
// rank that has just come back as a target outside of any group, and send requests to it. If the
// rank assignment of the group is known, targets that never answered this planner are included:
// the requests that run at a frozen host must be moved away at once.
func (p *planner) members(v view) []digest.Rank {
	var list []digest.Rank
	for _, s := range v.ranks {
		if s.target != "" {
			list = append(list, digest.Rank{Target: s.target, Lost: s.lost.Load()})
		}
	}
	for _, s := range p.servers {
		if s.answered && s.lastReport.Group == p.group && !slices.Contains(v.ranks, s) {
			list = append(list, digest.Rank{Target: s.target, Lost: s.lost.Load()})
		}
	}
	return list
}

const (
	// successorCount is how many ranks receive the list of entries: those whose turn to
	// replace this planner comes first. Three hosts failing together with the planner's is
	// not expected to happen within years.
	successorCount = 3
	// entriesInterval is how often each of them receives the list.
	entriesInterval = time.Second
)

// entriesDue returns the entries for a rank that may be the next planner if entriesInterval has
// passed since they were last sent to it, and nil otherwise.
func (p *planner) entriesDue(now time.Time, s *modelServer) []rankport.Entry {
	if now.Sub(s.entriesSentAt) < entriesInterval {
		return nil
	}
	s.entriesSentAt = now
	var list []rankport.Entry
	for _, e := range p.c.liveEntries(now) {
		list = append(list, rankport.Entry{Address: e.at, Demand: e.demand, Fresh: e.configFresh})
	}
	return list
}
