package entry

import (
	"context"
	"encoding/json"
	"net/netip"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/watch"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
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

// followHosts learns from the platform's list that hosts are leaving or gone. The
// host's own sidecar says so too, but may not be heard.
func (e *Entry) followHosts(ctx context.Context) error {
	follower := watch.New(watch.Config{Prefix: hostPrefix, Cause: causeHosts, Limit: maxHosts}, e.newRand())
	e.cfg.Platform.Follow(ctx, follower, hostPrefix, e.hostsChanged, func() {})
	return context.Cause(ctx)
}

func (e *Entry) hostsChanged(objects []object.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range objects {
		h, ok := decodeHost(o)
		if !ok {
			h = listedHost{Name: host.Name(o.Key.Name())} // deleted, or nothing that can be read
			delete(e.hosts, h.Name)
		} else {
			e.hosts[h.Name] = h
		}
		for _, r := range e.routers {
			r.ask(e.ctx, routerMessage{kind: tellListed, host: h.Name, leaving: h.leaves()})
		}
		if h.State == hostGone {
			e.entryChanged(target.Member{Name: h.Name}, false)
			e.unregister(h.Name)
		}
	}
}

// leaves tells whether a host gets no new work any more.
func (h listedHost) leaves() bool { return h.State == hostLeaving || h.State == hostGone }

// leavingHosts returns the hosts that the list says are leaving or gone. The caller
// holds e.mu.
func (e *Entry) leavingHosts() map[host.Name]bool {
	out := make(map[host.Name]bool)
	for name, h := range e.hosts {
		if h.leaves() {
			out[name] = true
		}
	}
	return out
}
