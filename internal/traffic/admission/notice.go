package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
)

// NoticeBelief is what the entry takes a target's own word for.
type NoticeBelief struct {
	Target roster.Target
	Said   notice.Said
}

// Noticed takes what a target's answer to a request says of itself.
func (c *Controller) Noticed(now time.Time, t *Ticket, said notice.Said) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if said.Rest > 0 {
		entries := c.RulesFor(t.Service).Senders.Count
		if c.notices.Rest(now, t.target, said.Rest, entries, rand.Float64()) {
			c.believeNotice(NoticeBelief{Target: t.target, Said: notice.Said{Rest: said.Rest}})
		}
		c.turnAway(now, t.Service)
	}
	// A request that was sent before the list told of a new life may have met the earlier one.
	if s := c.targets[t.target.ID]; said.Leaves && (s == nil || !t.sent.Before(s.known)) && c.notices.Leave(now, t.target) {
		c.believeNotice(NoticeBelief{Target: t.target, Said: notice.Said{Leaves: true}})
	}
}

func (c *Controller) believeNotice(b NoticeBelief) {
	if c.BelievesNotice != nil {
		c.BelievesNotice(b)
	}
}

// Listed takes the word of the store that a target is in some life, and tells whether the
// target has said that it leaves, and since when.
func (c *Controller) Listed(now time.Time, t roster.Target) (since time.Time, leaves bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.Listed(now, t)
	return c.notices.Leaves(t.ID)
}

// Withdrawn tells whether a request's target takes none any more since it was chosen: it asked for
// rest, or leaves. What waited for a connection meanwhile must not be sent.
func (c *Controller) Withdrawn(now time.Time, t *Ticket) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, resting := c.notices.Resting(now, t.target.ID); resting {
		return true
	}
	return !slices.ContainsFunc(c.Targets(t.Service), func(o roster.Target) bool { return o.ID == t.target.ID })
}

// hopeless tells how long a request would wait, and the verdict if that is too long, where all
// its targets take none by their own word. Known is false if one of them may be free at any time.
func (c *Controller) hopeless(now time.Time, targets []roster.Target, ahead int, rules Rules) (wait time.Duration, v Verdict, known bool) {
	var limited []roster.Target
	for _, target := range targets {
		until, resting := c.notices.Resting(now, target.ID)
		switch {
		case !resting && !c.state(now, target).limit.Active():
			return 0, 0, false
		case !resting:
			limited = append(limited, target)
			continue
		}
		if d := until.Sub(now); v == 0 || d < wait {
			wait, v = d, Resting
		}
	}
	if len(limited) == 0 {
		return wait, v, v != 0
	}
	turn, known := c.rateWait(now, limited, ahead, rules)
	if !known {
		return 0, 0, false
	}
	if v == 0 || turn < wait {
		wait, v = turn, Limited
	}
	return wait, v, true
}

// turnAway ends the waiting of requests that can't be sent in time any more, as the last of
// their targets is gone or takes none. They would wait until their patience is over.
func (c *Controller) turnAway(now time.Time, service string) {
	q := c.queue(service)
	if len(q.waiting) == 0 {
		return
	}
	rules, all := c.RulesFor(service), c.Targets(service)
	_, _, known := c.hopeless(now, all, 0, rules)
	mayBeFree := len(all) > 0 && !known
	var rest []*Ticket
	for _, t := range q.waiting {
		if mayBeFree && len(t.Tried) == 0 {
			rest = append(rest, t)
			continue
		}
		candidates := c.candidates(t)
		if len(candidates) == 0 {
			t.refusal = NoTarget
			close(t.refused)
			continue
		}
		wait, v, known := c.hopeless(now, candidates, len(rest), rules)
		if known && wait > t.Patience-now.Sub(t.arrived) {
			t.After, t.refusal = wait, v
			close(t.refused)
			continue
		}
		rest = append(rest, t)
	}
	q.waiting = rest
}
