package position

import (
	"sync"
	"time"
)

// settles is how long a later era must not have been heard before an earlier one is taken for
// the store's. An answer of before may come late by seconds; two copies that answer by turns,
// behind a load balancer, keep a process at the later of them.
const settles = 3 * time.Second

// mostEra bounds an era that is told, so that terms stay in range.
const mostEra = 1 << 22

// Eras decides which era a process is in, from the word of all answers of the store. It is
// safe for concurrent use. The zero value has heard nothing.
type Eras struct {
	// Changed hears when an era begins, and what the store told of it; nil if nobody does.
	Changed func(was, is Era, told int64)

	mu    sync.Mutex
	era   Era
	known bool      // an answer has told one
	told  int64     // that the store told for this era
	heard time.Time // when it did so last
	news  chan struct{}
}

// Era is the one that the process is in.
func (e *Eras) Era() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// News returns a channel that is closed as the next era begins.
func (e *Eras) News() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.news == nil {
		e.news = make(chan struct{})
	}
	return e.news
}

// Heard takes the era that an answer tells; 0 if it tells none. It returns the era that the
// answer belongs to, or ok false if that is over and the answer must be dropped.
func (e *Eras) Heard(now time.Time, told int64) (era Era, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	told = min(told, mostEra)
	switch {
	case told <= 0:
		return e.era, true // the store doesn't say; revisions must do
	case !e.known:
		// The first word of a process is no news: what it knows is of that era.
		e.known, e.told, e.heard = true, told, now
		e.era = max(e.era, Era(told))
	case told == e.told:
		e.heard = now
	case told > e.told, now.Sub(e.heard) > settles:
		e.begin(max(e.era+1, Era(told)), told, now)
	default:
		return e.era, false
	}
	return e.era, true
}

// Fell says that a revision has fallen within an era, as happens where the store tells no era.
// It begins the next one, unless that has begun already.
func (e *Eras) Fell(now time.Time, in Era) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era == in {
		e.begin(e.era+1, e.told, now)
	}
}

func (e *Eras) begin(era Era, told int64, now time.Time) {
	was := e.era
	e.era, e.told, e.heard = era, told, now
	if e.news != nil {
		close(e.news)
		e.news = nil
	}
	if e.Changed != nil {
		e.Changed(was, era, told)
	}
}
