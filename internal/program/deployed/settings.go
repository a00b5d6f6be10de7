// Package deployed holds what entries and sidecars share when they run on the users'
// platform: settings, reloading, logging, metrics and HTTP serving.
package deployed

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
	"wagtailshelf.example/wagtailshelf/internal/wire/ingress"
	"wagtailshelf.example/wagtailshelf/platform"
)

// Settings are the settings of one process. The platform fills them in from a template.
type Settings struct {
	Role       host.Role       `yaml:"role"`
	Name       host.Name       `yaml:"name"`
	Address    netip.Addr      `yaml:"address"` // of this host
	DataCentre host.DataCentre `yaml:"dataCentre"`
	Store      netip.AddrPort  `yaml:"store"` // the platform's object store
	Listen     Listen          `yaml:"listen"`
	Target     Target          `yaml:"target"`
	Bounds     Bounds          `yaml:"bounds"`
	Memory     float64         `yaml:"memoryMB"` // of the process
	// Limits holds the other limits of the process, as the platform's table of them.
	Limits platform.Limits `yaml:"limits"`
}

// megabyte is the unit of Settings.Memory, in bytes.
const megabyte = 1e6

// Resources returns what the process has.
func (s Settings) Resources() ingress.Resources {
	return ingress.Resources{Memory: int64(s.Memory * megabyte), Descriptors: s.Limits.Descriptors}.Fill()
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers"`   // of an entry
	Readiness netip.AddrPort `yaml:"readiness"` // of an entry: polled by the balancer
	Metrics   netip.AddrPort `yaml:"metrics"`
	Peers     netip.AddrPort `yaml:"peers"` // for other processes of the system; the port is the same on all hosts
}

// shared reports whether two listeners of a process have the same address, which the second would wait for in vain. An
// entry's peers send it datagrams only.
func (l Listen) shared(r host.Role) bool {
	list := []netip.AddrPort{l.Callers, l.Readiness, l.Metrics}
	if r == host.Sidecar {
		list = []netip.AddrPort{l.Metrics, l.Peers}
	}
	for i, at := range list {
		if at.Port() != 0 && slices.Contains(list[:i], at) {
			return true
		}
	}
	return false
}

// Target is the target behind a sidecar.
type Target struct {
	Address netip.AddrPort `yaml:"address"`
	Service string         `yaml:"service"`
}

// Bounds are the limits that the platform's operators were promised.
type Bounds struct {
	Apply        time.Duration `yaml:"apply"`        // a configuration is active everywhere after that time
	Revoke       time.Duration `yaml:"revoke"`       // a revoked key is refused after that time
	Drain        time.Duration `yaml:"drain"`        // a leaving target gets no new request after that time
	Grace        time.Duration `yaml:"grace"`        // from SIGTERM to SIGKILL
	RepeatRatio  float64       `yaml:"repeatRatio"`  // retries for each request to a service
	RepeatSlack  float64       `yaml:"repeatSlack"`  // retries allowed in a window in any case, for all entries together
	RepeatWindow time.Duration `yaml:"repeatWindow"` // the window in which both are counted
	Stall        time.Duration `yaml:"stall"`        // a group waits that long for a lost rank
	Heartbeat    time.Duration `yaml:"heartbeat"`    // interval at which targets renew their entries in the store; 0 if not known
}

// Load decodes and checks the text of a settings file. The list holds all findings.
// Settings with findings must not be used.
func Load(file string, text []byte) (Settings, finding.List) {
	var s Settings
	src, list := source.Decode(file, text, &s)
	if len(list) > 0 {
		return s, list
	}
	for _, c := range checks {
		if c.fails(s) {
			list = append(list, src.Finding(c.path, finding.Invalid, "%s", c.what))
		}
	}
	list.Sort()
	return s, list
}

// check is one check of settings.
type check struct {
	path  string
	what  string // what is wrong if it fails
	fails func(Settings) bool
}

var checks = []check{
	{"role", "role is entry or sidecar", func(s Settings) bool { return s.Role != host.Entry && s.Role != host.Sidecar }},
	{"name", "name is missing", func(s Settings) bool { return s.Name == "" }},
	{"address", "address of this host is missing", func(s Settings) bool { return !s.Address.IsValid() }},
	{"dataCentre", "dataCentre is missing", func(s Settings) bool { return s.DataCentre == "" }},
	{"store", "store has no port", func(s Settings) bool { return s.Store.Port() == 0 }},
	{"listen.callers", "an entry needs listen.callers", func(s Settings) bool { return s.Role == host.Entry && s.Listen.Callers.Port() == 0 }},
	{"listen.readiness", "an entry needs listen.readiness", func(s Settings) bool { return s.Role == host.Entry && s.Listen.Readiness.Port() == 0 }},
	{"listen.peers", "listen.peers has no port", func(s Settings) bool { return s.Listen.Peers.Port() == 0 }},
	{"listen", "the listeners need different addresses", func(s Settings) bool { return s.Listen.shared(s.Role) }},
	{"target.address", "a sidecar needs target.address", func(s Settings) bool { return s.Role == host.Sidecar && s.Target.Address.Port() == 0 }},
	{"bounds.apply", "bounds.apply must be above 0", func(s Settings) bool { return s.Bounds.Apply <= 0 }},
	{"bounds.revoke", "bounds.revoke must be above 0", func(s Settings) bool { return s.Bounds.Revoke <= 0 }},
	{"bounds.drain", "bounds.drain must be above 0", func(s Settings) bool { return s.Bounds.Drain <= 0 }},
	{"bounds.grace", "bounds.grace must be above 0", func(s Settings) bool { return s.Bounds.Grace <= 0 }},
	{"bounds.repeatRatio", "bounds.repeatRatio must not be below 0", func(s Settings) bool { return s.Bounds.RepeatRatio < 0 }},
	{"bounds.repeatSlack", "bounds.repeatSlack must not be below 0", func(s Settings) bool { return s.Bounds.RepeatSlack < 0 }},
	{"bounds.repeatWindow", "bounds.repeatWindow must be above 0", func(s Settings) bool { return s.Bounds.RepeatWindow <= 0 }},
	{"bounds.heartbeat", "bounds.heartbeat must not be below 0", func(s Settings) bool { return s.Bounds.Heartbeat < 0 }},
	{"memoryMB", "memoryMB must be above 0", func(s Settings) bool { return !(s.Memory > 0) || math.IsInf(s.Memory, 0) }},
}
