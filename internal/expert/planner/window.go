package planner

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
)

// openWindow asks every rank for its work since the last question, and the ranks
// whose turn it is also for their counts.
func (c *Controller) openWindow(now time.Time) {
	c.windowAt = now.Add(c.cfg.Window)
	c.closeAt = now.Add(c.cfg.Wait)
	c.window++
	ranks := c.active.record.Ranks
	for r, name := range ranks {
		c.out = append(c.out, Action{Kind: SendQuestion, To: name, Message: Message{
			Group:  c.cfg.Group,
			Window: c.window,
			Counts: demand.Sampled(uint16(r), c.window, len(ranks), c.cfg.PerWindow),
		}})
	}
}

// handleAnswer handles a rank's answer to the question of the open window.
func (c *Controller) handleAnswer(ev Event) {
	m := ev.Message
	if c.active.record == nil || c.closeAt.IsZero() || m == nil || m.Answer == nil || m.Window != c.window {
		return
	}
	a := m.Answer
	if c.active.record.RankOf(ev.From) != int(a.Rank) {
		return
	}
	if _, err := c.tracker.Handle(a.report(c.window, c.expectedWork(int(a.Rank)), c.expertPart())); err != nil {
		return // counts of another shape: the rank uses a map of another epoch
	}
	if a.Steps > 0 {
		c.updateStepTime(a.Busy.Seconds() / float64(a.Steps))
	}
}

// updateStepTime tracks the slowest rank's time per step, which is a lower bound on
// the group's step time. A longer time counts at once, a shorter one only gradually.
func (c *Controller) updateStepTime(seconds float64) {
	const decay = 0.05
	c.stepSeconds = max(seconds, c.stepSeconds-decay*(c.stepSeconds-seconds))
}

// expectedWork returns the rank's expected part of the experts' work if all ranks
// were equally fast. 1 is an even part.
func (c *Controller) expectedWork(rank int) float64 {
	if rank >= len(c.rankWork) {
		return 1
	}
	return c.rankWork[rank]
}

// expertPart returns the part of a step's time that the experts take.
func (c *Controller) expertPart() float64 {
	if c.cfg.Plan.ExpertPart > 0 {
		return c.cfg.Plan.ExpertPart
	}
	return plan.DefaultExpertPart
}

// closeWindow updates the estimate with the window's answers, plans, and writes the
// status.
func (c *Controller) closeWindow(now time.Time) {
	c.closeAt = time.Time{}
	if c.tracker.Close(now) == demand.Shifted {
		c.shifted = true
	}
	e := c.tracker.Estimate()
	c.predictWork(e)
	if c.planner == nil {
		return // no settings yet
	}
	if err := c.planner.Observe(now, c.active.m, e); err != nil {
		c.violate(err.Error())
		return
	}
	c.planMap(now, e)
	c.writeStatus(now)
}

// predictWork computes each rank's part of the experts' work with the active map.
func (c *Controller) predictWork(e demand.Estimate) {
	even := make([]float64, len(e.Speed))
	for i := range even {
		even[i] = 1
	}
	f, err := plan.Predict(c.active.m, e.Share, even)
	if err != nil {
		c.violate(err.Error())
		return
	}
	c.rankWork = f.Ranks
}
