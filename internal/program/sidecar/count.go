package sidecar

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// counts are the metrics of a sidecar.
type counts struct {
	set        *metrics.Set
	overflows  *metrics.Counter
	recoveries *metrics.Counter // runs of an earlier incarnation that were resumed
	resumes    *metrics.Counter // engine streams resumed after their connection broke
}

func newCounts(set *metrics.Set) *counts {
	return &counts{
		set:        set,
		overflows:  set.NewCounter("wagtailshelf_stream_overflows_total"),
		recoveries: set.NewCounter("wagtailshelf_engine_recoveries_total"),
		resumes:    set.NewCounter("wagtailshelf_engine_resumes_total"),
	}
}

func (c *counts) refused(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_refusals_total{reason=%q}", reason)).Inc()
}

func (c *counts) violated(l *log.Logger, invariant, evidence string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_violations_total{invariant=%q}", invariant)).Inc()
	l.Error().Str("invariant", invariant).Str("evidence", evidence).Msg("invariant violated")
}
