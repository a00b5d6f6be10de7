package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// vacancies are the targets that have a place for one more request now.
type vacancies struct {
	usable []roster.Target
	slow   []roster.Target // of slow groups, for requests that have no other
}

func (v vacancies) none() bool { return len(v.usable) == 0 && len(v.slow) == 0 }

func (v vacancies) all() []roster.Target { return slices.Concat(v.usable, v.slow) }

// vacancies returns those of a service's targets that have a place.
func (c *Controller) vacancies(now time.Time, service string, list []roster.Target, rules Rules) vacancies {
	told := now.Sub(c.queue(service).toldAt) < toldLasts
	takes := c.taking(now)
	var free vacancies
	for _, target := range list {
		s := c.state(now, target)
		g := c.group(s.group)
		if !takes(s) || !s.free(now, g, rules, told) || !c.allows(now, target.ID, s, rules) {
			continue
		}
		if g.isSlow(now) {
			free.slow = append(free.slow, target)
			continue
		}
		free.usable = append(free.usable, target)
	}
	return free
}

// taking returns what tells whether a target's group takes requests. Each group is asked once, as it
// counts the requests of all its targets for that.
func (c *Controller) taking(now time.Time) func(*state) bool {
	asked := make(map[*group]bool)
	return func(s *state) bool {
		g := c.group(s.group)
		takes, known := asked[g]
		if !known {
			takes = g.takes(now, c.inFlight, s.group)
			asked[g] = takes
		}
		return takes
	}
}

// withSlots are the targets of a service that have an empty slot, whatever their planner grants. It
// grants less so that passes stay short.
func (c *Controller) withSlots(now time.Time, list []roster.Target, rules Rules) vacancies {
	takes := c.taking(now)
	var slots vacancies
	for _, target := range list {
		s := c.state(now, target)
		switch {
		case !s.toldLately(now), s.lost, s.slow, s.refusals > 1, now.Before(s.avoid):
		case s.load(now, rules) >= target.Slots:
		case !takes(s), !c.allows(now, target.ID, s, rules):
		case c.group(s.group).isSlow(now):
			slots.slow = append(slots.slow, target)
		default:
			slots.usable = append(slots.usable, target)
		}
	}
	return slots
}

// choose returns a target with a place for a request that was sent to some targets before.
func (c *Controller) choose(now time.Time, free vacancies, tried []string, rules Rules) (roster.Target, bool) {
	if target, found := c.leastLoaded(now, free.usable, tried, rules); found {
		return target, true
	}
	return c.leastLoaded(now, free.slow, tried, rules)
}

// leastLoaded returns one of the targets with the fewest requests. All entries are told the
// same; so that they don't all send to the same target until they are told again, one more
// request than the fewest counts as few.
func (c *Controller) leastLoaded(now time.Time, list []roster.Target, tried []string, rules Rules) (roster.Target, bool) {
	fewest := math.MaxInt
	for _, target := range list {
		if !slices.Contains(tried, target.ID) {
			fewest = min(fewest, c.state(now, target).load(now, rules))
		}
	}
	best, seen := roster.Target{}, 0
	for _, target := range list {
		if slices.Contains(tried, target.ID) || c.state(now, target).load(now, rules) > fewest+1 {
			continue
		}
		seen++
		if rand.N(seen) == 0 {
			best = target
		}
	}
	return best, seen > 0
}
