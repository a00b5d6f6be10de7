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

// bound tells whether a target takes no request for a while, or only some, by its own word.
func (c *Controller) bound(now time.Time, t roster.Target) bool {
	_, resting := c.notices.Resting(now, t.ID)
	return resting || c.state(now, t).limit.Active()
}
