package plan

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Reason says why a proposal is what it is.
type Reason string

// The reasons of proposals.
const (
	Move     Reason = "move"     // a new map is worth its loads
	Balanced Reason = "balanced" // no layer is further from its lower bound than noise explains
	Stuck    Reason = "stuck"    // no change that wins anything was found
	Noise    Reason = "noise"    // the changes found win no more than noise explains
	NotWorth Reason = "notWorth" // the changes found win less than they cost while the demand lasts
	Paced    Reason = "paced"    // the weight store's allowance is used up
	Learning Reason = "learning" // too few windows were seen
	Stale    Reason = "stale"    // the ranks have not reported for too long
	Faulty   Reason = "faulty"   // the plan broke an invariant and was thrown away
)

// LayerStep is what a proposal does in one layer.
type LayerStep struct {
	Layer  int     `json:"layer"`
	Loads  int     `json:"loads"`
	Before float64 `json:"before"` // hottest rank's time relative to the ideal
	After  float64 `json:"after"`
}

// ViolationKind names a broken invariant of a plan.
type ViolationKind string

// The invariants of plans.
const (
	InvalidMap   ViolationKind = "invalidMap"   // the map has a fault
	OverPace     ViolationKind = "overPace"     // more bytes than the store's allowance
	OverRank     ViolationKind = "overRank"     // more loads than a rank has room for
	RaisedCost   ViolationKind = "raisedCost"   // the predicted step time rises
	UnpaidLoads  ViolationKind = "unpaidLoads"  // the loads cost more than they win
	BrokenHold   ViolationKind = "brokenHold"   // a replica was moved before its hold ended
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

// Proposal is what the planner would do now and why.
type Proposal struct {
	Reason  Reason         `json:"reason"`
	Map     *expertmap.Map `json:"-"` // nil unless Reason is Move
	Before  Forecast       `json:"before"`
	After   Forecast       `json:"after"` // equals Before unless Reason is Move
	Loads   int            `json:"loads"`
	Bytes   int64          `json:"bytes"`
	Horizon time.Duration  `json:"horizon"` // how long the demand is expected to last
	// Won and Cost are drafting time, won over the horizon and lost to loading,
	// before the weights of the document.
	Won  time.Duration `json:"won"`
	Cost time.Duration `json:"cost"`
	// LeftGain is the most that a change of one layer would win that was left alone, and LeftNoise
	// what noise explains there, in the time of the layer's hottest rank relative to the ideal.
	LeftGain   float64     `json:"leftGain,omitempty"`
	LeftNoise  float64     `json:"leftNoise,omitempty"`
	Weights    Weights     `json:"weights"`
	Allowance  int64       `json:"allowance"` // bytes that could be loaded now
	Layers     []LayerStep `json:"layers,omitempty"`
	Violations []Violation `json:"violations,omitempty"`
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
			p.Before.Time, p.LeftGain, p.LeftNoise)
	default:
		return fmt.Sprintf("keep the map: %s, step time of the experts %.3f of ideal", p.Reason, p.Before.Time)
	}
}
