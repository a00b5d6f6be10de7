package target

import "time"

// rankRoom is what an owner of a prefix may have more than the least loaded rank,
// in usual requests.
const rankRoom = 1

// pickRank returns the rank with the least of this entry's own work, or one that
// owns the request's prefix and has little more. It reports whether it is the
// latter.
//
// A step of a group takes as long as that of its slowest rank, so work has to be
// spread more evenly than two choices on late reports do. If each entry spreads
// its own work evenly, all of it is, and no report is needed for that. A slow
// rank slows all of them, so there is nothing to be won by sparing it here.
func (c *Chooser) pickRank(sd *side, at time.Duration, q *Query) (*state, bool) {
	best := c.leastOwn(sd, at, q)
	if best == nil || q.Prefix == (Prefix{}) {
		return best, false
	}
	bound := c.rankLoad(best) + rankRoom*c.meanTokens
	var owners [ownerCount]int32
	n := sd.owners(q.Prefix, &owners)
	for _, i := range owners[:n] {
		s := sd.states[i]
		if c.rankLoad(s) <= bound && s.eligible(at, &c.cfg, q) && !c.isCrowded(s, at, q.Prefix.Coarse) {
			return s, true
		}
	}
	return best, false
}

// leastOwn returns the rank with the least own work that may get the request, from
// a random place on so that entries don't begin at the same one.
func (c *Chooser) leastOwn(sd *side, at time.Duration, q *Query) *state {
	n := len(sd.states)
	i := c.rnd.IntN(n)
	var best *state
	var least float64
	for range n {
		s := sd.states[i]
		if i++; i == n {
			i = 0
		}
		load := c.rankLoad(s)
		if (best == nil || load < least) && s.eligible(at, &c.cfg, q) {
			best, least = s, load
		}
	}
	return best
}

// rankLoad returns the entry's own work at a rank, in tokens. A step costs both by
// request and by token, so each request counts once more as a usual one.
func (c *Chooser) rankLoad(s *state) float64 {
	return (float64(s.own) + float64(s.inFlight)*c.meanTokens) / s.relative
}
