package target

import "math/bits"

// meanOver is the number of samples over which a moving mean averages.
const meanOver = 64

// side holds the targets of the entry's own data centre (and of its groups), or all
// others.
type side struct {
	states       []*state
	hasRanks     bool     // has ranks of a group in lock-step
	keys         []uint64 // hashes of the names of states, for rendezvous hashing
	minRank      uint64   // see initialMinRank
	equalWeights bool     // all targets have the same weight
	alias        []alias

	mean     float64 // moving mean of the load in seconds
	observed bool    // mean has at least one sample
}

// alias is an element of Vose's alias table, which draws by weight in constant time.
type alias struct {
	keep  float64
	other int32
}

// splitSides assigns the candidates to the two sides.
func (c *Chooser) splitSides(candidates []Candidate) {
	c.local, c.remote = side{}, side{}
	ownGroups := c.ownGroups(candidates)
	for _, cand := range candidates {
		s := c.states[cand.Name]
		if s.Weight <= 0 || s.assigned {
			continue
		}
		s.assigned = true
		if c.cfg.DataCentre == s.DataCentre || ownGroups[s.Group] {
			c.local.add(s)
		} else {
			c.remote.add(s)
		}
	}
	c.local.build()
	c.remote.build()
}

// ownGroups returns the groups with a rank in the entry's own data centre. The ranks
// of a group wait for each other in every step, so all of them share the work, in
// whichever data centre they are.
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
	sd.hasRanks = sd.hasRanks || s.Group != ""
	sd.states = append(sd.states, s)
	sd.keys = append(sd.keys, s.key)
}

// build computes the relative weights and the alias table.
func (sd *side) build() {
	n := len(sd.states)
	sd.alias = make([]alias, n)
	var sum, heaviest float64
	for _, s := range sd.states {
		sum += s.Weight
		heaviest = max(heaviest, s.Weight)
	}
	sd.minRank = initialMinRank(n)
	sd.equalWeights = true
	for _, s := range sd.states {
		s.relativeWeight = s.Weight / heaviest
		sd.equalWeights = sd.equalWeights && s.relativeWeight == 1
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

// draw returns a target drawn by weight from the uniform random number r. The side
// must not be empty.
func (sd *side) draw(r uint64) *state {
	i, fraction := bits.Mul64(r, uint64(len(sd.states)))
	a := &sd.alias[i]
	if float64(fraction>>11)/(1<<53) < a.keep {
		return sd.states[i]
	}
	return sd.states[a.other]
}

// observe adds the load of a randomly drawn target to the side's moving mean. The mean
// over all targets would be exact, but would add its cost to each pick.
func (sd *side) observe(load float64) {
	if !sd.observed {
		sd.observed = true
		sd.mean = load
		return
	}
	sd.mean += (load - sd.mean) / meanOver
}
