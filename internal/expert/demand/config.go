package demand

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Config sets the smoothing of a [Tracker]. A zero value stands for the default.
type Config struct {
	Window   time.Duration // length of a window; default 1 min
	Smooth   time.Duration // time constant of the fast estimate; default 5 min
	Trail    time.Duration // time constant of the slow estimate; default 1 h
	MinLasts time.Duration // least value of Estimate.ValidFor; default 5 min
	MaxLasts time.Duration // greatest value of Estimate.ValidFor; default 2 h
	// Tolerance is the part of all tokens that must have shifted to other experts
	// for an estimate to count as outdated; default 0.1.
	Tolerance float64
	// ShiftDeviations is how many mean deviations above the usual distance a
	// window must lie to be set aside as a possible sharp shift; default 6.
	ShiftDeviations float64
	// ShiftFloor is the distance below which nothing counts as a sharp shift;
	// default 0.05.
	ShiftFloor float64
}

// withDefaults fills in the values that are zero.
func (c Config) withDefaults() Config {
	setDuration(&c.Window, time.Minute)
	setDuration(&c.Smooth, 5*time.Minute)
	setDuration(&c.Trail, time.Hour)
	setDuration(&c.MinLasts, 5*time.Minute)
	setDuration(&c.MaxLasts, 2*time.Hour)
	setFloat(&c.Tolerance, 0.1)
	setFloat(&c.ShiftDeviations, 6)
	setFloat(&c.ShiftFloor, 0.05)
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setFloat(f *float64, value float64) {
	if *f == 0 {
		*f = value
	}
}

func (c Config) validate() error {
	switch {
	case c.Window <= 0, c.Smooth < c.Window, c.Trail <= c.Smooth:
		return merry.Append(ErrConfig, "want 0 < window <= smooth < trail")
	case c.MinLasts <= 0, c.MaxLasts < c.MinLasts:
		return merry.Append(ErrConfig, "want 0 < minLasts <= maxLasts")
	case !(c.Tolerance > 0), !(c.ShiftDeviations > 0), !(c.ShiftFloor > 0):
		return merry.Append(ErrConfig, "tolerance and shift limits must be positive")
	}
	return nil
}
