package gateway

import (
	"net/netip"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

// planner is whoever tells of the ranks of a group.
type planner struct {
	address netip.AddrPort
	term    int64
	heard   time.Time
	entries int   // that it hears from
	fresh   int   // of these, those whose rules are fresh
	place   int   // of this entry among them, from 1 on; 0 if that is not told
	rules   int64 // newest version that one of them has
}

const (
	// plannerQuiet is how long a planner may tell nothing before the sidecars of its
	// group are greeted: any of them may take its place. Planners tell some ten times a
	// second.
	plannerQuiet = 1200 * time.Millisecond
	// termLasts is how long an earlier planner is not listened to after a later one. It
	// may have stood still, and wakes with what it knew.
	termLasts = 5 * time.Second
	// countLasts is how long a told number of entries counts.
	countLasts = 5 * time.Second
	// plannerKept is how long a planner is remembered that tells nothing.
	plannerKept = time.Minute
)

// planners are those of all groups. Each group has its own: an entry that listened to the
// newest of a service's planners alone knew nothing of the places of its other groups.
type planners struct {
	mu      sync.Mutex
	byGroup map[roster.Group]planner
	last    int // entries that a planner told of last
}

// take tells whether a digest is of the newest planner of its group, and remembers it.
func (p *planners) take(now time.Time, from netip.AddrPort, d digest.Digest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := roster.Group{Service: d.Service, Name: d.Group}
	if was, found := p.byGroup[name]; found && d.Term < was.term && now.Sub(was.heard) < termLasts {
		return false
	}
	p.last = d.Entries
	if p.byGroup == nil {
		p.byGroup = make(map[roster.Group]planner)
	}
	p.byGroup[name] = planner{address: from, term: d.Term, heard: now, entries: d.Entries, fresh: d.Fresh, place: d.Place, rules: d.Rules}
	return true
}

// of returns the planner of a group, if it told something lately.
func (p *planners) of(now time.Time, name roster.Group) (planner, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, found := p.byGroup[name]
	return known, found && now.Sub(known.heard) < plannerQuiet
}

// live returns the planners of a service's groups that told something lately, and forgets
// those that told nothing for long.
func (p *planners) live(now time.Time, service string) []planner {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []planner
	for name, known := range p.byGroup {
		if now.Sub(known.heard) > plannerKept {
			delete(p.byGroup, name)
		}
		if name.Service == service && now.Sub(known.heard) < plannerQuiet {
			list = append(list, known)
		}
	}
	return list
}

// entries is how many entries share the targets, as the planner says that hears most.
func (p *planners) entries(now time.Time) (n int, known bool) {
	n = int(p.most(now, func(v planner) int64 { return int64(v.entries) }))
	return n, n > 0
}

// rules is the newest version of the rules that an entry has, as planners told lately; known is
// false if none told any.
func (p *planners) rules(now time.Time) (version int64, known bool) {
	version = p.most(now, func(v planner) int64 { return v.rules })
	return version, version > 0
}

// most is the largest number that a planner told lately; 0 if none told any.
func (p *planners) most(now time.Time, number func(planner) int64) (n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.byGroup {
		if now.Sub(v.heard) < countLasts {
			n = max(n, number(v))
		}
	}
	return n
}

// remembered is how many entries there were when a planner told of them last.
func (p *planners) remembered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// senders are all entries, and the place of this one among them, as the planner says that hears
// most. Of planners that hear as many, all entries go by the same one.
func (p *planners) senders(now time.Time) (s ratelimit.Senders, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var by roster.Group
	for name, v := range p.byGroup {
		n := float64(v.entries)
		if v.place == 0 || now.Sub(v.heard) >= countLasts || n < s.Count {
			continue
		}
		if n > s.Count || name.Compare(by) < 0 {
			s, by = ratelimit.Senders{Count: n, Place: v.place}, name
		}
	}
	return s, s.Place > 0
}

// elsewhere tells whether other entries serve all callers, as a planner was told.
func (p *planners) elsewhere(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.byGroup {
		if v.fresh > 1 && now.Sub(v.heard) < plannerQuiet { // one of them may be this one
			return true
		}
	}
	return false
}
