package planner

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
)

// minPatience is the part of the time limit for loading that does not depend on the
// size of the load. The ranks get twice the time that the weight store needs at its
// rate, plus minPatience.
const minPatience = 30 * time.Second

// planMap computes a plan and, if one is due, proposes its map to the group.
func (c *Controller) planMap(now time.Time, e demand.Estimate) {
	p, err := c.planner.Plan(now, c.active.m, e)
	if err != nil {
		c.violate(err.Error())
		return
	}
	for _, v := range p.Violations {
		c.violate(v.String())
	}
	c.status.observe(c.active, e, p)
	due := c.shifted || !now.Before(c.planAt)
	if !due || c.pending != nil {
		return
	}
	c.shifted = false
	c.planAt = now.Add(c.cfg.Period)
	if !e.Settled() {
		c.planAt = now // plan again in the next window
	}
	c.readAt = now // the group may have formed again since the record was read
	c.out = append(c.out, Action{Kind: Planned, Proposal: p})
	if p.Map != nil {
		c.propose(now, p)
	}
}

// propose starts the switch to the plan's map.
func (c *Controller) propose(now time.Time, p plan.Proposal) {
	c.pending = &pending{proposal: p, base: c.active}
	patience := 2 * time.Duration(float64(p.Bytes)/float64(c.planner.StoreRate())*float64(time.Second))
	c.handleSwitch(now, group.Event{Kind: group.Start, Proposal: &group.Proposal{
		Record:      c.active.record,
		Base:        c.active.number,
		BaseMap:     c.active.m,
		Map:         p.Map,
		Fence:       c.lease.Fence(),
		ExpertBytes: c.planner.ExpertBytes(),
		StoreRate:   c.planner.StoreRate(),
		StepTime:    time.Duration(c.stepSeconds * float64(time.Second)),
		Patience:    min(patience+minPatience, group.MaxPatience),
	}})
}

// handleSwitch passes an event to the proposer and carries out its actions.
func (c *Controller) handleSwitch(now time.Time, ev group.Event) {
	for _, a := range c.proposer.Handle(now, ev) {
		switch a.Kind {
		case group.Send:
			c.out = append(c.out, Action{Kind: SendSwitch, To: a.To, Switch: a.Message})
		case group.Ended:
			c.switchEnded(now, a)
		case group.Violate:
			c.violate(a.Text)
		}
	}
	if c.pending != nil && c.pending.ended && !c.proposer.Busy() {
		c.pending = nil
	}
}

// switchEnded records the outcome of the map switch. A refused switch is charged to
// the load allowance too if the ranks had been asked to load: they may have loaded
// all of it.
func (c *Controller) switchEnded(now time.Time, a group.Action) {
	if c.pending == nil || c.pending.ended {
		return
	}
	c.pending.ended = true
	p := c.pending.proposal
	c.out = append(c.out, Action{Kind: SwitchEnded, Vote: a.Vote, Reason: a.Reason, Proposal: p})
	c.status.addChange(now, p, a)
	if a.Vote != group.Committed {
		if a.Record.Map != nil {
			c.planner.Refused(now, p)
		}
		c.planAt = now.Add(c.cfg.Period) // the cause of the refusal often persists
		c.switchRefused(now, a.Reason)
		return
	}
	c.baseUnknown = 0
	if err := c.planner.Installed(now, c.pending.base.m, p.Map); err != nil {
		c.violate(err.Error())
	}
	c.active.number = a.Record.Number
	c.active.m = p.Map
	c.unsaved = true
}

// switchRefused reads the record again if the ranks have another epoch or map than
// the plan was based on. If the next map is refused for its base too, the record is
// outdated and this process has not observed the missing switch, for example because
// it started later. Then it cedes the lease to another candidate, which may have
// observed the switch; as long as this process held the lease, no other would update
// the record.
func (c *Controller) switchRefused(now time.Time, reason group.Reason) {
	const maxBaseUnknown = 2
	switch reason {
	case group.StaleEpoch:
		c.readAt = now
	case group.BaseUnknown:
		c.readAt = now
		c.baseUnknown++
		if c.baseUnknown >= maxBaseUnknown {
			c.cedeLease(now)
		}
	}
}
