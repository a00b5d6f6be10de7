package target

import (
	"cmp"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Member is an entry that takes part in the assignment of targets to entries.
type Member struct {
	Name       host.Name
	DataCentre host.DataCentre
}

// SubsetSize limits the number of targets that an entry keeps connections to.
type SubsetSize struct {
	Local  int // in its own data centre
	Remote int // in the other data centres, used when the local ones are loaded or gone
}

// Subset returns the candidates assigned to the entry self. Each entry computes
// the same assignment from the same lists, so the entries need not coordinate:
// lists that differ for a moment only make the assignment less balanced.
//
// An entry picks the targets that rendezvous hashing ranks highest for it, and
// skips those that their fair number of entries have picked already. The ranks keep
// the subset stable when members change. The fair number keeps the assignment
// balanced: the numbers of entries of any two targets differ by at most one.
func Subset(self Member, entries []Member, candidates []Candidate, size SubsetSize) []Candidate {
	var local, remote []Candidate
	for _, c := range candidates {
		if c.DataCentre == self.DataCentre {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	var neighbours []Member
	for _, e := range entries {
		if e.DataCentre == self.DataCentre {
			neighbours = append(neighbours, e)
		}
	}
	out := assign(self, neighbours, local, size.Local)
	// The remote targets are assigned among all entries. These include entries in the
	// targets' own data centre, which only adds an even load.
	return append(out, assign(self, entries, remote, size.Remote)...)
}

// assign returns the candidates assigned to self if each entry picks n.
func assign(self Member, entries []Member, candidates []Candidate, n int) []Candidate {
	if n >= len(candidates) {
		return slices.Clone(candidates)
	}
	if !slices.ContainsFunc(entries, func(e Member) bool { return e.Name == self.Name }) {
		entries = append(slices.Clone(entries), self)
	}
	order := ordered(entries)
	pickers := make([]*picker, len(order))
	for i, e := range order {
		pickers[i] = newPicker(e, candidates)
	}
	fairCount := len(order) * n / len(candidates)
	pickCounts := make([]int, len(candidates))
	for range n {
		for _, p := range pickers {
			p.pickNext(pickCounts, fairCount)
		}
	}
	for i, e := range order {
		if e.Name == self.Name {
			return pickers[i].chosen(candidates)
		}
	}
	return nil
}

// ordered returns the entries in an order that is the same in all processes.
func ordered(entries []Member) []Member {
	order := slices.Clone(entries)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashString(string(a.Name)), hashString(string(b.Name))), cmp.Compare(a.Name, b.Name))
	})
	return order
}

// picker is an entry that picks candidates by rank.
type picker struct {
	byRank []int32
	next   int // next index in byRank
	extra  int // how far above the fair number the entry picks candidates
	picked []int32
}

func newPicker(e Member, candidates []Candidate) *picker {
	key := hashString(string(e.Name))
	ranks := make([]uint64, len(candidates))
	p := &picker{byRank: make([]int32, len(candidates))}
	for i, c := range candidates {
		ranks[i] = mix(key, hashString(string(c.Name)))
		p.byRank[i] = int32(i)
	}
	slices.SortFunc(p.byRank, func(a, b int32) int { return cmp.Compare(ranks[b], ranks[a]) })
	return p
}

// pickNext picks the highest ranked candidate that fewer than the fair number of entries
// have picked. If there is none left, it allows one entry more per candidate, and so on.
func (p *picker) pickNext(pickCounts []int, fairCount int) {
	for ; ; p.next, p.extra = 0, p.extra+1 {
		for ; p.next < len(p.byRank); p.next++ {
			i := p.byRank[p.next]
			if pickCounts[i] >= fairCount+p.extra || slices.Contains(p.picked, i) {
				continue
			}
			pickCounts[i]++
			p.picked = append(p.picked, i)
			return
		}
	}
}

// chosen returns the picked candidates in the order of the list.
func (p *picker) chosen(candidates []Candidate) []Candidate {
	slices.Sort(p.picked)
	out := make([]Candidate, len(p.picked))
	for j, i := range p.picked {
		out[j] = candidates[i]
	}
	return out
}
