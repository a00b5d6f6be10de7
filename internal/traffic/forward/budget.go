package forward

import (
	"sync"
	"time"
)

// Budget is the retry budget of an entry: it bounds the requests that the entry sends more
// than once, for each service. Entries share the platform's allowance without communicating:
// each may retry a given fraction (Limits.Ratio) of its own requests, and in addition an equal
// share of the fixed allowance.
type Budget struct {
	Limits func() Limits // returns the present limits
	// Started is the start time of this incarnation of the entry.
	Started time.Time
	// OnDecision is called with each decision on a repeat; it may be nil.
	OnDecision func(Decision)

	mu       sync.Mutex
	start    time.Time // start of the first slice; slices are counted by the monotonic clock
	services map[string]*tally
}

// Limits bounds the repeats of one entry.
type Limits struct {
	Ratio  float64       // allowed repeats for each request
	Window time.Duration // period over which requests and repeats are counted
	Fixed  float64       // repeats allowed in a window whatever the number of requests
}

// Decision is a decision on a repeat, with the counts and limits that it was made by.
type Decision struct {
	Service  string
	Allowed  bool
	Requests int // counted requests of the entry
	Repeats  int // counted and reserved repeats of the entry, before this one
	Limits
}

// tally counts requests and repeats in slices of a window. Repeats count in the slice in which they
// are sent.
type tally struct {
	slice    int64
	requests [slices]int
	repeats  [slices]int
	reserved int // repeats that were allowed and are not sent yet
}

// slices is the number of slices that a tally keeps. They span one slice more than the window.
// Repeats are counted over all of them, and requests over one slice less than the window, so
// that no window holds more repeats than allowed.
const slices = 12

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(now, service)
	t.requests[t.slice%slices]++
}

// Reserve reports whether a request may be sent once more. If so, [Budget.Spend] must be called when
// it is sent, or [Budget.Release] if it is not. It may wait for a target in between: repeats that
// counted when they were allowed, and were sent later, would come on top of those of a later window.
func (b *Budget) Reserve(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(now, service)
	requests, repeats := 0, t.reserved
	for i := range slices {
		requests += t.requests[i]
		repeats += t.repeats[i]
	}
	l := b.Limits()
	if now.Sub(b.Started) < l.Window {
		// An earlier incarnation of the entry may have just used the fixed part. If each
		// incarnation had a fixed part of its own, entries that restart one after another
		// would together send more repeats than allowed.
		l.Fixed = 0
	}
	allowed := float64(repeats+1) <= l.Ratio*float64(requests)*(slices-2)/slices+l.Fixed
	if allowed {
		t.reserved++
	}
	if b.OnDecision != nil {
		b.OnDecision(Decision{Service: service, Allowed: allowed, Requests: requests, Repeats: repeats, Limits: l})
	}
	return allowed
}

// Spend counts a reserved repeat, which is sent now.
func (b *Budget) Spend(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(now, service)
	t.reserved--
	t.repeats[t.slice%slices]++
}

// Release gives back a reserved repeat that is not sent.
func (b *Budget) Release(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tally(now, service).reserved--
}

// tally returns the tally of a service, with the slices that have passed since its last use
// cleared.
func (b *Budget) tally(now time.Time, service string) *tally {
	if b.services == nil {
		b.services = make(map[string]*tally)
	}
	t := b.services[service]
	if b.start.IsZero() {
		b.start = now
	}
	slice := int64(now.Sub(b.start)) / max(int64(b.Limits().Window)/(slices-1), 1)
	if t == nil {
		t = &tally{slice: slice}
		b.services[service] = t
	}
	for ; t.slice < slice; t.slice++ {
		if slice-t.slice > slices {
			t.slice = slice - slices
		}
		t.requests[(t.slice+1)%slices] = 0
		t.repeats[(t.slice+1)%slices] = 0
	}
	return t
}
