package companion

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
	"wagtailshelf.example/wagtailshelf/platform"
)

// plannerView is a sidecar's view of the planners of one group.
type plannerView struct {
	term         int64     // term of the planner that was accepted last
	rank         int       // rank of that planner
	lastPoll     time.Time // when that planner last polled or sent an order
	waitingSince time.Time // the same, or when plannerTimeout was restarted
	// recordPosition is the latest position at which the leadership record was read.
	recordPosition position.Position
}

// termPrecedence is how long a planner of a lower term is refused after one of a higher term
// has polled or sent an order. The refused one may have been frozen and acts on an outdated view. A store that
// was restored from a backup and doesn't report that gives later planners lower terms: without
// this limit, such a group would have no planner.
const termPrecedence = 5 * time.Second

// maxGroups bounds how many groups a sidecar remembers. A rank is in one group at a
// time, and may be in another after its server has restarted.
const maxGroups = 8

// setOwnGroup records the group in the engine's report. A sidecar accepts the planner of that
// group only: if a service has two groups, their planners poll the same sidecars to find their
// ranks. When each sidecar accepted the newest planner of all groups, the two deposed each
// other once a second, and each group had no planner half of the time.
func (c *Companion) setOwnGroup(now time.Time, group roster.GroupName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if group == c.ownGroup {
		return
	}
	before := c.ownPlanner().waitingSince
	c.log.Info().Str("event", "group").Str("group", string(group)).Str("before", string(c.ownGroup)).Msg("")
	first := c.ownGroup == ""
	c.ownGroup = group
	v := c.ownPlanner()
	v.waitingSince = now // gives the group's planner time to poll
	if first {
		v.waitingSince = before // the planner has had that time since this process started
	}
}

// knowsGroup reports whether the engine has reported its group.
func (c *Companion) knowsGroup() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownGroup != ""
}

// ownPlanner returns the view of the planners of the own group. The caller holds c.mu.
func (c *Companion) ownPlanner() *plannerView {
	v := c.planners[c.ownGroup]
	if v != nil {
		return v
	}
	if len(c.planners) >= maxGroups {
		clear(c.planners)
	}
	v = &plannerView{}
	c.planners[c.ownGroup] = v
	return v
}

// acceptPlanner reports whether this sidecar accepts a planner as the newest one of the own
// group, and returns the newest term. The term is 0 for a planner of another group: it may send
// no orders here, but is not superseded either.
func (c *Companion) acceptPlanner(a rankport.Planner, now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Group != c.ownGroup {
		return 0, false
	}
	v := c.ownPlanner()
	if a.Term < v.term && now.Sub(v.lastPoll) < termPrecedence {
		return v.term, false
	}
	if a.Term != v.term {
		c.log.Info().Str("event", "planner").Str("group", string(a.Group)).Str("planner", a.Name).Int64("term", a.Term).Int64("before", v.term).Msg("")
	}
	v.term, v.rank, v.lastPoll, v.waitingSince = a.Term, a.Rank, now, now
	return v.term, true
}

// plannerSilence returns how long no planner of the own group has polled or sent an order, and
// the rank of the last planner.
func (c *Companion) plannerSilence(now time.Time) (waited time.Duration, planner int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.ownPlanner()
	if v.waitingSince.IsZero() {
		v.waitingSince = now
	}
	return now.Sub(v.waitingSince), v.rank
}

// resetPlannerTimeout restarts the time after which the sidecar seeks the leadership itself.
func (c *Companion) resetPlannerTimeout(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownPlanner().waitingSince = now
}

// newHolderGrace is how long after it acquired the leadership a holder may not have polled this
// sidecar yet. Clocks of hosts differ by seconds; the holder in an older record is gone.
const newHolderGrace = 10 * time.Second

// isNewHolder reports whether the leadership record shows a recent holder that has not polled
// this sidecar and that no earlier call has seen. Such a holder is given time to poll.
func (c *Companion) isNewHolder(now time.Time, record platform.LeadershipRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.ownPlanner()
	isNew := record.Position.Term() > v.term && v.recordPosition.Before(record.Position) && now.Sub(record.Taken).Abs() < newHolderGrace
	if v.recordPosition.Before(record.Position) {
		v.recordPosition = record.Position
	}
	return isNew
}
