package target

import "time"

// learn draws conclusions from the end of an attempt.
func (c *Chooser) learn(s *state, at time.Duration, end End) {
	switch end.Kind {
	case Answered:
		s.failures = 0
		c.restore(s)
	case Refused:
		s.refusedUntil = max(s.refusedUntil, at+end.RetryAfter)
	case Failed:
		s.failures++
		c.eject(s, at)
	case Cancelled:
	}
}

// eject takes a target out for a while once it has failed often enough in a row.
//
// A target that fails fast looks idle and would draw ever more requests. Taking
// it out bounds that. But when all targets seem to fail the cause is likely at
// the entry, or common to all, so at most a part is taken out.
func (c *Chooser) eject(s *state, at time.Duration) {
	if s.failures < c.cfg.EjectAfter {
		return
	}
	most := int(c.cfg.EjectShare * float64(len(c.states)))
	if !s.ejected && c.ejected >= most {
		return
	}
	if !s.ejected {
		s.ejected = true
		c.ejected++
	}
	s.refusedUntil = max(s.refusedUntil, at+c.timeOut(s.failures-c.cfg.EjectAfter))
}

// timeOut returns the time that a target is taken out for the n-th time in a
// row. It is spread, so that several that failed together don't return together.
func (c *Chooser) timeOut(n int) time.Duration {
	d := c.cfg.EjectMax
	if n < 16 {
		d = min(d, c.cfg.EjectFor<<n)
	}
	return time.Duration((0.75 + 0.5*c.rnd.Float64()) * float64(d))
}

// restore ends the count of a target as ejected.
func (c *Chooser) restore(s *state) {
	if !s.ejected {
		return
	}
	s.ejected = false
	c.ejected--
}
