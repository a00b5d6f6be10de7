package group_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// TestMeasure prints what switches cost at three sizes of group. It runs only
// with GROUP_MEASURE set, because it takes a minute.
func TestMeasure(t *testing.T) {
	if os.Getenv("GROUP_MEASURE") == "" {
		t.Skip("GROUP_MEASURE is not set")
	}
	const switches = 20
	fmt.Println("ranks moves   loss  steps waits messages   kB  decide-ms  spread-ms")
	for _, ranks := range []int{16, 64, 256} {
		for _, moves := range []int{64, 1000} {
			for _, loss := range []float64{0, 0.001, 0.01} {
				measure(t, ranks, moves, loss, switches)
			}
		}
	}
}

func measure(t *testing.T, ranks, moves int, loss float64, switches int) {
	shape := expertmap.Shape{Layers: 58, Experts: 256, Ranks: ranks, Slots: 256/ranks + 2}
	w := newWorldOf(uint64(ranks+moves), shape, order.Capabilities{ChecksFences: true, ReadsBack: true})
	w.messageDelay = func() time.Duration {
		d := time.Duration(200+w.rng.IntN(1800)) * time.Microsecond
		if w.rng.IntN(100) == 0 {
			d += time.Duration(5+w.rng.IntN(25)) * time.Millisecond
		}
		return d
	}
	for at := time.Duration(0); !w.agreed(); at += time.Second {
		require.Less(t, at, 10*time.Minute)
		w.run(time.Second)
	}
	w.run(5 * time.Second)
	w.messageLoss, w.messages, w.bytes, w.delayedSteps = loss, 0, 0, 0
	steps := w.step
	w.storeRate = int64(moves) * expertBytes // loading takes a second
	p := w.planner(5)
	var decided, spread time.Duration
	for range switches {
		p.ended = nil
		w.propose(p, moves)
		ended := w.until(func() bool { return len(p.ended) > 0 })
		require.Equal(t, group.Committed, p.ended[0].Vote)
		decided += ended - w.promisesAskedAt
		spread += w.until(func() bool { return !p.proposer.Busy() }) - w.promisesAskedAt
		w.run(time.Second)
	}
	require.Empty(t, w.failures)
	n := switches
	fmt.Printf("%5d %5d %6.3f %6d %5d %8d %4d %10.1f %10.1f\n", ranks, moves, loss, w.step-steps, w.delayedSteps,
		w.messages/n, w.bytes/n/1000, millis(decided)/float64(n), millis(spread)/float64(n))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkRankSwitch measures what one rank of 256 spends on a switch of 64 moves:
// decoding, checking and handling the messages, and encoding the answers.
func BenchmarkRankSwitch(b *testing.B) {
	w := newWorldOf(1, expertmap.Shape{Layers: 58, Experts: 256, Ranks: 256, Slots: 3}, order.Capabilities{ChecksFences: true, ReadsBack: true})
	for !w.agreed() {
		w.run(time.Second)
	}
	n := w.nodes[0]
	var inbox [][]byte
	w.onDeliver = func(to host.Name, m group.Message) {
		if to == n.name {
			payload, err := m.Encode()
			require.NoError(b, err)
			inbox = append(inbox, payload)
		}
	}
	p := w.planner(5)
	w.propose(p, 64)
	w.until(func() bool { return len(p.ended) > 0 && !p.proposer.Busy() })
	b.ReportAllocs()
	for b.Loop() {
		sw := *n.sidecar // each round begins with the state after the switch; the proposal is checked in full
		for _, payload := range inbox {
			m, err := group.Decode(payload)
			require.NoError(b, err)
			m.Number += 1 << 20
			m.Base = sw.View().ActiveNumber
			for _, a := range sw.Handle(w.now(), group.Event{Kind: group.Received, From: p.name, Message: m}) {
				_, _ = a.Message.Encode()
			}
		}
	}
	b.ReportMetric(float64(len(inbox)), "messages")
}

// BenchmarkPlannerSwitch measures what the planner's process spends on the same
// switch.
func BenchmarkPlannerSwitch(b *testing.B) {
	w := newWorldOf(1, expertmap.Shape{Layers: 58, Experts: 256, Ranks: 256, Slots: 3}, order.Capabilities{ChecksFences: true, ReadsBack: true})
	for !w.agreed() {
		w.run(time.Second)
	}
	type envelope struct {
		from    host.Name
		payload []byte
	}
	var inbox []envelope
	var proposal *group.Proposal
	p := w.planner(5)
	w.onDeliver = func(to host.Name, m group.Message) {
		if to == p.name {
			payload, err := m.Encode()
			require.NoError(b, err)
			inbox = append(inbox, envelope{w.sender, payload})
		}
	}
	w.onPropose = func(started *group.Proposal) { proposal = started }
	w.propose(p, 64)
	w.until(func() bool { return len(p.ended) > 0 && !p.proposer.Busy() })
	b.ReportAllocs()
	for b.Loop() {
		fresh := group.NewProposer(time.Hour)
		actions := fresh.Handle(w.now(), group.Event{Kind: group.Start, Proposal: proposal})
		for _, l := range inbox {
			for _, a := range actions {
				_, _ = a.Message.Encode()
			}
			m, err := group.Decode(l.payload)
			require.NoError(b, err)
			actions = fresh.Handle(w.now(), group.Event{Kind: group.Received, From: l.from, Message: m})
		}
		require.False(b, fresh.Busy())
	}
	b.ReportMetric(float64(len(inbox)), "messages")
}
