package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// freeTargets are the targets that have a free slot for one more request now.
type freeTargets struct {
	usable []roster.Target
	slow   []roster.Target // of slow groups, for requests that find no other target
}

func (v freeTargets) none() bool { return len(v.usable) == 0 && len(v.slow) == 0 }

func (v freeTargets) all() []roster.Target { return slices.Concat(v.usable, v.slow) }

// freeTargets returns those of a service's targets that have a free slot.
func (c *Controller) freeTargets(now time.Time, service string, list []roster.Target, limits Limits) freeTargets {
	plannersReport := now.Sub(c.queue(service).updatedAt) < updateLifetime
	accepts := c.groupAccepts(now)
	var free freeTargets
	for _, target := range list {
		s := c.state(now, target)
		g := c.group(s.group)
		if !accepts(s) || !s.hasFreeSlot(now, g, limits, plannersReport) || !c.allows(now, target.ID, s, limits) {
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

// groupAccepts returns a function that reports whether a target's group accepts requests. Each
// group is evaluated once, as that counts the requests of all its targets.
func (c *Controller) groupAccepts(now time.Time) func(*state) bool {
	cached := make(map[*group]bool)
	return func(s *state) bool {
		g := c.group(s.group)
		accepts, known := cached[g]
		if !known {
			accepts = g.accepts(now, c.inFlight, s.group)
			cached[g] = accepts
		}
		return accepts
	}
}

// withEmptySlots returns the targets of a service that run fewer requests than they have slots,
// whatever their planner grants. The planner grants less so that steps stay short.
func (c *Controller) withEmptySlots(now time.Time, list []roster.Target, limits Limits) freeTargets {
	accepts := c.groupAccepts(now)
	var slots freeTargets
	for _, target := range list {
		s := c.state(now, target)
		switch {
		case !s.recentlyUpdated(now), s.lost, s.slow, s.refusals > 1, now.Before(s.avoidUntil):
		case s.load(now, limits) >= target.Slots:
		case !accepts(s), !c.allows(now, target.ID, s, limits):
		case c.group(s.group).isSlow(now):
			slots.slow = append(slots.slow, target)
		default:
			slots.usable = append(slots.usable, target)
		}
	}
	return slots
}

// choose returns a target with a free slot for a request that was sent to the tried targets before.
func (c *Controller) choose(now time.Time, free freeTargets, tried []string, limits Limits) (roster.Target, bool) {
	if target, found := c.leastLoaded(now, free.usable, tried, limits); found {
		return target, true
	}
	return c.leastLoaded(now, free.slow, tried, limits)
}

// leastLoaded returns one of the targets with the fewest requests. All entries receive the same
// planner updates; so that they don't all send to the same target until the next update, one more
// request than the fewest counts as few.
func (c *Controller) leastLoaded(now time.Time, list []roster.Target, tried []string, limits Limits) (roster.Target, bool) {
	fewest := math.MaxInt
	for _, target := range list {
		if !slices.Contains(tried, target.ID) {
			fewest = min(fewest, c.state(now, target).load(now, limits))
		}
	}
	best, seen := roster.Target{}, 0
	for _, target := range list {
		if slices.Contains(tried, target.ID) || c.state(now, target).load(now, limits) > fewest+1 {
			continue
		}
		seen++
		if rand.N(seen) == 0 {
			best = target
		}
	}
	return best, seen > 0
}
