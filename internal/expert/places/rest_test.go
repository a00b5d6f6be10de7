package places

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// outcome holds the numbers of requests of a simulated group with ranks in back-off.
type outcome struct {
	came   float64 // that arrived at each entry
	served []int   // by entry
	places float64 // that the ranks had slots for
}

// simulate runs a group whose entries use the slots that they are granted, and report their
// demand from time to time. Some ranks have asked the first entry to back off.
func simulate(perPoll float64) outcome {
	const (
		entries   = 5
		ranks     = 16
		limit     = 8
		backedOff = 5
		runs      = 10 // polls that a request runs for
		polls     = 400
		heartbeat = 14 // polls between two reports of an entry's demand
	)
	c := outcome{came: perPoll * polls, served: make([]int, entries), places: ranks * limit * polls / runs}
	waiting, demand := make([]float64, entries), make([]float64, entries)
	var ends [polls + runs + 1][ranks]int // requests by the poll at which they end
	var load [ranks]int
	for poll := range polls {
		free := make([]int, ranks)
		for r := range free {
			load[r] -= ends[poll][r]
			free[r] = limit - load[r]
		}
		for e := range entries {
			waiting[e] += perPoll
			if poll%heartbeat == 0 {
				demand[e] = perPoll*heartbeat + waiting[e]
			}
		}
		for e, grants := range Grants(free, demand, uint64(poll)) {
			for r, n := range grants {
				if e == 0 && r < backedOff {
					continue
				}
				for ; n > 0 && waiting[e] >= 1; n-- {
					waiting[e]--
					c.served[e]++
					load[r]++
					ends[poll+runs][r]++
				}
			}
		}
	}
	return c
}

// Guards against an entry that starves, and slots that stay unused, while ranks have asked the entry to back off.
func TestGrantsAtRanksThatAskAnEntryToBackOff(t *testing.T) {
	t.Run("most slots are taken", func(t *testing.T) {
		c := simulate(2.4)
		t.Logf("%+v", c)
		for _, n := range c.served {
			require.Greater(t, float64(n), 0.95*c.came)
		}
	})
	t.Run("more requests than slots", func(t *testing.T) {
		c := simulate(3)
		t.Logf("%+v", c)
		require.Greater(t, float64(sum(c.served)), 0.95*c.places, "others get the slots that it can't use")
		require.Greater(t, float64(c.served[0]), 0.8*c.places/float64(len(c.served)), "its requests wait, and it is granted more at other ranks")
	})
}
