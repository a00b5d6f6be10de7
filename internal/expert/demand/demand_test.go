package demand

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var small = Size{Layers: 2, Experts: 8, Ranks: 4}

// feed gives a tracker windows of reports.
type feed struct {
	t       *testing.T
	tracker *Tracker
	window  uint64
	now     time.Time
}

func newFeed(t *testing.T, size Size, cfg Config) *feed {
	tracker, err := New(size, cfg)
	require.NoError(t, err)
	return &feed{t: t, tracker: tracker, now: time.Unix(1e9, 0)}
}

func (f *feed) close(reports ...Report) Change {
	f.window++
	f.now = f.now.Add(time.Minute)
	for _, r := range reports {
		r.Window = f.window
		added, err := f.tracker.Handle(r)
		require.NoError(f.t, err)
		require.True(f.t, added)
	}
	return f.tracker.Close(f.now)
}

// repeat closes n windows of the same report and returns the last change.
func (f *feed) repeat(n int, r Report) Change {
	change := NoCounts
	for range n {
		change = f.close(r)
	}
	return change
}

// weights returns counts that are the same in all layers.
func weights(s Size, perExpert ...uint32) []uint32 {
	counts := make([]uint32, 0, s.cells())
	for range s.Layers {
		counts = append(counts, perExpert...)
	}
	return counts
}

func requireShare(t *testing.T, e Estimate, layer, expert int, want, tolerance float64) {
	t.Helper()
	require.InDelta(t, want, e.Share[layer*e.Size.Experts+expert], tolerance)
}

var (
	calm  = weights(small, 100, 100, 100, 100, 100, 100, 100, 100)
	other = weights(small, 800, 100, 100, 100, 100, 100, 100, 100)
)

func TestReports(t *testing.T) {
	cases := []struct {
		name string
		r    Report
		ok   bool
	}{
		{"counts", Report{Rank: 3, Counts: calm}, true},
		{"no counts", Report{Rank: 0, Work: 5, Busy: time.Second}, true},
		{"rank out of range", Report{Rank: 4}, false},
		{"too few counts", Report{Counts: calm[:3]}, false},
		{"negative busy time", Report{Busy: -1}, false},
		{"absurd busy time", Report{Busy: 2 * time.Hour}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFeed(t, small, Config{})
			added, err := f.tracker.Handle(c.r)
			require.Equal(t, c.ok, added)
			require.Equal(t, c.ok, err == nil)
		})
	}
}

// A report arrives twice, and an older one arrives after a newer one, because its link
// was slow. Counting them would make one rank's topics seem popular, so the estimate
// must follow from the first arrivals only.
func TestRepeatedAndLateReports(t *testing.T) {
	f := newFeed(t, small, Config{})
	f.close(Report{Rank: 1, Counts: calm})
	r := Report{Rank: 1, Window: 5, Counts: calm}
	added, err := f.tracker.Handle(r)
	require.NoError(t, err)
	require.True(t, added)
	for _, window := range []uint64{5, 4} {
		r.Window, r.Counts = window, other
		added, err = f.tracker.Handle(r)
		require.NoError(t, err)
		require.False(t, added)
	}
	f.tracker.Close(f.now.Add(time.Minute))
	added, err = f.tracker.Handle(r)
	require.NoError(t, err)
	require.False(t, added)
	requireShare(t, f.tracker.Estimate(), 0, 0, 1.0/8, 1e-9)
}

// Demand falls to zero at night, or the counts of one layer are missing. Windows without
// counts leave the estimate as it is, and Estimate.At shows its age.
func TestZeroCounts(t *testing.T) {
	f := newFeed(t, small, Config{})
	f.repeat(5, Report{Counts: other})
	at := f.tracker.Estimate().At
	require.Equal(t, NoCounts, f.repeat(3, Report{Counts: make([]uint32, small.cells())}))
	require.Equal(t, NoCounts, f.close())
	require.Equal(t, at, f.tracker.Estimate().At)
	half := append(make([]uint32, small.Experts), other[small.Experts:]...)
	require.Equal(t, Folded, f.close(Report{Counts: half}))
	requireShare(t, f.tracker.Estimate(), 0, 0, 8.0/15, 1e-9)
}

// A school term starts: from one window to the next most tokens go to other experts,
// and stay there. The estimate must jump after the second window, since smoothing
// alone would leave the group unbalanced for a quarter of an hour.
func TestShiftJumps(t *testing.T) {
	f := newFeed(t, small, Config{})
	f.repeat(10, Report{Counts: calm})
	require.Equal(t, Suspected, f.close(Report{Counts: other}))
	requireShare(t, f.tracker.Estimate(), 0, 0, 1.0/8, 1e-9)
	require.Equal(t, Shifted, f.close(Report{Counts: other}))
	e := f.tracker.Estimate()
	requireShare(t, e, 0, 0, 8.0/15, 1e-9)
	require.Equal(t, f.now, e.LastShift)
	require.Equal(t, 2, e.Windows)
	require.False(t, e.Settled())
}

// Demand shifts, and shifts back two windows later. When the first window after the jump was not
// compared with the estimate, as if the usual distance were not known yet, the shift back was
// smoothed in and taken for noise, and maps that were ten percent off were kept for an hour.
func TestShiftAfterAShift(t *testing.T) {
	f := newFeed(t, small, Config{})
	f.repeat(10, Report{Counts: calm})
	for _, counts := range [][]uint32{other, calm, other} {
		require.Equal(t, Suspected, f.close(Report{Counts: counts}))
		require.Equal(t, Shifted, f.close(Report{Counts: counts}))
	}
	e := f.tracker.Estimate()
	requireShare(t, e, 0, 0, 8.0/15, 1e-9)
	require.Less(t, e.Deviation[0], 0.1*e.Share[0], "there was no noise")
}

// One customer's batch fills a single window and is gone in the next. Jumping to
// it would load weights for demand that has passed.
func TestBurstIsDismissed(t *testing.T) {
	f := newFeed(t, small, Config{})
	f.repeat(10, Report{Counts: calm})
	require.Equal(t, Suspected, f.close(Report{Counts: other}))
	require.Equal(t, Dismissed, f.close(Report{Counts: calm}))
	requireShare(t, f.tracker.Estimate(), 0, 0, 1.0/8, 1e-9)
}

func TestLasts(t *testing.T) {
	t.Run("steady demand lasts long", func(t *testing.T) {
		f := newFeed(t, small, Config{})
		f.repeat(60, Report{Counts: calm})
		require.Equal(t, 2*time.Hour, f.tracker.Estimate().ValidFor)
	})
	t.Run("drift shortens it", func(t *testing.T) {
		f := newFeed(t, small, Config{})
		for i := range 240 {
			// 1 part in 1,000 of the tokens moves to the first expert per window.
			n := uint32(i)
			f.close(Report{Counts: weights(small, 1250+10*n, 1250-2*n, 1250-2*n, 1250-2*n, 1250-2*n, 1250-2*n, 1250, 1250)})
		}
		lasts := f.tracker.Estimate().ValidFor
		require.InDelta(t, 100, lasts.Minutes(), 25)
	})
	t.Run("no longer than between shifts", func(t *testing.T) {
		f := newFeed(t, small, Config{})
		for range 3 {
			f.repeat(10, Report{Counts: calm})
			f.repeat(10, Report{Counts: other})
		}
		require.Equal(t, 10*time.Minute, f.tracker.Estimate().ValidFor)
	})
}

// Noise of a fifth per expert and window must not be taken for a shift, and the
// deviation must show how far off the estimate still is.
func TestNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	size := Size{Layers: 20, Experts: 32, Ranks: 1}
	f := newFeed(t, size, Config{})
	counts := make([]uint32, size.cells())
	for range 120 {
		for i := range counts {
			counts[i] = uint32(1000 * math.Exp(0.2*rng.NormFloat64()))
		}
		require.Equal(t, Folded, f.close(Report{Counts: counts}))
	}
	e := f.tracker.Estimate()
	outside := 0
	for i, d := range e.Deviation {
		if math.Abs(e.Share[i]-1.0/32) > 2*d {
			outside++
		}
	}
	require.Less(t, outside, len(e.Share)/8)
	require.Greater(t, e.ValidFor, 30*time.Minute)
}

// Guards against an uneven map that is kept for hours because earlier shifts of demand count as noise.
func TestShiftsAreNotNoiseOnceDemandHasSettled(t *testing.T) {
	f := newFeed(t, small, Config{})
	one, reversed := weights(small, 10, 20, 30, 40, 50, 60, 70, 80), weights(small, 80, 70, 60, 50, 40, 30, 20, 10)
	scaled := func(counts []uint32) Report {
		r := Report{Counts: make([]uint32, len(counts))}
		for i, n := range counts {
			r.Counts[i] = 1000 * n
		}
		return r
	}
	for n := range 24 {
		f.repeat(1+n%4, scaled(one))
		f.repeat(1+n%3, scaled(reversed))
	}
	shifting := f.tracker.Estimate()
	require.Greater(t, shifting.Deviation[7], 0.01*shifting.Share[7], "demand has not settled yet")
	f.repeat(40, scaled(reversed))
	e := f.tracker.Estimate()
	for i, d := range e.Deviation {
		require.Less(t, d, 0.01*e.Share[i], "expert %d has had the same share for 40 minutes", i)
	}
}

// At night the same customers ask for a hundredth of the tokens. Windows then differ by
// a quarter by chance. That is no shift, and the estimate of the evening must still
// hold in the morning.
func TestQuietNight(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	size := Size{Layers: 20, Experts: 32, Ranks: 1}
	f := newFeed(t, size, Config{})
	window := func(mean float64) []uint32 {
		counts := make([]uint32, size.cells())
		for i := range counts {
			counts[i] = uint32(math.Max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
		}
		return counts
	}
	for i := range 180 {
		mean := 2000.0
		if i >= 60 {
			mean = 20
		}
		require.Equal(t, Folded, f.close(Report{Counts: window(mean)}), "window %d", i)
	}
	off := 0.0
	for _, share := range f.tracker.Estimate().Share {
		off += math.Abs(32*share-1) / float64(size.cells())
	}
	require.Less(t, off, 0.03)
}

// One rank throttles to 70%. Its speed must fall to that while the others' stay at
// exactly 1, and it must rise again both when the rank works at full speed and when
// it gets no work at all.
func TestSlowRank(t *testing.T) {
	window := func(f *feed, slow uint64) {
		reports := make([]Report, small.Ranks)
		for r := range reports {
			reports[r] = Report{Rank: uint16(r), Work: 1000, Busy: time.Second}
		}
		reports[2].Work = slow
		reports[0].Counts = calm
		f.close(reports...)
	}
	slowed := func(t *testing.T) *feed {
		f := newFeed(t, small, Config{})
		for range 60 {
			window(f, 700)
		}
		speed := f.tracker.Estimate().Speed
		require.InDelta(t, 0.7, speed[2], 0.01)
		require.Equal(t, []float64{1, 1, 1}, []float64{speed[0], speed[1], speed[3]})
		return f
	}
	t.Run("recovers with work", func(t *testing.T) {
		f := slowed(t)
		for range 40 {
			window(f, 1000)
		}
		require.Equal(t, 1.0, f.tracker.Estimate().Speed[2])
	})
	t.Run("recovers without work", func(t *testing.T) {
		f := slowed(t)
		for range 200 {
			window(f, 0)
		}
		require.Equal(t, 1.0, f.tracker.Estimate().Speed[2])
	})
}

func TestSampled(t *testing.T) {
	for _, ranks := range []int{1, 16, 256, 250} {
		turns := make([]int, ranks)
		windows := uint64((ranks + 3) / 4)
		for w := range windows {
			sent := 0
			for r := range turns {
				if Sampled(uint16(r), w, ranks, 4) {
					turns[r]++
					sent++
				}
			}
			require.LessOrEqual(t, sent, 4)
		}
		for r, n := range turns {
			require.Equal(t, 1, n, "rank %d of %d", r, ranks)
		}
	}
}

func TestConfig(t *testing.T) {
	bad := []Config{
		{Window: -1},
		{Window: time.Hour},
		{Smooth: time.Hour},
		{MinLasts: 3 * time.Hour},
		{Tolerance: -1},
		{ShiftFloor: math.NaN()},
	}
	for _, cfg := range bad {
		_, err := New(small, cfg)
		require.Error(t, err)
	}
	for _, size := range []Size{{}, {Layers: 1, Experts: 1}, {Layers: MaxLayers + 1, Experts: 1, Ranks: 1}} {
		_, err := New(size, Config{})
		require.Error(t, err)
	}
}

// Whatever ranks report, the estimate is valid: shares sum to 1, and deviations, speeds
// and times are within their bounds.
func TestEstimateStaysValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tracker, err := New(small, Config{})
		require.NoError(t, err)
		now := time.Unix(1e9, 0)
		for w := range uint64(rapid.IntRange(1, 40).Draw(rt, "windows")) {
			for range rapid.IntRange(0, 3).Draw(rt, "reports") {
				r := Report{
					Rank:   uint16(rapid.IntRange(0, small.Ranks-1).Draw(rt, "rank")),
					Window: w,
					Work:   rapid.Uint64().Draw(rt, "work"),
					Busy:   time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "busy")),
				}
				if rapid.Bool().Draw(rt, "counted") {
					r.Counts = rapid.SliceOfN(rapid.Uint32(), small.cells(), small.cells()).Draw(rt, "counts")
				}
				_, err := tracker.Handle(r)
				require.NoError(rt, err)
			}
			now = now.Add(time.Minute)
			tracker.Close(now)
			requireValid(rt, tracker.Estimate())
		}
	})
}

func requireValid(t require.TestingT, e Estimate) {
	for l := range e.Size.Layers {
		sum := 0.0
		for _, share := range e.Share[l*e.Size.Experts : (l+1)*e.Size.Experts] {
			require.GreaterOrEqual(t, share, 0.0)
			sum += share
		}
		require.InDelta(t, 1, sum, 1e-9)
	}
	for _, d := range e.Deviation {
		require.False(t, math.IsNaN(d) || d < 0 || d > 1)
	}
	for _, v := range e.Speed {
		require.True(t, v >= minSpeed && v <= maxSpeed)
	}
	require.True(t, e.ValidFor >= 5*time.Minute && e.ValidFor <= 2*time.Hour)
}
