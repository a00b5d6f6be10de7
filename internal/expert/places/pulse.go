package places

import (
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

// Beats takes the reports of a look.
func (p *Pulse) Beats(now time.Time, reports []changeover.Report) bool {
	step, work := int64(0), 0
	for _, r := range reports {
		step = max(step, r.Step)
		work += r.Running + r.Waiting
	}
	if step != p.step || work == 0 {
		p.step, p.at = step, now
	}
	return now.Sub(p.at) < pulseGrace
}
