package planner

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
)

// minPatience is the least time that the ranks are given to load; beyond it, they
// have twice what the store needs at its rate.
const minPatience = 30 * time.Second

// consider makes a plan and, if it is time to, leads the group to it.
func (d *Duty) consider(now time.Time, e demand.Estimate) {
	p, err := d.planner.Plan(now, d.group.m, e)
	if err != nil {
		d.violate(err.Error())
		return
	}
	for _, v := range p.Violations {
		d.violate(v.String())
	}
	d.status.observe(d.group, e, p)
	due := d.shifted || !now.Before(d.planAt)
	if !due || d.pending != nil {
		return
	}
	d.shifted = false
	d.planAt = now.Add(d.cfg.Period)
	if !e.Settled() {
		d.planAt = now // at the next window
	}
	d.readAt = now // the group may have formed again
	d.out = append(d.out, Action{Kind: Planned, Proposal: p})
	if p.Map != nil {
		d.propose(now, p)
	}
}

func (d *Duty) propose(now time.Time, p plan.Proposal) {
	d.pending = &pending{proposal: p, from: d.group}
	patience := 2 * time.Duration(float64(p.Bytes)/float64(d.planner.StoreRate())*float64(time.Second))
	d.drive(now, group.Event{Kind: group.Start, Proposal: &group.Proposal{
		Record:      d.group.record,
		Base:        d.group.number,
		BaseMap:     d.group.m,
		Map:         p.Map,
		Fence:       d.lease.Fence(),
		ExpertBytes: d.planner.ExpertBytes(),
		StoreRate:   d.planner.StoreRate(),
		StepTime:    time.Duration(d.steps * float64(time.Second)),
		Patience:    min(patience+minPatience, group.MaxPatience),
	}})
}

// drive hands an event to the proposer and carries out what it wants.
func (d *Duty) drive(now time.Time, ev group.Event) {
	for _, a := range d.proposer.Handle(now, ev) {
		switch a.Kind {
		case group.Send:
			d.out = append(d.out, Action{Kind: Tell, To: a.To, Switch: a.Message})
		case group.Ended:
			d.ended(now, a)
		case group.Violate:
			d.violate(a.Text)
		}
	}
	if d.pending != nil && d.pending.ended && !d.proposer.Busy() {
		d.pending = nil
	}
}

// ended takes note of how the switch ended. Its loads are charged to the store's
// allowance even if it was refused, once the ranks were asked to load: they may
// have loaded all of it.
func (d *Duty) ended(now time.Time, a group.Action) {
	if d.pending == nil || d.pending.ended {
		return
	}
	d.pending.ended = true
	p := d.pending.proposal
	d.out = append(d.out, Action{Kind: Ended, Vote: a.Vote, Reason: a.Reason, Proposal: p})
	d.status.ended(now, p, a)
	if a.Vote != group.Committed {
		if a.Record.Map != nil {
			d.planner.Refused(now, p)
		}
		d.planAt = now.Add(d.cfg.Period) // what refused it once will often do so again
		d.wasRefused(now, a.Reason)
		return
	}
	d.unknown = 0
	if err := d.planner.Installed(now, d.pending.from.m, p.Map); err != nil {
		d.violate(err.Error())
	}
	d.group.number = a.Record.Number
	d.group.m = p.Map
	d.unsaved = true
}

// wasRefused reads the record when the ranks are elsewhere than the plan began.
// If that does not help, the record is behind and this process has not followed
// the switch that it lacks, say because it was started since. Another seeker may
// have; as long as this one held the lease, nobody would write a newer record.
func (d *Duty) wasRefused(now time.Time, why group.Reason) {
	const patience = 2
	switch why {
	case group.StaleEpoch:
		d.readAt = now
	case group.BaseUnknown:
		d.readAt = now
		d.unknown++
		if d.unknown >= patience {
			d.leave(now)
		}
	}
}
