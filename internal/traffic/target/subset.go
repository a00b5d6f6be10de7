package target

import (
	"cmp"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Member is an entry that takes part in sharing out the targets.
type Member struct {
	Name       host.Name
	DataCentre host.DataCentre
}

// SubsetSize bounds the targets that an entry holds connections to.
type SubsetSize struct {
	Local  int // in its own data centre
	Remote int // in the others, for when its own are loaded or gone
}

// Subset returns the candidates that one of the entries serves. Each entry works
// out the same assignment from the same lists, so nothing has to be agreed on:
// lists that differ for a moment only cost balance.
//
// An entry takes the targets that rendezvous hashing ranks highest for it, and
// passes over those that their fair number of entries have taken already. The
// ranks keep the subset stable when members change. The bound keeps the targets
// balanced: their numbers of entries differ by one.
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
	// The remote targets are shared out among all entries that might take them.
	// Entries of their own data centre do too, which adds an even load.
	return append(out, assign(self, entries, remote, size.Remote)...)
}

// assign returns the candidates that fall to self when each entry takes n.
func assign(self Member, entries []Member, candidates []Candidate, n int) []Candidate {
	if n >= len(candidates) {
		return slices.Clone(candidates)
	}
	if !slices.ContainsFunc(entries, func(e Member) bool { return e.Name == self.Name }) {
		entries = append(slices.Clone(entries), self)
	}
	order := ordered(entries)
	takers := make([]*taker, len(order))
	for i, e := range order {
		takers[i] = newTaker(e, candidates)
	}
	fair := len(order) * n / len(candidates)
	taken := make([]int, len(candidates))
	for range n {
		for _, t := range takers {
			t.take(taken, fair)
		}
	}
	for i, e := range order {
		if e.Name == self.Name {
			return takers[i].chosen(candidates)
		}
	}
	return nil
}

// ordered returns the entries in an order that all processes agree on.
func ordered(entries []Member) []Member {
	order := slices.Clone(entries)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashString(string(a.Name)), hashString(string(b.Name))), cmp.Compare(a.Name, b.Name))
	})
	return order
}

// taker is an entry that takes candidates by rank.
type taker struct {
	byRank []int32
	next   int // in byRank
	above  int // what the entry allows above the fair number
	got    []int32
}

func newTaker(e Member, candidates []Candidate) *taker {
	key := hashString(string(e.Name))
	ranks := make([]uint64, len(candidates))
	t := &taker{byRank: make([]int32, len(candidates))}
	for i, c := range candidates {
		ranks[i] = mix(key, hashString(string(c.Name)))
		t.byRank[i] = int32(i)
	}
	slices.SortFunc(t.byRank, func(a, b int32) int { return cmp.Compare(ranks[b], ranks[a]) })
	return t
}

// take takes the best candidate that fewer entries have taken than is fair. If
// there is none left, one more may have taken it, and so on.
func (t *taker) take(taken []int, fair int) {
	for ; ; t.next, t.above = 0, t.above+1 {
		for ; t.next < len(t.byRank); t.next++ {
			i := t.byRank[t.next]
			if taken[i] >= fair+t.above || slices.Contains(t.got, i) {
				continue
			}
			taken[i]++
			t.got = append(t.got, i)
			return
		}
	}
}

// chosen returns the candidates taken, in the order that they were listed.
func (t *taker) chosen(candidates []Candidate) []Candidate {
	slices.Sort(t.got)
	out := make([]Candidate, len(t.got))
	for j, i := range t.got {
		out[j] = candidates[i]
	}
	return out
}
