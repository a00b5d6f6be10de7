package plan

import (
	"math"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

const (
	// firstRise is what is assumed of a map until it was observed: its relative
	// step time rises by a tenth in an hour.
	firstRise = 0.1 / 3600
	// riseMemory is the time constant of the observed rise.
	riseMemory = time.Hour
)

// trend is how fast a map gets worse as demand drifts away from it, learnt from
// how it did between two observations.
type trend struct {
	rise  float64 // relative step time per second
	at    time.Time
	time  float64 // step time at that time with the map in force
	since time.Time
	share []float64
	speed []float64
}

// observe takes in the step time with the map that was in force since the last
// observation. What a sharp shift does to it is no drift.
func (t *trend) observe(now time.Time, time float64, e demand.Estimate) {
	elapsed := now.Sub(t.at).Seconds()
	if !t.at.IsZero() && elapsed > 0 && e.Since.Equal(t.since) {
		gain := 1 - math.Exp(-elapsed/riseMemory.Seconds())
		t.rise += gain * ((time-t.time)/elapsed - t.rise)
	}
	t.at, t.time, t.since = now, time, e.Since
	t.share = append(t.share[:0], e.Share...)
	t.speed = append(t.speed[:0], e.Speed...)
}

// replaced notes that another map is in force now.
func (t *trend) replaced(m *expertmap.Map) {
	if t.at.IsZero() {
		return
	}
	t.time = predict(newLayer(m.Shape(), t.speed), m, t.share).Time
}

// lasts is the time, in seconds, over which a layer packed anew can be counted
// on to be better by win on average. It gets worse by rise each second until it
// is due to be packed again, at the same price however little that wins; so a
// win lasts for half the time in which the drift makes up for it.
func (t *trend) lasts(win float64) float64 {
	const least = 1e-9
	return win / 2 / max(t.rise, least)
}
