package forward

import (
	"sync"
	"time"
)

// Budget bounds what an entry sends more than once for each service. All entries
// share what the platform allows, without a word between them: each takes the
// ratio of its own requests, and an even part of the fixed allowance.
type Budget struct {
	Limits func() Limits // what is allowed now
	// Started is when this life of the entry did.
	Started time.Time

	mu       sync.Mutex
	start    time.Time // of the first slice; slices are counted by the steady clock
	services map[string]*tally
}

// Limits are what one entry may send more than once.
type Limits struct {
	Ratio  float64       // repeats for each request
	Window time.Duration // in which both are counted
	Fixed  float64       // repeats in a window that this entry may send in any case
}

// tally counts requests and repeats in slices of a window.
type tally struct {
	slice    int64
	requests [slices]int
	repeats  [slices]int
}

// slices of a window. Repeats are counted over one slice more than the window, and
// requests over one less, so that no window holds more than is allowed.
const slices = 12

// First counts a request for a service.
func (b *Budget) First(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(now, service)
	t.requests[t.slice%slices]++
}

// Repeat asks to send a request once more, and counts it if that is allowed.
func (b *Budget) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(now, service)
	requests, repeats := 0, 0
	for i := range slices {
		requests += t.requests[i]
		repeats += t.repeats[i]
	}
	l := b.Limits()
	if now.Sub(b.Started) < l.Window {
		// The entry's earlier life may have used the fixed part a moment before. When each
		// life had it, entries that restart in a row sent more than all may together.
		l.Fixed = 0
	}
	if float64(repeats+1) > l.Ratio*float64(requests)*(slices-2)/slices+l.Fixed {
		return false
	}
	t.repeats[t.slice%slices]++
	return true
}

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
