package planner

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
)

// openWindow asks every rank what it did since the last question, and the ranks
// whose turn it is for their counts.
func (d *Duty) openWindow(now time.Time) {
	d.windowAt = now.Add(d.cfg.Window)
	d.closeAt = now.Add(d.cfg.Wait)
	d.window++
	ranks := d.group.record.Ranks
	for r, name := range ranks {
		d.out = append(d.out, Action{Kind: Ask, To: name, Message: Message{
			Group:  d.cfg.Group,
			Window: d.window,
			Counts: demand.Sampled(uint16(r), d.window, len(ranks), d.cfg.PerWindow),
		}})
	}
}

// answered takes in a rank's answer to the question of the open window.
func (d *Duty) answered(ev Event) {
	m := ev.Message
	if d.group.record == nil || d.closeAt.IsZero() || m == nil || m.Answer == nil || m.Window != d.window {
		return
	}
	a := m.Answer
	if d.group.record.RankOf(ev.From) != int(a.Rank) {
		return
	}
	if _, err := d.tracker.Handle(a.report(d.window, d.load(int(a.Rank)), d.expertPart())); err != nil {
		return // counts of another shape: the rank has a map of another epoch
	}
	if a.Steps > 0 {
		d.noteStep(a.Busy.Seconds() / float64(a.Steps))
	}
}

// noteStep follows the slowest rank's time per step: the group's step can't be
// shorter.
func (d *Duty) noteStep(seconds float64) {
	const forget = 0.05
	d.steps = max(seconds, d.steps-forget*(d.steps-seconds))
}

// load is the rank's expected part of the experts' work, 1 being an even part,
// if all ranks were equally fast.
func (d *Duty) load(rank int) float64 {
	if rank >= len(d.loads) {
		return 1
	}
	return d.loads[rank]
}

func (d *Duty) expertPart() float64 {
	if d.cfg.Plan.ExpertPart > 0 {
		return d.cfg.Plan.ExpertPart
	}
	return plan.DefaultExpertPart
}

// closeWindow folds the answers into the estimate and plans if it is time to.
func (d *Duty) closeWindow(now time.Time) {
	d.closeAt = time.Time{}
	if d.tracker.Close(now) == demand.Shifted {
		d.shifted = true
	}
	e := d.tracker.Estimate()
	d.expect(e)
	if d.planner == nil {
		return // no document in force is known
	}
	if err := d.planner.Observe(now, d.group.m, e); err != nil {
		d.violate(err.Error())
		return
	}
	d.consider(now, e)
	d.publish(now)
}

// expect works out what each rank has to do with the map in force.
func (d *Duty) expect(e demand.Estimate) {
	even := make([]float64, len(e.Speed))
	for i := range even {
		even[i] = 1
	}
	f, err := plan.Predict(d.group.m, e.Share, even)
	if err != nil {
		d.violate(err.Error())
		return
	}
	d.loads = f.Ranks
}
