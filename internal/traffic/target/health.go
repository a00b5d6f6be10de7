package target

import "time"

// applyEnd updates the target's state after an attempt has ended.
func (c *Chooser) applyEnd(s *state, at time.Duration, prefix uint64, end End) {
	switch end.Kind {
	case Answered:
		s.failures = 0
		c.endEjection(s)
	case Refused:
		s.refusedUntil = max(s.refusedUntil, at+end.RetryAfter)
	case Declined:
		c.recordDeclined(s, at, prefix, end.RetryAfter)
	case Failed:
		s.failures++
		c.eject(s, at)
	case Cancelled:
	}
}

// eject stops sending requests to a target for a time after EjectAfter consecutive
// failures.
//
// A target that fails fast looks idle and would attract more and more requests;
// ejecting it bounds their number. But if all targets seem to fail, the cause is
// likely at the entry or common to all targets, so at most a part of them is ejected.
func (c *Chooser) eject(s *state, at time.Duration) {
	if s.failures < c.cfg.EjectAfter {
		return
	}
	maxEjected := int(c.cfg.EjectShare * float64(len(c.states)))
	if !s.ejected && c.ejected >= maxEjected {
		return
	}
	if !s.ejected {
		s.ejected = true
		c.ejected++
	}
	s.refusedUntil = max(s.refusedUntil, at+c.ejectDuration(s.failures-c.cfg.EjectAfter))
}

// ejectDuration returns the duration of an ejection after n failures beyond
// EjectAfter. It has random jitter, so that targets that failed together don't return
// together.
func (c *Chooser) ejectDuration(n int) time.Duration {
	d := c.cfg.EjectMax
	if n < 16 {
		d = min(d, c.cfg.EjectFor<<n)
	}
	return time.Duration((0.75 + 0.5*c.rnd.Float64()) * float64(d))
}

// endEjection no longer counts the target as ejected.
func (c *Chooser) endEjection(s *state) {
	if !s.ejected {
		return
	}
	s.ejected = false
	c.ejected--
}

// declinedCount is the size of the table of declined pairs of prefix and target.
const declinedCount = 1024

// declinedPrefix records that a target has no room for the prompts of a prefix.
type declinedPrefix struct {
	pair  uint64
	until time.Duration
}

// recordDeclined keeps a prefix away from a target for the given time.
//
// Affinity sends the prompts of a workspace to a few targets. There the workspace may
// exceed its share although it doesn't exceed it over all targets. Under overload its
// requests would be refused at these targets first and then served by others.
func (c *Chooser) recordDeclined(s *state, at time.Duration, prefix uint64, after time.Duration) {
	if prefix == 0 {
		return
	}
	pair := mix(s.key, prefix)
	c.declined[pair%declinedCount] = declinedPrefix{pair: pair, until: at + after}
}

// hasDeclined reports whether the target has recently declined the prefix.
func (c *Chooser) hasDeclined(s *state, at time.Duration, prefix uint64) bool {
	pair := mix(s.key, prefix)
	e := &c.declined[pair%declinedCount]
	return e.pair == pair && at < e.until
}
