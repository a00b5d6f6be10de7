package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/register"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// tally counts how requests ended, by service.
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

func (t *tally) snapshot() map[string]status.Outcomes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}

// spreadOutcomes tells the fleet every while how this entry's requests ended, for
// the status of each document. It runs until ctx ends.
func (e *Entry) spreadOutcomes(ctx context.Context) error {
	for {
		entries := e.entryCount()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(register.OutcomePeriod(entries)):
		}
		facts := register.OutcomeFacts(time.Now(), e.peers.Identity.Name, entries, e.counts.tally.snapshot())
		e.membership.Publish(facts...)
	}
}

func (e *Entry) entryCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.entries)
}
