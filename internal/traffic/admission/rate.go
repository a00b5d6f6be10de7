package admission

import (
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// RateBelief is what the entry takes a target's rate for.
type RateBelief struct {
	Target string
	Active bool // it takes no more than the rate
	Rate   ratelimit.Rate
	Source string        // who said so: "answer", "entry" or "silence", if nobody said it again
	Age    time.Duration // of what was said
}

// Heard takes what a target's answer to a request says of the rate that it takes. Proven says
// that the target made the answer; only then does it count that it names no rate.
func (c *Controller) Heard(now time.Time, t *Ticket, said ratelimit.Said, proven bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[t.target.ID]
	if s == nil {
		return // it is gone
	}
	switch {
	case said.Kind == ratelimit.Named:
		c.words.Take(now, ratelimit.Word{Target: t.target.ID, Said: said})
		c.named(now, t.target.ID, s, said.Rate, "answer", 0)
	case said.Kind == ratelimit.Nothing && proven && s.limit.Active():
		age := now.Sub(t.sent) // the target may have named a rate since, in another answer
		c.words.Take(now, ratelimit.Word{Target: t.target.ID, Age: age})
		c.unnamed(now, t.target.ID, s, "answer", age)
	}
}

// HeardOf takes what other entries heard targets say. An entry that sends nothing to a target
// in need hears nothing of it: without their word it would go on so for as long as it lives.
func (c *Controller) HeardOf(now time.Time, words []ratelimit.Word) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range words {
		s := c.targets[w.Target]
		if s == nil || now.Add(-w.Age).Before(s.known) {
			continue // not known, or the word is of an earlier life
		}
		if w.Said.Kind == ratelimit.Named {
			c.named(now, w.Target, s, w.Said.Rate, "entry", w.Age)
		} else {
			c.unnamed(now, w.Target, s, "entry", w.Age)
		}
	}
}

func (c *Controller) named(now time.Time, id string, s *state, rate ratelimit.Rate, source string, age time.Duration) {
	if s.limit.Named(now.Add(-age), rate, rand.Float64()) {
		c.believeRate(id, s, source, age)
	}
}

func (c *Controller) unnamed(now time.Time, id string, s *state, source string, age time.Duration) {
	if s.limit.Unnamed(now.Add(-age)) {
		c.believeRate(id, s, source, age)
		c.advance(now, s.group.Service)
	}
}

// Rates are the words that targets told this entry lately, for the other entries.
func (c *Controller) Rates(now time.Time, newer time.Duration, most int, turn uint64) []ratelimit.Word {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.words.Tell(now, newer, most, turn)
}

func (c *Controller) believeRate(id string, s *state, source string, age time.Duration) {
	if c.BelievesRate != nil {
		c.BelievesRate(RateBelief{Target: id, Active: s.limit.Active(), Rate: s.limit.Rate(), Source: source, Age: age})
	}
}

// lapseRates ends limits that nobody has heard of for long.
func (c *Controller) lapseRates(now time.Time) {
	for id, s := range c.targets {
		if !s.limit.Active() {
			continue
		}
		heard := s.limit.Heard()
		if s.limit.Lapse(now, id, c.RulesFor(s.group.Service).Senders) {
			c.believeRate(id, s, "silence", now.Sub(heard))
		}
	}
}
