package demand

import (
	"math"
	"slices"
	"time"
)

const (
	// minSpeed and maxSpeed bound a rank's speed. A rank that stalled for a
	// whole window would otherwise seem thousands of times slower, and all of
	// its experts would be moved because of one pause.
	minSpeed = 0.1
	maxSpeed = 2
	// noiseBand is the difference from the median below which a rank counts as
	// equally fast: the timing noise of equal accelerators must not move experts.
	noiseBand = 0.03
	// idleDecay is the part of its difference from normal speed that a rank
	// without work loses in each window. A rank that was given no work because
	// it was slow could otherwise never show that it has recovered.
	idleDecay = 0.02
)

// speeds estimates the speed of each rank relative to the group's median.
type speeds struct {
	gain  float64
	level []float64 // smoothed logarithm of the relative rate
	value []float64 // relative speed; exactly 1 within noiseBand
	work  []uint64
	busy  []time.Duration
	rates []float64 // scratch
}

func newSpeeds(ranks int, cfg Config) speeds {
	s := speeds{
		gain:  1 - math.Exp(-float64(cfg.Window)/float64(cfg.Smooth)),
		level: make([]float64, ranks),
		value: make([]float64, ranks),
		work:  make([]uint64, ranks),
		busy:  make([]time.Duration, ranks),
		rates: make([]float64, 0, ranks),
	}
	for i := range s.value {
		s.value[i] = 1
	}
	return s
}

func (s *speeds) add(r Report) {
	s.work[r.Rank] = r.Work
	s.busy[r.Rank] = r.Busy
}

func (s *speeds) fold() {
	median := s.median()
	for i := range s.level {
		s.foldRank(i, median)
	}
	clear(s.work)
	clear(s.busy)
}

func (s *speeds) foldRank(i int, median float64) {
	rate, ok := s.rate(i)
	if !ok || median <= 0 {
		s.level[i] -= idleDecay * s.level[i]
	} else {
		relative := min(max(rate/median, minSpeed), maxSpeed)
		s.level[i] += s.gain * (math.Log(relative) - s.level[i])
	}
	s.value[i] = 1
	if math.Abs(s.level[i]) > noiseBand {
		s.value[i] = math.Exp(s.level[i])
	}
}

// rate returns the tokens per second of a rank, if it did any work.
func (s *speeds) rate(i int) (float64, bool) {
	if s.work[i] == 0 || s.busy[i] <= 0 {
		return 0, false
	}
	return float64(s.work[i]) / s.busy[i].Seconds(), true
}

func (s *speeds) median() float64 {
	s.rates = s.rates[:0]
	for i := range s.work {
		if rate, ok := s.rate(i); ok {
			s.rates = append(s.rates, rate)
		}
	}
	if len(s.rates) == 0 {
		return 0
	}
	slices.Sort(s.rates)
	return s.rates[len(s.rates)/2]
}
