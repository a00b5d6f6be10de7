package planner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/topic"
)

// BenchmarkAnswer encodes and decodes a rank's answer, without and with its counts:
// 256 experts, 58 layers and, at 540 tokens a second with 8 experts each, about
// 1,000 tokens per expert in a minute.
func BenchmarkAnswer(b *testing.B) {
	source := topic.New(topic.Config{Layers: 58, Experts: 256, Ranks: 1, Tokens: 1012}, rand.New(rand.NewPCG(1, 1)))
	for _, withCounts := range []bool{false, true} {
		name := "plain"
		m := Message{Group: "drafting", Window: 1000, Answer: &Answer{Rank: 200, Steps: 13_000, Busy: time.Minute}}
		if withCounts {
			name = "counts"
			m.Answer.Counts = source.Next().Counts
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				payload, err := m.Encode()
				require.NoError(b, err)
				_, err = Decode(payload)
				require.NoError(b, err)
				b.ReportMetric(float64(len(payload)), "bytes")
			}
		})
	}
}
