package platform

import (
	"encoding/json"
	"net/netip"
	"time"
)

// Faults says how the platform misbehaves. The zero value is a healthy one.
type Faults struct {
	Outage       bool          `json:"outage"`       // each object call is refused with 503
	Silent       bool          `json:"silent"`       // each object call is never answered
	Slowness     time.Duration `json:"slowness"`     // added to each object call, in nanoseconds
	LoseAnswers  int           `json:"loseAnswers"`  // as many writes take effect and lose their answer
	LoseShare    float64       `json:"loseShare"`    // share of writes that take effect and lose their answer
	ReadLag      time.Duration `json:"readLag"`      // reads and watches show the state of so long ago, in nanoseconds
	MissEvents   bool          `json:"missEvents"`   // watches report nothing until their bound
	HostsLag     time.Duration `json:"hostsLag"`     // a host's state is visible so much later, in nanoseconds
	HostsFrozen  bool          `json:"hostsFrozen"`  // changes of the host list wait
	WritesPerSec int           `json:"writesPerSec"` // writes above this rate get 429; 0 for no limit
	ReadsPerSec  int           `json:"readsPerSec"`  // reads above this rate get 429; 0 for no limit
}

// HostState is what the host list says about a host.
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

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notify()
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetHost puts a host into the list, visible after Faults.HostsLag. A host that
// is [Gone] is taken off the list.
func (p *Platform) SetHost(h Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	p.pending = append(p.pending, hostChange{due: now.Add(p.faults.HostsLag), host: h})
	p.settle(now)
	p.notify()
}

// settle makes the host changes visible that are due.
func (p *Platform) settle(now time.Time) {
	if p.faults.HostsFrozen {
		return
	}
	for len(p.pending) > 0 && !p.pending[0].due.After(now) {
		p.showHost(now, p.pending[0].host)
		p.pending = p.pending[1:]
	}
}

func (p *Platform) showHost(now time.Time, h Host) {
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
