// Package space bounds how many bytes of others a process holds at the same time: bodies of callers'
// requests, and of targets' responses.
//
// Each body has a bound of its own, but many of them together may exceed the memory of the process,
// which then ends with all that it carries. Space is reserved in steps, as bytes arrive: a stated
// length takes none. A source may hold no more than what is left: a faulty one gets at most half of
// what the others leave, and there is always some for a sound one.
package space

import (
	"net/netip"
	"sync"
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

	mu   sync.Mutex
	used int64
	held map[Source]int64
}

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold returns a hold for one body of a source.
func (b *Budget) Hold(s Source) *Hold { return &Hold{budget: b, source: s} }

// reserve reserves n bytes for a source, and reports whether there was space.
func (b *Budget) reserve(s Source, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[s]+n > b.Total-b.used-n {
		return false
	}
	if b.held == nil {
		b.held = make(map[Source]int64)
	}
	b.held[s] += n
	b.used += n
	return true
}

// release gives back n bytes of a source.
func (b *Budget) release(s Source, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.held[s] -= n
	if b.held[s] == 0 {
		delete(b.held, s)
	}
}

// Hold is the space of one body. It is not safe for concurrent use. A nil Hold has no bound.
type Hold struct {
	budget *Budget
	source Source
	bytes  int64 // reserved
}

// Grow reserves the space for a body of a size, and reports whether there was enough.
func (h *Hold) Grow(size int64) bool {
	if h == nil || h.budget == nil {
		return true
	}
	n := size - Free - h.bytes
	if n <= 0 {
		return true
	}
	if !h.budget.reserve(h.source, n) {
		return false
	}
	h.bytes += n
	return true
}

// Release gives back all of the hold's space, once the body is not needed any more.
func (h *Hold) Release() {
	if h == nil || h.bytes == 0 {
		return
	}
	h.budget.release(h.source, h.bytes)
	h.bytes = 0
}
