// Package roster keeps the targets that the platform lists, by service.
//
// A target is a server under its id. It may start again, under another id or its own, at the
// same address. One that the platform no longer lists, or lists as leaving, gets no new
// request; requests that run there go on.
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

// GroupName is an expert group's name, as its engines tell it.
type GroupName string

// Group is an expert group: ranks that run each pass together. A service may have one,
// several of unlike size, or none; groups of two services may have the same name.
type Group struct {
	Service string
	Name    GroupName // "" stands for the targets whose group is not known, or that have none
}

// Compare orders groups by service, then by name.
func (g Group) Compare(o Group) int {
	return cmp.Or(strings.Compare(g.Service, o.Service), strings.Compare(string(g.Name), string(o.Name)))
}

// Target is a server under its id, in the life that it was listed in last.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int  // requests that run at the same time
	Leaving    bool // the server has said that it will end
	// Said is when that was learnt; zero if the target does not leave, or is gone already.
	Said time.Time
	// Displaced tells that a later target is listed at its address: it gets no new request.
	Displaced bool
	// Unreadable tells that its entry can't be read any more: it gets no new request.
	Unreadable bool
	// Born is when the server started, by its own clock; zero if it doesn't say.
	Born time.Time
	// Since is the position of the store at which the target was listed first. Of two at
	// one address the later one lives.
	Since position.Position
	// Changed is the position of the entry that told this.
	Changed position.Position
	// Beat counts the entry's writes by the server; it begins anew with each life.
	Beat int64
}

// SameLife tells whether a later word for a target's id is of the same life. A server may
// start again under its id; it was born at another time then, which is earlier if its clock
// went back, or its heartbeats are counted anew.
func (t Target) SameLife(later Target) bool {
	if !t.Born.IsZero() && !later.Born.IsZero() {
		return t.Born.Equal(later.Born)
	}
	return later.Beat >= t.Beat
}

// Living leaves out targets at whose address a later one is listed. A server that starts
// again is listed under a new id while its earlier life still is, for seconds.
func Living(list []Target) []Target {
	latest := make(map[netip.AddrPort]position.Position, len(list))
	for _, t := range list {
		if latest[t.Address].Before(t.Since) {
			latest[t.Address] = t.Since
		}
	}
	var living []Target
	for _, t := range list {
		if t.Since == latest[t.Address] {
			living = append(living, t)
		}
	}
	return living
}

// Roster is the set of targets. It is safe for concurrent use.
type Roster struct {
	mu      sync.RWMutex
	targets map[string]Target
	lists   map[string][]Target // of those that take requests, by service, in the order of their ids
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{targets: make(map[string]Target), lists: make(map[string][]Target)}
}

// Put adds a target or replaces what is known of it. Of two at one address the later one
// lives: the earlier gets no request from then on, though it stays listed for seconds.
// Each request sent to it would be refused by the other, and be a try lost. The earlier
// ones that were taken for living until now are returned.
func (r *Roster) Put(t Target) (ended []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, o := range r.targets {
		if o.Address != t.Address || id == t.ID {
			continue
		}
		t.Displaced = t.Displaced || t.Since.Before(o.Since)
		if o.Since.Before(t.Since) && !o.Leaving && !o.Displaced {
			o.Displaced = true
			r.targets[id] = o
			r.index(o.Service)
			ended = append(ended, id)
		}
	}
	r.targets[t.ID] = t
	r.index(t.Service)
	return ended
}

// Remove forgets a target.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[id]
	if !found {
		return
	}
	delete(r.targets, id)
	r.index(t.Service)
}

// Leave marks a target as leaving: it said so at some time, or is gone if that is zero.
func (r *Roster) Leave(id string, said time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[id]
	if !found || t.Leaving {
		return false
	}
	t.Leaving, t.Said = true, said
	r.targets[id] = t
	r.index(t.Service)
	return true
}

// Unread marks a target whose entry can't be read any more. It is used again once it is put.
func (r *Roster) Unread(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[id]
	if !found || t.Unreadable {
		return false
	}
	t.Unreadable = true
	r.targets[id] = t
	r.index(t.Service)
	return true
}

// index makes the list of a service anew. Lists are never changed in place, so
// that readers may keep the one they have.
func (r *Roster) index(service string) {
	var list []Target
	for _, t := range r.targets {
		if t.Service == service && !t.Leaving && !t.Displaced && !t.Unreadable {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	r.lists[service] = list
}

// Serving returns the targets of a service that take requests. The caller must
// not change the list.
func (r *Roster) Serving(service string) []Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.lists[service]
}

// Draining returns the targets of a service that said that they leave after some time. They
// serve for a while yet.
func (r *Roster) Draining(service string, after time.Time) []Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Target
	for _, t := range r.targets {
		if t.Service == service && t.Leaving && t.Said.After(after) && !t.Displaced && !t.Unreadable {
			list = append(list, t)
		}
	}
	return list
}

// Get returns the target with that id.
func (r *Roster) Get(id string) (Target, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, found := r.targets[id]
	return t, found
}

// At returns the service whose target lives at an address; "" if none does.
func (r *Roster) At(address netip.AddrPort) string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	service := ""
	for _, t := range r.targets {
		if t.Address == address && (service == "" || !t.Leaving && !t.Displaced) {
			service = t.Service
		}
	}
	return service
}

// IDs returns the ids of all targets, those that leave included.
func (r *Roster) IDs() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	ids := make([]string, 0, len(r.targets))
	for id := range r.targets {
		ids = append(ids, id)
	}
	return ids
}
