// Package space bounds how many bytes of others a process holds at the same time: bodies of callers'
// requests, and of targets' responses.
//
// Each body has a bound of its own, but many of them together may exceed the memory of the process,
// which then ends with all that it carries. Space is reserved in steps, as bytes arrive: a stated
// length takes none. A source may hold no more than what is left: a faulty one gets at most half of
// what the others leave, and there is always some for a sound one. A body whose sender stands still gives its space
// to one that comes, if its reader can refuse it.
package space

import (
	"net/netip"
	"sync"
	"time"
)

// Free is how many bytes of each body need no space. Most bodies are shorter, and are never refused.
const Free = 16 << 10

// Source is who sends bytes: the address of a target.
type Source = netip.AddrPort

// Callers is the source of the bodies of all requests.
var Callers Source

// Budget is the space of a process. It is safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	// Total is the size of the space in bytes. It must not change once the budget is used.
	Total int64

	mu       sync.Mutex
	used     int64
	held     map[Source]int64
	yielding map[*Hold]struct{} // holds that may have to yield
}

const (
	// stallTime is how long a sender must have made no progress before its body has to yield. It is longer
	// than a lost packet takes to be sent again.
	stallTime = 500 * time.Millisecond
	// progressBytes is how much must arrive of a body to count as progress.
	progressBytes = 1 << 10
)

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold returns a hold for one body of a source.
func (b *Budget) Hold(s Source) *Hold { return &Hold{budget: b, source: s} }

// reserve reserves space until a hold has n bytes, and reports whether there was enough. It returns what ends the reading
// of the bodies that have yielded.
func (b *Budget) reserve(now time.Time, h *Hold, n int64) (yields []func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.yielded {
		return nil, false
	}
	n -= h.bytes
	if n <= 0 {
		return nil, true
	}
	for b.held[h.source]+n > b.Total-b.used-n {
		v := b.stalest(now, h)
		if v == nil {
			return yields, false
		}
		v.yielded = true
		b.giveBack(v)
		yields = append(yields, v.yield)
	}
	if b.held == nil {
		b.held, b.yielding = make(map[Source]int64), make(map[*Hold]struct{})
	}
	b.held[h.source] += n
	b.used += n
	h.bytes += n
	if h.yield != nil {
		b.yielding[h] = struct{}{}
	}
	return yields, true
}

// stalest returns the hold, other than h, of the same source that has to yield first; nil if none has to.
func (b *Budget) stalest(now time.Time, h *Hold) *Hold {
	var found *Hold
	longest := stallTime
	for v := range b.yielding {
		if d := now.Sub(v.progressAt); v != h && v.source == h.source && d >= longest {
			found, longest = v, d
		}
	}
	return found
}

// giveBack gives back all of a hold's space.
func (b *Budget) giveBack(h *Hold) {
	delete(b.yielding, h)
	if h.bytes == 0 {
		return
	}
	b.used -= h.bytes
	b.held[h.source] -= h.bytes
	if b.held[h.source] == 0 {
		delete(b.held, h.source)
	}
	h.bytes = 0
}

// Hold is the space of one body. It is not safe for concurrent use. A nil Hold has no bound.
type Hold struct {
	budget *Budget
	source Source
	yield  func() // ends the reading of the body; nil if it does not yield
	// Guarded by the budget.
	bytes      int64 // reserved
	progressAt time.Time
	arrived    int64 // size of the body when it last made progress
	yielded    bool
}

// MayYield makes the hold one that yields to others while its sender stands still. The space is given back then, and
// yield is called, which must end the reading of the body.
func (h *Hold) MayYield(yield func()) {
	if h != nil && h.budget != nil {
		h.yield = yield
	}
}

// Complete makes the hold one that does not yield, as its body has been read. It reports whether it had to yield before.
func (h *Hold) Complete() (yielded bool) {
	if h == nil || h.budget == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.yielding, h)
	h.yield = nil
	return h.yielded
}

// Yield gives the space back, and ends the reading of the body, unless it has been read.
func (h *Hold) Yield() {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	yield := h.yield
	if yield == nil || h.yielded {
		h.budget.mu.Unlock()
		return
	}
	h.yielded = true
	h.budget.giveBack(h)
	h.budget.mu.Unlock()
	yield()
}

// Grow reserves the space for a body of a size, and reports whether there was enough.
func (h *Hold) Grow(now time.Time, size int64) bool {
	if h == nil || h.budget == nil {
		return true
	}
	yields, ok := h.budget.reserve(now, h, size-Free)
	for _, yield := range yields {
		yield()
	}
	return ok
}

// arrive notes that so many bytes of the body have arrived.
func (h *Hold) arrive(now time.Time, size int64) {
	if h == nil || h.budget == nil || size-h.arrived < progressBytes {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt, h.arrived = now, size
}

// Release gives back all of the hold's space, once the body is not needed any more.
func (h *Hold) Release() {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.giveBack(h)
}
