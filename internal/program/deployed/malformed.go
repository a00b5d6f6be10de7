package deployed

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// maxRememberedObjects bounds the number of objects whose last finding is remembered.
const maxRememberedObjects = 1000

// Malformed reports objects in the store that can't be read. As lists are read repeatedly, it logs
// each finding once; a counter counts every occurrence.
type Malformed struct {
	log     *log.Logger
	metrics *metrics.Set
	mu      sync.Mutex
	last    map[string]string // last finding, by object name
}

// NewMalformed returns a Malformed that logs to l and counts in m.
func NewMalformed(l *log.Logger, m *metrics.Set) *Malformed {
	return &Malformed{log: l, metrics: m, last: make(map[string]string)}
}

// Report records a finding. The object's name is "" if it can't be read either.
func (m *Malformed) Report(object string, err error) {
	m.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_malformed_total{named="%t"}`, object != "")).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	found := err.Error()
	if m.last[object] == found {
		return
	}
	if len(m.last) >= maxRememberedObjects {
		clear(m.last)
	}
	m.last[object] = found
	m.log.Error().Str("event", "malformed").Str("object", object).Err(err).Msg("")
}
