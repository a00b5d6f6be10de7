package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
)

// NoticeView is a target notice that changes the entry's view of the target.
type NoticeView struct {
	Target roster.Target
	Said   notice.Notice
}

// ApplyNotice applies the target notice of a response to a request.
func (c *Controller) ApplyNotice(now time.Time, t *Ticket, n notice.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.BackOff > 0 {
		entries := c.RulesFor(t.Service).Senders.Count
		if c.notices.BackOff(now, t.target, n.BackOff, entries, rand.Float64()) {
			c.reportNotice(NoticeView{Target: t.target, Said: notice.Notice{BackOff: n.BackOff}})
		}
		c.turnAway(now, t.Service)
	}
	// A request that was sent before the store listed a new incarnation may have reached the
	// earlier one.
	if s := c.targets[t.target.ID]; n.Leaves && (s == nil || !t.sentAt.Before(s.knownSince)) && c.notices.SetLeaving(now, t.target) {
		c.reportNotice(NoticeView{Target: t.target, Said: notice.Notice{Leaves: true}})
	}
}

func (c *Controller) reportNotice(v NoticeView) {
	if c.OnNoticeChange != nil {
		c.OnNoticeChange(v)
	}
}

// Listed records that the store lists a target in some incarnation. It returns whether the target
// has announced that it leaves, and since when.
func (c *Controller) Listed(now time.Time, t roster.Target) (since time.Time, leaves bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.Listed(now, t)
	return c.notices.Leaving(t.ID)
}

// Withdrawn reports whether a request's target has stopped taking requests since it was chosen: it
// asked for a back-off, or leaves. A request that waited for a connection meanwhile must not be
// sent.
func (c *Controller) Withdrawn(now time.Time, t *Ticket) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, inBackOff := c.notices.InBackOff(now, t.target.ID); inBackOff {
		return true
	}
	return !slices.ContainsFunc(c.Targets(t.Service), func(o roster.Target) bool { return o.ID == t.target.ID })
}

// restricted reports whether a target has asked for a back-off or named a rate limit.
func (c *Controller) restricted(now time.Time, t roster.Target) bool {
	_, inBackOff := c.notices.InBackOff(now, t.ID)
	return inBackOff || c.state(now, t).limit.Active()
}
