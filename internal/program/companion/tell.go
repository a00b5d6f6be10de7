package companion

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// tell sends what was seen to the entries. While the group does not go on, they learn
// that it takes no requests.
func (p *planner) tell() {
	p.looks++
	entries := p.c.entriesHeard(time.Now())
	if len(entries) == 0 {
		return
	}
	v := p.seen()
	d := digest.Digest{
		Term: p.asker.Term, Look: p.looks, Service: p.c.settings.Target.Service, Group: p.group,
		Open: v.serving, Slow: p.limit.Slow(p.gapAim), Entries: len(entries), Limit: p.limit.Value, Rates: p.c.ratesToTell(time.Now()),
	}
	demands := make([]float64, len(entries))
	for i, e := range entries {
		demands[i] = e.demand
		d.Rules = max(d.Rules, e.rules)
		if e.fresh {
			d.Fresh++
		}
	}
	if !v.serving {
		d.Ranks = p.members(v)
		for i, e := range entries {
			d.Place = i + 1
			p.c.socket.Send(e.address, d)
		}
		return
	}
	free := make([]int, len(v.ranks))
	var seats []int // the ranks that are told
	d.Age = time.Since(v.began)
	room := places.Free(v.reports, min(p.limit.Value, places.MostOnTime(v.engine, p.gapAim, v.skew)))
	for rank, s := range v.ranks {
		if s.target == "" {
			continue
		}
		load := v.reports[rank].Running + v.reports[rank].Waiting
		d.Ranks = append(d.Ranks, digest.Rank{Target: s.target, Load: load, Lost: s.lost.Load(), Slow: v.reports[rank].Pace >= places.LeavePace})
		seats = append(seats, rank)
		if !slices.Contains(v.lost, rank) {
			free[rank] = room[rank]
		}
	}
	grants := places.Share(free, demands, p.looks)
	for i, e := range entries {
		for n := range d.Ranks {
			d.Ranks[n].Grant = grants[i][seats[n]]
		}
		d.Place = i + 1
		p.c.socket.Send(e.address, d)
	}
}

// members are the targets of a group that is closed. Without them an entry would take a
// rank that has just come back for one of no group, and send requests there. Of a group whose
// ranks are known those count that never answered this planner, too: what runs at a host that
// stands still has to leave at once.
func (p *planner) members(v view) []digest.Rank {
	var list []digest.Rank
	for _, s := range v.ranks {
		if s.target != "" {
			list = append(list, digest.Rank{Target: s.target, Lost: s.lost.Load()})
		}
	}
	for _, s := range p.seats {
		if s.spoke && s.last.Group == p.group && !slices.Contains(v.ranks, s) {
			list = append(list, digest.Rank{Target: s.target, Lost: s.lost.Load()})
		}
	}
	return list
}

const (
	// successors are told of the entries: those that would take this planner's place
	// first. That three hosts fail with it is not to be expected in years.
	successors = 3
	// tellEntries is how often they are.
	tellEntries = time.Second
)

// entriesToTell returns the entries for a rank that may plan next, when it is time.
func (p *planner) entriesToTell(now time.Time, s *seat) []rankport.Entry {
	if now.Sub(s.told) < tellEntries {
		return nil
	}
	s.told = now
	var list []rankport.Entry
	for _, e := range p.c.entriesHeard(now) {
		list = append(list, rankport.Entry{Address: e.address, Demand: e.demand, Fresh: e.fresh})
	}
	return list
}
