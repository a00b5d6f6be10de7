package planner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// fault changes the world until the next one does.
type fault struct {
	name  string
	begin func(w *world, rt *rapid.T)
}

var seekers = []host.Name{"rank-0", "rank-1", "rank-2"}

var faults = []fault{
	{"platform out", func(w *world, _ *rapid.T) { w.out = true }},
	{"platform back", func(w *world, _ *rapid.T) { w.out = false }},
	{"answers lost", func(w *world, rt *rapid.T) { w.lose = rapid.IntRange(1, 3).Draw(rt, "lose") }},
	{"writes lost", func(w *world, rt *rapid.T) { w.drop = rapid.IntRange(1, 3).Draw(rt, "drop") }},
	{"messages lost", func(w *world, _ *rapid.T) { w.loss = 0.2 }},
	{"messages arrive", func(w *world, _ *rapid.T) { w.loss = 0 }},
	{"ranks refuse", func(w *world, _ *rapid.T) { w.refuse = true }},
	{"ranks agree", func(w *world, _ *rapid.T) { w.refuse = false }},
	{"process paused", func(w *world, rt *rapid.T) { w.held[rapid.SampledFrom(seekers).Draw(rt, "paused")] = true }},
	{"process goes on", func(w *world, rt *rapid.T) { w.held[rapid.SampledFrom(seekers).Draw(rt, "on")] = false }},
	{"group forms", func(w *world, _ *rapid.T) { w.form() }},
}

// Three processes seek the lease while the platform, the messages, the ranks and
// the processes themselves fail at random and demand turns about. At any time at
// most one of them may hold the lease, ranks may only be asked for valid maps with
// rising numbers on the map in force, and no invariant of the program may break.
// When the faults are over, planning must go on: the record has the map in force,
// and the group is balanced.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		w.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		for _, name := range seekers {
			w.add(name)
		}
		demands := []func(int) uint64{steep, func(e int) uint64 { return steep(shape.Experts - 1 - e) }}
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			f := rapid.SampledFrom(faults).Draw(rt, "fault")
			rt.Log(f.name)
			f.begin(w, rt)
			demand := rapid.SampledFrom(demands).Draw(rt, "demand")
			for range rapid.IntRange(1, 20).Draw(rt, "half minutes") {
				w.pass(30*time.Second, demand)
				requireOneHolder(rt, w)
			}
		}
		w.out, w.refuse, w.loss, w.lose, w.drop = false, false, 0, 0, 0
		clear(w.held)
		w.pass(40*time.Minute, steep)
		st := w.status()
		rt.Log(st.At, w.now, st.Why, st.Moves, st.Lasts, st.Shifted, st.Speed, st.Ranks, len(w.ended))
		for n, d := range w.duties {
			rt.Log(n, d.Holds(w.now), d.pending != nil, d.proposer.Busy(), d.group.number, w.inForce, d.windowAt, d.planAt)
		}
		require.Equal(rt, w.inForce, w.record().Number)
		require.True(rt, w.m.Equal(w.record().Map))
		require.Less(rt, w.status().Skew, 1.1)
	})
}

func requireOneHolder(t require.TestingT, w *world) {
	holders := 0
	for _, d := range w.duties {
		if d.Holds(w.now) {
			holders++
		}
	}
	require.LessOrEqual(t, holders, 1)
}
