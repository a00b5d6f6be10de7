package target

import "time"

// maxChoices bounds Config.Choices.
const maxChoices = 8

// choose returns a target, and reports whether it was chosen for the request's
// prefix. It returns nil if none may get the request.
func (c *Chooser) choose(at time.Duration, q *Query) (*state, bool) {
	if c.cfg.Keep < 1 && c.rnd.Float64() >= c.cfg.Keep {
		if s, affine := c.pickSide(&c.remote, at, q); s != nil {
			return s, affine
		}
	}
	s, affine := c.pickSide(&c.local, at, q)
	if s == nil {
		return c.pickSide(&c.remote, at, q)
	}
	// A loaded data centre sends its excess to the others. The gain keeps two
	// loaded data centres from sending to each other.
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

// pickSide chooses by prefix if that is possible within the bound on load, and
// by load otherwise.
func (c *Chooser) pickSide(sd *side, at time.Duration, q *Query) (*state, bool) {
	if len(sd.states) == 0 {
		return nil, false
	}
	if sd.ranks {
		return c.pickRank(sd, at, q)
	}
	if q.Prefix != (Prefix{}) {
		if s := c.pickAffine(sd, at, q); s != nil {
			return s, true
		}
	}
	return c.pickByLoad(sd, at, q), false
}

// pickAffine returns the first of the prefix's targets that may get the request
// and isn't loaded beyond the bound. It returns nil if there is none.
func (c *Chooser) pickAffine(sd *side, at time.Duration, q *Query) *state {
	c.observe(sd, at)
	bound := sd.mean*c.cfg.AffinityLoad + c.room()
	var owners [ownerCount]int32
	n := sd.owners(q.Prefix, &owners)
	for _, i := range owners[:n] {
		s := sd.states[i]
		if !s.eligible(at, &c.cfg, q) || c.isCrowded(s, at, q.Prefix.Coarse) {
			continue
		}
		if c.load(s, at, sd.mean) <= bound*s.relative {
			return s
		}
	}
	return nil
}

// room returns the load that a prefix's target may have in any case. Until
// service times are reported it is that of one request.
func (c *Chooser) room() float64 {
	if service := c.serviceTime(); service > 0 {
		return c.cfg.AffinityRoom * service
	}
	return c.meanTokens * c.perTypical
}

// observe takes a random target into the side's mean load.
func (c *Chooser) observe(sd *side, at time.Duration) {
	s := sd.draw(c.rnd.Uint64())
	if at >= s.blockedUntil() {
		sd.observe(c.sample(s, at))
	}
}

// pickByLoad returns the least loaded of a few targets drawn by weight, or nil if
// no target of the side may get the request.
func (c *Chooser) pickByLoad(sd *side, at time.Duration, q *Query) *state {
	var best *state
	var least float64
	found := 0
	for range 2 * maxChoices {
		s := sd.draw(c.rnd.Uint64())
		if s == best || !s.eligible(at, &c.cfg, q) {
			continue
		}
		sd.observe(c.sample(s, at))
		// Load for the weight, so that the shares hold beyond the draw. Of two
		// without work the first one drawn is taken.
		if load := c.comparable(c.load(s, at, sd.mean)) / s.relative; best == nil || load < least {
			best, least = s, load
		}
		if found++; found >= c.cfg.Choices {
			break
		}
	}
	if best == nil {
		return c.anyOf(sd, at, q)
	}
	return best
}

// anyOf walks over the side from a random place to the first target that may get
// the request. It serves when so few are left that draws miss them.
func (c *Chooser) anyOf(sd *side, at time.Duration, q *Query) *state {
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

// comparable returns a load as targets are compared by. Beyond the limit it counts
// no further: what is more are queues, mostly of workspaces that ask for too much,
// and no other workspace waits behind them. Sending the others away from the
// longer queues would only bunch them at some targets.
func (c *Chooser) comparable(load float64) float64 {
	if service := c.serviceTime(); service > 0 {
		return min(load, service)
	}
	return load
}
