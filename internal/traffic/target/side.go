package target

import "math/bits"

// meanOver is the number of draws that the mean load of a side goes back over.
const meanOver = 64

// side is the targets of the entry's own data centre, or those of the others.
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

// group sorts the candidates into sides.
func (c *Chooser) group(candidates []Candidate) {
	c.local, c.remote = side{}, side{}
	own := c.ownGroups(candidates)
	for _, cand := range candidates {
		s := c.states[cand.Name]
		if s.Weight <= 0 || s.placed {
			continue
		}
		s.placed = true
		if c.cfg.DataCentre == s.DataCentre || own[s.Group] {
			c.local.add(s)
		} else {
			c.remote.add(s)
		}
	}
	c.local.build()
	c.remote.build()
}

// ownGroups returns the groups with a rank in the entry's own data centre. Ranks
// wait for each other wherever they are, so all of a group's share the work.
func (c *Chooser) ownGroups(candidates []Candidate) map[GroupName]bool {
	own := make(map[GroupName]bool)
	for _, cand := range candidates {
		if cand.Group != "" && cand.DataCentre == c.cfg.DataCentre {
			own[cand.Group] = true
		}
	}
	return own
}

func (sd *side) add(s *state) {
	s.key = hashString(string(s.Name))
	sd.ranks = sd.ranks || s.Group != ""
	sd.states = append(sd.states, s)
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
