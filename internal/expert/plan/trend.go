package plan

import (
	"math"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

const (
	// firstRise is the assumed rise of the relative step time, until one was
	// observed: a tenth in an hour.
	firstRise = 0.1 / 3600
	// riseTimeConstant is the time constant over which the observed rise is averaged.
	riseTimeConstant = time.Hour
)

// trend estimates how fast a map gets worse as the demand drifts, from the change of
// the step time between observations.
type trend struct {
	rise       float64 // of the relative step time, per second
	observedAt time.Time
	stepTime   float64   // at the time observedAt, with the active map
	lastShift  time.Time // last sharp shift of the demand
	share      []float64
	speed      []float64
}

// observe records the step time with the map that has been active since the last
// observation. A change of the step time by a sharp shift of the demand doesn't count
// as drift.
func (t *trend) observe(now time.Time, stepTime float64, e demand.Estimate) {
	elapsed := now.Sub(t.observedAt).Seconds()
	if !t.observedAt.IsZero() && elapsed > 0 && e.LastShift.Equal(t.lastShift) {
		weight := 1 - math.Exp(-elapsed/riseTimeConstant.Seconds())
		t.rise += weight * ((stepTime-t.stepTime)/elapsed - t.rise)
	}
	t.observedAt, t.stepTime, t.lastShift = now, stepTime, e.LastShift
	t.share = append(t.share[:0], e.Share...)
	t.speed = append(t.speed[:0], e.Speed...)
}

// mapReplaced records that another map is active now.
func (t *trend) mapReplaced(m *expertmap.Map) {
	if t.observedAt.IsZero() {
		return
	}
	t.stepTime = predict(newLayer(m.Shape(), t.speed), m, t.share).Time
}

// repackLifetime returns the time, in seconds, for which a repacked layer counts as
// better by gain. The layer gets worse by rise each second until it has to be repacked,
// which costs the same however little it gains. On average the full gain therefore
// lasts for half the time in which the drift uses it up.
func (t *trend) repackLifetime(gain float64) float64 {
	const minRise = 1e-9
	return gain / 2 / max(t.rise, minRise)
}
