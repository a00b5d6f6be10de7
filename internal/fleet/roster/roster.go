// Package roster keeps the targets that the platform lists, by service.
//
// A target is a server with an id. A server may restart at the same address, with a new id or
// the same one. A target that the platform no longer lists, or lists as leaving, gets no new
// requests; requests that run there continue.
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

// GroupName is an expert group's name, as its engines report it.
type GroupName string

// Group is an expert group: ranks that run each step together. A service may have one group,
// several of different sizes, or none. Groups of two services may have the same name.
type Group struct {
	Service string
	Name    GroupName // "" for targets that have no group, or whose group is not known
}

// Compare orders groups by service, then by name.
func (g Group) Compare(o Group) int {
	return cmp.Or(strings.Compare(g.Service, o.Service), strings.Compare(string(g.Name), string(o.Name)))
}

// Target is a server with its id, in the incarnation that was listed last.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int  // how many requests it runs at the same time
	Leaving    bool // the server has announced its shutdown, or is gone
	// LeavingSince is the earliest time at which the target may have announced its shutdown; zero
	// if the target is not leaving, or is gone already.
	LeavingSince time.Time
	// Displaced is set by the roster while a later target is listed at the same address: this one
	// gets no new requests.
	Displaced bool
	// Replaced is set if another server answers at the target's address: the target is gone, or
	// never was there.
	Replaced bool
	// Missing is set if the store does not list the target, and it may be live: it gets requests
	// only if its service has no other target.
	Missing bool
	// Unreadable is set if the target's entry in the store can't be decoded any more: it gets
	// no new requests.
	Unreadable bool
	// Started is when the server started, on its own clock; zero if it doesn't report that.
	Started time.Time
	// ListedAt is the store's position at which the target was first listed. Of two targets at
	// one address, the one listed later is the running one.
	ListedAt position.Position
	// ChangedAt is the store's position at which the target's entry was last written.
	ChangedAt position.Position
	// Heartbeats counts the server's writes of the entry, its heartbeats; it starts again with each
	// incarnation.
	Heartbeats int64
}

// SameIncarnation reports whether later, an entry with the same id that was read after t, is of the
// same incarnation. A server may restart with the same id. Its start time differs then (it
// is earlier if the server's clock was set back), or its heartbeat count starts again.
func (t Target) SameIncarnation(later Target) bool {
	if !t.Started.IsZero() && !later.Started.IsZero() {
		return t.Started.Equal(later.Started)
	}
	return later.Heartbeats >= t.Heartbeats
}

// WithoutDisplaced returns the targets of list, except those at whose address a later one is listed.
// For some seconds, a server that restarts is listed with a new id while its earlier
// incarnation still is.
func WithoutDisplaced(list []Target) []Target {
	latest := make(map[netip.AddrPort]position.Position, len(list))
	for _, t := range list {
		if latest[t.Address].Before(t.ListedAt) {
			latest[t.Address] = t.ListedAt
		}
	}
	var current []Target
	for _, t := range list {
		if t.ListedAt == latest[t.Address] {
			current = append(current, t)
		}
	}
	return current
}

// Roster is the set of targets. It is safe for concurrent use.
type Roster struct {
	// OnRegained is called for each target that is not displaced any more, if it is not nil. It
	// must not call the roster.
	OnRegained func(id string)

	mu      sync.RWMutex
	targets map[string]Target
	serving map[string][]Target       // targets that accept requests, by service, ordered by id
	named   func(service string) bool // nil as long as the services are not known
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{targets: make(map[string]Target), serving: make(map[string][]Target)}
}

// SetServices sets which services there are. A target of another service displaces none.
func (r *Roster) SetServices(named func(service string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.named = named
	services := make(map[string]bool)
	r.settle(func(Target) bool { return true }, services)
	r.indexAll(services)
}

// Put adds a target or replaces its state. Of two targets at one address, the later one is
// the running one: the earlier one gets no more requests, though it stays listed for some
// seconds. Otherwise each request for the earlier one would be refused by the later one,
// which would waste an attempt. Put returns the earlier targets that got requests until now.
func (r *Roster) Put(t Target) (ended []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(r.change(t.ID, &t), func(id string) bool { return id == t.ID })
}

// change replaces a target, or removes it if next is nil, and brings up to date what follows from
// the targets: which ones are displaced, and the lists of the services concerned. All changes go
// through it, so that no list keeps a copy of a target that has changed or is gone. It returns the
// targets that are displaced now.
func (r *Roster) change(id string, next *Target) (displaced []string) {
	previous, known := r.targets[id]
	services := make(map[string]bool)
	if known {
		services[previous.Service] = true
	}
	if next == nil {
		delete(r.targets, id)
		next = &previous
	} else {
		next.Displaced = previous.Displaced
		r.targets[id] = *next
		services[next.Service] = true
	}
	displaced = r.settle(func(t Target) bool { return t.Address == previous.Address || t.Address == next.Address }, services)
	r.indexAll(services)
	return displaced
}

// settle finds out which of the targets that match are displaced. Those that match must include all
// at the same address. It adds the services of those that change, and returns the targets that are
// displaced now and got requests until then.
func (r *Roster) settle(match func(Target) bool, services map[string]bool) (displaced []string) {
	var list []Target
	latest := make(map[netip.AddrPort]position.Position)
	for _, t := range r.targets {
		if !match(t) {
			continue
		}
		list = append(list, t)
		if r.mayRun(t) && latest[t.Address].Before(t.ListedAt) {
			latest[t.Address] = t.ListedAt
		}
	}
	for _, t := range list {
		now := t.ListedAt.Before(latest[t.Address])
		if now == t.Displaced {
			continue
		}
		t.Displaced = now
		r.targets[t.ID] = t
		services[t.Service] = true
		switch {
		case now && !t.Leaving:
			displaced = append(displaced, t.ID)
		case !now && r.OnRegained != nil:
			r.OnRegained(t.ID)
		}
	}
	return displaced
}

// mayRun reports whether a target may be the one that runs at its address.
func (r *Roster) mayRun(t Target) bool {
	return !t.Replaced && (r.named == nil || r.named(t.Service))
}

func (r *Roster) indexAll(services map[string]bool) {
	for service := range services {
		r.index(service)
	}
}

// Remove removes a target.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.change(id, nil)
}

// MarkLeaving marks a target as leaving. The argument is when it announced its shutdown, or zero if
// it is gone. MarkLeaving returns false if the target is not known or already leaving.
func (r *Roster) MarkLeaving(id string, since time.Time) bool {
	return r.mark(id, func(t *Target) bool {
		news := !t.Leaving
		if news {
			t.Leaving, t.LeavingSince = true, since
		}
		return news
	})
}

// MarkReplaced marks a target at whose address another server answers: it is gone. MarkReplaced
// returns false if the target is not known or already marked.
func (r *Roster) MarkReplaced(id string) bool {
	return r.mark(id, func(t *Target) bool {
		t.Leaving, t.LeavingSince = true, time.Time{}
		return set(&t.Replaced)
	})
}

// MarkUnreadable marks a target whose entry can't be decoded any more. The target gets requests again
// after the next Put. MarkUnreadable returns false if the target is not known or already marked.
func (r *Roster) MarkUnreadable(id string) bool {
	return r.mark(id, func(t *Target) bool { return set(&t.Unreadable) })
}

// MarkMissing marks a target that the store does not list any more, until the next Put. MarkMissing
// returns false if the target is not known or already marked.
func (r *Roster) MarkMissing(id string) bool {
	return r.mark(id, func(t *Target) bool { return set(&t.Missing) })
}

// set sets a flag and reports whether that changed it.
func set(flag *bool) (news bool) {
	news = !*flag
	*flag = true
	return news
}

// mark changes a target. It returns false if the target is not known, or the change is no news.
func (r *Roster) mark(id string, change func(*Target) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[id]
	if !found || !change(&t) {
		return false
	}
	r.change(id, &t)
	return true
}

// index rebuilds the list of a service. Lists are never changed in place, so that
// readers may keep the one that they have.
func (r *Roster) index(service string) {
	var list []Target
	for _, t := range r.targets {
		if t.Service == service && !t.Leaving && !t.Displaced && !t.Missing && !t.Unreadable {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		delete(r.serving, service) // other writers may name any number of services
		return
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	r.serving[service] = list
}

// Serving returns the targets of a service that accept requests. The caller must
// not change the list.
func (r *Roster) Serving(service string) []Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.serving[service]
}

// LastResort returns the targets of a service that are missing from the list, and those that
// announced their shutdown after the given time: these continue to serve for a while.
func (r *Roster) LastResort(service string, after time.Time) []Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Target
	for _, t := range r.targets {
		if t.Service != service || t.Displaced || t.Unreadable {
			continue
		}
		if t.Leaving && t.LeavingSince.After(after) || t.Missing && !t.Leaving {
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

// ServiceAt returns the service whose target runs at an address; "" if none does.
func (r *Roster) ServiceAt(address netip.AddrPort) string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	service := ""
	for _, t := range r.targets {
		if t.Address == address && r.mayRun(t) && (service == "" || !t.Leaving && !t.Displaced) {
			service = t.Service
		}
	}
	return service
}

// IDs returns the ids of all targets, including those that are leaving.
func (r *Roster) IDs() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	ids := make([]string, 0, len(r.targets))
	for id := range r.targets {
		ids = append(ids, id)
	}
	return ids
}
