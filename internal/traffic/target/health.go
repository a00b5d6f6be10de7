package target

import "time"

// learn draws conclusions from the end of an attempt.
func (c *Chooser) learn(s *state, at time.Duration, prefix uint64, end End) {
	switch end.Kind {
	case Answered:
		s.failures = 0
		c.restore(s)
	case Refused:
		s.refusedUntil = max(s.refusedUntil, at+end.RetryAfter)
	case Declined:
		c.crowd(s, at, prefix, end.RetryAfter)
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

// crowdedCount is how many pairs of prefix and target are remembered.
const crowdedCount = 1024

// crowded remembers that a target has no room for the prompts of a prefix.
type crowded struct {
	pair  uint64
	until time.Duration
}

// crowd keeps a prefix from a target for a while.
//
// Affinity brings the prompts of a workspace to a few targets, where it can ask
// for more than its share though it doesn't over all targets. Under overload
// its requests would be refused there and served elsewhere.
func (c *Chooser) crowd(s *state, at time.Duration, prefix uint64, after time.Duration) {
	if prefix == 0 {
		return
	}
	pair := mix(s.key, prefix)
	c.crowded[pair%crowdedCount] = crowded{pair: pair, until: at + after}
}

// isCrowded reports whether the prefix is kept from the target.
func (c *Chooser) isCrowded(s *state, at time.Duration, prefix uint64) bool {
	pair := mix(s.key, prefix)
	e := &c.crowded[pair%crowdedCount]
	return e.pair == pair && at < e.until
}
