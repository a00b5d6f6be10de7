package main

import (
	"slices"
	"time"
)

// endKind says how a request ended for its caller.
type endKind int

const (
	answeredEnd endKind = iota
	refusedEnd
	lateEnd
)

// stats counts the requests that arrived in the measured time.
type stats struct {
	first     int
	attempts  int
	ends      [3]int
	byWs      map[int]*[3]int
	took      []time.Duration // of answers
	refusedIn []time.Duration
	kept      int64 // prompt tokens that were kept
	prompt    int64 // prompt tokens in all
	steps     []time.Duration
	skews     []float64 // longest step time of a rank over the mean
}

func (s *stats) arrived(w *world, r *request) {
	if w.measured(r.arrived) {
		s.first++
	}
}

func (s *stats) attempt(w *world, r *request) {
	if w.measured(r.arrived) {
		s.attempts++
	}
}

func (s *stats) prefix(w *world, r *request, kept int) {
	if w.measured(r.arrived) {
		s.kept += int64(kept)
		s.prompt += int64(r.common + r.topic + r.own)
	}
}

func (s *stats) step(w *world, d time.Duration) {
	if w.measured(w.now) {
		s.steps = append(s.steps, d)
	}
}

func (s *stats) skew(w *world, v float64) {
	if w.measured(w.now) {
		s.skews = append(s.skews, v)
	}
}

func (s *stats) end(w *world, r *request, how endKind) {
	if !w.measured(r.arrived) {
		return
	}
	s.ends[how]++
	if s.byWs == nil {
		s.byWs = map[int]*[3]int{}
	}
	if s.byWs[r.workspace] == nil {
		s.byWs[r.workspace] = &[3]int{}
	}
	s.byWs[r.workspace][how]++
	switch how {
	case answeredEnd:
		s.took = append(s.took, w.now-r.arrived)
	case refusedEnd:
		s.refusedIn = append(s.refusedIn, w.now-r.arrived)
	}
}

// quantile returns the q-quantile of a set of durations.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

// others returns the part of their requests that is answered, over all
// workspaces but the first.
func (s *stats) others() float64 {
	answered, all := 0, 0
	for ws, ends := range s.byWs {
		if ws != 0 {
			answered += ends[answeredEnd]
			all += ends[answeredEnd] + ends[refusedEnd] + ends[lateEnd]
		}
	}
	return float64(answered) / float64(all)
}
