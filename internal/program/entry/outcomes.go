package entry

import (
	"sync"

	"wagtailshelf.example/wagtailshelf/internal/record/status"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// tally counts the outcomes of requests by service.
type tally struct {
	mu     sync.Mutex
	counts map[string]status.Outcomes
}

func newTally() *tally { return &tally{counts: make(map[string]status.Outcomes)} }

func (t *tally) add(service string, o request.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[service]
	switch o {
	case request.Answered:
		c.Answered++
	case request.NotRun:
		c.NotRun++
	case request.Unknown:
		c.Unknown++
	}
	t.counts[service] = c
}

// of returns the outcome counts of a service.
func (t *tally) of(service string) status.Outcomes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[service]
}
