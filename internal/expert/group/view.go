package group

import (
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// View is a rank's state for dumps and status reports.
type View struct {
	Phase        string      `json:"phase"` // unformed, reading, unsure, forming or settled
	Epoch        uint64      `json:"epoch"`
	Rank         int         `json:"rank"`
	Fence        lease.Fence `json:"fence"`
	Next         uint64      `json:"nextStep"`
	ActiveNumber Number      `json:"inForce"`
	ActiveSince  uint64      `json:"inForceSince"` // first step with the active map; 0 if unknown
	Open         Number      `json:"open,omitempty"`
	Vote         string      `json:"vote,omitempty"`
	Step         uint64      `json:"switchStep,omitempty"`
	ToLoad       int         `json:"toLoad"` // number of placements (one expert in one layer) whose loading has not been ordered yet
	Proposer     host.Name   `json:"proposer,omitempty"`
	Order        string      `json:"order,omitempty"` // kind of the order without a result
}

// View returns the rank's state.
func (s *Switch) View() View {
	v := View{
		Phase: phaseNames[s.phase], Rank: -1, Fence: s.fence, Next: s.next, ActiveNumber: s.activeNumber,
		ActiveSince: s.activeSince, ToLoad: len(s.load.remaining),
	}
	if s.record != nil {
		v.Epoch, v.Rank = s.record.Epoch, s.rank
	}
	if s.open != nil {
		v.Open, v.Vote, v.Step = s.open.number, s.open.vote().String(), s.open.step
		v.Proposer, v.ToLoad = s.open.proposer, len(s.open.load.remaining)
	}
	if s.pendingOrder.Kind != 0 {
		v.Order = s.pendingOrder.Kind.String()
	}
	return v
}
