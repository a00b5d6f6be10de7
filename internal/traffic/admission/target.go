package admission

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// state is what the entry knows of a target.
type state struct {
	group    roster.Group // as was told last; without a name until then
	known    time.Time    // since when
	gone     bool         // it is not listed any more
	inFlight int
	work     float64 // of the requests in flight, in tokens
	told     int     // requests of all entries there, as was told last
	grant    int     // requests that may be sent until more is told
	toldAt   time.Time
	since    int         // requests sent since, less those that ended
	sent     []time.Time // of the last requests, back to what a telling may not show
	lost     bool        // its host does not answer, as was told last
	slow     bool        // its group waits for it, as was told last
	held     map[*Ticket]bool
	avoid    time.Time
	failures int
	refusals int             // in a row
	refusal  time.Time       // when the last of them came
	limit    ratelimit.Limit // that the target named
}

// abort tells the requests at a target that its host does not answer. Their callers see
// no event until the host is back; those that may be sent again go elsewhere now.
func (s *state) abort() {
	for t := range s.held {
		if t.lost != nil {
			t.lost()
		}
	}
}

// mostSent bounds the memory of when requests were sent to a target: entries send a
// few in the half second that a telling may be old.
const mostSent = 32

// toldLasts is how long a told load counts. It comes ten times a second; past that
// its teller is gone, and the entry goes by its own requests.
const toldLasts = 700 * time.Millisecond

func (s *state) toldLately(now time.Time) bool { return now.Sub(s.toldAt) < toldLasts }

// tell takes what was told of the target.
func (s *state) tell(now, looked time.Time, t Told) {
	// What was sent after the look is not in it yet.
	s.sent = slices.DeleteFunc(s.sent, looked.After)
	s.told, s.grant, s.toldAt, s.since = t.Load+len(s.sent), t.Grant-len(s.sent), now, 0
	if t.Lost {
		s.lose()
	}
	s.lost, s.slow = t.Lost, t.Slow
}

// lose takes note that the target's host does not answer.
func (s *state) lose() {
	if !s.lost {
		s.abort()
	}
	s.lost = true
}

// load is how many requests a target has, of all entries: as was told and changed
// since by this one, or as many of each other entry as of this one.
func (s *state) load(now time.Time, rules Rules) int {
	if s.toldLately(now) {
		return max(s.told+s.since, s.inFlight)
	}
	return s.inFlight * max(rules.Entries, 1)
}

const (
	// leftFor is how long a target gets nothing that its group's planner has ceased to
	// tell of: the server has started again, and its earlier life is still listed, for
	// three heartbeats and a watch at the most. Each request sent there is a try lost.
	leftFor = 6 * time.Second
	// joinTime is how long a target that is new gets nothing where planners tell of
	// others: its group may be closed. A planner reads the list every half second while
	// its group is.
	joinTime = 1500 * time.Millisecond
)

// refused takes note that the target turned a request away that was sent at some time.
func (s *state) refused(now, sent time.Time) {
	if s.refusals == 0 || sent.After(s.refusal) { // else it was under way when another was refused
		s.refusals++
	}
	s.refusal = now
	s.avoid = now.Add(min(AvoidRefused<<min(s.refusals-1, 5), avoidRefusedMost))
}

// free tells whether a target may get one more request. Told says that planners tell of
// some of the service's groups.
func (s *state) free(now time.Time, g *group, rules Rules, told bool) bool {
	switch {
	case now.Before(s.avoid), s.refusals > 1 && s.inFlight > 0:
		return false
	case s.toldLately(now):
		return s.grant > 0
	case g.toldLately(now) && now.Sub(s.toldAt) < leftFor:
		return false
	case told && s.toldAt.IsZero() && now.Sub(s.known) < joinTime:
		return false
	}
	return s.load(now, rules) < g.most(now, rules)
}

// state returns what is known of a target.
func (c *Controller) state(now time.Time, t roster.Target) *state {
	s := c.targets[t.ID]
	if s == nil {
		s = &state{group: roster.Group{Service: t.Service}, known: now, held: make(map[*Ticket]bool)}
		c.targets[t.ID] = s
	}
	return s
}
