package gateway

import (
	"fmt"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
)

// repeatLogInterval is the minimum time between two log lines on the repeats for a service.
const repeatLogInterval = time.Second

// repeatLog sums up decisions on repeats between two log lines. The zero value is ready to use.
type repeatLog struct {
	mu       sync.Mutex
	services map[string]*repeatCount
}

// repeatCount is what was decided for a service since its last log line.
type repeatCount struct {
	allowed, denied int
	loggedAt        time.Time
}

// add counts a decision. If a log line is due, it returns the counts since the last one.
func (l *repeatLog) add(now time.Time, d forward.Decision) (n repeatCount, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[string]*repeatCount)
	}
	c := l.services[d.Service]
	if c == nil {
		c = &repeatCount{}
		l.services[d.Service] = c
	}
	if d.Allowed {
		c.allowed++
	} else {
		c.denied++
	}
	if now.Sub(c.loggedAt) < repeatLogInterval {
		return repeatCount{}, false
	}
	n = *c
	*c = repeatCount{loggedAt: now}
	return n, true
}

// noteRepeat counts a decision on a repeat, and logs the decisions of the last second with the
// figures that the last one was made by.
func (g *Gateway) noteRepeat(d forward.Decision) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_repeats_total{service=%q,allowed="%t"}`, d.Service, d.Allowed)).Inc()
	now := time.Now()
	n, due := g.repeats.add(now, d)
	if !due {
		return
	}
	reported, known := g.planners.entries(now)
	g.log.Info().Str("event", "repeats").Str("service", d.Service).Int("allowed", n.allowed).Int("denied", n.denied).
		Float64("requests", d.Requests).Int("repeats", d.Repeats).Float64("fixed", d.Fixed).
		Int("entries", reported).Bool("entriesKnown", known).Msg("")
}
