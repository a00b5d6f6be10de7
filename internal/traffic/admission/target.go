package admission

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// state is the entry's view of a target.
type state struct {
	group        roster.Group // as of the last planner update; without a name until then
	knownSince   time.Time    // when the entry first knew of the target
	gone         bool         // the store does not list it any more
	inFlight     int
	work         float64 // of the requests in flight, in tokens
	reportedLoad int     // requests of all entries there, as of the last planner update
	grant        int     // requests that may be sent until the next planner update
	updatedAt    time.Time
	loadChange   int         // requests sent since the update, less those that ended
	recentSends  []time.Time // of the last requests, back to those that a planner update may not include
	lost         bool        // its host does not respond, as of the last planner update
	slow         bool        // its group waits for it, as of the last planner update
	tickets      map[*Ticket]bool
	avoidUntil   time.Time
	failures     int
	refusals     int             // in a row
	lastRefusal  time.Time       // when the last of them came
	limit        ratelimit.Limit // named by the target
}

// notifyLost notifies the requests at a target that its host does not respond. Their callers see no
// event until the host is back; those that may be sent again go elsewhere now.
func (s *state) notifyLost() {
	for t := range s.tickets {
		if t.onLost != nil {
			t.onLost()
		}
	}
}

// maxRecentSends bounds how many send times are kept for a target: entries send a few requests in
// the half second that a planner update may be old.
const maxRecentSends = 32

// updateLifetime is how long a planner update counts. Updates come ten times a second; after this
// time the planner is gone, and the entry goes by its own requests.
const updateLifetime = 700 * time.Millisecond

func (s *state) recentlyUpdated(now time.Time) bool { return now.Sub(s.updatedAt) < updateLifetime }

// update applies a planner update on the target.
func (s *state) update(now, polled time.Time, t TargetReport) {
	// The poll does not include requests that were sent after it.
	s.recentSends = slices.DeleteFunc(s.recentSends, polled.After)
	s.reportedLoad, s.grant, s.updatedAt, s.loadChange = t.Load+len(s.recentSends), t.Grant-len(s.recentSends), now, 0
	if t.Lost {
		s.markLost()
	}
	s.lost, s.slow = t.Lost, t.Slow
}

// markLost records that the target's host does not respond.
func (s *state) markLost() {
	if !s.lost {
		s.notifyLost()
	}
	s.lost = true
}

// load returns how many requests of all entries a target has: the reported number and what this
// entry changed since, or, without a recent planner update, as many of each other entry as of this
// one.
func (s *state) load(now time.Time, limits Limits) int {
	if s.recentlyUpdated(now) {
		return max(s.reportedLoad+s.loadChange, s.inFlight)
	}
	return s.inFlight * max(limits.Entries, 1)
}

const (
	// unreportedPause is how long a target gets nothing once its group's planner has ceased to
	// report it: the server has started again, and its earlier incarnation is still listed, for
	// three heartbeats and a watch at the most. Each request sent there is a wasted attempt.
	unreportedPause = 6 * time.Second
	// joinPause is how long a new target gets nothing where planners report others: its group may
	// be closed. While a group is closed, its planner reads the list of servers every half second.
	joinPause = 1500 * time.Millisecond
)

// noteRefusal records that the target turned away a request that was sent at the given time.
func (s *state) noteRefusal(now, sent time.Time) {
	if s.refusals == 0 || sent.After(s.lastRefusal) { // otherwise it was in flight when another was refused
		s.refusals++
	}
	s.lastRefusal = now
	s.avoidUntil = now.Add(min(AvoidRefused<<min(s.refusals-1, 5), avoidRefusedMost))
}

// hasFreeSlot reports whether a target may get one more request. The flag plannersReport is set
// while planners send updates for some of the service's groups.
func (s *state) hasFreeSlot(now time.Time, g *group, limits Limits, plannersReport bool) bool {
	switch {
	case now.Before(s.avoidUntil), s.refusals > 1 && s.inFlight > 0:
		return false
	case s.recentlyUpdated(now):
		return s.grant > 0
	case g.recentlyUpdated(now) && now.Sub(s.updatedAt) < unreportedPause:
		return false
	case plannersReport && s.updatedAt.IsZero() && now.Sub(s.knownSince) < joinPause:
		return false
	}
	return s.load(now, limits) < g.rankLimit(now, limits)
}

// state returns the state of a target, a new one if there is none.
func (c *Controller) state(now time.Time, t roster.Target) *state {
	s := c.targets[t.ID]
	if s == nil {
		s = &state{group: roster.Group{Service: t.Service}, knownSince: now, tickets: make(map[*Ticket]bool)}
		c.targets[t.ID] = s
	}
	return s
}
