package target

import "math/bits"

// meanOver is the number of draws that the mean load of a side goes back over.
const meanOver = 64

// pool is a set of targets that gets a share of the requests.
type pool struct {
	share  float64
	local  side
	remote side
}

// side is the part of a pool in the entry's own data centre, or in the others.
type side struct {
	states []*state
	ranks  bool     // of a group in lock-step
	keys   []uint64 // of states, for rendezvous hashing
	likely uint64   // see likelyRank
	equal  bool     // all weights are the same
	alias  []alias

	mean     float64 // load in seconds, a moving mean
	observed bool    // mean has a value
}

// alias is an entry of Vose's alias table, which draws by weight in one step.
type alias struct {
	keep  float64
	other int32
}

// group sorts the candidates into pools and sides.
func (c *Chooser) group(candidates []Candidate) {
	c.pools = nil
	byName := make(map[PoolName]*pool)
	for _, cand := range candidates {
		s := c.states[cand.Name]
		p := byName[s.Pool]
		if p == nil {
			p = &pool{share: c.cfg.share(s.Pool)}
			byName[s.Pool] = p
			c.pools = append(c.pools, p)
		}
		// Ranks wait for each other wherever they are, so all of them share the work.
		p.add(s, c.cfg.DataCentre == s.DataCentre || s.Group != "")
	}
	c.shares = 0
	for _, p := range c.pools {
		p.local.build()
		p.remote.build()
		c.shares += p.share
	}
}

// share returns a pool's share. Without any shares all pools get the same.
func (cfg *Config) share(name PoolName) float64 {
	if len(cfg.Pools) == 0 {
		return 1
	}
	for _, s := range cfg.Pools {
		if s.Pool == name {
			return s.Share
		}
	}
	return 0
}

func (p *pool) add(s *state, local bool) {
	sd := &p.remote
	if local {
		sd = &p.local
	}
	if s.Weight <= 0 || s.placed {
		return
	}
	s.placed = true
	sd.ranks = sd.ranks || s.Group != ""
	sd.states = append(sd.states, s)
	s.key = hashString(string(s.Name))
	sd.keys = append(sd.keys, s.key)
}

// build makes the alias table.
func (sd *side) build() {
	n := len(sd.states)
	sd.alias = make([]alias, n)
	var sum, most float64
	for _, s := range sd.states {
		sum += s.Weight
		most = max(most, s.Weight)
	}
	sd.likely = likelyRank(n)
	sd.equal = true
	for _, s := range sd.states {
		s.relative = s.Weight / most
		sd.equal = sd.equal && s.relative == 1
	}
	var small, large []int32
	for i, s := range sd.states {
		sd.alias[i] = alias{keep: s.Weight / sum * float64(n), other: int32(i)}
		if sd.alias[i].keep < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		sd.alias[s].other = l
		sd.alias[l].keep -= 1 - sd.alias[s].keep
		if sd.alias[l].keep < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range append(small, large...) {
		sd.alias[i].keep = 1
	}
}

// draw returns a target by weight, r being a uniform random number. The side
// must not be empty.
func (sd *side) draw(r uint64) *state {
	i, fraction := bits.Mul64(r, uint64(len(sd.states)))
	a := &sd.alias[i]
	if float64(fraction>>11)/(1<<53) < a.keep {
		return sd.states[i]
	}
	return sd.states[a.other]
}

// drawPool returns the index of a pool, by share.
func (c *Chooser) drawPool() int {
	if len(c.pools) < 2 {
		return 0
	}
	x := c.rnd.Float64() * c.shares
	for i, p := range c.pools {
		x -= p.share
		if x < 0 {
			return i
		}
	}
	return 0
}

// observe takes the load of a target drawn at random into the side's mean. A
// walk over all targets would be exact, but it would have to be paid by the
// picks.
func (sd *side) observe(load float64) {
	if !sd.observed {
		sd.observed = true
		sd.mean = load
		return
	}
	sd.mean += (load - sd.mean) / meanOver
}
