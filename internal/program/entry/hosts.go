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

	// maxHosts bounds the hosts that are kept of the platform's list.
	maxHosts = 8192
)

// hostState is the state of a host in the platform's list.
type hostState string

// The states of a host in the platform's list. The list lags behind the hosts.
const (
	hostLive    hostState = "live"
	hostLeaving hostState = "leaving"
	hostGone    hostState = "gone"
)

// hostRecord is one object of the platform's list of hosts.
type hostRecord struct {
	Name    host.Name      `json:"name"`
	Address netip.AddrPort `json:"address"`
	State   hostState      `json:"state"`
}

// decodeHost decodes an object of the list; false if it is not a valid host record.
func decodeHost(o object.Object) (hostRecord, bool) {
	var h hostRecord
	if err := json.Unmarshal(o.Value, &h); err != nil || string(h.Name) != o.Key.Name() {
		return hostRecord{}, false
	}
	valid := h.State == hostLive || h.State == hostLeaving || h.State == hostGone
	return h, valid
}

// followHosts learns from the platform's list which hosts are leaving or gone. A host's
// own sidecar reports that too, but its report may not arrive.
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
			h = hostRecord{Name: host.Name(o.Key.Name())} // deleted or unreadable
			delete(e.hosts, h.Name)
		} else {
			e.hosts[h.Name] = h
		}
		for _, r := range e.routers {
			r.send(e.ctx, routerMessage{kind: hostMessage, host: h.Name, leaving: h.isLeaving()})
		}
		if h.State == hostGone {
			e.entryChanged(target.Member{Name: h.Name}, false)
			e.unregister(h.Name)
		}
	}
}

// isLeaving reports whether a host gets no new requests any more.
func (h hostRecord) isLeaving() bool { return h.State == hostLeaving || h.State == hostGone }

// leavingHosts returns the hosts that are listed as leaving or gone. The caller holds
// e.mu.
func (e *Entry) leavingHosts() map[host.Name]bool {
	out := make(map[host.Name]bool)
	for name, h := range e.hosts {
		if h.isLeaving() {
			out[name] = true
		}
	}
	return out
}
