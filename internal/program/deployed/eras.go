package deployed

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

// LogEras returns a function that logs and counts restores of the store from a backup.
func LogEras(l *log.Logger, m *metrics.Set) func(was, is position.Era, reported int64) {
	count := m.NewCounter("wagtailshelf_store_eras_total")
	return func(was, is position.Era, reported int64) {
		count.Inc()
		l.Warn().Str("event", "storeEra").Int64("era", int64(is)).Int64("before", int64(was)).Int64("told", reported).Msg("")
	}
}
