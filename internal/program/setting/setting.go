package setting

import (
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// Settings are the settings of one process.
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
	Callers        netip.AddrPort `yaml:"callers"`        // HTTP; entries only
	Peers          netip.AddrPort `yaml:"peers"`          // QUIC; advertised to other processes
	Administration netip.AddrPort `yaml:"administration"` // HTTP; dumps, metrics, health checks
}

// Target is the target behind a sidecar.
type Target struct {
	Address netip.AddrPort `yaml:"address"`
	Kind    document.Kind  `yaml:"kind"`
}

// Operator is a person or program that may read dumps and make administrative calls.
type Operator struct {
	Name   string              `yaml:"name"`
	Tokens []credential.Digest `yaml:"tokens"`
}

// Timeouts bounds how long the process waits for other systems.
type Timeouts struct {
	PlatformCall time.Duration `yaml:"platformCall"`
	PlatformTurn time.Duration `yaml:"platformTurn"`
	TargetDial   time.Duration `yaml:"targetDial"`
	TargetReport time.Duration `yaml:"targetReport"`
}

// Limits bounds the load that the process puts on other systems, and what it holds for clients.
type Limits struct {
	PlatformCalls float64 `yaml:"platformCalls"` // calls per second
	Memory        int     `yaml:"memoryMB"`      // of the process; 0 for what its runtime or the machine says
	Descriptors   int     `yaml:"descriptors"`   // of the process; 0 for the kernel's limit
}

// Drain bounds the graceful shutdown of the process.
type Drain struct {
	Delay time.Duration `yaml:"delay"` // still accepts requests for this time, until the balancer has noticed
	Bound time.Duration `yaml:"bound"` // longest wait for requests in flight after that
}

// Log configures the log.
type Log struct {
	Level Level `yaml:"level"`
}

// Level is the lowest severity that is logged.
type Level string

// The log levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Default returns the settings that apply where a text gives none. They listen on
// loopback addresses only, so that an unconfigured process is not reachable from outside.
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

// TokenSet returns the operators' credentials.
func (s *Settings) TokenSet() (*credential.TokenSet, error) {
	holders := make([]credential.Holder, 0, len(s.Operators))
	for _, o := range s.Operators {
		holders = append(holders, credential.Holder{Name: o.Name, Digests: o.Tokens})
	}
	return credential.NewTokenSet(holders)
}
