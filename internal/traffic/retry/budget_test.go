package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newBudget(cfg Config) *Budget {
	return NewBudget(epoch, cfg, rand.New(rand.NewPCG(1, 2)))
}

func attempt(attempts int) Attempt {
	return Attempt{Workspace: "a", Attempts: attempts, Deadline: epoch.Add(time.Hour)}
}

func TestNext(t *testing.T) {
	t.Run("a share of the first tries", func(t *testing.T) {
		// All targets fail. Each request would be tried three times, which triples the load; the
		// budget limits retries to its ratio, and to the burst it starts with.
		b := newBudget(Config{Ratio: 0.1, PerSecond: 0.001, Burst: 5})
		retries := 0
		for range 1000 {
			b.FirstAttempt("a")
			for n := 1; b.Next(epoch, attempt(n)).Verdict == Allowed; n++ {
				retries++
			}
		}
		assert.InDelta(t, 105, retries, 1)
		assert.EqualValues(t, retries, b.Counts().Retries)
		assert.EqualValues(t, 1000, b.Counts().First)
	})
	t.Run("a quiet service can retry", func(t *testing.T) {
		b := newBudget(Config{PerSecond: 1, Burst: 1})
		assert.Equal(t, Allowed, b.Next(epoch, attempt(1)).Verdict)
		assert.Equal(t, Exhausted, b.Next(epoch, attempt(1)).Verdict)
		assert.Equal(t, Allowed, b.Next(epoch.Add(time.Second), attempt(1)).Verdict)
	})
	t.Run("a workspace that is refused uses up its own balance", func(t *testing.T) {
		// One workspace sends far too many requests and is refused. Another's few refused requests
		// could be served by another target and still get their retries.
		b := newBudget(Config{Ratio: 0.1, PerSecond: 0.001, Burst: 5})
		for range 1000 {
			b.FirstAttempt("large")
			b.Next(epoch, Attempt{Workspace: "large", Attempts: 1, Deadline: epoch.Add(time.Hour)})
			b.FirstAttempt("a")
		}
		for range 5 {
			assert.Equal(t, Allowed, b.Next(epoch, attempt(1)).Verdict)
		}
		assert.Equal(t, Exhausted, b.Next(epoch, attempt(1)).Verdict)
	})
	t.Run("attempts are bounded", func(t *testing.T) {
		assert.Equal(t, TooMany, newBudget(Config{}).Next(epoch, attempt(3)).Verdict)
	})
	t.Run("the deadline bounds it", func(t *testing.T) {
		b := newBudget(Config{})
		late := Attempt{Attempts: 1, Deadline: epoch.Add(time.Second), AttemptTime: 500 * time.Millisecond, RetryAfter: 600 * time.Millisecond}
		assert.Equal(t, PastDeadline, b.Next(epoch, late).Verdict)
		late.RetryAfter = 400 * time.Millisecond
		d := b.Next(epoch, late)
		assert.Equal(t, Allowed, d.Verdict)
		assert.Equal(t, 400*time.Millisecond, d.Wait)
	})
	t.Run("waits spread and grow", func(t *testing.T) {
		b := newBudget(Config{Burst: 1e6, Attempts: 100, BackOff: 10 * time.Millisecond, MaxWait: time.Second})
		for attempts, most := range map[int]time.Duration{1: 20 * time.Millisecond, 3: 80 * time.Millisecond, 90: time.Second} {
			var sum, longest time.Duration
			for range 1000 {
				w := b.Next(epoch, attempt(attempts)).Wait
				sum += w
				longest = max(longest, w)
			}
			assert.LessOrEqual(t, longest, most)
			assert.Greater(t, longest, most*9/10)
			assert.InEpsilon(t, float64(most)/2, float64(sum)/1000, 0.1)
		}
	})
}
