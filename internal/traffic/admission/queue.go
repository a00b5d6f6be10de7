package admission

import (
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// queue holds the requests for a service that wait for a target.
type queue struct {
	waiting   []*Ticket
	arrivals  int
	updatedAt time.Time // when the last planner update arrived for one of the service's groups
}

func (c *Controller) queue(service string) *queue {
	q := c.services[service]
	if q == nil {
		q = &queue{}
		c.services[service] = q
	}
	return q
}

// position returns where in the queue a request belongs: behind those of its priority.
func (q *queue) position(t *Ticket) int {
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *Ticket) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		if a.arrived.After(b.arrived) {
			return 1
		}
		return -1 // requests that arrived in the same moment keep their order
	})
	return at
}

// advance gives free slots to waiting requests: first to the stranded ones, then to those that can
// still be on time, in the order of the queue, then to the others by the time that they have left.
// Of these, the requests that were refused before have the least time, and their callers would not
// come back once more.
//
// Stranded requests, a few at a time, also get slots beyond what planners grant: their callers
// would leave before a slot is free.
//
// The targets are scanned once for all waiting requests, and again for each slot that is given. A
// scan for each request that was sent to a target before would use up an entry's share of a core
// when a group closes, and the entry would accept no connection for seconds.
func (c *Controller) advance(now time.Time, service string) {
	q, limits := c.queue(service), c.RulesFor(service)
	if len(q.waiting) == 0 {
		return
	}
	free := c.freeTargets(now, service, c.Targets(service), limits)
	stranded := slices.ContainsFunc(q.waiting, func(t *Ticket) bool { return t.Stranded })
	if free.none() && !stranded {
		return
	}
	var slots freeTargets
	if stranded {
		slots = c.withEmptySlots(now, c.Targets(service), limits)
	}
	for _, t := range q.inServingOrder(now) {
		target, found := roster.Target{}, false
		if t.Stranded {
			target, found = c.choose(now, slots, t.Tried, limits)
		}
		if !found {
			target, found = c.choose(now, free, t.Tried, limits)
		}
		if !found {
			continue
		}
		c.admit(now, t, target)
		free, slots = c.freeTargets(now, service, free.all(), limits), c.withEmptySlots(now, slots.all(), limits)
		if free.none() && slots.none() {
			break
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool { return t.holdsSlot })
}

// inServingOrder returns the waiting requests in the order in which they get slots.
func (q *queue) inServingOrder(now time.Time) []*Ticket {
	var stranded, fresh, late []*Ticket
	for _, t := range q.waiting {
		switch {
		case t.Stranded:
			stranded = append(stranded, t)
		case t.late(now):
			late = append(late, t)
		default:
			fresh = append(fresh, t)
		}
	}
	slices.SortStableFunc(late, func(a, b *Ticket) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.Deadline.Compare(b.Deadline)
	})
	return slices.Concat(stranded, fresh, late)
}

// turnAway removes the requests that can no longer be sent in time, as the last of their targets is
// gone or takes none. They would otherwise wait until their patience is over.
func (c *Controller) turnAway(now time.Time, service string) {
	q := c.queue(service)
	if len(q.waiting) == 0 {
		return
	}
	limits, all := c.RulesFor(service), c.Targets(service)
	unrestricted := slices.DeleteFunc(slices.Clone(all), func(t roster.Target) bool { return c.restricted(now, t) })
	byTried := make(map[string]availability) // by the targets that were tried; most requests were sent to the same few
	var kept []*Ticket
	for _, t := range q.waiting {
		if slices.ContainsFunc(unrestricted, t.untried) {
			kept = append(kept, t)
			continue
		}
		tried := strings.Join(t.Tried, " ")
		o, known := byTried[tried]
		if !known {
			o = c.availability(now, c.candidates(t), limits)
			byTried[tried] = o
		}
		switch ahead := len(kept); {
		case o.targets == 0:
			t.refusal = NoTarget
			close(t.refused)
		case !o.unrestricted && o.wait(ahead) > t.Patience-now.Sub(t.arrived):
			t.RetryAfter, t.refusal = o.wait(ahead), o.verdict(ahead)
			close(t.refused)
		default:
			kept = append(kept, t)
		}
	}
	q.waiting = kept
}
