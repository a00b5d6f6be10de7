package companion

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

const (
	// leastShare of an engine's slots is used in any case.
	leastShare = 0.5
	// slowPass and quickPass are parts of the longest pause between events that is on
	// time. An event comes with each pass; above slowPass the pauses of many requests
	// are too long, as single passes vary by a fifth; below quickPass there is room
	// for another request at each rank.
	slowPass  = 0.8
	quickPass = 0.65
	// passWindow in which passes are counted: ten or so.
	passWindow = 600 * time.Millisecond
)

// limit is how many requests a rank should have at the same time. More of them make
// each pass longer, and the group does more work in all: as many as keep the pauses
// between events within their aim.
type limit struct {
	value int
	step  int64 // at the begin of the window
	since time.Time
}

// see takes the pass that a group has come to.
func (l *limit) see(now time.Time, step int64, slots int, aim time.Duration) {
	least := max(int(leastShare*float64(slots)), 1)
	if l.value == 0 {
		l.value = (least + slots) / 2
	}
	if l.since.IsZero() || step < l.step {
		l.step, l.since = step, now
		return
	}
	window := now.Sub(l.since)
	if window < passWindow || aim <= 0 {
		return
	}
	passes := step - l.step
	l.step, l.since = step, now
	if passes == 0 {
		return // idle, or held
	}
	pass := window / time.Duration(passes)
	switch {
	case pass > time.Duration(slowPass*float64(aim)):
		l.value = max(l.value-1, least)
	case pass < time.Duration(quickPass*float64(aim)):
		l.value = min(l.value+1, slots)
	}
}

// gapAim is the shortest pause between events that the routes to a service aim at.
func gapAim(c *routing.Config, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.GapAim <= 0 || shortest != 0 && r.GapAim >= shortest {
			continue
		}
		for _, s := range r.Shares {
			if s.Service == service {
				shortest = r.GapAim
			}
		}
	}
	return shortest
}
