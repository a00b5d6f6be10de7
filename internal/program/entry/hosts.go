package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/watch"
)

const (
	hostPrefix object.Key   = "hosts/"
	causeHosts object.Cause = "hosts"

	// maxHosts bounds what is kept of the platform's list.
	maxHosts = 8192
)

// hostState is what the platform's list says of a host.
type hostState string

// The states of a host on the platform's list. The list lags.
const (
	hostLive    hostState = "live"
	hostLeaving hostState = "leaving"
	hostGone    hostState = "gone"
)

// listedHost is one object of the platform's list.
type listedHost struct {
	Name    host.Name      `json:"name"`
	Address netip.AddrPort `json:"address"`
	State   hostState      `json:"state"`
}

// decodeHost reads an object of the list; false if it is not one.
func decodeHost(o object.Object) (listedHost, bool) {
	var h listedHost
	if err := json.Unmarshal(o.Value, &h); err != nil || string(h.Name) != o.Key.Name() {
		return listedHost{}, false
	}
	known := h.State == hostLive || h.State == hostLeaving || h.State == hostGone
	return h, known
}

// followHosts tells the fleet what the platform's list of hosts says: that a host
// is leaving, and that one which no longer answers is gone and need not be
// waited for.
func (e *Entry) followHosts(ctx context.Context) error {
	follower := watch.New(watch.Config{Prefix: hostPrefix, Cause: causeHosts, Limit: maxHosts}, e.newRand())
	e.cfg.Platform.Follow(ctx, follower, hostPrefix, e.hostsChanged, func() {})
	return context.Cause(ctx)
}

func (e *Entry) hostsChanged(objects []object.Object) {
	e.mu.Lock()
	for _, o := range objects {
		h, ok := decodeHost(o)
		if !ok {
			delete(e.hosts, host.Name(o.Key.Name())) // deleted, or nothing that can be read
			continue
		}
		e.hosts[h.Name] = h
	}
	e.mu.Unlock()
	e.membership.Listed(e.listings())
}

// listings joins the hosts of the targets in force with the platform's list. The
// list wins where it says that a host is leaving or gone: a document names a
// host until somebody edits it.
func (e *Entry) listings() []member.Listing {
	out := e.sidecars()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.hosts {
		out = slices.DeleteFunc(out, func(l member.Listing) bool { return l.Name == h.Name })
		if h.State == hostGone || !h.Address.IsValid() {
			continue
		}
		out = append(out, member.Listing{Name: h.Name, Address: h.Address, Leaving: h.State == hostLeaving})
	}
	slices.SortFunc(out, compareListings)
	return out
}
