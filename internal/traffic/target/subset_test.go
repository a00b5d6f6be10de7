package target

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

func members(dc host.DataCentre, n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Name: host.Name(fmt.Sprint(dc, "-entry-", i)), DataCentre: dc}
	}
	return out
}

// subsets returns, by entry, the names of the targets in its subset.
func subsets(entries []Member, cands []Candidate, size SubsetSize) map[host.Name]map[Name]bool {
	out := make(map[host.Name]map[Name]bool)
	for _, e := range entries {
		set := make(map[Name]bool)
		for _, c := range Subset(e, entries, cands, size) {
			set[c.Name] = true
		}
		out[e.Name] = set
	}
	return out
}

// newTargets counts, over the entries in both, the targets that an entry has in after
// but not in before.
func newTargets(before, after map[host.Name]map[Name]bool) int {
	n := 0
	for e, set := range after {
		if before[e] == nil {
			continue
		}
		for name := range set {
			if !before[e][name] {
				n++
			}
		}
	}
	return n
}

func TestSubset(t *testing.T) {
	entries := members("mtl-a", 16)
	cands := candidates("mtl-a", "t", 200)
	size := SubsetSize{Local: 50, Remote: 2}
	before := subsets(entries, cands, size)
	t.Run("balanced", func(t *testing.T) {
		counts := make(map[Name]int)
		for e, set := range before {
			require.Len(t, set, 50, "%s", e)
			for name := range set {
				counts[name]++
			}
		}
		require.Len(t, counts, 200)
		for name, n := range counts {
			assert.Equal(t, 16*50/200, n, "%s", name)
		}
	})
	t.Run("stable when a target goes", func(t *testing.T) {
		assert.LessOrEqual(t, newTargets(before, subsets(entries, cands[:199], size)), 40, "of 800")
	})
	t.Run("stable when an entry goes", func(t *testing.T) {
		assert.LessOrEqual(t, newTargets(before, subsets(entries[:15], cands, size)), 160, "of 800")
	})
	t.Run("all of a small data centre and some of the others", func(t *testing.T) {
		all := append(candidates("mtl-b", "b", 5), candidates("mtl-a", "a", 3)...)
		got := Subset(entries[0], entries, all, size)
		assert.Len(t, got, 5)
		assert.Equal(t, []Name{"a0", "a1", "a2"}, []Name{got[0].Name, got[1].Name, got[2].Name})
	})
	t.Run("an entry that isn't listed yet", func(t *testing.T) {
		assert.Len(t, Subset(Member{Name: "new", DataCentre: "mtl-a"}, entries, cands, size), 50)
	})
}
