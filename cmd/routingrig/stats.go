package main

import (
	"slices"
	"time"
)

// endKind is the outcome of a request for its caller.
type endKind int

const (
	answeredEnd endKind = iota
	refusedEnd
	lateEnd
)

// stats counts the requests that arrived in the measured time, after the warm-up.
type stats struct {
	requests     int
	attempts     int
	ends         [3]int
	byWorkspace  map[int]*[3]int
	answerTimes  []time.Duration // from arrival to complete answer
	refusalTimes []time.Duration
	cachedTokens int64 // prompt tokens found in the cache
	promptTokens int64 // all prompt tokens
	stepTimes    []time.Duration
	skews        []float64 // longest step time of a rank divided by the mean
}

func (s *stats) arrived(w *world, r *request) {
	if w.measured(r.arrived) {
		s.requests++
	}
}

func (s *stats) attempt(w *world, r *request) {
	if w.measured(r.arrived) {
		s.attempts++
	}
}

func (s *stats) prefix(w *world, r *request, cached int) {
	if w.measured(r.arrived) {
		s.cachedTokens += int64(cached)
		s.promptTokens += int64(r.common + r.topic + r.own)
	}
}

func (s *stats) step(w *world, d time.Duration) {
	if w.measured(w.now) {
		s.stepTimes = append(s.stepTimes, d)
	}
}

func (s *stats) skew(w *world, v float64) {
	if w.measured(w.now) {
		s.skews = append(s.skews, v)
	}
}

func (s *stats) end(w *world, r *request, kind endKind) {
	if !w.measured(r.arrived) {
		return
	}
	s.ends[kind]++
	if s.byWorkspace == nil {
		s.byWorkspace = map[int]*[3]int{}
	}
	if s.byWorkspace[r.workspace] == nil {
		s.byWorkspace[r.workspace] = &[3]int{}
	}
	s.byWorkspace[r.workspace][kind]++
	switch kind {
	case answeredEnd:
		s.answerTimes = append(s.answerTimes, w.now-r.arrived)
	case refusedEnd:
		s.refusalTimes = append(s.refusalTimes, w.now-r.arrived)
	}
}

// quantile returns the q-quantile of the durations, which it sorts.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

// answeredShareOfOthers returns the share of requests that were answered, over all
// workspaces but the first.
func (s *stats) answeredShareOfOthers() float64 {
	answered, all := 0, 0
	for ws, ends := range s.byWorkspace {
		if ws != 0 {
			answered += ends[answeredEnd]
			all += ends[answeredEnd] + ends[refusedEnd] + ends[lateEnd]
		}
	}
	return float64(answered) / float64(all)
}
