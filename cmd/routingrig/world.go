package main

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens in the model.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events orders by time, then by the order of scheduling.
type events []event

// Len is part of heap.Interface.
func (h events) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

// Swap is part of heap.Interface.
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// epoch is where the model's clock starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is one run of the model.
type world struct {
	sc      scenario
	now     time.Duration
	seq     int
	events  events
	rnd     *rand.Rand
	engines []*engine
	entries []*entry
	stats   stats
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
}

// run plays a scenario to its end.
func run(sc scenario) *stats {
	w := &world{sc: sc, rnd: rand.New(rand.NewPCG(sc.seed, 1))}
	for i := range sc.targets {
		w.engines = append(w.engines, newEngine(w, i))
	}
	for i := range sc.entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	w.report()
	w.arrivals()
	if sc.lockstep {
		w.lockstep()
	}
	end := sc.warm + sc.length
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		if w.now > end+sc.deadline {
			break
		}
		e.do()
	}
	return &w.stats
}

// arrivals schedules each next request: a Poisson process over all workspaces.
func (w *world) arrivals() {
	if w.now > w.sc.warm+w.sc.length {
		return
	}
	gap := time.Duration(w.rnd.ExpFloat64() / w.sc.rate() * float64(time.Second))
	w.after(gap, func() {
		w.entries[w.rnd.IntN(len(w.entries))].accept(w.request())
		w.arrivals()
	})
}

// measured reports whether a request that arrived at the given time counts.
func (w *world) measured(arrived time.Duration) bool {
	return arrived >= w.sc.warm && arrived < w.sc.warm+w.sc.length
}

// report sends the load of each target to all entries, late.
func (w *world) report() {
	for _, e := range w.engines {
		load := e.load()
		measured := w.now
		w.after(w.sc.reportLag, func() {
			for _, en := range w.entries {
				en.policy.report(e.index, load, w.now-measured)
			}
		})
	}
	w.after(w.sc.reportEvery, w.report)
}
