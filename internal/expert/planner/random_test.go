package planner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// fault makes part of the world fail, or ends such a failure.
type fault struct {
	name  string
	apply func(w *world, rt *rapid.T)
}

var candidates = []host.Name{"rank-0", "rank-1", "rank-2"}

var faults = []fault{
	{"platform out", func(w *world, _ *rapid.T) { w.platformDown = true }},
	{"platform back", func(w *world, _ *rapid.T) { w.platformDown = false }},
	{"answers lost", func(w *world, rt *rapid.T) { w.loseReplies = rapid.IntRange(1, 3).Draw(rt, "lose") }},
	{"writes lost", func(w *world, rt *rapid.T) { w.loseWrites = rapid.IntRange(1, 3).Draw(rt, "drop") }},
	{"messages lost", func(w *world, _ *rapid.T) { w.messageLoss = 0.2 }},
	{"messages arrive", func(w *world, _ *rapid.T) { w.messageLoss = 0 }},
	{"ranks refuse", func(w *world, _ *rapid.T) { w.refuse = true }},
	{"ranks agree", func(w *world, _ *rapid.T) { w.refuse = false }},
	{"process paused", func(w *world, rt *rapid.T) { w.paused[rapid.SampledFrom(candidates).Draw(rt, "paused")] = true }},
	{"process goes on", func(w *world, rt *rapid.T) { w.paused[rapid.SampledFrom(candidates).Draw(rt, "on")] = false }},
	{"group forms", func(w *world, _ *rapid.T) { w.form() }},
}

// Three processes seek the lease while the platform, the messages, the ranks and
// the processes themselves fail at random and the demand is reversed at random. At
// any time at most one process may hold the lease, ranks may be asked to load only
// valid maps that are based on the active map and have rising numbers, and no
// invariant of the program may break. After the faults, planning must go on: the
// record has the active map, and the group is balanced.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		w.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		for _, name := range candidates {
			w.add(name)
		}
		demands := []func(int) uint64{steep, func(e int) uint64 { return steep(shape.Experts - 1 - e) }}
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			f := rapid.SampledFrom(faults).Draw(rt, "fault")
			rt.Log(f.name)
			f.apply(w, rt)
			demand := rapid.SampledFrom(demands).Draw(rt, "demand")
			for range rapid.IntRange(1, 20).Draw(rt, "half minutes") {
				w.advance(30*time.Second, demand)
				requireOneHolder(rt, w)
			}
		}
		w.platformDown, w.refuse, w.messageLoss, w.loseReplies, w.loseWrites = false, false, 0, 0, 0
		clear(w.paused)
		w.advance(40*time.Minute, steep)
		st := w.status()
		rt.Log(st.At, w.now, st.Explanation, st.Switches, st.Horizon, st.Shifted, st.Speed, st.Ranks, len(w.ended))
		for n, c := range w.controllers {
			rt.Log(n, c.Holds(w.now), c.pending != nil, c.proposer.Busy(), c.active.number, w.active, c.windowAt, c.planAt)
		}
		require.Equal(rt, w.active, w.record().Number)
		require.True(rt, w.m.Equal(w.record().Map))
		require.Less(rt, w.status().Skew, 1.1)
	})
}

func requireOneHolder(t require.TestingT, w *world) {
	holders := 0
	for _, c := range w.controllers {
		if c.Holds(w.now) {
			holders++
		}
	}
	require.LessOrEqual(t, holders, 1)
}
