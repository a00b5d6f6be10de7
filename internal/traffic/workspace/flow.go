package workspace

import (
	"container/heap"
	"slices"
	"time"
)

// item is a request in the queue, from its arrival to its end.
type item struct {
	Request
	flow         *flow
	maxWaitUntil time.Time // it has to start by then
	running      bool
	started      time.Time
}

// flow is the work of one workspace in one tier. Its tag is a virtual time, in tokens
// served to a workspace of weight 1.
type flow struct {
	name           Name
	tier           *tier
	weight         float64
	highPriority   []*item
	normalPriority []*item
	tokens         int64   // queued tokens
	running        int     // running requests
	startTag       float64 // virtual start time of the next request
	index          int     // in the tier's heap; -1 if nothing is queued
}

func (f *flow) queued() int { return len(f.highPriority) + len(f.normalPriority) }

func (f *flow) isIdle() bool { return f.queued() == 0 && f.running == 0 }

// listOf returns the list that the item belongs to.
func (f *flow) listOf(it *item) *[]*item {
	if it.Priority == High {
		return &f.highPriority
	}
	return &f.normalPriority
}

// first returns the request to run next.
func (f *flow) first() *item {
	if len(f.highPriority) > 0 {
		return f.highPriority[0]
	}
	return f.normalPriority[0]
}

// newest returns the request to refuse first when the queue is full.
func (f *flow) newest() *item {
	if n := len(f.normalPriority); n > 0 {
		return f.normalPriority[n-1]
	}
	return f.highPriority[len(f.highPriority)-1]
}

// tokensAhead returns the tokens queued ahead of a new request of the given priority.
func (f *flow) tokensAhead(p Priority) int64 {
	if p != High {
		return f.tokens
	}
	var sum int64
	for _, it := range f.highPriority {
		sum += it.Tokens
	}
	return sum
}

// backlog returns the queued tokens divided by the flow's weight.
func (f *flow) backlog() float64 { return float64(f.tokens) / f.weight }

// tier is a set of flows that share the target by weight.
type tier struct {
	flows         map[Name]*flow
	heap          flowHeap // flows with queued requests, by tag
	virtualTime   float64  // start tag of the last request that started
	queuedWeights float64  // sum over the flows with queued requests
	tokens        int64    // queued tokens
	running       int      // running requests
}

func newTier() *tier { return &tier{flows: make(map[Name]*flow)} }

// flow returns the workspace's flow and creates it if necessary. A flow without queued
// requests starts at the current virtual time at the earliest: it isn't compensated
// for the time in which it had no requests.
func (t *tier) flow(name Name, weight float64) *flow {
	f, ok := t.flows[name]
	if !ok {
		f = &flow{name: name, tier: t, index: -1}
		t.flows[name] = f
	}
	if f.queued() == 0 {
		f.weight = weight
		f.startTag = max(f.startTag, t.virtualTime)
	}
	return f
}

func (t *tier) push(it *item) {
	f := it.flow
	list := f.listOf(it)
	*list = append(*list, it)
	f.tokens += it.Tokens
	t.tokens += it.Tokens
	if f.index < 0 {
		t.queuedWeights += f.weight
		heap.Push(&t.heap, f)
	}
}

// remove removes a queued request.
func (t *tier) remove(it *item) {
	f := it.flow
	list := f.listOf(it)
	i := slices.Index(*list, it)
	*list = slices.Delete(*list, i, i+1)
	f.tokens -= it.Tokens
	t.tokens -= it.Tokens
	if f.queued() == 0 {
		t.queuedWeights -= f.weight
		heap.Remove(&t.heap, f.index)
	}
	if len(t.heap) == 0 {
		t.queuedWeights = 0 // drops accumulated rounding errors
	}
}

// serve removes a queued request that starts to run, and charges its flow.
func (t *tier) serve(it *item) {
	f := it.flow
	t.virtualTime = max(t.virtualTime, f.startTag)
	t.remove(it)
	t.running++
	f.running++
	t.charge(f, it.Tokens)
}

// charge advances a flow's tag by the tokens for its weight, or moves it back if they
// are negative.
func (t *tier) charge(f *flow, tokens int64) {
	f.startTag += float64(tokens) / f.weight
	if f.index >= 0 {
		heap.Fix(&t.heap, f.index)
	}
}

// finish records the end of a running request and corrects its flow's charge to the
// actual tokens, if they are known.
func (t *tier) finish(it *item, tokens int64) {
	t.running--
	it.flow.running--
	if tokens > 0 {
		t.charge(it.flow, tokens-it.Tokens)
	}
}

// removeIdleFlows removes flows without queued or running requests whose tag isn't ahead
// of the virtual time. If more than maxFlows remain, it removes all idle flows. This
// bounds memory in any case, at the cost that a workspace whose tag was ahead is no
// longer charged for that when it returns.
func (t *tier) removeIdleFlows(maxFlows int) {
	if len(t.flows) <= maxFlows {
		return
	}
	for name, f := range t.flows {
		if f.isIdle() && f.startTag <= t.virtualTime {
			delete(t.flows, name)
		}
	}
	if len(t.flows) <= maxFlows {
		return
	}
	for name, f := range t.flows {
		if f.isIdle() {
			delete(t.flows, name)
		}
	}
}

// largestBacklog returns the flow with the largest backlog for its weight, or nil.
func (t *tier) largestBacklog() *flow {
	var largest *flow
	for _, f := range t.heap {
		if largest == nil || f.backlog() > largest.backlog() {
			largest = f
		}
	}
	return largest
}

// flowHeap orders flows by tag, then by name so that the order is reproducible.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].name < h[j].name
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
