// Package companion is the sidecar on the users' platform: it runs beside one model
// server, reads what the server counts and reports, and carries orders to it.
package companion

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
)

// Companion is the sidecar's state.
type Companion struct {
	settings deployed.Settings
	log      *log.Logger
	metrics  *metrics.Set
}

// New returns a sidecar that does not run yet.
func New(s deployed.Settings, l *log.Logger, m *metrics.Set) *Companion {
	return &Companion{settings: s, log: l, metrics: m}
}

// Run serves until the context ends.
func (c *Companion) Run(ctx context.Context) error {
	c.log.Info().Str("event", "started").Str("role", "sidecar").Msg("")
	<-ctx.Done()
	c.log.Info().Str("event", "stopped").Msg("")
	return nil
}
