package admission

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// outlook is when targets that want rest, or take no more than a rate, take a request.
type outlook struct {
	targets int
	open    bool // one of them says nothing of itself, and may be free at any time

	resting bool
	rest    time.Duration // until the first that rests takes requests again

	limited bool
	first   time.Duration // until this entry's first turn at one that takes a rate
	own     float64       // requests a second that this entry may send to these
	all     float64       // that all entries may
}

// outlook looks at targets by their own words.
func (c *Controller) outlook(now time.Time, targets []roster.Target, rules Rules) outlook {
	o := outlook{targets: len(targets)}
	for _, target := range targets {
		limit := &c.state(now, target).limit
		until, resting := c.notices.Resting(now, target.ID)
		switch {
		case resting:
			if d := until.Sub(now); !o.resting || d < o.rest {
				o.resting, o.rest = true, d
			}
		case limit.Active():
			o.limit(now, target.ID, limit, rules)
		default:
			o.open = true
			return o
		}
	}
	return o
}

func (o *outlook) limit(now time.Time, id string, l *ratelimit.Limit, rules Rules) {
	o.limited = true
	o.all += float64(max(l.Rate(), ratelimit.LeastRate))
	at, ok := l.Next(now, id, rules.Senders)
	if !ok {
		return
	}
	if d := max(at.Sub(now), 0); o.own == 0 || d < o.first {
		o.first = d
	}
	o.own += l.PerSecond(id, rules.Senders)
}

// turn is how long a request waits for its turn at a target that takes a rate, with others
// ahead of it.
func (o outlook) turn(ahead int) time.Duration {
	if o.own == 0 {
		// Other entries send to them. The caller comes back through another one.
		return time.Duration(float64(time.Second) / o.all)
	}
	return o.first + time.Duration(float64(ahead)*float64(time.Second)/o.own)
}

// wait is how long a request waits with others ahead of it.
func (o outlook) wait(ahead int) time.Duration {
	if o.verdict(ahead) == Limited {
		return o.turn(ahead)
	}
	return o.rest
}

// verdict tells what the request waits for.
func (o outlook) verdict(ahead int) Verdict {
	if o.limited && (!o.resting || o.turn(ahead) < o.rest) {
		return Limited
	}
	return Resting
}
