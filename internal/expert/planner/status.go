package planner

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
)

// maxSwitches is how many of the last map switches a status lists.
const maxSwitches = 20

// Status is the planner's view of a group, for operators and auditors.
type Status struct {
	At     time.Time    `json:"at"`
	Epoch  uint64       `json:"epoch"`
	Map    group.Number `json:"map"`
	Digest string       `json:"digest"`

	Skew        float64         `json:"skew"`      // time of the hottest rank over that of the mean rank, layer by layer
	StepTime    float64         `json:"time"`      // step time of the experts relative to the ideal
	Ranks       []float64       `json:"rankTime"`  // per rank, relative to the ideal
	Speed       []float64       `json:"rankSpeed"` // per rank, relative to the median
	Horizon     time.Duration   `json:"lasts"`     // how long the demand is expected to last
	Shifted     time.Time       `json:"lastShift"` // last sharp shift of the demand, zero if there was none
	Plan        plan.Proposal   `json:"plan"`      // what the planner would do now
	Explanation string          `json:"why"`       // the same in one sentence
	Switches    []SwitchOutcome `json:"moves"`     // the newest last
}

// SwitchOutcome is one planned map and the outcome of its switch.
type SwitchOutcome struct {
	At        time.Time    `json:"at"`
	Outcome   string       `json:"outcome"`
	Reason    group.Reason `json:"reason,omitempty"`
	Loads     int          `json:"loads"`
	Bytes     int64        `json:"bytes"`
	Before    float64      `json:"before"`             // step time of the experts relative to the ideal
	Predicted float64      `json:"predicted"`          // the same with the new map
	Measured  float64      `json:"measured,omitempty"` // the same, as of the next window
}

// observe updates the status with a window's estimate and the plan made from it.
func (s *Status) observe(active activeMap, e demand.Estimate, p plan.Proposal) {
	s.Epoch = active.record.Epoch
	s.Map = active.number
	s.Digest = active.m.Digest().String()
	s.Skew = p.Before.Skew
	s.StepTime = p.Before.Time
	s.Ranks = p.Before.Ranks
	s.Speed = e.Speed
	s.Horizon = e.ValidFor
	s.Shifted = e.LastShift
	s.Plan = p
	s.Plan.Before.Ranks, s.Plan.After.Ranks = nil, nil
	s.Explanation = p.String()
	if n := len(s.Switches); n > 0 && s.Switches[n-1].Measured == 0 && s.Switches[n-1].Outcome == group.Committed.String() {
		s.Switches[n-1].Measured = p.Before.Time
	}
}

// addChange appends the outcome of the switch to a planned map.
func (s *Status) addChange(now time.Time, p plan.Proposal, a group.Action) {
	s.Switches = append(s.Switches, SwitchOutcome{
		At:        now,
		Outcome:   a.Vote.String(),
		Reason:    a.Reason,
		Loads:     p.Loads,
		Bytes:     p.Bytes,
		Before:    p.Before.Time,
		Predicted: p.After.Time,
	})
	if n := len(s.Switches); n > maxSwitches {
		s.Switches = s.Switches[n-maxSwitches:]
	}
}
