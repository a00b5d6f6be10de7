package fleet

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
)

// counts are the metrics of a process's part in the fleet.
type counts struct {
	sent, received           *metrics.Counter
	bytesSent, bytesReceived *metrics.Counter
	dropped, malformed       *metrics.Counter
	unreachable, inForce     *metrics.Counter
	violations               *metrics.Counter
	busy                     *metrics.FloatCounter // seconds in decisions
}

func newCounts(set *metrics.Set, f *Fleet) *counts {
	set.NewGauge(`wagtailshelf_fleet_takes_work`, func() float64 {
		if f.TakesWork() {
			return 1
		}
		return 0
	})
	return &counts{
		sent:          set.NewCounter(`wagtailshelf_fleet_messages_total{direction="sent"}`),
		received:      set.NewCounter(`wagtailshelf_fleet_messages_total{direction="received"}`),
		bytesSent:     set.NewCounter(`wagtailshelf_fleet_bytes_total{direction="sent"}`),
		bytesReceived: set.NewCounter(`wagtailshelf_fleet_bytes_total{direction="received"}`),
		dropped:       set.NewCounter(`wagtailshelf_fleet_messages_dropped_total`),
		malformed:     set.NewCounter(`wagtailshelf_fleet_messages_malformed_total`),
		unreachable:   set.NewCounter(`wagtailshelf_fleet_dials_failed_total`),
		inForce:       set.NewCounter(`wagtailshelf_fleet_documents_in_force_total`),
		violations:    set.GetOrCreateCounter(`wagtailshelf_violations_total{invariant="fleet"}`),
		busy:          set.NewFloatCounter(`wagtailshelf_fleet_busy_seconds_total`),
	}
}

func (c *counts) violation() { c.violations.Inc() }

// logAction logs what an operator wants to find again.
func (f *Fleet) logAction(a *acceptance.Action) {
	l := f.cfg.Log
	switch a.Kind {
	case acceptance.Gained:
		l.Info().Uint64("fence", uint64(a.Fence)).Msg("acceptance lease gained")
	case acceptance.Lost:
		l.Info().Uint64("fence", uint64(a.Fence)).Msg("acceptance lease lost")
	case acceptance.InForce:
		l.Info().Str("service", a.Document.Service).Uint64("number", uint64(a.Document.Number)).
			Str("digest", a.Document.Digest.String()).Msg("document in force")
	case acceptance.Accepted:
		l.Info().Str("service", a.Service).Uint64("number", uint64(a.Entry.Number)).
			Int("leftOut", len(a.Entry.LeftOut)).Msg("document accepted")
	case acceptance.Rejected:
		l.Warn().Str("service", a.Service).Str("reason", a.Reason).Err(a.Findings.Err()).Msg("document refused")
	case acceptance.Waiting:
		if f.waits.due(time.Now(), a.Service, len(a.Names)) {
			l.Warn().Str("service", a.Service).Int("members", len(a.Names)).Msg("acceptance waits for members")
		}
	case acceptance.Changed:
		l.Debug().Str("member", string(a.Record.Identity.Name)).Str("state", acceptance.StateName(a.Record.State)).Msg("member changed")
	}
}

// waitPeriod is how often the same wait is logged.
const waitPeriod = 5 * time.Second

// waits remembers which waits were logged. The holder says on each event that it
// waits, many times a second while a host is dead.
type waits map[string]waitLine

type waitLine struct {
	at      time.Time
	members int
}

// due tells whether a wait is news, or was logged long ago.
func (w waits) due(now time.Time, service string, members int) bool {
	last, ok := w[service]
	if ok && last.members == members && now.Sub(last.at) < waitPeriod {
		return false
	}
	w[service] = waitLine{at: now, members: members}
	return true
}
