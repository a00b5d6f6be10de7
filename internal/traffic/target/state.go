package target

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// never is a time that no suspension lasts to.
const never = time.Duration(1<<63 - 1)

// The ring of slots remembers when the entry sent work, so that a report that
// was measured earlier can be completed by what was sent since.
const (
	slotWidth = 100 * time.Millisecond
	slotCount = 32
)

// slot holds the tokens sent in one interval of slotWidth.
type slot struct {
	number int64
	tokens int64
}

// state is what an entry knows about a target. Times are since the chooser's
// epoch.
type state struct {
	Candidate
	removed bool // no longer listed
	placed  bool // on a side

	key      uint64  // hash of the name
	relative float64 // weight over the greatest of its side

	refusedUntil time.Duration
	failures     int  // in a row
	ejected      bool // counted in Chooser.ejected

	reported    bool
	measuredAt  time.Duration // when the last report was measured
	outstanding int64         // tokens, as reported
	perToken    float64       // seconds that the target takes for a token, as reported
	perStream   float64       // seconds that each request takes for a token; zero if unknown
	inFlight    int           // attempts of this entry
	own         int64         // tokens of this entry in flight
	since       int64         // of these, sent after measuredAt
	sent        [slotCount]slot
}

// blockedUntil returns when the target may take work again: never if it is
// leaving, suspended or gone.
func (s *state) blockedUntil() time.Duration {
	if s.removed || s.Leaving || s.Suspended || s.Weight <= 0 {
		return never
	}
	return s.refusedUntil
}

// eligible reports whether the target may get the request.
func (s *state) eligible(at time.Duration, cfg *Config, q *Query) bool {
	if at < s.blockedUntil() {
		return false
	}
	// A target that failed several times gets one request at a time until it
	// answers one. Else each end of its time out would cost a burst of failures,
	// since a target without work looks like the best choice.
	if s.failures >= cfg.EjectAfter && s.inFlight > 0 {
		return false
	}
	return !s.tried(q)
}

// tried reports whether an earlier attempt of the request went to the target.
func (s *state) tried(q *Query) bool {
	for _, name := range q.Tried {
		if name == s.Name {
			return true
		}
	}
	return false
}

// start accounts for an attempt that begins.
func (s *state) start(at time.Duration, tokens int64) {
	s.inFlight++
	s.own += tokens
	s.since += tokens
	n := int64(at / slotWidth)
	sl := &s.sent[n%slotCount]
	if sl.number != n {
		*sl = slot{number: n}
	}
	sl.tokens += tokens
}

// finish accounts for an attempt that began at started and has ended.
func (s *state) finish(started time.Duration, tokens int64) {
	s.inFlight--
	s.own -= tokens
	s.since = min(s.since, max(0, s.own))
	n := int64(started / slotWidth)
	sl := &s.sent[n%slotCount]
	if sl.number != n {
		return
	}
	sl.tokens -= tokens
	if n >= int64(s.measuredAt/slotWidth) {
		s.since = max(0, s.since-tokens)
	}
}

// sentSince returns the tokens that were sent after the given time and are
// still in flight, to the accuracy of a slot.
func (s *state) sentSince(from time.Duration) int64 {
	first := int64(from / slotWidth)
	var sum int64
	for i := range s.sent {
		if s.sent[i].number >= first {
			sum += s.sent[i].tokens
		}
	}
	return min(sum, s.own)
}

// renew turns the state over to a new life of the target's sidecar, which has
// none of the old one's work. Whether it is leaving is not for a report of load
// to say; see [Chooser.Resume].
func (s *state) renew(inc host.Incarnation) {
	s.Incarnation = inc
	s.refusedUntil = 0
	s.failures = 0
	s.reported = false
}
