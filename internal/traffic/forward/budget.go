package forward

import (
	"math"
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

// Decision is a decision on a repeat, with the limits that it was made by and the counts of the
// window that left the least room for it.
type Decision struct {
	Service  string
	Allowed  bool
	Requests float64 // requests of the entry that count for the window
	Repeats  int     // repeats of the entry in the window, with reserved ones and without this one
	Limits
}

// tally counts requests and repeats in slices of a window. Repeats count in the slice in which they
// are sent.
type tally struct {
	slice    int64
	requests [keptSlices]int
	repeats  [keptSlices]int
	reserved int // repeats that were allowed and are not sent yet
}

const (
	// windowSlices is the number of slices in a window.
	windowSlices = 20
	// keptSlices is the number of slices that a tally keeps: those of the windows that have not
	// ended yet, and of the windows before them.
	keptSlices = 2*windowSlices + 1
)

// sum returns the sum of the counts of the slices from one to another, both included.
func (t *tally) sum(counts *[keptSlices]int, from, to int64) (n int) {
	for i := max(from, 0); i <= min(to, t.slice); i++ {
		n += counts[i%keptSlices]
	}
	return n
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(now, service)
	t.requests[t.slice%keptSlices]++
}

// Reserve reports whether a request may be sent once more. If so, [Budget.Spend] must be called when
// it is sent, or [Budget.Release] if it is not. It may wait for a target in between: repeats that
// counted when they were allowed, and were sent later, would come on top of those of a later window.
func (b *Budget) Reserve(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(now, service)
	l := b.Limits()
	if now.Sub(b.Started) < l.Window {
		// An earlier incarnation of the entry may have just used the fixed part. If each
		// incarnation had a fixed part of its own, entries that restart one after another
		// would together send more repeats than allowed.
		l.Fixed = 0
	}
	d := t.tightest(l)
	d.Service = service
	d.Allowed = float64(d.Repeats+1) <= l.Ratio*d.Requests+l.Fixed
	if d.Allowed {
		t.reserved++
	}
	if b.OnDecision != nil {
		b.OnDecision(d)
	}
	return d.Allowed
}

// tightest returns the counts of the window that leaves the least room for a repeat now, among all
// windows that contain this moment.
//
// For a window the platform counts the requests in it, or those in the window before it, whichever
// are more, of all entries together. An entry does not know which, and if each took what is more of
// its own, entries that get requests at different times would together take more. All count half
// of both, which is never more.
func (t *tally) tightest(l Limits) Decision {
	var tightest Decision
	leastRoom := math.Inf(1)
	for start := t.slice - windowSlices; start <= t.slice; start++ {
		repeats := t.sum(&t.repeats, start, t.slice) + t.reserved
		// A window may start anywhere in its slice: that slice is in one of the two windows, and
		// the first slice of the window before is in none if this one starts at the end of its.
		requests := float64(t.sum(&t.requests, start-windowSlices+1, t.slice)) / 2
		if room := l.Ratio*requests - float64(repeats); room < leastRoom {
			leastRoom = room
			tightest = Decision{Requests: requests, Repeats: repeats, Limits: l}
		}
	}
	return tightest
}

// Spend counts a reserved repeat, which is sent now.
func (b *Budget) Spend(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(now, service)
	t.reserved--
	t.repeats[t.slice%keptSlices]++
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
	slice := int64(now.Sub(b.start)) / max(int64(b.Limits().Window)/windowSlices, 1)
	if t == nil {
		t = &tally{slice: slice}
		b.services[service] = t
	}
	for t.slice = max(t.slice, slice-keptSlices); t.slice < slice; t.slice++ {
		t.requests[(t.slice+1)%keptSlices] = 0
		t.repeats[(t.slice+1)%keptSlices] = 0
	}
	return t
}
