package book_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawFaults makes each kind of fault absent, rare or frequent.
func drawFaults(t *rapid.T) faults {
	draw := func(name string, often int) int {
		return rapid.SampledFrom([]int{0, often / 10, often}).Draw(t, name)
	}
	return faults{
		late: draw("late", 100), doubled: draw("doubled", 100), reordered: draw("reordered", 300),
		silent: draw("silent", 100), lateArrives: draw("wakes", 800),
		sidecarDies: draw("sidecarDies", 30), entryDies: draw("entryDies", 20), staysDown: draw("stays", 100),
		engineBreaks: draw("engineBreaks", 200), engineUnreachable: draw("engineAway", 200),
		engineStalls: draw("engineStalls", 100), rejected: draw("rejected", 300),
		callerLeaves: draw("callerLeaves", 200), claimFailed: draw("claimFailed", 200),
		drains: draw("drains", 10),
	}
}

// scheduleArrivals spreads the arrival of n requests over a period. Half of them are
// not idempotent, and half of those carry one of a few keys, which callers may use
// again at any entry.
func (w *world) scheduleArrivals(n int, over time.Duration) {
	for range n {
		w.after(w.between(0, over), func() {
			idempotent, key := w.chance(500), ""
			if !idempotent && w.chance(500) {
				key = fmt.Sprint("key", w.rng.IntN(n/8+1))
			}
			e := w.entries[w.rng.IntN(len(w.entries))]
			w.arrive(e, idempotent, key, w.between(time.Second, 8*time.Second))
		})
	}
}

// The guarantees to callers hold whatever the network and the processes do: two
// entries and three sidecars with their engines serve many requests while packets
// are late, duplicated and reordered, connections go silent and deliver late
// packets, and processes die and restart.
func TestRandomRequests(t *testing.T) {
	steps, outcomes := 0, make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), drawFaults(t), false, 2, 3)
		w.scheduleArrivals(80, 4*time.Second)
		w.run(60 * time.Second)
		if w.failure != "" {
			t.Fatal(w.failure)
		}
		steps += w.steps
		for _, x := range w.requests {
			switch {
			case x.result != nil:
				outcomes[x.result.Outcome.String()]++
			case x.lost:
				outcomes["entry died"]++
			default:
				t.Fatalf("request %s has no outcome", x.id)
			}
		}
	})
	t.Logf("%d steps, outcomes %v", steps, outcomes)
	require.Positive(t, outcomes["answered"])
	require.Positive(t, outcomes["notRun"])
	require.Positive(t, outcomes["unknown"])
}
