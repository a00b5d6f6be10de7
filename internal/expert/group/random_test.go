package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// faults are the events that may happen to a group at any time. An event that is
// listed more often is more likely.
var faults = []string{
	"wait", "wait", "wait", "propose", "propose", "new planner", "pause planner", "resume planner",
	"cut", "mend", "restart", "store down", "store up", "kill engine", "platform down", "platform up", "lose answer",
}

// faultyWorld is a world in which any part may fail, with up to three of the
// planners in use.
type faultyWorld struct {
	*world
	t     *rapid.T
	fence lease.Fence
}

func (r *faultyWorld) anyNode() *node {
	return r.nodes[rapid.IntRange(0, len(r.nodes)-1).Draw(r.t, "node")]
}

func (r *faultyWorld) anyPlanner() *planner {
	last := min(len(r.planners), 3)
	return r.planners[len(r.planners)-1-rapid.IntRange(0, last-1).Draw(r.t, "planner")]
}

func (r *faultyWorld) inject(fault string) {
	switch fault {
	case "wait":
		r.run(time.Duration(rapid.IntRange(1, 1500).Draw(r.t, "ms")) * time.Millisecond)
	case "propose":
		if p := r.anyPlanner(); !p.paused {
			r.propose(p, rapid.IntRange(1, 10).Draw(r.t, "moves"))
		}
		r.run(time.Duration(rapid.IntRange(1, 400).Draw(r.t, "ms")) * time.Millisecond)
	case "new planner":
		r.fence++
		r.planner(r.fence)
	case "pause planner":
		r.anyPlanner().paused = true
	case "resume planner":
		r.resume(r.anyPlanner())
	case "cut":
		r.anyNode().partitioned = true
	case "mend":
		r.anyNode().partitioned = false
	case "restart":
		n := r.anyNode()
		n.down = true
		r.later(time.Duration(rapid.IntRange(0, 1500).Draw(r.t, "down"))*time.Millisecond, func() { r.boot(n) })
	case "store down":
		r.anyNode().engine.storeDown = true
	case "store up":
		r.anyNode().engine.storeDown = false
	case "platform down":
		r.platform.down = true
	case "platform up":
		r.platform.down = false
	case "lose answer":
		r.platform.lose = true
	case "kill engine":
		if rapid.IntRange(0, 3).Draw(r.t, "kill") == 0 {
			r.kill(r.anyNode())
		}
	}
}

// kill replaces a host: its engine and sidecar restart without state.
func (r *faultyWorld) kill(n *node) {
	n.down = true
	*n.engine = engine{maps: map[uint64]*expertmap.Map{}, held: map[expertmap.Placement]bool{}}
	r.later(time.Second, func() { r.boot(n) })
}

// heal ends all faults, so that every switch in progress has to end.
func (r *faultyWorld) heal() {
	r.messageLoss, r.resultLoss = 0, 0
	r.platform.down = false
	for _, n := range r.nodes {
		n.partitioned = false
		n.engine.storeDown = false
	}
	for _, p := range r.planners {
		r.resume(p)
	}
}

func TestAnyFaults(t *testing.T) {
	// Messages, answers, sidecars, engines, planners, platform and store fail in any
	// order. No step may use two maps, or a map without its weights. Once all ranks
	// can communicate again, each switch has to end and the group has to make steps.
	for name, kind := range engineKinds {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { anyFaults(t, kind) })
		})
	}
}

func anyFaults(t *rapid.T, kind order.Capabilities) {
	ranks := rapid.IntRange(1, 5).Draw(t, "ranks")
	r := &faultyWorld{world: newWorld(rapid.Uint64().Draw(t, "seed"), ranks, kind), t: t, fence: 5}
	r.planner(r.fence)
	r.messageLoss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	r.resultLoss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lossy")
	r.duplication = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubled")
	r.patience = 8 * time.Second
	r.run(5 * time.Second)
	for range rapid.IntRange(3, 20).Draw(t, "events") {
		r.inject(rapid.SampledFrom(faults).Draw(t, "event"))
		require.Empty(t, r.failures)
	}
	r.heal()
	for calm, at := 0, 0; calm < 5 && at < 60; at++ { // a late message must not make the ranks disagree again
		calm++
		if r.run(time.Second); !r.agreed() {
			calm = 0
		}
	}
	before := r.step
	r.run(time.Second)
	require.Empty(t, r.failures)
	if !r.agreed() || r.step < before+50 {
		for _, n := range r.nodes {
			t.Logf("%+v engine %d.%d prepared %d limit %d step %d", n.sidecar.View(), n.engine.epoch, n.engine.activeNumber, n.engine.prepared, n.engine.limit, r.step)
		}
		t.Fatalf("a switch has not ended, or the group makes no steps")
	}
}
