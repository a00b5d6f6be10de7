package plan

import (
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Errors of configurations and inputs.
var (
	ErrConfig = merry.New("configuration of the planner is out of range")
	ErrInput  = merry.New("input does not fit the group")
)

// Weights say what a team would give up for what. Both count seconds of drafting
// time: Skew those that are lost to waiting for the hottest rank, Moves those
// that are lost to loading weights beside live drafting. Only their ratio matters.
type Weights struct {
	Skew  float64 `cbor:"1,keyasint" json:"skew" yaml:"skew"`
	Moves float64 `cbor:"2,keyasint" json:"moves" yaml:"moves"`
}

// The shipped settings. Steady suits demand that drifts and callers who hear
// each stalled step; Sparing suits demand that shifts sharply, where each load
// competes with live drafting.
var (
	Steady  = Weights{Skew: 3, Moves: 1}
	Sparing = Weights{Skew: 1, Moves: 100}
)

// DefaultExpertPart is the part of an ideal step that the experts take, unless
// the configuration says otherwise.
const DefaultExpertPart = 0.5

// Config describes a group to its planner. Zero values take the defaults.
type Config struct {
	Shape       expertmap.Shape
	Weights     Weights
	ExpertBytes int64 // weights of one expert of one layer; default 44 MB
	StoreRate   int64 // bytes a second that the group may load; default 1 GB/s

	// Interference is the part of the drafting speed that is lost while a load
	// runs; default 0.1.
	Interference float64
	// ExpertPart is the part of an ideal step that the experts take; default 0.5.
	ExpertPart float64
	// Hysteresis is how much more than its price a load must win; default 0.5.
	Hysteresis float64
	// Confidence scales what counts as noise: a layer is left alone if what could
	// be won there is less than that many times the rise of the hottest rank that
	// noise alone is expected to cause; default 1.
	Confidence float64
	// Switch is the drafting time that a change of map costs by itself; default 50 ms.
	Switch time.Duration
	// Hold is how long a loaded replica stays where it is, unless the demand
	// shifts sharply; default 10 min.
	Hold time.Duration
	// Burst is how long the store's allowance may be saved up; default 5 min.
	Burst time.Duration
	// Stale is the age at which an estimate is no longer planned with; default 10 min.
	Stale time.Duration
	// RankLoads is how many experts a rank can hold beside those of the map in
	// force, and so load for one change of map; default 64.
	RankLoads int
	// Work bounds the candidates compared in one plan; default 5 million.
	Work int
}

func (c Config) withDefaults() Config {
	if c.Weights == (Weights{}) {
		c.Weights = Steady
	}
	setInt(&c.ExpertBytes, 44_000_000)
	setInt(&c.StoreRate, 1_000_000_000)
	setFloat(&c.Interference, 0.1)
	setFloat(&c.ExpertPart, DefaultExpertPart)
	setFloat(&c.Hysteresis, 0.5)
	setFloat(&c.Confidence, 1)
	setInt(&c.Switch, 50*time.Millisecond)
	setInt(&c.Hold, 10*time.Minute)
	setInt(&c.Burst, 5*time.Minute)
	setInt(&c.Stale, 10*time.Minute)
	setInt(&c.RankLoads, 64)
	setInt(&c.Work, 5_000_000)
	return c
}

func setInt[T ~int | ~int64](n *T, value T) {
	if *n == 0 {
		*n = value
	}
}

func setFloat(f *float64, value float64) {
	if *f == 0 {
		*f = value
	}
}

func (c Config) validate() error {
	if err := c.Shape.Check(); err != nil {
		return err
	}
	switch {
	case !(c.Weights.Skew >= 0), !(c.Weights.Moves >= 0):
		return merry.Append(ErrConfig, "weights must not be negative")
	case c.ExpertBytes < 1, c.StoreRate < 1:
		return merry.Append(ErrConfig, "sizes and rates must be positive")
	case !(c.Interference > 0 && c.Interference <= 1), !(c.ExpertPart > 0 && c.ExpertPart <= 1):
		return merry.Append(ErrConfig, "parts must lie between 0 and 1")
	case !(c.Hysteresis >= 0), !(c.Confidence >= 0):
		return merry.Append(ErrConfig, "margins must not be negative")
	case c.Switch < 0, c.Hold < 0, c.Burst <= 0, c.Stale <= 0:
		return merry.Append(ErrConfig, "times must be positive")
	case c.RankLoads < 1, c.Work < 1:
		return merry.Append(ErrConfig, "limits must be positive")
	}
	return nil
}

// loadTime is how long the weight store takes for one load, in seconds.
func (c Config) loadTime() float64 {
	return float64(c.ExpertBytes) / float64(c.StoreRate)
}
