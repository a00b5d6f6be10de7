package target

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// never is later than the end of any back-off or ejection.
const never = time.Duration(1<<63 - 1)

// The ring of intervals records when the entry sent work, so that the work sent since
// a report was measured can be added to the report.
const (
	intervalLength = 100 * time.Millisecond
	intervalCount  = 32
)

// interval holds the tokens sent in one interval of intervalLength.
type interval struct {
	number int64 // time since the epoch in units of intervalLength
	tokens int64
}

// state is an entry's view of a target. Times are relative to the chooser's epoch.
type state struct {
	Candidate
	removed  bool // no longer listed
	assigned bool // assigned to a side

	key            uint64  // hash of the name
	relativeWeight float64 // weight divided by the greatest weight of the side

	refusedUntil time.Duration
	failures     int  // consecutive failures
	ejected      bool // counted in Chooser.ejected

	reported         bool
	measuredAt       time.Duration // when the last report was measured
	outstanding      int64         // tokens, as reported
	tokenTime        float64       // seconds per token of the target, as reported
	requestTokenTime float64       // seconds per token of a single request; zero if unknown
	inFlight         int           // attempts of this entry
	ownTokens        int64         // tokens of this entry in flight
	sentSinceReport  int64         // of these, tokens sent after measuredAt
	sentIntervals    [intervalCount]interval
}

// blockedUntil returns when the target may get work again: never if it is leaving,
// suspended, no longer listed or of weight zero.
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
	// A target that failed EjectAfter times gets one request at a time until it
	// responds to one. Otherwise each end of an ejection would cost a burst of
	// failures, since a target without work looks like the best choice.
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

// start records an attempt that begins.
func (s *state) start(at time.Duration, tokens int64) {
	s.inFlight++
	s.ownTokens += tokens
	s.sentSinceReport += tokens
	n := int64(at / intervalLength)
	sent := &s.sentIntervals[n%intervalCount]
	if sent.number != n {
		*sent = interval{number: n}
	}
	sent.tokens += tokens
}

// finish records the end of an attempt that began at started.
func (s *state) finish(started time.Duration, tokens int64) {
	s.inFlight--
	s.ownTokens -= tokens
	s.sentSinceReport = min(s.sentSinceReport, max(0, s.ownTokens))
	n := int64(started / intervalLength)
	sent := &s.sentIntervals[n%intervalCount]
	if sent.number != n {
		return
	}
	sent.tokens -= tokens
	if n >= int64(s.measuredAt/intervalLength) {
		s.sentSinceReport = max(0, s.sentSinceReport-tokens)
	}
}

// sentSince returns the tokens that were sent after the given time and are
// still in flight, to the accuracy of an interval.
func (s *state) sentSince(from time.Duration) int64 {
	first := int64(from / intervalLength)
	var sum int64
	for i := range s.sentIntervals {
		if s.sentIntervals[i].number >= first {
			sum += s.sentIntervals[i].tokens
		}
	}
	return min(sum, s.ownTokens)
}

// reset prepares the state for a new incarnation of the target's sidecar, which has
// none of the work of the earlier one. It keeps Leaving, which a load report must not
// change; see [Chooser.Resume].
func (s *state) reset(inc host.Incarnation) {
	s.Incarnation = inc
	s.refusedUntil = 0
	s.failures = 0
	s.reported = false
}
