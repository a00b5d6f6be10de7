package companion

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
	"wagtailshelf.example/wagtailshelf/platform"
)

// following is what a sidecar knows of the planners of one group.
type following struct {
	term    int64     // of the newest that asked
	planner int       // its rank
	asked   time.Time // when it did last
	heard   time.Time // the same, or when the sidecar's patience began anew
	// holder is the position of the duty's record as it was read last.
	holder position.Position
}

// termLasts is how long an earlier planner is not followed after a later one. It may have
// stood still, and wakes with what it knew. A store that came back from a copy and doesn't
// say so gives later planners lower terms: without an end to it, a group would have none.
const termLasts = 5 * time.Second

// keptGroups bounds how many groups a sidecar remembers. A rank is in one group at a
// time, and may be in another after its server has started again.
const keptGroups = 8

// joins takes the group that the engine says it is in. A sidecar follows the planner of
// that group only: where a service has two, their planners ask the same sidecars while
// they look for their ranks. When each sidecar followed the newest of them all, the two
// deposed each other once a second, and each group had no planner half of the time.
func (c *Companion) joins(now time.Time, group roster.GroupName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if group == c.own {
		return
	}
	before := c.following().heard
	c.log.Info().Str("event", "group").Str("group", string(group)).Str("before", string(c.own)).Msg("")
	first := c.own == ""
	c.own = group
	f := c.following()
	f.heard = now // its planner gets time to ask
	if first {
		f.heard = before // it had that since this process began
	}
}

// isGrouped tells whether the engine has said which group it is in.
func (c *Companion) isGrouped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own != ""
}

// following returns what is known of the planners of the own group. The caller holds the
// lock.
func (c *Companion) following() *following {
	f := c.groups[c.own]
	if f != nil {
		return f
	}
	if len(c.groups) >= keptGroups {
		clear(c.groups)
	}
	f = &following{}
	c.groups[c.own] = f
	return f
}

// follow tells whether a planner is the newest of the own group that has asked, and the
// newest term. The term is 0 for a planner of another group: it has nothing to order here,
// and is not superseded either.
func (c *Companion) follow(a rankport.Asker, now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Group != c.own {
		return 0, false
	}
	f := c.following()
	if a.Term < f.term && now.Sub(f.asked) < termLasts {
		return f.term, false
	}
	if a.Term != f.term {
		c.log.Info().Str("event", "planner").Str("group", string(a.Group)).Str("planner", a.Name).Int64("term", a.Term).Int64("before", f.term).Msg("")
	}
	f.term, f.planner, f.asked, f.heard = a.Term, a.Rank, now, now
	return f.term, true
}

// silence is how long no planner of the own group has asked, and the rank beside which
// the last one ran.
func (c *Companion) silence(now time.Time) (waited time.Duration, planner int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.following()
	if f.heard.IsZero() {
		f.heard = now
	}
	return now.Sub(f.heard), f.planner
}

// wait begins the sidecar's patience anew.
func (c *Companion) wait(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.following().heard = now
}

// lately is how long after it took the duty a holder may not have asked here yet. Clocks
// of hosts differ by seconds; a record older than that is of a holder that is gone.
const lately = 10 * time.Second

// takenLately tells whether the record shows a new holder that this sidecar has neither
// heard from nor seen there before. That one gets time to ask.
func (c *Companion) takenLately(now time.Time, was platform.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.following()
	isNew := was.Position.Term() > f.term && f.holder.Before(was.Position) && now.Sub(was.Taken).Abs() < lately
	if f.holder.Before(was.Position) {
		f.holder = was.Position
	}
	return isNew
}
