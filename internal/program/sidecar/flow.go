package sidecar

import (
	"context"
	"sync"
)

// maxOnTheWay is how many bytes of one answer may be on their way from the target to the entry that owns the request.
// It is some hundred events of a stream, or four reads of another answer.
const maxOnTheWay = 128 << 10

// flow counts the bytes of one answer that are on their way: in the desk's queue, and in the stream of an entry that
// reads slowly. The target's answer is read no further while there are too many. Without it, a target that sends
// faster than the entry reads, or without end, fills the memory of the process. A nil flow counts nothing.
type flow struct {
	mu      sync.Mutex
	bytes   int
	changed chan struct{} // holds a value if bytes has become less
}

func newFlow() *flow { return &flow{changed: make(chan struct{}, 1)} }

// add counts bytes that set out.
func (f *flow) add(n int) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += n
}

// remove counts bytes that have arrived, or are dropped.
func (f *flow) remove(n int) {
	if f == nil || n == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes -= n
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// await waits until more bytes may set out, or ctx ends. One goroutine at a time may wait.
func (f *flow) await(ctx context.Context) {
	for f.full() {
		select {
		case <-f.changed:
		case <-ctx.Done():
			return
		}
	}
}

func (f *flow) full() bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes >= maxOnTheWay
}
