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
	Record      *Record        // the group's epoch and ranks
	Base        Number         // number of the active map
	BaseMap     *expertmap.Map // the active map
	Map         *expertmap.Map // the map to switch to
	Fence       lease.Fence    // fence of the planner's lease
	ExpertBytes int64          // size of the weights of one expert in one layer
	StoreRate   int64          // bytes per second that all ranks together may load from the weight store
	StepTime    time.Duration  // time of one step
	Lead        time.Duration  // time between the request for promises and the switch step
	Patience    time.Duration  // time allowed for loading; then the switch is refused
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

// resendsPerLoadQuery is the number of resend intervals between two queries to a
// rank that is loading.
const resendsPerLoadQuery = 10
