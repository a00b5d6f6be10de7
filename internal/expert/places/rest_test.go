package places

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// crowd is what the entries of a simulated group with resting ranks got, in requests.
type crowd struct {
	came   float64 // to each entry
	served []int
	places float64 // that the ranks had for all
}

// serve has entries use the places that they are granted, and tell their demand now and then.
// Some ranks want nothing from the first entry.
func serve(perLook float64) crowd {
	const (
		entries = 5
		ranks   = 16
		limit   = 8
		resting = 5
		runs    = 10 // looks that a request runs for
		looks   = 400
		hello   = 14 // looks between two words of an entry on its demand
	)
	c := crowd{came: perLook * looks, served: make([]int, entries), places: ranks * limit * looks / runs}
	waiting, told := make([]float64, entries), make([]float64, entries)
	var ends [looks + runs + 1][ranks]int // requests by the look at which they end
	var load [ranks]int
	for look := range looks {
		free := make([]int, ranks)
		for r := range free {
			load[r] -= ends[look][r]
			free[r] = limit - load[r]
		}
		for e := range entries {
			waiting[e] += perLook
			if look%hello == 0 {
				told[e] = perLook*hello + waiting[e]
			}
		}
		for e, grants := range Share(free, told, uint64(look)) {
			for r, n := range grants {
				if e == 0 && r < resting {
					continue
				}
				for ; n > 0 && waiting[e] >= 1; n-- {
					waiting[e]--
					c.served[e]++
					load[r]++
					ends[look+runs][r]++
				}
			}
		}
	}
	return c
}

// Guards against an entry that starves, and places that are lost, as ranks rest for it.
func TestGrantsAtRanksThatRestForAnEntry(t *testing.T) {
	t.Run("most places are taken", func(t *testing.T) {
		c := serve(2.4)
		t.Logf("%+v", c)
		for _, n := range c.served {
			require.Greater(t, float64(n), 0.95*c.came)
		}
	})
	t.Run("more come than there are places", func(t *testing.T) {
		c := serve(3)
		t.Logf("%+v", c)
		require.Greater(t, float64(sum(c.served)), 0.95*c.places, "others get what it can't use")
		require.Greater(t, float64(c.served[0]), 0.8*c.places/float64(len(c.served)), "it waits, and is granted more elsewhere")
	})
}
