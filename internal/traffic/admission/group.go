package admission

import (
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// group is the entry's view of an expert group. Each group has a state of its own: when the state
// was kept by service, a broken group of two closed the other one, and the open group reopened the
// broken one.
type group struct {
	updatedAt   time.Time // when the last planner update arrived
	limit       int       // requests that a rank should have, as of the last planner update; 0 until then
	closedUntil time.Time // it accepts no requests until then
	unconfirmed bool      // it was closed, and has served nothing since
	slow        bool      // all that it serves is late, as of the last planner update
	openedAt    time.Time // when it was found open after it had been closed
	// progress is when this entry last had an event of one of the group's streams, in Unix
	// nanoseconds. Streams store it without the lock.
	progress *atomic.Int64

	reported, reportedOpen, reportedSlow bool // the view that was reported last
}

// GroupView is the entry's view of a group.
type GroupView struct {
	Group  roster.Group
	Open   bool
	Slow   bool
	Source string        // where the view comes from: "planner", "target" or "answer"
	Age    time.Duration // of the report it comes from
}

// reportGroup calls OnGroupChange if the view of a group has changed.
func (c *Controller) reportGroup(g *group, b GroupView) {
	if c.OnGroupChange == nil || g.reported && g.reportedOpen == b.Open && g.reportedSlow == b.Slow {
		return
	}
	g.reported, g.reportedOpen, g.reportedSlow = true, b.Open, b.Slow
	c.OnGroupChange(b)
}

// maxTargets bounds the targets that are remembered because an update names them: anybody can send updates. The largest
// planned deployment has 1,300.
const maxTargets = 8192

// unreportedKept is how long groups and targets that no planner reports are remembered.
const unreportedKept = time.Minute

// closedPause is how long a group that reported itself closed gets no request. Then one request
// finds out whether it has opened; if all waiting requests tried, they would use up their attempts.
const closedPause = 150 * time.Millisecond

func (g *group) recentlyUpdated(now time.Time) bool { return now.Sub(g.updatedAt) < updateLifetime }

// isSlow reports whether all that the group serves is late. A group that has a slow rank, or whose
// map can't follow the load, gets only the requests that find no free slot in other groups.
func (g *group) isSlow(now time.Time) bool { return g.slow && g.recentlyUpdated(now) }

const (
	// stallAfter is how long no stream may have an event until the group counts as stalled, while
	// no planner update arrives. A step takes 150 ms at the most where the pauses between events
	// are on time.
	stallAfter = 400 * time.Millisecond
	// maxStall is how long after its last planner update a group may count as stalled.
	maxStall = 5 * time.Second
)

// stalled reports whether the group seems to make no steps: its planner updates have ceased, and
// none of this entry's streams has had an event since. A frozen host may hold up its group's step;
// requests sent meanwhile would wait there, and then all ranks would read them at once.
func (g *group) stalled(now time.Time) bool {
	if g.recentlyUpdated(now) || now.Sub(g.updatedAt) > maxStall {
		return false
	}
	last := time.Unix(0, g.progress.Load())
	return now.Sub(last) > stallAfter && last.After(g.updatedAt.Add(-maxStall))
}

// accepts reports whether the group accepts requests, as far as known. A group that was closed, or
// is stalled, gets one request at a time until it has served something.
func (g *group) accepts(now time.Time, inFlight func(roster.Group) int, name roster.Group) bool {
	if now.Before(g.closedUntil) {
		return false
	}
	return !g.unconfirmed && !g.stalled(now) || inFlight(name) == 0
}

func (g *group) close(until time.Time) {
	g.closedUntil, g.unconfirmed = until, true
}

func (g *group) open(now time.Time) {
	if g.unconfirmed {
		g.openedAt = now
	}
	g.closedUntil, g.unconfirmed = time.Time{}, false
}

const (
	// openedShare is the share of a rank's usual limit that is used for a group that has just
	// opened and has no planner update yet: its experts are still in the initial round-robin
	// placement, and steps take three times as long as they will later. When the usual number of
	// requests went in, all callers that had waited were late, and the slots stayed taken for three
	// seconds.
	openedShare = 0.35
	// openedDuration is how long openedShare applies; a planner update for the group arrives within
	// half a second.
	openedDuration = time.Second
)

// rankLimit returns how many requests a rank of the group should have.
func (g *group) rankLimit(now time.Time, limits Limits) int {
	limit := limits.PerTarget
	if g.limit > 0 {
		limit = g.limit
	}
	if now.Sub(g.openedAt) < openedDuration {
		limit = max(int(openedShare*float64(limit)), 1)
	}
	return limit
}

// TargetReport is the state of one target in a planner update. The planner polls all ranks of the group.
type TargetReport struct {
	Load  int  // requests of all entries at the target
	Grant int  // request slots of this entry until the next update
	Lost  bool // its host does not respond
	Slow  bool // its whole group waits for the requests that run there
}

// GroupUpdate is a planner update for one group.
type GroupUpdate struct {
	Group   roster.Group
	Open    bool
	Slow    bool          // its steps take longer than the pauses between events that are on time
	Age     time.Duration // time since the planner polled the ranks
	Limit   int           // requests that a rank should have; 0 if the update does not state it
	Targets map[string]TargetReport
}

// ApplyUpdate applies a planner update, which describes a group's targets as they were when it was polled.
func (c *Controller) ApplyUpdate(now time.Time, l GroupUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(l.Group)
	g.updatedAt, g.slow = now, l.Slow
	c.queue(l.Group.Service).updatedAt = now
	if l.Limit > 0 {
		g.limit = l.Limit
	}
	if l.Open {
		g.open(now)
	} else {
		g.close(now.Add(updateLifetime))
	}
	c.reportGroup(g, GroupView{Group: l.Group, Open: l.Open, Slow: l.Slow, Source: "planner", Age: l.Age})
	for id, t := range l.Targets {
		if c.targets[id] == nil && len(c.targets) >= maxTargets {
			continue
		}
		s := c.state(now, roster.Target{ID: id, Service: l.Group.Service})
		s.group = l.Group
		switch {
		case l.Open:
			s.update(now, now.Add(-l.Age), t)
		case t.Lost:
			s.markLost()
		}
	}
	c.advance(now, l.Group.Service)
	c.relieve(now, l)
}

// relieve asks requests to leave the slow ranks of a group, as many as have a free slot elsewhere
// now: one that leaves and finds none would wait for longer than the slow rank takes.
func (c *Controller) relieve(now time.Time, l GroupUpdate) {
	spare := -1
	for id, report := range l.Targets {
		s := c.targets[id]
		if !report.Slow || s == nil || s.inFlight == 0 {
			continue
		}
		if spare < 0 {
			spare = c.spareSlots(now, l.Group.Service)
		}
		for t := range s.tickets {
			if spare == 0 {
				return
			}
			if t.onSlow != nil && t.onSlow() {
				t.onSlow = nil
				spare--
			}
		}
	}
}

// spareSlots returns how many requests this entry may send now to targets of a service that have a
// recent planner update and are not slow.
func (c *Controller) spareSlots(now time.Time, service string) int {
	n := 0
	limits, accepts := c.RulesFor(service), c.groupAccepts(now)
	for _, target := range c.Targets(service) {
		s := c.state(now, target)
		g := c.group(s.group)
		if !c.allows(now, target.ID, s, limits) {
			continue
		}
		if s.recentlyUpdated(now) && !s.slow && !g.isSlow(now) && !now.Before(s.avoidUntil) && accepts(s) {
			n += max(s.grant, 0)
		}
	}
	return n
}

// Sweep forgets groups that no planner reports any more, and targets that planners reported and the
// store does not list.
func (c *Controller) Sweep(now time.Time, listed func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.Sweep(now, listed)
	for name, g := range c.groups {
		if now.Sub(g.updatedAt) > unreportedKept && !now.Before(g.closedUntil) {
			delete(c.groups, name)
		}
	}
	for id, s := range c.targets {
		if s.inFlight == 0 && now.Sub(s.updatedAt) > unreportedKept && now.Sub(s.knownSince) > unreportedKept && !listed(id) {
			delete(c.targets, id)
		}
	}
}

// GroupClosed records that a target reported its group closed. Each further request would be
// refused by another rank, and its caller sent away, though the group opens again within a second
// or two most times; so the requests wait here instead.
func (c *Controller) GroupClosed(now time.Time, t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := c.state(now, t).group
	g := c.group(name)
	g.close(now.Add(closedPause))
	c.reportGroup(g, GroupView{Group: name, Slow: g.slow, Source: "target"})
}

// ResponseBegun records that a target has begun a response: its group is open, and the target may get more
// requests after a back-off.
func (c *Controller) ResponseBegun(now time.Time, t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.Served(now, t.ID)
	s := c.state(now, t)
	s.refusals = 0
	name := s.group
	g := c.group(name)
	if !g.unconfirmed {
		return
	}
	g.open(now)
	c.reportGroup(g, GroupView{Group: name, Open: true, Slow: g.slow, Source: "answer"})
	c.advance(now, t.Service)
}

// GroupOf returns the group of a target, as of the last planner update.
func (c *Controller) GroupOf(t roster.Target) roster.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.targets[t.ID]; s != nil {
		return s.group
	}
	return roster.Group{Service: t.Service}
}

// group returns the state of a group, a new one if there is none.
func (c *Controller) group(name roster.Group) *group {
	g := c.groups[name]
	if g == nil {
		g = &group{progress: new(atomic.Int64)}
		c.groups[name] = g
	}
	return g
}

// inFlight returns how many requests this entry has at a group's targets.
func (c *Controller) inFlight(name roster.Group) int {
	n := 0
	for _, s := range c.targets {
		if s.group == name {
			n += s.inFlight
		}
	}
	return n
}
