package peer

import "time"

// silenceDetector decides when a quiet connection is pinged and when it is closed.
type silenceDetector struct {
	pingAfter   time.Duration
	silentAfter time.Duration
	quietSince  time.Time // last received frame, or the time since which one is expected, if later
	pinged      time.Time // last ping sent
}

// verdict is the result of a check of a connection.
type verdict struct {
	ping   bool          // a ping has to be sent
	silent bool          // the connection has to be closed
	next   time.Duration // time until the next check
}

// expect records that a frame is expected from now on. Quiet before that proves
// nothing, since the peer had no reason to send.
func (s *silenceDetector) expect(now time.Time) {
	s.quietSince = now
	s.pinged = time.Time{}
}

// check decides by the time of the last received frame.
func (s *silenceDetector) check(now, lastFrame time.Time) verdict {
	if lastFrame.After(s.quietSince) {
		s.quietSince = lastFrame
	}
	quiet := now.Sub(s.quietSince)
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
