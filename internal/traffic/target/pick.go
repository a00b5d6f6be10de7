package target

import "time"

// maxChoices bounds Config.Choices.
const maxChoices = 8

// choose returns a target and whether it was chosen for the request's prefix. It
// returns nil if no target is eligible.
func (c *Chooser) choose(at time.Duration, q *Query) (*state, bool) {
	if c.cfg.LocalShare < 1 && c.rnd.Float64() >= c.cfg.LocalShare {
		if s, affine := c.pickSide(&c.remote, at, q); s != nil {
			return s, affine
		}
	}
	s, affine := c.pickSide(&c.local, at, q)
	if s == nil {
		return c.pickSide(&c.remote, at, q)
	}
	// A loaded data centre sends its excess to the others. The minimum gain
	// prevents two loaded data centres from sending requests to each other.
	load := c.load(s, at, c.local.mean)
	service := c.serviceTime()
	if service == 0 || load <= c.cfg.SpillLoad*service {
		return s, affine
	}
	r, remote := c.pickSide(&c.remote, at, q)
	if r == nil || c.load(r, at, c.remote.mean)+c.cfg.SpillGain*service > load {
		return s, affine
	}
	return r, remote
}

// pickSide returns a target of the side and whether it was chosen for the request's
// prefix. It chooses by prefix if the load bound allows that, and otherwise by load.
func (c *Chooser) pickSide(sd *side, at time.Duration, q *Query) (*state, bool) {
	if len(sd.states) == 0 {
		return nil, false
	}
	if sd.hasRanks {
		return c.pickRank(sd, at, q)
	}
	if q.Prefix != (Prefix{}) {
		if s := c.pickAffine(sd, at, q); s != nil {
			return s, true
		}
	}
	return c.pickByLoad(sd, at, q), false
}

// pickAffine returns the first of the prefix's targets that is eligible and whose
// load is within the bound. It returns nil if there is none.
func (c *Chooser) pickAffine(sd *side, at time.Duration, q *Query) *state {
	c.observeRandom(sd, at)
	bound := sd.mean*c.cfg.AffinityLoad + c.affinitySlack()
	var owners [ownerCount]int32
	n := sd.owners(q.Prefix, &owners)
	for _, i := range owners[:n] {
		s := sd.states[i]
		if !s.eligible(at, &c.cfg, q) || c.hasDeclined(s, at, q.Prefix.Coarse) {
			continue
		}
		if c.load(s, at, sd.mean) <= bound*s.relativeWeight {
			return s
		}
	}
	return nil
}

// affinitySlack returns the load that a prefix's target may have in addition to the
// multiple of the mean. Until service times are known it is the load of one request.
func (c *Chooser) affinitySlack() float64 {
	if service := c.serviceTime(); service > 0 {
		return c.cfg.AffinitySlack * service
	}
	return c.meanTokens * c.typicalTokenTime
}

// observeRandom updates the side's mean load with the load of a random target.
func (c *Chooser) observeRandom(sd *side, at time.Duration) {
	s := sd.draw(c.rnd.Uint64())
	if at >= s.blockedUntil() {
		sd.observe(c.meanSample(s, at))
	}
}

// pickByLoad returns the least loaded of a few targets drawn by weight, or nil if
// no target of the side is eligible.
func (c *Chooser) pickByLoad(sd *side, at time.Duration, q *Query) *state {
	var best *state
	var leastLoad float64
	found := 0
	for range 2 * maxChoices {
		s := sd.draw(c.rnd.Uint64())
		if s == best || !s.eligible(at, &c.cfg, q) {
			continue
		}
		sd.observe(c.meanSample(s, at))
		// The load is divided by the weight, so that the shares also hold in this
		// comparison and not only in the draw. Of two targets without work, the one
		// drawn first is chosen.
		if load := c.cappedLoad(c.load(s, at, sd.mean)) / s.relativeWeight; best == nil || load < leastLoad {
			best, leastLoad = s, load
		}
		if found++; found >= c.cfg.Choices {
			break
		}
	}
	if best == nil {
		return c.firstEligible(sd, at, q)
	}
	return best
}

// firstEligible scans the side from a random index on and returns the first eligible
// target, or nil. It is for a side with so few eligible targets that draws miss them.
func (c *Chooser) firstEligible(sd *side, at time.Duration, q *Query) *state {
	n := len(sd.states)
	first := c.rnd.IntN(n)
	for i := range n {
		s := sd.states[(first+i)%n]
		if s.eligible(at, &c.cfg, q) {
			return s
		}
	}
	return nil
}

// cappedLoad returns the load by which targets are compared: at most the service
// time, which is the load of a target that runs as many requests as its limit allows.
// Load beyond that is queued, mostly by workspaces that exceed their share, and no
// other workspace waits behind it. Sending the requests of other workspaces away from
// longer queues would only concentrate them at a few targets.
func (c *Chooser) cappedLoad(load float64) float64 {
	if service := c.serviceTime(); service > 0 {
		return min(load, service)
	}
	return load
}
