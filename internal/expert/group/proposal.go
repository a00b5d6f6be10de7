package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// Defaults of a [Proposal].
const (
	DefaultLead     = 250 * time.Millisecond
	DefaultPatience = 2 * time.Minute
	DefaultStepTime = 4500 * time.Microsecond
)

// Proposal is a map that a planner wants a group to use.
type Proposal struct {
	Record      *Record // the group's epoch and ranks
	Base        Number  // the map in force, and
	BaseMap     *expertmap.Map
	Map         *expertmap.Map // the one to switch to
	Fence       lease.Fence    // of the planner's lease
	ExpertBytes int64          // weights of one expert of one layer
	StoreRate   int64          // bytes a second that this switch may take from the weight store
	StepTime    time.Duration  // time of one step
	Lead        time.Duration  // how far ahead of the promises the switch is set
	Patience    time.Duration  // for loading; then the switch is refused
}

func (p Proposal) withDefaults() Proposal {
	if p.StepTime <= 0 {
		p.StepTime = DefaultStepTime
	}
	if p.Lead <= 0 {
		p.Lead = DefaultLead
	}
	if p.Patience <= 0 {
		p.Patience = DefaultPatience
	}
	p.Patience = min(p.Patience, MaxPatience)
	if p.ExpertBytes <= 0 {
		p.ExpertBytes = DefaultExpertBytes
	}
	if p.StoreRate <= 0 {
		p.StoreRate = DefaultRate
	}
	return p
}

// loadingAsks is how many resend intervals pass between two questions to a rank
// that loads.
const loadingAsks = 10
