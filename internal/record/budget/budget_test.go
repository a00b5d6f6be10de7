package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

func ExampleGate() {
	g := budget.New(budget.Config{Rate: 10, Burst: 2}, seeded(1))
	for range 3 {
		fmt.Println(g.Ask(start))
	}
	// Output:
	// {1 0s}
	// {1 0s}
	// {3 100ms}
}

// Under any sequence of calls and outcomes, the admitted calls stay within
// rate × time + burst, at most one probe is in progress at a time, and a closed
// gate admits nothing but probes.
func TestGateHoldsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := budget.Config{
			Rate:  rapid.Float64Range(0.5, 100).Draw(t, "rate"),
			Burst: rapid.IntRange(1, 50).Draw(t, "burst"),
		}
		g := budget.New(cfg, seeded(rapid.Uint64().Draw(t, "seed")))
		now := start
		allowed, probes := 0, 0
		var out []budget.Verdict
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			if len(out) > 0 && rapid.Bool().Draw(t, "report") {
				v := out[0]
				out = out[1:]
				o := rapid.SampledFrom([]budget.Outcome{budget.Answered, budget.Failed, budget.Abandoned}).Draw(t, "outcome")
				g.Report(now, v, o)
				if v == budget.Probe {
					probes--
				}
				continue
			}
			closed := g.Closed()
			d := g.Ask(now)
			switch d.Verdict {
			case budget.Allowed:
				assert.False(t, closed)
				allowed++
				out = append(out, d.Verdict)
			case budget.Probe:
				assert.True(t, closed)
				probes++
				out = append(out, d.Verdict)
			default:
				assert.Positive(t, d.Wait)
			}
			assert.LessOrEqual(t, probes, 1)
			limit := cfg.Rate*now.Sub(start).Seconds() + float64(cfg.Burst)
			assert.LessOrEqual(t, float64(allowed), limit+1e-6)
		}
	})
}

func TestBackoff(t *testing.T) {
	r := seeded(7)
	for attempt := range 80 {
		for range 20 {
			d := budget.Backoff(100*time.Millisecond, 10*time.Second, attempt, r)
			assert.GreaterOrEqual(t, d, time.Duration(0))
			assert.LessOrEqual(t, d, 10*time.Second)
			if attempt == 0 {
				assert.LessOrEqual(t, d, 100*time.Millisecond)
			}
		}
	}
}

// fleet runs many gates against one platform in virtual time.
type fleet struct {
	gates []*budget.Gate
	calls []int // in each second since the outage ended
}

// run has each process ask for one call in each period from start to end. The
// platform's outage lasts until back.
func (f *fleet) run(end, back time.Time, period time.Duration) {
	for now := start; now.Before(end); now = now.Add(period) {
		for _, g := range f.gates {
			d := g.Ask(now)
			if d.Verdict != budget.Allowed && d.Verdict != budget.Probe {
				continue
			}
			outcome := budget.Failed
			if !now.Before(back) {
				outcome = budget.Answered
				f.calls[int(now.Sub(back).Seconds())]++
			}
			g.Report(now, d.Verdict, outcome)
		}
	}
}

// A long outage of the platform ends. All processes have queued work; if each sent
// its whole burst at once, a platform that has just restarted would fail again. The
// full jitter spreads the probes, and after its first response each process starts
// at a tenth of its rate. The waits reach their bound within half a minute, so an
// outage of two minutes represents any longer one.
func TestReturnWithoutHerd(t *testing.T) {
	const processes = 400
	const watched = 20
	f := fleet{calls: make([]int, watched)}
	for i := range processes {
		f.gates = append(f.gates, budget.New(budget.Config{Rate: 1, Burst: 5}, seeded(uint64(i))))
	}
	back := start.Add(2 * time.Minute)
	f.run(back.Add(watched*time.Second), back, 100*time.Millisecond)
	t.Logf("calls in each second after the return: %v", f.calls)
	for sec, n := range f.calls[:5] {
		assert.Less(t, n, processes/3, "second %d", sec)
	}
	for sec, n := range f.calls {
		assert.LessOrEqual(t, n, processes+processes/10, "second %d", sec)
	}
}
