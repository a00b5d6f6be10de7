package workspace

import (
	"container/heap"
	"slices"
	"time"
)

// item is a request in the queue, from its arrival to its end.
type item struct {
	Request
	flow     *flow
	patience time.Time // it starts by then or not at all
	running  bool
	started  time.Time
}

// flow is the work of one workspace in one tier. Tags are virtual times: tokens
// served to a workspace of weight 1.
type flow struct {
	name    Name
	tier    *tier
	weight  float64
	high    []*item
	normal  []*item
	tokens  int64   // queued
	running int     // requests
	tag     float64 // virtual start time of the next request
	index   int     // in the tier's heap; -1 if nothing is queued
}

func (f *flow) queued() int { return len(f.high) + len(f.normal) }

func (f *flow) idle() bool { return f.queued() == 0 && f.running == 0 }

// list returns the list that the item belongs to.
func (f *flow) list(it *item) *[]*item {
	if it.Priority == High {
		return &f.high
	}
	return &f.normal
}

// first returns the request to run next.
func (f *flow) first() *item {
	if len(f.high) > 0 {
		return f.high[0]
	}
	return f.normal[0]
}

// newest returns the request that is given up first.
func (f *flow) newest() *item {
	if n := len(f.normal); n > 0 {
		return f.normal[n-1]
	}
	return f.high[len(f.high)-1]
}

// ahead returns the tokens queued before a new request of the given priority.
func (f *flow) ahead(p Priority) int64 {
	if p != High {
		return f.tokens
	}
	var sum int64
	for _, it := range f.high {
		sum += it.Tokens
	}
	return sum
}

// backlog returns the queued work for the flow's weight.
func (f *flow) backlog() float64 { return float64(f.tokens) / f.weight }

// tier is a set of flows that share the target by weight.
type tier struct {
	flows   map[Name]*flow
	heap    flowHeap // flows with queued requests, by tag
	virtual float64  // tag of the request that started last
	weights float64  // of the flows with queued requests
	tokens  int64    // queued
	running int      // requests
}

func newTier() *tier { return &tier{flows: make(map[Name]*flow)} }

// flow returns the workspace's flow, a new one if need be. A flow that was away
// starts at the present virtual time: it has no claim on service that it did not
// ask for.
func (t *tier) flow(name Name, weight float64) *flow {
	f, ok := t.flows[name]
	if !ok {
		f = &flow{name: name, tier: t, index: -1}
		t.flows[name] = f
	}
	if f.queued() == 0 {
		f.weight = weight
		f.tag = max(f.tag, t.virtual)
	}
	return f
}

func (t *tier) push(it *item) {
	f := it.flow
	list := f.list(it)
	*list = append(*list, it)
	f.tokens += it.Tokens
	t.tokens += it.Tokens
	if f.index < 0 {
		t.weights += f.weight
		heap.Push(&t.heap, f)
	}
}

// remove takes a queued request out.
func (t *tier) remove(it *item) {
	f := it.flow
	list := f.list(it)
	i := slices.Index(*list, it)
	*list = slices.Delete(*list, i, i+1)
	f.tokens -= it.Tokens
	t.tokens -= it.Tokens
	if f.queued() == 0 {
		t.weights -= f.weight
		heap.Remove(&t.heap, f.index)
	}
	if len(t.heap) == 0 {
		t.weights = 0 // sheds the rounding errors
	}
}

// serve takes the request out to run it, and charges its flow.
func (t *tier) serve(it *item) {
	f := it.flow
	t.virtual = max(t.virtual, f.tag)
	t.remove(it)
	t.running++
	f.running++
	t.charge(f, it.Tokens)
}

// charge moves a flow's tag on by the tokens, or back if they are negative.
func (t *tier) charge(f *flow, tokens int64) {
	f.tag += float64(tokens) / f.weight
	if f.index >= 0 {
		heap.Fix(&t.heap, f.index)
	}
}

// ended takes back a running request and corrects what its flow was charged.
func (t *tier) ended(it *item, tokens int64) {
	t.running--
	it.flow.running--
	if tokens > 0 {
		t.charge(it.flow, tokens-it.Tokens)
	}
}

// sweep forgets flows that have nothing queued or running and no debt. If that
// leaves too many it forgets debts too: memory is bounded in any case, at the
// price that a workspace which left comes back with its debt forgiven.
func (t *tier) sweep(most int) {
	if len(t.flows) <= most {
		return
	}
	for name, f := range t.flows {
		if f.idle() && f.tag <= t.virtual {
			delete(t.flows, name)
		}
	}
	if len(t.flows) <= most {
		return
	}
	for name, f := range t.flows {
		if f.idle() {
			delete(t.flows, name)
		}
	}
}

// largest returns the flow with the largest backlog for its weight, or nil.
func (t *tier) largest() *flow {
	var found *flow
	for _, f := range t.heap {
		if found == nil || f.backlog() > found.backlog() {
			found = f
		}
	}
	return found
}

// flowHeap orders flows by tag, then by name so that runs can be repeated.
type flowHeap []*flow

// Len is part of heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].name < h[j].name
}

// Swap is part of heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is part of heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop is part of heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
