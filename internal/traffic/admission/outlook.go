package admission

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// availability is when a set of targets next takes a request, given their back-offs and rate
// limits.
type availability struct {
	targets      int
	unrestricted bool // one of them has neither, and may be free at any time

	backingOff bool
	backOff    time.Duration // until the first of these back-offs ends

	limited   bool
	firstTurn time.Duration // until this entry's first turn at a rate-limited target
	ownRate   float64       // requests a second that this entry may send to the rate-limited targets
	totalRate float64       // requests a second that all entries may send to them
}

// availability returns when the given targets take a request.
func (c *Controller) availability(now time.Time, targets []roster.Target, limits Limits) availability {
	o := availability{targets: len(targets)}
	for _, target := range targets {
		limit := &c.state(now, target).limit
		until, backingOff := c.notices.InBackOff(now, target.ID)
		switch {
		case backingOff:
			if d := until.Sub(now); !o.backingOff || d < o.backOff {
				o.backingOff, o.backOff = true, d
			}
		case limit.Active():
			o.addLimited(now, target.ID, limit, limits)
		default:
			o.unrestricted = true
			return o
		}
	}
	return o
}

func (o *availability) addLimited(now time.Time, id string, l *ratelimit.Limit, limits Limits) {
	o.limited = true
	o.totalRate += float64(max(l.Rate(), ratelimit.LeastRate))
	at, ok := l.Next(now, id, limits.Senders)
	if !ok {
		return
	}
	if d := max(at.Sub(now), 0); o.ownRate == 0 || d < o.firstTurn {
		o.firstTurn = d
	}
	o.ownRate += l.PerSecond(id, limits.Senders)
}

// turnWait returns how long a request waits for its turn at a rate-limited target, with others
// ahead of it.
func (o availability) turnWait(ahead int) time.Duration {
	if o.ownRate == 0 {
		// Other entries send to these targets. The caller comes back through another entry.
		return time.Duration(float64(time.Second) / o.totalRate)
	}
	return o.firstTurn + time.Duration(float64(ahead)*float64(time.Second)/o.ownRate)
}

// wait returns how long a request waits with others ahead of it.
func (o availability) wait(ahead int) time.Duration {
	if o.verdict(ahead) == Limited {
		return o.turnWait(ahead)
	}
	return o.backOff
}

// verdict returns what the request waits for: a turn at a rate-limited target, or the end of a
// back-off.
func (o availability) verdict(ahead int) Verdict {
	if o.limited && (!o.backingOff || o.turnWait(ahead) < o.backOff) {
		return Limited
	}
	return InBackOff
}
