package places

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
)

// Progress watches whether a group makes progress: whether its step number advances.
type Progress struct {
	step int64
	at   time.Time // when the group last was at a new step or idle
}

// progressTimeout is how long a group with work may begin no step: a step takes 150 ms at the
// most where pauses are on time, and a group that has lost a rank for good stalls for 1.5 s
// before its reports show it.
const progressTimeout = 400 * time.Millisecond

// Advancing reports whether a group makes progress, given the reports of a poll. A group whose next
// step is held at the first poll counts as making none until it begins a step: the process that
// holds it may be frozen, and requests that are sent there meanwhile would wait, and their prompts
// would be read by all ranks at once when the step is released.
func (p *Progress) Advancing(now time.Time, reports []changeover.Report) bool {
	step, work := int64(0), 0
	for _, r := range reports {
		step = max(step, r.Step)
		work += r.Running + r.Waiting
	}
	switch {
	case p.at.IsZero() && work > 0 && isHeld(reports, step+1):
		p.step, p.at = step, now.Add(-progressTimeout)
	case step != p.step || work == 0:
		p.step, p.at = step, now
	}
	return now.Sub(p.at) < progressTimeout
}

func isHeld(reports []changeover.Report, step int64) bool {
	return slices.ContainsFunc(reports, func(r changeover.Report) bool { return r.Held == step })
}
