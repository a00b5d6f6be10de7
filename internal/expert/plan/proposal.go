package plan

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Reason is why a proposal moves experts or keeps the map.
type Reason string

// The reasons of proposals.
const (
	Move     Reason = "move"     // a new map is worth the cost of its loads
	Balanced Reason = "balanced" // the distance of each layer to its lower bound can be noise
	Stuck    Reason = "stuck"    // no change was found that gains anything
	Noise    Reason = "noise"    // the gain of the changes found can be noise
	NotWorth Reason = "notWorth" // the changes found gain less than they cost while the demand lasts
	Paced    Reason = "paced"    // the load allowance is used up
	Learning Reason = "learning" // the estimate covers too few windows
	Stale    Reason = "stale"    // the ranks' last reports are too old
	Faulty   Reason = "faulty"   // the plan broke an invariant and was discarded
)

// LayerChange is the part of a proposal that changes one layer.
type LayerChange struct {
	Layer  int     `json:"layer"`
	Loads  int     `json:"loads"`
	Before float64 `json:"before"` // hottest rank's time relative to the ideal
	After  float64 `json:"after"`
}

// ViolationKind names a broken invariant of a plan.
type ViolationKind string

// The invariants of plans.
const (
	InvalidMap   ViolationKind = "invalidMap"   // the map is invalid
	OverPace     ViolationKind = "overPace"     // the loads exceed the load allowance
	OverRank     ViolationKind = "overRank"     // the loads of a rank exceed its room
	RaisedCost   ViolationKind = "raisedCost"   // the predicted step time rises
	UnpaidLoads  ViolationKind = "unpaidLoads"  // the loads cost more than they gain
	BrokenHold   ViolationKind = "brokenHold"   // a replica that is on hold was moved
	LoadMismatch ViolationKind = "loadMismatch" // the map needs more loads than were counted
)

// Violation is an invariant that a plan broke, with its evidence.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Detail string        `json:"detail"`
}

// String formats the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s", v.Kind, v.Detail)
}

// Proposal is a decision of the planner with its reason.
type Proposal struct {
	Reason  Reason         `json:"reason"`
	Map     *expertmap.Map `json:"-"` // nil unless Reason is Move
	Before  Forecast       `json:"before"`
	After   Forecast       `json:"after"` // equals Before unless Reason is Move
	Loads   int            `json:"loads"`
	Bytes   int64          `json:"bytes"`
	Horizon time.Duration  `json:"horizon"` // how long the demand is expected to last
	// Won and Cost are inference time, gained over the horizon and lost to loading,
	// without the weights of the document.
	Won  time.Duration `json:"won"`
	Cost time.Duration `json:"cost"`
	// IgnoredGain is the largest gain in one layer that was not pursued because it can be
	// noise, and IgnoredNoise the noise threshold of that layer. Both are in the time of the
	// layer's hottest rank, relative to the ideal.
	IgnoredGain  float64       `json:"leftGain,omitempty"`
	IgnoredNoise float64       `json:"leftNoise,omitempty"`
	Weights      Weights       `json:"weights"`
	Allowance    int64         `json:"allowance"` // bytes that could be loaded now
	Layers       []LayerChange `json:"layers,omitempty"`
	Violations   []Violation   `json:"violations,omitempty"`
}

// String explains the proposal in one sentence.
func (p Proposal) String() string {
	switch p.Reason {
	case Move:
		return fmt.Sprintf("load %d experts (%d MB): step time of the experts %.3f to %.3f of ideal, "+
			"wins %v over %v for %v of loading, at weights %g to %g",
			p.Loads, p.Bytes/1e6, p.Before.Time, p.After.Time,
			p.Won.Round(time.Millisecond), p.Horizon.Round(time.Second),
			p.Cost.Round(time.Millisecond), p.Weights.Skew, p.Weights.Moves)
	case Paced:
		return fmt.Sprintf("keep the map: the weight store's allowance is %d MB", p.Allowance/1e6)
	case NotWorth:
		return fmt.Sprintf("keep the map: best change wins %v over %v for %v of loading, at weights %g to %g",
			p.Won.Round(time.Millisecond), p.Horizon.Round(time.Second),
			p.Cost.Round(time.Millisecond), p.Weights.Skew, p.Weights.Moves)
	case Noise:
		return fmt.Sprintf("keep the map: step time of the experts %.3f of ideal, a change of one layer would win %.3f of it, noise explains %.3f",
			p.Before.Time, p.IgnoredGain, p.IgnoredNoise)
	default:
		return fmt.Sprintf("keep the map: %s, step time of the experts %.3f of ideal", p.Reason, p.Before.Time)
	}
}
