package target

import "time"

// rankRoom is how much more work an owner of a prefix may have than the least loaded
// rank, in requests of mean size.
const rankRoom = 1

// pickRank returns the rank with the least work of this entry, or one that owns the
// request's prefix and has little more, and whether it is the latter.
//
// A step of a group takes as long as that of its slowest rank, so work has to be
// spread more evenly than by two random choices on delayed reports. If each entry
// spreads its own work evenly, the total is spread evenly too, without any reports.
// A slow rank slows down all ranks, so giving it less work here gains nothing.
func (c *Chooser) pickRank(sd *side, at time.Duration, q *Query) (*state, bool) {
	best := c.leastLoadedRank(sd, at, q)
	if best == nil || q.Prefix == (Prefix{}) {
		return best, false
	}
	bound := c.rankLoad(best) + rankRoom*c.meanTokens
	var owners [ownerCount]int32
	n := sd.owners(q.Prefix, &owners)
	for _, i := range owners[:n] {
		s := sd.states[i]
		if c.rankLoad(s) <= bound && s.eligible(at, &c.cfg, q) && !c.hasDeclined(s, at, q.Prefix.Coarse) {
			return s, true
		}
	}
	return best, false
}

// leastLoadedRank returns the eligible rank with the least work of this entry, or nil
// if there is none. It starts at a random rank so that entries don't all prefer the
// same one.
func (c *Chooser) leastLoadedRank(sd *side, at time.Duration, q *Query) *state {
	n := len(sd.states)
	i := c.rnd.IntN(n)
	var best *state
	var leastLoad float64
	for range n {
		s := sd.states[i]
		if i++; i == n {
			i = 0
		}
		load := c.rankLoad(s)
		if (best == nil || load < leastLoad) && s.eligible(at, &c.cfg, q) {
			best, leastLoad = s, load
		}
	}
	return best
}

// rankLoad returns the entry's own work at a rank, in tokens relative to its weight. The time of
// a step depends on both requests and tokens, so each request adds the mean tokens of
// a request to its own.
func (c *Chooser) rankLoad(s *state) float64 {
	return (float64(s.ownTokens) + float64(s.inFlight)*c.meanTokens) / s.relativeWeight
}
