package platform

import (
	"encoding/json"
	"net/netip"
	"time"
)

// Faults are the faults that the platform simulates. The zero value is a healthy
// platform.
type Faults struct {
	Outage        bool          `json:"outage"`       // each object call is refused with 503
	Silent        bool          `json:"silent"`       // each object call is never answered
	Slowness      time.Duration `json:"slowness"`     // added to each object call, in nanoseconds
	LostResponses int           `json:"loseAnswers"`  // number of writes that take effect and lose their response
	LostShare     float64       `json:"loseShare"`    // share of writes that take effect and lose their response
	ReadLag       time.Duration `json:"readLag"`      // age of the state that reads and watches return, in nanoseconds
	MissEvents    bool          `json:"missEvents"`   // watches wait until their bound and return no changes
	HostsLag      time.Duration `json:"hostsLag"`     // delay until a host's state is visible, in nanoseconds
	HostsFrozen   bool          `json:"hostsFrozen"`  // changes of the host list wait until this ends
	WritesPerSec  int           `json:"writesPerSec"` // writes above this rate get 429; 0 for no limit
	ReadsPerSec   int           `json:"readsPerSec"`  // reads above this rate get 429; 0 for no limit
}

// HostState is the state of a host in the host list.
type HostState string

// The states of a host.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
	Gone    HostState = "gone"
)

// Host is one entry of the lagging host list, stored as object "hosts/NAME".
type Host struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"dataCentre"`
	Role       string         `json:"role"`
	Address    netip.AddrPort `json:"address"`
	State      HostState      `json:"state"`
}

// hostChange is a change of the host list that is not yet visible.
type hostChange struct {
	due  time.Time
	host Host
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notify()
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetHost sets a host in the list; the change becomes visible after Faults.HostsLag. A
// host with the state [Gone] is removed from the list.
func (p *Platform) SetHost(h Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	p.pendingHosts = append(p.pendingHosts, hostChange{due: now.Add(p.faults.HostsLag), host: h})
	p.applyHostChanges(now)
	p.notify()
}

// applyHostChanges applies the pending changes of the host list that are due.
func (p *Platform) applyHostChanges(now time.Time) {
	if p.faults.HostsFrozen {
		return
	}
	for len(p.pendingHosts) > 0 && !p.pendingHosts[0].due.After(now) {
		p.applyHost(now, p.pendingHosts[0].host)
		p.pendingHosts = p.pendingHosts[1:]
	}
}

func (p *Platform) applyHost(now time.Time, h Host) {
	key := hostKey(h.Name)
	cur, _ := p.store.current(key)
	if h.State == Gone {
		p.store.write(now, key, cur.Version, nil)
		return
	}
	value, err := json.Marshal(h)
	if err != nil {
		return
	}
	p.store.write(now, key, cur.Version, value)
}
