package demand

import (
	"math"
	"slices"
	"time"
)

// meanAbs is the mean absolute value of a normal variable with mean 0 and deviation 1.
const meanAbs = 0.7979

// settledWindows is the number of windows after which more of them hardly improve an estimate.
const settledWindows = 10

// Settled reports whether more windows would hardly improve the estimate. Until then each
// window improves it, so planning again after each window is worthwhile.
func (e *Estimate) Settled() bool { return e.Windows >= settledWindows }

// Estimate returns a copy of the current estimate.
func (t *Tracker) Estimate() Estimate {
	deviation := make([]float64, len(t.variance))
	scale := t.noiseScale()
	for i, v := range t.variance {
		deviation[i] = scale * math.Sqrt(v)
	}
	return Estimate{
		Size:      t.size,
		Share:     slices.Clone(t.fast),
		Deviation: deviation,
		Speed:     slices.Clone(t.speeds.value),
		ValidFor:  t.validFor(deviation),
		Windows:   t.windows,
		At:        t.last,
		LastShift: t.lastShift,
	}
}

// validFor returns the time in which the current drift shifts Tolerance of all tokens,
// or the time between the last two sharp shifts if that is shorter.
func (t *Tracker) validFor(deviation []float64) time.Duration {
	validFor := t.cfg.MaxLasts
	if v := t.drift(deviation); v > 0 {
		validFor = clampSeconds(t.cfg.Tolerance/v, validFor)
	}
	if t.shiftInterval > 0 {
		validFor = min(validFor, t.shiftInterval)
	}
	return max(validFor, t.cfg.MinLasts)
}

func clampSeconds(s float64, most time.Duration) time.Duration {
	if s >= most.Seconds() {
		return most
	}
	return time.Duration(s * float64(time.Second))
}

// drift returns the part of all tokens that shifts to other experts per second. Under
// steady drift the slow estimate trails the fast one by the drift times the
// difference of their time constants; the distance that noise alone explains is subtracted.
func (t *Tracker) drift(deviation []float64) float64 {
	const few = 3
	if t.windows < few {
		return 0
	}
	noise := 0.0
	for _, d := range deviation {
		noise += d
	}
	noise *= meanAbs / 2 / float64(t.size.Layers)
	d := t.distance(t.fast, t.slow)
	if d <= noise {
		return 0
	}
	lag := t.lag(t.cfg.Trail) - t.lag(t.cfg.Smooth)
	return math.Sqrt(d*d-noise*noise) / max(lag, t.cfg.Window.Seconds())
}

// lag returns the mean age of the windows in an estimate, in seconds. It is shorter
// than the time constant while few windows have been folded in.
func (t *Tracker) lag(constant time.Duration) float64 {
	age := float64(t.windows) * t.cfg.Window.Seconds() / 2
	return min(constant.Seconds(), age)
}
