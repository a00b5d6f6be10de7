package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/standin/topic"
)

// BenchmarkPlan plans for 256 experts in 58 layers, after an hour of drift and just
// after a sharp shift.
func BenchmarkPlan(b *testing.B) {
	for _, size := range [][2]int{{16, 18}, {64, 5}, {256, 2}, {256, 3}} {
		s := expertmap.Shape{Layers: 58, Experts: 256, Ranks: size[0], Slots: size[1]}
		for _, after := range []string{"drift", "shift"} {
			b.Run(fmt.Sprintf("%s/%dx%d", after, s.Ranks, s.Slots), func(b *testing.B) {
				benchmark(b, s, after == "shift")
			})
		}
	}
}

func benchmark(b *testing.B, s expertmap.Shape, shift bool) {
	cfg := topic.Config{Layers: s.Layers, Experts: s.Experts, Ranks: s.Ranks}
	if shift {
		cfg.Terms = []time.Duration{59 * time.Minute}
	}
	source := topic.New(cfg, rand.New(rand.NewPCG(1, 1)))
	tracker, err := demand.New(demand.Size{Layers: s.Layers, Experts: s.Experts, Ranks: s.Ranks}, demand.Config{})
	require.NoError(b, err)
	var m *expertmap.Map
	for i := range uint64(61) {
		_, err := tracker.Handle(demand.Report{Window: i, Counts: source.Next().Counts})
		require.NoError(b, err)
		tracker.Close(startTime.Add(time.Duration(i) * time.Minute))
		if i == 5 {
			e := tracker.Estimate()
			m, err = Resolve(s, e.Share, e.Speed)
			require.NoError(b, err)
		}
	}
	planner, err := New(Config{Shape: s, StoreRate: 4e9})
	require.NoError(b, err)
	e := tracker.Estimate()
	b.ReportAllocs()
	for b.Loop() {
		p, err := planner.Plan(startTime.Add(time.Hour), m, e)
		require.NoError(b, err)
		require.Equal(b, Move, p.Reason)
	}
}
