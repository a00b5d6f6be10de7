package deployed

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// mostMalformed bounds the objects whose last finding is remembered.
const mostMalformed = 1000

// Malformed tells of objects in the store that can't be read: each finding once, as lists are
// read again and again, and all of them in a counter.
type Malformed struct {
	log     *log.Logger
	metrics *metrics.Set
	mu      sync.Mutex
	last    map[string]string // what was found, by object
}

// NewMalformed returns findings that are logged.
func NewMalformed(l *log.Logger, m *metrics.Set) *Malformed {
	return &Malformed{log: l, metrics: m, last: make(map[string]string)}
}

// Note takes a finding. The object's name is "" if that can't be read either.
func (m *Malformed) Note(object string, err error) {
	m.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_malformed_total{named="%t"}`, object != "")).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	found := err.Error()
	if m.last[object] == found {
		return
	}
	if len(m.last) >= mostMalformed {
		clear(m.last)
	}
	m.last[object] = found
	m.log.Error().Str("event", "malformed").Str("object", object).Err(err).Msg("")
}
