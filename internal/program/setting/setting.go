package setting

import (
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// Settings sets up one process.
type Settings struct {
	Role       host.Role        `yaml:"role"`
	Name       host.Name        `yaml:"name"`
	DataCentre host.DataCentre  `yaml:"dataCentre"`
	Region     host.Region      `yaml:"region"`
	Listen     Listen           `yaml:"listen"`
	Platform   []netip.AddrPort `yaml:"platform"`
	Target     Target           `yaml:"target"`
	TLS        TLS              `yaml:"tls"`
	Operators  []Operator       `yaml:"operators"`
	Timeouts   Timeouts         `yaml:"timeouts"`
	Limits     Limits           `yaml:"limits"`
	Drain      Drain            `yaml:"drain"`
	Log        Log              `yaml:"log"`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Callers        netip.AddrPort `yaml:"callers"`        // HTTP; of an entry
	Peers          netip.AddrPort `yaml:"peers"`          // QUIC; other processes learn it
	Administration netip.AddrPort `yaml:"administration"` // HTTP; dumps, metrics, health
}

// Target is what a sidecar stands before.
type Target struct {
	Address netip.AddrPort `yaml:"address"`
	Kind    document.Kind  `yaml:"kind"`
}

// Operator is a person or program that may read dumps and administer.
type Operator struct {
	Name   string              `yaml:"name"`
	Tokens []credential.Digest `yaml:"tokens"`
}

// Timeouts bounds the waits for other systems.
type Timeouts struct {
	PlatformCall time.Duration `yaml:"platformCall"`
	PlatformTurn time.Duration `yaml:"platformTurn"`
	TargetDial   time.Duration `yaml:"targetDial"`
	TargetReport time.Duration `yaml:"targetReport"`
}

// Limits bounds what the process asks of others.
type Limits struct {
	PlatformCalls float64 `yaml:"platformCalls"` // a second
}

// Drain bounds the graceful end of the process.
type Drain struct {
	Delay time.Duration `yaml:"delay"` // goes on accepting, for the balancer to notice
	Bound time.Duration `yaml:"bound"` // then waits so long at most for what is in flight
}

// Log sets up the log.
type Log struct {
	Level Level `yaml:"level"`
}

// Level is the least severity that is logged.
type Level string

// The levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Default returns the settings that hold where a text gives none. It listens
// on loopback only, so that a process that nobody has set up is not reachable.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:        netip.MustParseAddrPort("127.0.0.1:7400"),
			Peers:          netip.MustParseAddrPort("127.0.0.1:7401"),
			Administration: netip.MustParseAddrPort("127.0.0.1:7402"),
		},
		Target: Target{Kind: document.Model},
		Timeouts: Timeouts{
			PlatformCall: 2 * time.Second,
			PlatformTurn: 250 * time.Millisecond,
			TargetDial:   time.Second,
			TargetReport: 2 * time.Second,
		},
		Limits: Limits{PlatformCalls: 20},
		Drain:  Drain{Delay: 10 * time.Second, Bound: document.MaxDeadline + drainMargin},
		Log:    Log{Level: Info},
	}
}

// Ring returns the operators' credentials.
func (s *Settings) Ring() (*credential.Ring, error) {
	holders := make([]credential.Holder, 0, len(s.Operators))
	for _, o := range s.Operators {
		holders = append(holders, credential.Holder{Name: o.Name, Digests: o.Tokens})
	}
	return credential.NewRing(holders)
}
