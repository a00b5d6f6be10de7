package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// engineKinds are the kinds of engines that the system has to work with.
var engineKinds = map[string]order.Capabilities{
	"checks, reads back":  {ChecksFences: true, ReadsBack: true},
	"ignores, reads back": {ReadsBack: true},
	"checks, can't tell":  {ChecksFences: true},
	"ignores, can't tell": {},
}

// forEachKind runs a scenario on a group that has formed, with each kind of engine.
func forEachKind(t *testing.T, ranks int, scenario func(t *testing.T, w *world)) {
	for name, kind := range engineKinds {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, ranks, kind)
			w.run(8 * time.Second)
			require.Empty(t, w.failures)
			require.True(t, w.agreed(), "the group has not formed")
			scenario(t, w)
			assert.Empty(t, w.failures)
		})
	}
}

// assertEnded checks that the switch has ended in the same way on all ranks and
// that the group makes steps.
func assertEnded(t *testing.T, w *world) {
	t.Helper()
	w.run(25 * time.Second)
	before := w.step
	w.run(time.Second)
	assert.True(t, w.agreed(), "the ranks disagree")
	assert.Greater(t, w.step, before+50, "the group makes no steps")
	for _, n := range w.nodes {
		if !w.agreed() {
			t.Logf("%+v", n.sidecar.View())
		}
	}
}

func assertActive(t *testing.T, w *world, want group.Number) {
	t.Helper()
	for _, n := range w.nodes {
		assert.Equal(t, want, group.Number(n.engine.activeNumber))
	}
}

func TestSwitch(t *testing.T) {
	forEachKind(t, 4, func(t *testing.T, w *world) {
		p := w.planner(5)
		waits := w.delayedSteps
		w.propose(p, 6)
		w.run(4 * time.Second)
		require.Len(t, p.ended, 1)
		assert.Equal(t, group.Committed, p.ended[0].Vote)
		assertActive(t, w, p.proposer.Number())
		assert.False(t, p.proposer.Busy())
		assert.Equal(t, waits, w.delayedSteps, "a step waited for the switch")
		assertEnded(t, w)
		assertDropped(t, w)
	})
}

// assertDropped checks that no engine keeps weights that its map doesn't need.
func assertDropped(t *testing.T, w *world) {
	t.Helper()
	for _, n := range w.nodes {
		m := n.engine.maps[n.engine.activeNumber]
		for p := range n.engine.held {
			assert.True(t, m.Holds(int(p.Layer), n.rank, p.Expert), "rank %d keeps %v", n.rank, p)
		}
	}
}

// pauseBefore pauses a planner for good right before it sends its nth message of a
// kind, counted from 0.
func pauseBefore(w *world, p *planner, kind group.MessageKind, nth int) {
	sent := 0
	w.onSend = func(from host.Name, m group.Message) bool {
		if from != p.name {
			return true
		}
		if m.Kind == kind {
			p.paused = p.paused || sent == nth
			sent++
		}
		return !p.paused
	}
}

func TestPlannerDies(t *testing.T) {
	// The planner dies right before it sends its nth message of a kind. The ranks
	// must not wait for it: those that have promised ask the others, and those that
	// have not promised refuse. If all had promised, the switch is committed without
	// the planner.
	points := []struct {
		name   string
		kind   group.MessageKind
		nth    int
		commit bool
	}{
		{"before any rank loads", group.Prepare, 0, false},
		{"when one rank loads", group.Prepare, 1, false},
		{"when all have loaded", group.Promise, 0, false},
		{"when half are asked for promises", group.Promise, 2, false},
		{"when all have promised", group.Outcome, 0, true},
		{"when one rank knows the outcome", group.Outcome, 1, true},
		{"when all have passed", group.Outcome, 4, true},
	}
	for _, point := range points {
		t.Run(point.name, func(t *testing.T) {
			forEachKind(t, 4, func(t *testing.T, w *world) {
				want, _ := w.activeMap()
				reforms := w.epochs
				p := w.planner(5)
				pauseBefore(w, p, point.kind, point.nth)
				w.propose(p, 6)
				w.run(30 * time.Second) // past the time allowed for loading
				require.True(t, p.paused, "the planner did not reach the point of its death")
				assertEnded(t, w)
				if point.commit {
					want = p.proposer.Number()
				}
				assertActive(t, w, want)
				assertDropped(t, w)
				assert.Equal(t, reforms, w.epochs, "the group had to form again")
			})
		})
	}
}

func TestCommitReachesSomeRanks(t *testing.T) {
	// The planner sends the outcome, but only two messages arrive, and all later
	// ones are lost. The ranks without the outcome stop at the step and ask the
	// others; the steps go on with the new map on all ranks.
	forEachKind(t, 4, func(t *testing.T, w *world) {
		p := w.planner(5)
		w.onSend = func(from host.Name, m group.Message) bool {
			return from != p.name || m.Kind != group.Outcome
		}
		sent := 0
		w.onSend = func(from host.Name, m group.Message) bool {
			if from != p.name || m.Kind != group.Outcome {
				return true
			}
			sent++
			return sent <= 2
		}
		w.propose(p, 6)
		assertEnded(t, w)
		assertActive(t, w, p.proposer.Number())
	})
}

func TestRankStalls(t *testing.T) {
	// A rank receives and sends nothing for a while, before or after its promise.
	// Before its promise, the others keep waiting for it or refuse in the end;
	// after its promise, they stop at the step until it can be asked. No rank may
	// go on alone.
	for name, kind := range map[string]group.MessageKind{"before its promise": group.Promise, "after its promise": group.Outcome} {
		t.Run(name, func(t *testing.T) {
			forEachKind(t, 4, func(t *testing.T, w *world) {
				p := w.planner(5)
				n := w.nodes[2]
				once := false
				w.onSend = func(_ host.Name, m group.Message) bool {
					if m.Kind == kind && !once {
						once, n.partitioned = true, true
						w.later(2*time.Second, func() { n.partitioned = false })
					}
					return true
				}
				w.propose(p, 6)
				assertEnded(t, w)
				require.True(t, once)
				require.Len(t, p.ended, 1)
				if kind == group.Outcome {
					assert.Equal(t, group.Committed, p.ended[0].Vote)
				}
			})
		})
	}
}

func TestRankDies(t *testing.T) {
	// An engine dies in the middle of a switch and restarts without state, which
	// stops the lock-step. Its sidecar finds that the engine is not in the epoch,
	// and the group forms again with all ranks on one map.
	forEachKind(t, 4, func(t *testing.T, w *world) {
		reforms := w.epochs
		p := w.planner(5)
		w.propose(p, 6)
		w.run(120 * time.Millisecond)
		n := w.nodes[1]
		*n.engine = engine{maps: map[uint64]*expertmap.Map{}, held: map[expertmap.Placement]bool{}, dead: true}
		n.down = true
		w.run(2 * time.Second)
		n.engine.dead = false
		w.boot(n)
		assertEnded(t, w)
		assert.Greater(t, w.epochs, reforms)
	})
}

func TestPausedPlannerReturns(t *testing.T) {
	// A planner is paused while its ranks load. Another acquires the lease with a
	// higher fence and switches the group. The first resumes and goes on with its
	// old fence. The ranks have to refuse its proposals, whether their engines check
	// fences or ignore them.
	forEachKind(t, 4, func(t *testing.T, w *world) {
		old, next := w.planner(5), w.planner(6)
		w.propose(old, 12)
		w.run(50 * time.Millisecond)
		old.paused = true
		w.propose(next, 6)
		w.run(30 * time.Second)
		require.NotEmpty(t, next.ended)
		if next.ended[len(next.ended)-1].Vote != group.Committed {
			w.propose(next, 6)
			w.run(5 * time.Second)
		}
		w.resume(old)
		w.propose(old, 6)
		assertEnded(t, w)
		assertActive(t, w, next.proposer.Number())
		for _, a := range old.ended {
			assert.Equal(t, group.Refused, a.Vote)
		}
	})
}

func TestSidecarRestarts(t *testing.T) {
	// A sidecar restarts after its rank has loaded, promised, or received the
	// outcome, and has forgotten its votes. If it denied its promise, ranks that know
	// of the commit would go on without it. If the engine reports its state, the
	// sidecar continues from there; if not, it learns the outcome from another rank,
	// or the group forms again.
	points := map[string]group.MessageKind{"loaded": group.Promise, "promised": group.Outcome}
	for name, kind := range points {
		for _, dies := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", planner dies"}[dies], func(t *testing.T) {
				forEachKind(t, 4, func(t *testing.T, w *world) {
					p := w.planner(5)
					n := w.nodes[2]
					once := false
					w.onSend = func(from host.Name, m group.Message) bool {
						if m.Kind == kind && from == p.name && !once {
							once = true
							p.paused = dies
							w.later(0, func() { n.down = true })
							w.later(500*time.Millisecond, func() { w.boot(n) })
						}
						return !p.paused || from != p.name
					}
					reforms := w.epochs
					w.propose(p, 6)
					assertEnded(t, w)
					require.True(t, once)
					if w.engineKind.ReadsBack {
						assert.Equal(t, reforms, w.epochs, "the group formed again although the engine reports its state")
					}
				})
			})
		}
	}
}

func TestRestartedRankKeepsItsPromise(t *testing.T) {
	// The outcome reaches one rank, which is then partitioned for a while. The
	// planner dies, and another rank's sidecar restarts. The other ranks ask for
	// votes. If the restarted rank denied its promise, they would go on with the old
	// map and the first rank with the new one.
	forEachKind(t, 4, func(t *testing.T, w *world) {
		p := w.planner(5)
		first, restarted := w.nodes[0], w.nodes[2]
		outcomeSent := false
		w.onSend = func(from host.Name, m group.Message) bool {
			if from != p.name || m.Kind != group.Outcome || outcomeSent {
				return from != p.name || !outcomeSent
			}
			outcomeSent, p.paused = true, true
			w.later(5*time.Millisecond, func() { first.partitioned = true })
			w.later(3*time.Second, func() { first.partitioned = false })
			w.later(0, func() { restarted.down = true })
			w.later(100*time.Millisecond, func() { w.boot(restarted) })
			return true
		}
		w.propose(p, 6)
		assertEnded(t, w)
		require.True(t, outcomeSent)
		if w.engineKind.ReadsBack {
			assertActive(t, w, p.proposer.Number())
		}
	})
}

func TestUnsureRankIgnoresStaleEpochReport(t *testing.T) {
	// A restarted rank whose engine can't report its state asks in the old epoch, and
	// another rank answers that there is a newer one. That answer has no state of
	// its sender. The rank must not treat it as the report of a rank without an open
	// switch, because it would then lift a limit that it may have promised.
	w := newWorld(1, 2, order.Capabilities{ChecksFences: true})
	w.run(8 * time.Second)
	require.True(t, w.agreed())
	n := w.nodes[1]
	w.nodes[0].partitioned = true
	w.boot(n)
	w.run(time.Second)
	require.Equal(t, "unsure", n.sidecar.View().Phase)
	w.applySwitch(n, n.sidecar.Handle(w.now(), group.Event{Kind: group.Received, From: w.nodes[0].name, Message: group.Message{
		Kind: group.Report, Group: w.record.Name, Epoch: w.record.Epoch, Vote: group.Refused, Reason: group.StaleEpoch,
	}}))
	assert.Equal(t, "unsure", n.sidecar.View().Phase)
}

func TestWeightStoreDown(t *testing.T) {
	// The weight store is down for two ranks when a switch begins. If it recovers in
	// time, the switch goes on; if not, the ranks refuse and the group stays on its
	// map. No step may wait for the store.
	for name, down := range map[string]time.Duration{"for a while": 5 * time.Second, "for long": 25 * time.Second} {
		t.Run(name, func(t *testing.T) {
			forEachKind(t, 4, func(t *testing.T, w *world) {
				p := w.planner(5)
				w.nodes[3].engine.storeDown = true
				w.nodes[0].engine.storeDown = true
				waits := w.delayedSteps
				w.propose(p, 24)
				w.run(down)
				w.nodes[3].engine.storeDown = false
				w.nodes[0].engine.storeDown = false
				w.run(5 * time.Second)
				require.Len(t, p.ended, 1)
				assert.Equal(t, down < 20*time.Second, p.ended[0].Vote == group.Committed)
				assertEnded(t, w)
				assertDropped(t, w)
				assert.Equal(t, waits, w.delayedSteps)
			})
		})
	}
}

func TestOutcomeArrivesAfterRestart(t *testing.T) {
	// A switch has ended on all ranks. A sidecar restarts, and while it cancels what
	// its earlier incarnation may have ordered, late copies of the outcome arrive.
	// It must not treat this cancelling as a refusal of that switch.
	forEachKind(t, 3, func(t *testing.T, w *world) {
		p := w.planner(5)
		w.propose(p, 6)
		w.run(4 * time.Second)
		n := w.nodes[1]
		w.boot(n)
		late := group.Message{Kind: group.Outcome, Group: w.record.Name, Epoch: w.record.Epoch, Number: p.proposer.Number(), Vote: group.Committed, Step: 1}
		for range 50 {
			w.run(5 * time.Millisecond)
			w.deliver(p.name, n.name, late)
		}
		assertEnded(t, w)
		assertActive(t, w, p.proposer.Number())
	})
}
