package admission

import (
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// queue holds the requests for a service that wait for a target.
type queue struct {
	waiting  []*Ticket
	arrivals int
	toldAt   time.Time // when a planner told of one of the service's groups last
}

func (c *Controller) queue(service string) *queue {
	q := c.services[service]
	if q == nil {
		q = &queue{}
		c.services[service] = q
	}
	return q
}

// place is where in the queue a request belongs: behind those of its priority.
func (q *queue) place(t *Ticket) int {
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *Ticket) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		if a.arrived.After(b.arrived) {
			return 1
		}
		return -1 // those that came in the same moment keep their order
	})
	return at
}

// advance gives free places to those who wait: first to the stranded, then to those who can
// still be on time, in the order of the queue, then to the others by the time that they have left.
// Of these the ones that were refused before have least, and would not come back once more.
//
// The stranded, a few at a time, also get slots beyond what planners grant: their callers would
// leave before a place is free.
//
// The targets are looked through once for all that wait, and again for each place that is given.
// A look for each request that was sent to a target before would use an entry's share of a core up
// as a group closes, and it would take no connection for seconds.
func (c *Controller) advance(now time.Time, service string) {
	q, rules := c.queue(service), c.RulesFor(service)
	if len(q.waiting) == 0 {
		return
	}
	free := c.vacancies(now, service, c.Targets(service), rules)
	stranded := slices.ContainsFunc(q.waiting, func(t *Ticket) bool { return t.Stranded })
	if free.none() && !stranded {
		return
	}
	var slots vacancies
	if stranded {
		slots = c.withSlots(now, c.Targets(service), rules)
	}
	for _, t := range q.inTurn(now) {
		target, found := roster.Target{}, false
		if t.Stranded {
			target, found = c.choose(now, slots, t.Tried, rules)
		}
		if !found {
			target, found = c.choose(now, free, t.Tried, rules)
		}
		if !found {
			continue
		}
		c.grant(now, t, target)
		free, slots = c.vacancies(now, service, free.all(), rules), c.withSlots(now, slots.all(), rules)
		if free.none() && slots.none() {
			break
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool { return t.held })
}

// inTurn returns those who wait in the order in which they get places.
func (q *queue) inTurn(now time.Time) []*Ticket {
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
