package places

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
)

// Pulse tells whether a group makes passes.
type Pulse struct {
	step int64
	at   time.Time // when it was seen to have moved on, or to have nothing to do
}

// pulseGrace is how long a group with work may make no pass: a pass takes 150 ms at the
// most where pauses are on time, and a group that has lost a rank for good stalls for
// 1.5 s before it says so.
const pulseGrace = 400 * time.Millisecond

// Beats takes the reports of a look. A group whose next pass is held as it is seen first makes
// none until one is seen: whoever held it may stand still, and what is sent there meanwhile waits,
// and is read by all ranks at once after that.
func (p *Pulse) Beats(now time.Time, reports []changeover.Report) bool {
	step, work := int64(0), 0
	for _, r := range reports {
		step = max(step, r.Step)
		work += r.Running + r.Waiting
	}
	switch {
	case p.at.IsZero() && work > 0 && isHeld(reports, step+1):
		p.step, p.at = step, now.Add(-pulseGrace)
	case step != p.step || work == 0:
		p.step, p.at = step, now
	}
	return now.Sub(p.at) < pulseGrace
}

func isHeld(reports []changeover.Report, step int64) bool {
	return slices.ContainsFunc(reports, func(r changeover.Report) bool { return r.Held == step })
}
