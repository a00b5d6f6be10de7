package admission

import (
	"math/rand/v2"
	"slices"
	"strings"
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

// turnAway ends the waiting of requests that can't be sent in time any more, as the last of
// their targets is gone or takes none. They would wait until their patience is over.
func (c *Controller) turnAway(now time.Time, service string) {
	q := c.queue(service)
	if len(q.waiting) == 0 {
		return
	}
	rules, all := c.RulesFor(service), c.Targets(service)
	anytime := slices.DeleteFunc(slices.Clone(all), func(t roster.Target) bool { return c.bound(now, t) })
	outlooks := make(map[string]outlook) // by the targets that were tried; most were sent to the same few
	var rest []*Ticket
	for _, t := range q.waiting {
		if slices.ContainsFunc(anytime, t.untried) {
			rest = append(rest, t)
			continue
		}
		tried := strings.Join(t.Tried, " ")
		o, known := outlooks[tried]
		if !known {
			o = c.outlook(now, c.candidates(t), rules)
			outlooks[tried] = o
		}
		switch ahead := len(rest); {
		case o.targets == 0:
			t.refusal = NoTarget
			close(t.refused)
		case !o.open && o.wait(ahead) > t.Patience-now.Sub(t.arrived):
			t.After, t.refusal = o.wait(ahead), o.verdict(ahead)
			close(t.refused)
		default:
			rest = append(rest, t)
		}
	}
	q.waiting = rest
}

// bound tells whether a target takes no request for a while, or only some, by its own word.
func (c *Controller) bound(now time.Time, t roster.Target) bool {
	_, resting := c.notices.Resting(now, t.ID)
	return resting || c.state(now, t).limit.Active()
}

func (t *Ticket) untried(target roster.Target) bool { return !slices.Contains(t.Tried, target.ID) }
