package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// counts are the metrics of an entry.
type counts struct {
	set           *metrics.Set
	overflows     *metrics.Counter
	probeFailures *metrics.Counter // sidecars that a probe could not reach
	attempts      *metrics.Counter
	duration      *metrics.Histogram
	tally         *tally
}

func newCounts(set *metrics.Set) *counts {
	return &counts{
		set:           set,
		overflows:     set.NewCounter("wagtailshelf_ring_overflows_total"),
		probeFailures: set.NewCounter("wagtailshelf_probe_failures_total"),
		attempts:      set.NewCounter("wagtailshelf_attempts_total"),
		duration:      set.NewHistogram("wagtailshelf_request_duration_seconds"),
		tally:         newTally(),
	}
}

func (c *counts) requestEnded(service string, res request.Result, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_requests_total{service=%q,outcome=%q,reason=%q}", service, res.Outcome, res.Reason)).Inc()
	c.attempts.Add(res.Attempts)
	c.duration.Update(took.Seconds())
	c.tally.add(service, res.Outcome)
}

func (c *counts) claimDecided(service, result string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_claims_total{service=%q,result=%q}", service, result)).Inc()
}

func (c *counts) invariantViolated(l *log.Logger, invariant, evidence string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_violations_total{invariant=%q}", invariant)).Inc()
	l.Error().Str("invariant", invariant).Str("evidence", evidence).Msg("invariant violated")
}
