package position

import (
	"sync"
	"time"
)

// lowerEraDelay is the time for which the store must not have reported the current era before a
// lower one is accepted. A response from the previous era may arrive seconds late. If two restored
// stores respond in turn behind a load balancer, the process stays with the later era.
const lowerEraDelay = 3 * time.Second

// maxEra bounds the era that the store reports, so that terms stay in range.
const maxEra = 1 << 22

// Eras determines the current era of a process from the eras that the store's responses report.
// It is safe for concurrent use. The zero value is ready to use and has seen no response.
type Eras struct {
	// Changed is called when an era begins, with the previous era, the new one, and the one
	// that the store reported. It may be nil.
	Changed func(prev, next Era, reported int64)

	mu         sync.Mutex
	era        Era
	known      bool      // a response has reported an era
	reported   int64     // the store's own number for this era
	reportedAt time.Time // when the store last reported it
	next       chan struct{}
}

// Era returns the current era.
func (e *Eras) Era() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// Next returns a channel that is closed when the next era begins.
func (e *Eras) Next() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.next == nil {
		e.next = make(chan struct{})
	}
	return e.next
}

// Observe records the era that a response of the store reports, or 0 if it reports none. It
// returns the current era. If ok is false, the response belongs to an era that is over and
// must be dropped.
func (e *Eras) Observe(now time.Time, reported int64) (era Era, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reported = min(reported, maxEra)
	switch {
	case reported <= 0:
		return e.era, true // the store reports no era; only a falling revision shows a restore
	case !e.known:
		// The first report begins no new era: all that the process knows is of that era.
		e.known, e.reported, e.reportedAt = true, reported, now
		e.era = max(e.era, Era(reported))
	case reported == e.reported:
		e.reportedAt = now
	case reported > e.reported, now.Sub(e.reportedAt) > lowerEraDelay:
		e.begin(max(e.era+1, Era(reported)), reported, now)
	default:
		return e.era, false
	}
	return e.era, true
}

// RevisionFell records that the revision has fallen within the era fellIn, as it does after a
// restore of a store that reports no era. It begins the next era, unless that has begun already.
func (e *Eras) RevisionFell(now time.Time, fellIn Era) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era == fellIn {
		e.begin(e.era+1, e.reported, now)
	}
}

func (e *Eras) begin(era Era, reported int64, now time.Time) {
	prev := e.era
	e.era, e.reported, e.reportedAt = era, reported, now
	if e.next != nil {
		close(e.next)
		e.next = nil
	}
	if e.Changed != nil {
		e.Changed(prev, era, reported)
	}
}
