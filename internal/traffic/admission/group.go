package admission

import (
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// group is what the entry knows of an expert group. Each has a state of its own: when it
// was kept by service, a broken group of two shut the other, and an open one opened the
// broken.
type group struct {
	toldAt      time.Time // when its planner told of it last
	limit       int       // requests that a rank should have, as was told last; 0 until then
	closedUntil time.Time // it takes no requests until then
	doubtful    bool      // it was closed, and has served nothing since
	slow        bool      // all that it serves is late, as was told last
	opened      time.Time // when it was found open after it was closed
	// progress is when this entry had an event of one of its streams last, in Unix nanoseconds.
	// Streams note it without the lock.
	progress *atomic.Int64

	believed, wasOpen, wasSlow bool // what was told of it last
}

// Belief is what the entry takes a group for.
type Belief struct {
	Group  roster.Group
	Open   bool
	Slow   bool
	Source string        // who said so: "planner", "target" or "answer"
	Age    time.Duration // of what was said
}

// believe tells of a change of belief, once for each.
func (c *Controller) believe(g *group, b Belief) {
	if c.Believes == nil || g.believed && g.wasOpen == b.Open && g.wasSlow == b.Slow {
		return
	}
	g.believed, g.wasOpen, g.wasSlow = true, b.Open, b.Slow
	c.Believes(b)
}

// untoldKept is how long groups and targets are remembered that nobody tells of.
const untoldKept = time.Minute

// closedPause is how long a group that said that it is closed gets no request. Then one
// finds out whether it has opened; if all that wait did, they would use up their tries.
const closedPause = 150 * time.Millisecond

func (g *group) toldLately(now time.Time) bool { return now.Sub(g.toldAt) < toldLasts }

// isSlow tells whether all that the group serves is late. One that has a slow rank, or a
// map that can't follow, is used only for what the others have no place for.
func (g *group) isSlow(now time.Time) bool { return g.slow && g.toldLately(now) }

const (
	// stallAfter is how long no stream may have an event until the group counts as stalled,
	// while no planner tells. Passes take 150 ms at the most where pauses are on time.
	stallAfter = 400 * time.Millisecond
	// stallLasts bounds for how long after its planner's last word that is believed.
	stallLasts = 5 * time.Second
)

// stalled tells whether the group stands still: its planner has ceased to tell of it, and none of
// this entry's streams has had an event since. A host that stands still may hold its pass; what
// is sent there meanwhile waits, and then all ranks read it at once.
func (g *group) stalled(now time.Time) bool {
	if g.toldLately(now) || now.Sub(g.toldAt) > stallLasts {
		return false
	}
	last := time.Unix(0, g.progress.Load())
	return now.Sub(last) > stallAfter && last.After(g.toldAt.Add(-stallLasts))
}

// takes tells whether the group takes requests, as far as known. One that was closed, or stands
// still, gets one request at a time until it has served something.
func (g *group) takes(now time.Time, inFlight func(roster.Group) int, name roster.Group) bool {
	if now.Before(g.closedUntil) {
		return false
	}
	return !g.doubtful && !g.stalled(now) || inFlight(name) == 0
}

func (g *group) close(until time.Time) {
	g.closedUntil, g.doubtful = until, true
}

func (g *group) open(now time.Time) {
	if g.doubtful {
		g.opened = now
	}
	g.closedUntil, g.doubtful = time.Time{}, false
}

const (
	// openedShare is the part of a rank's usual limit that is used of a group that has
	// opened and that no planner tells of yet: its experts are where they were placed in
	// turn, and passes take three times as long as they will. When the usual number went
	// in, all callers that had waited were late, and the places taken for three seconds.
	openedShare = 0.35
	// openedLasts is how long; a planner tells of the group within half a second.
	openedLasts = time.Second
)

// most is how many requests a rank of the group should have.
func (g *group) most(now time.Time, rules Rules) int {
	limit := rules.PerTarget
	if g.limit > 0 {
		limit = g.limit
	}
	if now.Sub(g.opened) < openedLasts {
		limit = max(int(openedShare*float64(limit)), 1)
	}
	return limit
}

// Told is how full a target is, from one that looks at all of its group.
type Told struct {
	Load  int  // requests of all entries
	Grant int  // that this entry may send until it is told again
	Lost  bool // its host does not answer
	Slow  bool // its whole group waits for what runs there
}

// Look is what a group's planner tells of it.
type Look struct {
	Group   roster.Group
	Open    bool
	Slow    bool          // its passes take longer than the pauses that are on time
	Age     time.Duration // since the planner looked
	Limit   int           // requests that a rank should have; 0 if that is not told
	Targets map[string]Told
}

// Told takes how full the targets of a group were some time ago.
func (c *Controller) Told(now time.Time, l Look) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(l.Group)
	g.toldAt, g.slow = now, l.Slow
	c.queue(l.Group.Service).toldAt = now
	if l.Limit > 0 {
		g.limit = l.Limit
	}
	if l.Open {
		g.open(now)
	} else {
		g.close(now.Add(toldLasts))
	}
	c.believe(g, Belief{Group: l.Group, Open: l.Open, Slow: l.Slow, Source: "planner", Age: l.Age})
	for id, t := range l.Targets {
		s := c.state(now, roster.Target{ID: id, Service: l.Group.Service})
		s.group = l.Group
		switch {
		case l.Open:
			s.tell(now, now.Add(-l.Age), t)
		case t.Lost:
			s.lose()
		}
	}
	c.advance(now, l.Group.Service)
	c.relieve(now, l)
}

// relieve has requests leave the slow ranks of a group, as many as have a place elsewhere
// now: one that leaves and finds none would wait for longer than the slow rank takes.
func (c *Controller) relieve(now time.Time, l Look) {
	places := -1
	for id, told := range l.Targets {
		s := c.targets[id]
		if !told.Slow || s == nil || s.inFlight == 0 {
			continue
		}
		if places < 0 {
			places = c.places(now, l.Group.Service)
		}
		for t := range s.held {
			if places == 0 {
				return
			}
			if t.leave != nil && t.leave() {
				t.leave = nil
				places--
			}
		}
	}
}

// places is how many requests this entry may send now to targets of a service that are
// told of and not slow.
func (c *Controller) places(now time.Time, service string) int {
	n := 0
	rules, takes := c.RulesFor(service), c.taking(now)
	for _, target := range c.Targets(service) {
		s := c.state(now, target)
		g := c.group(s.group)
		if !c.allows(now, target.ID, s, rules) {
			continue
		}
		if s.toldLately(now) && !s.slow && !g.isSlow(now) && !now.Before(s.avoid) && takes(s) {
			n += max(s.grant, 0)
		}
	}
	return n
}

// Sweep forgets groups that nobody tells of any more, and targets that planners told of
// and the store does not list.
func (c *Controller) Sweep(now time.Time, listed func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.Sweep(now, listed)
	for name, g := range c.groups {
		if now.Sub(g.toldAt) > untoldKept && !now.Before(g.closedUntil) {
			delete(c.groups, name)
		}
	}
	for id, s := range c.targets {
		if s.inFlight == 0 && now.Sub(s.toldAt) > untoldKept && now.Sub(s.known) > untoldKept && !listed(id) {
			delete(c.targets, id)
		}
	}
}

// GroupClosed takes a target's word that its group takes no requests. Each further one
// would be refused by another rank, and its caller sent away, though the group opens
// again within a second or two most times; they wait here instead.
func (c *Controller) GroupClosed(now time.Time, t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := c.state(now, t).group
	g := c.group(name)
	g.close(now.Add(closedPause))
	c.believe(g, Belief{Group: name, Slow: g.slow, Source: "target"})
}

// Serves takes note that a target has begun an answer: its group is open, and the target takes
// more after a rest.
func (c *Controller) Serves(now time.Time, t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.Served(now, t.ID)
	s := c.state(now, t)
	s.refusals = 0
	name := s.group
	g := c.group(name)
	if !g.doubtful {
		return
	}
	g.open(now)
	c.believe(g, Belief{Group: name, Open: true, Slow: g.slow, Source: "answer"})
	c.advance(now, t.Service)
}

// GroupOf returns the group of a target, as it was told last.
func (c *Controller) GroupOf(t roster.Target) roster.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.targets[t.ID]; s != nil {
		return s.group
	}
	return roster.Group{Service: t.Service}
}

// group returns what is known of a group.
func (c *Controller) group(name roster.Group) *group {
	g := c.groups[name]
	if g == nil {
		g = &group{progress: new(atomic.Int64)}
		c.groups[name] = g
	}
	return g
}

// inFlight is how many requests this entry has at a group's targets.
func (c *Controller) inFlight(name roster.Group) int {
	n := 0
	for _, s := range c.targets {
		if s.group == name {
			n += s.inFlight
		}
	}
	return n
}
