package main

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events, ordered by time and then by the order in which they
// were scheduled.
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

// epoch is the start of the simulated time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is the state of one simulation.
type world struct {
	sc      scenario
	now     time.Duration // simulated time since epoch
	seq     int           // number of the event scheduled last
	events  events
	rnd     *rand.Rand
	engines []*engine
	entries []*entry
	stats   stats
}

// time returns the current simulated time.
func (w *world) time() time.Time { return epoch.Add(w.now) }

// after schedules an event after a delay.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
}

// run simulates a scenario until the last deadline and returns its statistics.
func run(sc scenario) *stats {
	w := &world{sc: sc, rnd: rand.New(rand.NewPCG(sc.seed, 1))}
	for i := range sc.targets {
		w.engines = append(w.engines, newEngine(w, i))
	}
	for i := range sc.entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	w.sendReports()
	w.scheduleArrival()
	if sc.lockstep {
		w.runLockstep()
	}
	end := sc.warmUp + sc.length
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

// scheduleArrival schedules the arrival of the next request at a random entry. The
// arrivals over all workspaces are a Poisson process.
func (w *world) scheduleArrival() {
	if w.now > w.sc.warmUp+w.sc.length {
		return
	}
	gap := time.Duration(w.rnd.ExpFloat64() / w.sc.requestRate() * float64(time.Second))
	w.after(gap, func() {
		w.entries[w.rnd.IntN(len(w.entries))].accept(w.newRequest())
		w.scheduleArrival()
	})
}

// measured reports whether a request that arrived at the given time is part of
// the statistics.
func (w *world) measured(arrived time.Duration) bool {
	return arrived >= w.sc.warmUp && arrived < w.sc.warmUp+w.sc.length
}

// sendReports sends the load of each target to all entries with the delay of the
// scenario, and schedules the next reports.
func (w *world) sendReports() {
	for _, e := range w.engines {
		load := e.load()
		measuredAt := w.now
		w.after(w.sc.reportLag, func() {
			for _, en := range w.entries {
				en.policy.report(e.index, load, w.now-measuredAt)
			}
		})
	}
	w.after(w.sc.reportEvery, w.sendReports)
}
