package gateway

import (
	"net/netip"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/peak"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

// planner is the sender of a group's planner updates, with what the last one reported.
type planner struct {
	address       netip.AddrPort
	term          int64
	updatedAt     time.Time
	entries       int   // from which it receives heartbeats
	fresh         int   // of these, those whose configuration is fresh
	index         int   // of this entry among them, from 1 on; 0 if not reported
	configVersion int64 // newest version that any of them has
}

const (
	// plannerTimeout is how long a planner may send nothing before the sidecars of its group
	// get heartbeats: any of them may take over. Planners send some ten updates a second.
	plannerTimeout = 1200 * time.Millisecond
	// staleTermWindow is how long updates of an earlier planner are ignored after one of a
	// later planner. Its host may have been frozen, and then sends outdated state.
	staleTermWindow = 5 * time.Second
	// countLifetime is how long a reported number of entries is used.
	countLifetime = 5 * time.Second
	// plannerRetention is how long a planner that sends nothing is remembered.
	plannerRetention = time.Minute
	// maxGroups bounds the groups whose planners are remembered, and maxGroupName the length of their names
	// with those of their services in bytes: anybody can send updates. A deployment has some ten groups.
	maxGroups    = 256
	maxGroupName = 256
)

// entriesSpan is how long the number of entries that a planner reported counts at least.
const entriesSpan = 10 * time.Minute

// planners holds the planners of all groups. Each group has its own: an entry that used only the
// newest of a service's planners would know nothing of the free slots of the other groups.
type planners struct {
	mu          sync.Mutex
	byGroup     map[roster.Group]planner
	mostEntries peak.Peak[int] // of the numbers of entries that were reported
}

// accept reports whether an update is from the newest planner of its group, and remembers that
// planner.
func (p *planners) accept(now time.Time, from netip.AddrPort, d digest.Update) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := roster.Group{Service: d.Service, Name: d.Group}
	previous, found := p.byGroup[name]
	if !found && (len(p.byGroup) >= maxGroups || len(d.Group)+len(d.Service) > maxGroupName) {
		return false
	}
	if found && d.Term < previous.term && now.Sub(previous.updatedAt) < staleTermWindow {
		return false
	}
	p.mostEntries.Add(now, entriesSpan, d.Entries)
	if p.byGroup == nil {
		p.byGroup = make(map[roster.Group]planner)
	}
	p.byGroup[name] = planner{address: from, term: d.Term, updatedAt: now, entries: d.Entries, fresh: d.FreshEntries, index: d.Index, configVersion: d.ConfigVersion}
	return true
}

// of returns the planner of a group, and whether it sent an update recently.
func (p *planners) of(now time.Time, name roster.Group) (planner, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, found := p.byGroup[name]
	return known, found && now.Sub(known.updatedAt) < plannerTimeout
}

// live returns the planners of a service's groups that sent an update recently, and forgets
// those that have sent none for long.
func (p *planners) live(now time.Time, service string) []planner {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []planner
	for name, known := range p.byGroup {
		if now.Sub(known.updatedAt) > plannerRetention {
			delete(p.byGroup, name)
		}
		if name.Service == service && now.Sub(known.updatedAt) < plannerTimeout {
			list = append(list, known)
		}
	}
	return list
}

// entries returns how many entries share the targets, as reported by the planner that receives
// heartbeats from the most.
func (p *planners) entries(now time.Time) (n int, known bool) {
	n = int(p.maxRecent(now, func(v planner) int64 { return int64(v.entries) }))
	return n, n > 0
}

// configVersion returns the newest configuration version that any entry has, as planners recently
// reported; known is false if none reported one.
func (p *planners) configVersion(now time.Time) (version int64, known bool) {
	version = p.maxRecent(now, func(v planner) int64 { return v.configVersion })
	return version, version > 0
}

// othersReported reports whether a planner recently reported the configuration version of other
// entries. One that receives heartbeats from this entry alone reports only what this entry told it.
func (p *planners) othersReported(now time.Time) bool {
	return p.maxRecent(now, func(v planner) int64 { return min(v.configVersion, int64(v.entries-1)) }) > 0
}

// maxRecent returns the largest number that a planner recently reported; 0 if none did.
func (p *planners) maxRecent(now time.Time, number func(planner) int64) (n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.byGroup {
		if now.Sub(v.updatedAt) < countLifetime {
			n = max(n, number(v))
		}
	}
	return n
}

// mostEntryCount returns the largest number of entries that any planner reported recently, or before
// reports ceased. It is 0 if none ever did.
func (p *planners) mostEntryCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mostEntries.Value()
}

// senders returns the number of entries and the index of this one among them, as reported by the
// planner that receives heartbeats from the most. Among planners with equal numbers, all entries
// choose the same one.
func (p *planners) senders(now time.Time) (s ratelimit.Senders, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen roster.Group
	for name, v := range p.byGroup {
		n := float64(v.entries)
		if v.index == 0 || now.Sub(v.updatedAt) >= countLifetime || n < s.Count {
			continue
		}
		if n > s.Count || name.Compare(chosen) < 0 {
			s, chosen = ratelimit.Senders{Count: n, Index: v.index}, name
		}
	}
	return s, s.Index > 0
}

// otherEntriesFresh reports whether other entries can serve all callers, as a planner recently reported.
func (p *planners) otherEntriesFresh(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.byGroup {
		if v.fresh > 1 && now.Sub(v.updatedAt) < plannerTimeout { // one of them may be this one
			return true
		}
	}
	return false
}
