package peer

import "time"

// silence decides when a quiet connection is pinged and when it is given up.
type silence struct {
	pingAfter   time.Duration
	silentAfter time.Duration
	since       time.Time // last frame heard, or the start of waiting if later
	pinged      time.Time // last ping sent
}

// verdict is what a connection has to do now.
type verdict struct {
	ping   bool
	silent bool
	next   time.Duration // when to ask again
}

// await notes that something is awaited from now on. Quiet before that proves
// nothing: nobody had a reason to send.
func (s *silence) await(now time.Time) {
	s.since = now
	s.pinged = time.Time{}
}

// check weighs the time of the last frame heard.
func (s *silence) check(now, heard time.Time) verdict {
	if heard.After(s.since) {
		s.since = heard
	}
	quiet := now.Sub(s.since)
	if quiet >= s.silentAfter {
		return verdict{silent: true}
	}
	if quiet < s.pingAfter {
		return verdict{next: s.pingAfter - quiet}
	}
	if now.Sub(s.pinged) < s.pingAfter {
		return verdict{next: min(s.pingAfter, s.silentAfter-quiet)}
	}
	s.pinged = now
	return verdict{ping: true, next: min(s.pingAfter, s.silentAfter-quiet)}
}
