package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	fleetAnswerTime = 700 * time.Millisecond // of a sound request
	// fleetStableWindow is the installation's stable_window_ms.
	fleetStableWindow = 3 * time.Second
)

// soundRequests simulates sound requests, which share parts of their prompts with those that crash targets.
type soundRequests struct {
	parts   func(*rand.Rand) []Fingerprint // of a request, besides the preamble; nil if there are none
	rate    float64                        // per second
	running []fleetRun
	tried   []time.Time
	began   []time.Time
}

// templateParts returns the parts of requests with a template of some parts; each is left out with a probability.
func templateParts(parts int, absent float64) func(*rand.Rand) []Fingerprint {
	return func(rng *rand.Rand) (list []Fingerprint) {
		for n := range parts {
			if rng.Float64() >= absent {
				list = append(list, PartFingerprint("svc", fmt.Sprint("template ", n)))
			}
		}
		return list
	}
}

// runSound ends the sound requests that have been answered, or were cut as their group closed, and sends new ones.
func (f *fleet) runSound() {
	s := &f.sound
	s.running = slices.DeleteFunc(s.running, func(r fleetRun) bool { return f.endSound(r) })
	if s.parts == nil || f.rng.Float64() >= s.rate*fleetStep.Seconds() {
		return
	}
	s.tried = append(s.tried, f.now)
	entry, parts := f.rng.IntN(len(f.entries)), append(s.parts(f.rng), preamble)
	if f.now.Before(f.closed) {
		return
	}
	if v := f.entries[entry].Begin(f.now, parts...); !v.Quarantined {
		s.began = append(s.began, f.now)
		s.running = append(s.running, fleetRun{entry: entry, sent: f.now, verdict: v, parts: parts})
	}
}

// endSound ends a sound request, and reports whether it did.
func (f *fleet) endSound(r fleetRun) bool {
	q := f.entries[r.entry]
	switch {
	case f.now.Before(f.closed):
		q.End(f.now, r.verdict, Failed, r.parts...)
		return true
	case f.now.Sub(r.sent) < fleetAnswerTime:
		return false
	}
	q.End(f.now, r.verdict, Served, r.parts...)
	reported := false
	q.OnReport = func() { reported = true }
	q.Answered(f.now, r.parts...)
	if reported {
		f.share(r.entry)
	}
	return true
}

// soundBegan returns which share of the sound requests began, from two stable windows after the fifth crash on, or the
// last of fewer.
func (f *fleet) soundBegan() float64 {
	from := f.crashes[min(len(f.crashes), 5)-1].Add(2 * fleetStableWindow)
	since := func(times []time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) {
				n++
			}
		}
		return n
	}
	return float64(since(f.sound.began)) / float64(max(since(f.sound.tried), 1))
}

// Guards against sound requests of all entries that are refused because they share several parts with one that
// crashes servers (LOST), and against trials of such requests that crash more servers than allowed (BUDGET).
func TestTrialsOfAllEntries(t *testing.T) {
	for _, c := range []struct {
		entries, parts int
		absent         float64 // probability of each part
		group          bool
		rate           float64
	}{
		{2, 2, 0, false, 0.5},
		{2, 2, 0, true, 2},
		{5, 1, 0, true, 2},
		{5, 2, 0, true, 10},
		{5, 4, 0, false, 10},
		{5, 2, 0.3, true, 2},
		{5, 4, 0.3, true, 10},
		{5, 4, 0.3, false, 2},
		{16, 3, 0, true, 5},
		{16, 3, 0.3, true, 20},
		{16, 3, 0.3, false, 20},
		{340, 2, 0, true, 20},
		{340, 3, 0.3, false, 20},
	} {
		for name, first := range map[string]time.Duration{"template of the first crash": 0, "template of later ones": time.Second} {
			t.Run(fmt.Sprint(c.entries, c.parts, c.absent, c.group, c.rate, " ", name), func(t *testing.T) {
				most, least := 0, 1.0
				for seed := range uint64(5) {
					f := newFleet(seed, c.entries, c.group)
					f.run(first, c.rate)
					f.sound = soundRequests{parts: templateParts(c.parts, c.absent), rate: max(10, float64(c.entries)/2)}
					f.run(45*time.Second, c.rate)
					most, least = max(most, len(f.crashes)), min(least, f.soundBegan())
					require.LessOrEqual(t, f.sentLate(fleetStableWindow), 3, "seed %d, %d crashes", seed, len(f.crashes))
					require.GreaterOrEqual(t, f.soundBegan(), 0.5, "seed %d, %d crashes", seed, len(f.crashes))
				}
				t.Logf("at most %d crashes, at least %.2f of the sound requests began", most, least)
			})
		}
	}
}
