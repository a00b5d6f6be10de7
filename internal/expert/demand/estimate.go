package demand

import (
	"math"
	"slices"
	"time"
)

// meanAbs is the mean absolute value of a normal variable of deviation 1.
const meanAbs = 0.7979

// settledWindows is how many windows make an estimate about as good as it gets.
const settledWindows = 10

// Settled tells whether the estimate is about as good as it gets. Before, each
// window still makes it better, so it is worth planning anew after each.
func (e *Estimate) Settled() bool { return e.Windows >= settledWindows }

// Estimate returns a copy of what is known now.
func (t *Tracker) Estimate() Estimate {
	deviation := make([]float64, len(t.variance))
	quiet := t.quiet()
	for i, v := range t.variance {
		deviation[i] = quiet * math.Sqrt(v)
	}
	return Estimate{
		Size:      t.size,
		Share:     slices.Clone(t.fast),
		Deviation: deviation,
		Speed:     slices.Clone(t.speeds.value),
		Lasts:     t.lasts(deviation),
		Windows:   t.windows,
		At:        t.last,
		Since:     t.lastShift,
	}
}

// lasts is the time in which the drift seen now moves Tolerance of all tokens,
// or the time between the last two sharp shifts if that is shorter.
func (t *Tracker) lasts(deviation []float64) time.Duration {
	lasts := t.cfg.MaxLasts
	if v := t.drift(deviation); v > 0 {
		lasts = clampSeconds(t.cfg.Tolerance/v, lasts)
	}
	if t.interval > 0 {
		lasts = min(lasts, t.interval)
	}
	return max(lasts, t.cfg.MinLasts)
}

func clampSeconds(s float64, most time.Duration) time.Duration {
	if s >= most.Seconds() {
		return most
	}
	return time.Duration(s * float64(time.Second))
}

// drift is the part of all tokens that moves to other experts per second. Under
// steady drift the slow estimate trails the fast one by the drift times the
// difference of their time constants; what noise alone explains is taken off.
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

// lag is the mean age of what an estimate is made of, in seconds. It is shorter
// than the time constant while few windows have been folded.
func (t *Tracker) lag(constant time.Duration) float64 {
	age := float64(t.windows) * t.cfg.Window.Seconds() / 2
	return min(constant.Seconds(), age)
}
