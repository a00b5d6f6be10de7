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

// Weights are the relative costs of two ways in which a group loses inference
// time. Skew is the cost of a second lost to waiting for the hottest rank, Moves
// that of a second lost to loading expert weights while requests run. Only their
// ratio matters.
type Weights struct {
	Skew  float64 `cbor:"1,keyasint" json:"skew" yaml:"skew"`
	Moves float64 `cbor:"2,keyasint" json:"moves" yaml:"moves"`
}

// The shipped settings. LowSkew suits demand that drifts and callers who notice
// each stalled step. FewMoves suits demand that shifts sharply, where each load
// competes with running requests.
var (
	LowSkew  = Weights{Skew: 3, Moves: 1}
	FewMoves = Weights{Skew: 1, Moves: 100}
)

// DefaultExpertPart is the default of [Config.ExpertPart]: the fraction of the time
// of an ideal step that is spent in the experts.
const DefaultExpertPart = 0.5

// Config is the configuration of a planner for one group. A field of zero takes its
// default.
type Config struct {
	Shape       expertmap.Shape
	Weights     Weights
	ExpertBytes int64 // size of the weights of one expert of one layer; default 44 MB
	StoreRate   int64 // bytes per second that the group may load; default 1 GB/s

	// Interference is the fraction of the inference speed that is lost while a load
	// runs; default 0.1.
	Interference float64
	// ExpertPart is the fraction of the time of an ideal step that is spent in the
	// experts; default 0.5.
	ExpertPart float64
	// Hysteresis is the margin, relative to the cost of a load, by which its gain
	// must exceed the cost; default 0.5.
	Hysteresis float64
	// Confidence scales the noise threshold: a layer keeps its replicas if the
	// possible gain is less than Confidence times the rise of the hottest rank's
	// time that noise alone is expected to cause; default 1.
	Confidence float64
	// SwitchCost is the inference time that a map switch costs in addition to its
	// loads; default 50 ms.
	SwitchCost time.Duration
	// HoldTime is how long a loaded replica stays in its cell, unless the demand
	// shifts sharply; default 10 min.
	HoldTime time.Duration
	// Burst is the time over which the load allowance may accumulate; default 5 min.
	Burst time.Duration
	// MaxEstimateAge is the age beyond which an estimate is not used for planning;
	// default 10 min.
	MaxEstimateAge time.Duration
	// MaxLoadsPerRank is how many experts a rank can hold in addition to those of
	// the active map, which bounds its loads for one map switch; default 64.
	MaxLoadsPerRank int
	// MaxCandidates bounds the candidates compared in one plan; default 5 million.
	MaxCandidates int
}

func (c Config) withDefaults() Config {
	if c.Weights == (Weights{}) {
		c.Weights = LowSkew
	}
	setInt(&c.ExpertBytes, 44_000_000)
	setInt(&c.StoreRate, 1_000_000_000)
	setFloat(&c.Interference, 0.1)
	setFloat(&c.ExpertPart, DefaultExpertPart)
	setFloat(&c.Hysteresis, 0.5)
	setFloat(&c.Confidence, 1)
	setInt(&c.SwitchCost, 50*time.Millisecond)
	setInt(&c.HoldTime, 10*time.Minute)
	setInt(&c.Burst, 5*time.Minute)
	setInt(&c.MaxEstimateAge, 10*time.Minute)
	setInt(&c.MaxLoadsPerRank, 64)
	setInt(&c.MaxCandidates, 5_000_000)
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
		return merry.Append(ErrConfig, "fractions must lie between 0 and 1")
	case !(c.Hysteresis >= 0), !(c.Confidence >= 0):
		return merry.Append(ErrConfig, "margins must not be negative")
	case c.SwitchCost < 0, c.HoldTime < 0, c.Burst <= 0, c.MaxEstimateAge <= 0:
		return merry.Append(ErrConfig, "times must be positive")
	case c.MaxLoadsPerRank < 1, c.MaxCandidates < 1:
		return merry.Append(ErrConfig, "limits must be positive")
	}
	return nil
}

// loadTime returns how long the weight store takes for one load, in seconds.
func (c Config) loadTime() float64 {
	return float64(c.ExpertBytes) / float64(c.StoreRate)
}
