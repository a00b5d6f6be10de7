package demand

import (
	"math"
	"time"
)

// Change is the effect of a window on the estimate.
type Change uint8

// The effects of a window.
const (
	NoCounts  Change = iota // no rank counted any token; the estimate is unchanged
	Folded                  // the window was smoothed into the estimate
	Suspected               // the window lies far from the estimate and was set aside
	Dismissed               // the window set aside was a short disturbance
	Shifted                 // two windows agree on a new demand; the estimate jumped
)

// Estimate is the estimated demand of a group.
type Estimate struct {
	Size      Size
	Share     []float64     // part of a layer's tokens per layer and expert; each layer sums to 1
	Deviation []float64     // standard deviation of Share
	Speed     []float64     // per rank, relative to the group's median
	ValidFor  time.Duration // how long Share is expected to stay accurate, from drift and past shifts
	Windows   int           // windows in the estimate, since the start or the last shift
	At        time.Time     // end of the last window that brought counts
	LastShift time.Time     // last sharp shift, zero if there was none
}

// Tracker estimates the demand of one group. It is not safe for concurrent use.
type Tracker struct {
	size   Size
	cfg    Config
	speeds speeds

	open        []float64 // tokens of the window being filled
	reported    []bool    // ranks that reported in the open window
	latest      []uint64  // per rank, 1 + the number of the last window added
	window      []float64 // shares of the window being folded
	previous    []float64 // shares of the window before that
	tokens      []float64 // per layer, in the window being folded
	fast        []float64
	slow        []float64
	demandNoise []float64 // variance of the demand itself in one window, without that of sampling
	variance    []float64 // of fast
	setAside    []float64 // shares of the window set aside
	pending     bool      // whether setAside is in use

	windows       int
	folds         int     // windows folded since the start
	usualDistance float64 // smoothed distance of windows from the estimate
	spread        float64 // mean deviation of that distance
	noiseDistance float64 // smoothed distance that the estimated noise explains
	last          time.Time
	lastShift     time.Time
	shiftInterval time.Duration // time between the last two shifts, 0 if unknown
}

// New returns a tracker without any report: all experts have the same share, and all
// ranks the same speed.
func New(size Size, cfg Config) (*Tracker, error) {
	if err := size.Validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := size.cells()
	t := &Tracker{
		size:        size,
		cfg:         cfg,
		speeds:      newSpeeds(size.Ranks, cfg),
		open:        make([]float64, n),
		reported:    make([]bool, size.Ranks),
		latest:      make([]uint64, size.Ranks),
		window:      make([]float64, n),
		previous:    make([]float64, n),
		tokens:      make([]float64, size.Layers),
		fast:        uniform(size),
		slow:        uniform(size),
		demandNoise: make([]float64, n),
		variance:    make([]float64, n),
		setAside:    make([]float64, n),
	}
	return t, nil
}

func uniform(s Size) []float64 {
	share := make([]float64, s.cells())
	for i := range share {
		share[i] = 1 / float64(s.Experts)
	}
	return share
}

// Handle adds a rank's report to the open window and reports whether it was added.
// A report that arrived before, or that is older than one that did, is not added:
// counting it twice would make its rank's topics seem popular.
func (t *Tracker) Handle(r Report) (bool, error) {
	if err := r.Validate(t.size); err != nil {
		return false, err
	}
	if t.reported[r.Rank] || r.Window+1 <= t.latest[r.Rank] {
		return false, nil
	}
	t.reported[r.Rank] = true
	t.latest[r.Rank] = r.Window + 1
	for i, n := range r.Counts {
		t.open[i] += float64(n)
	}
	t.speeds.add(r)
	return true, nil
}

// Close ends the open window at time now and folds it into the estimate.
func (t *Tracker) Close(now time.Time) Change {
	t.speeds.fold()
	clear(t.reported)
	if !t.normalise() {
		return NoCounts
	}
	t.last = now
	defer func() { copy(t.previous, t.window) }()
	d := t.distance(t.window, t.fast)
	if t.windows == 0 {
		return t.jump()
	}
	if t.pending {
		return t.resolvePending(now, d)
	}
	if t.isFar(d) {
		t.pending = true
		copy(t.setAside, t.window)
		return Suspected
	}
	t.fold(d)
	return Folded
}

// resolvePending decides whether the window set aside was a shift, given the next window.
func (t *Tracker) resolvePending(now time.Time, d float64) Change {
	t.pending = false
	// One window far off can be a burst of one customer. Jumping to it would
	// load weights for demand that is gone by the time they arrive. Two windows
	// that are closer to each other than to the estimate are a lasting change.
	if t.isFar(d) && t.distance(t.window, t.setAside) < d {
		t.noteShift(now)
		return t.jump()
	}
	t.fold(d)
	return Dismissed
}

// isFar reports whether a window at distance d from the estimate may be a shift.
// The first windows only serve to learn the usual distance and its spread. Both are kept across
// a shift: when each shift reset them, one that followed within two windows was taken for noise,
// and maps that were far off were kept for an hour. A window with few tokens may lie far off by
// chance, which is allowed for.
func (t *Tracker) isFar(d float64) bool {
	const learning = 2 // windows after the first one
	if t.folds < learning {
		return false
	}
	usual := max(t.usualDistance, t.samplingDistance())
	return d > usual+t.cfg.ShiftDeviations*t.spread+t.cfg.ShiftFloor
}

// samplingDistance returns the distance between the window and the estimate that
// sampling alone explains.
func (t *Tracker) samplingDistance() float64 {
	sum := 0.0
	for l, n := range t.tokens {
		if n == 0 {
			continue
		}
		for _, p := range t.layer(t.fast, l) {
			sum += math.Sqrt(p / n)
		}
	}
	return sum * meanAbs / 2 / float64(t.size.Layers)
}

func (t *Tracker) noteShift(now time.Time) {
	if !t.lastShift.IsZero() {
		t.shiftInterval = now.Sub(t.lastShift)
	}
	t.lastShift = now
}

// normalise turns the open window's tokens into shares and empties it. A layer
// without tokens keeps its estimate. It reports whether any layer had tokens.
func (t *Tracker) normalise() bool {
	found := false
	for l := range t.size.Layers {
		cells := t.layer(t.open, l)
		sum := 0.0
		for _, n := range cells {
			sum += n
		}
		t.tokens[l] = sum
		if sum == 0 {
			copy(t.layer(t.window, l), t.layer(t.fast, l))
			continue
		}
		found = true
		w := t.layer(t.window, l)
		for e, n := range cells {
			w[e] = n / sum
		}
	}
	clear(t.open)
	return found
}

func (t *Tracker) layer(cells []float64, l int) []float64 {
	return cells[l*t.size.Experts : (l+1)*t.size.Experts]
}

// distance returns the part of all tokens that go to other experts under the shares a than under b.
func (t *Tracker) distance(a, b []float64) float64 {
	sum := 0.0
	for i, x := range a {
		sum += math.Abs(x - b[i])
	}
	return sum / 2 / float64(t.size.Layers)
}

// initialNoise is the deviation of a window, relative to the mean, that is assumed
// until windows show the real one.
const initialNoise = 0.2

// jump replaces the estimate with the window. The window set aside before a sharp shift
// is not used: the demand may have changed in the middle of it.
func (t *Tracker) jump() Change {
	first := t.windows == 0
	for i, x := range t.window {
		t.fast[i] = x
		t.slow[i] = x
		if first {
			t.demandNoise[i] = initialNoise * initialNoise * x * x
		}
		t.variance[i] = t.noise(i)
	}
	if first {
		t.windows = 1
		return Folded
	}
	// Two windows agree, which is enough to plan with.
	t.windows = 2
	return Shifted
}

// variation returns the variance of one window that the window and the one before it
// show. The distance from the estimate would be too large while the estimate trails a
// change, and the planner would take real skew for noise for an hour.
func (t *Tracker) variation(i int) float64 {
	d := t.window[i] - t.previous[i]
	return d * d / 2
}

// noise returns the variance of one window's share, from the demand itself and
// from sampling.
func (t *Tracker) noise(i int) float64 {
	n := t.tokens[i/t.size.Experts]
	return max(0, t.demandNoise[i]) + t.fast[i]/max(n, 1)
}

// fold smooths the window, at distance d, into the estimate.
func (t *Tracker) fold(d float64) {
	t.windows++
	t.folds++
	gain := t.gain(t.cfg.Smooth)
	expected := t.expectedDistance()
	for l, n := range t.tokens {
		if n > 0 {
			t.foldLayer(l, n)
		}
	}
	t.noiseDistance += gain * (expected - t.noiseDistance)
	t.spread += gain * (math.Abs(d-t.usualDistance) - t.spread)
	t.usualDistance += gain * (d - t.usualDistance)
}

// expectedDistance returns the distance between the window and the estimate that the estimated
// noise explains.
func (t *Tracker) expectedDistance() float64 {
	sum := 0.0
	for i, v := range t.variance {
		sum += math.Sqrt(t.noise(i) + v)
	}
	return sum * meanAbs / 2 / float64(t.size.Layers)
}

// noiseScale returns the part of the estimated noise that the windows of the last minutes show. A
// shift that is smoothed in counts as noise of its experts for an hour; windows that lie close to
// the estimate meanwhile show that the noise is less. Without this factor a map that is uneven by
// less than the estimated noise would be kept, and callers would wait for its most loaded rank.
func (t *Tracker) noiseScale() float64 {
	if t.folds < settledWindows || t.noiseDistance == 0 {
		return 1
	}
	return min(1, t.usualDistance/t.noiseDistance)
}

// fullWeightTokens is how many tokens per expert and minute give a window its full weight.
// At night the few tokens of a window are poor evidence, and following them would move
// experts by chance. The sampling noise of this many tokens is 5%.
const fullWeightTokens = 400

func (t *Tracker) foldLayer(l int, tokens float64) {
	weight := min(1, tokens/float64(t.size.Experts)/(fullWeightTokens*t.cfg.Window.Minutes()))
	gain := weight * t.gain(t.cfg.Smooth)
	slow := weight * t.gain(t.cfg.Trail)
	learn := weight * max(gainOf(t.cfg.Window, t.cfg.Trail), 1/float64(t.folds))
	first := l * t.size.Experts
	for e, x := range t.layer(t.window, l) {
		i := first + e
		r := x - t.fast[i]
		t.demandNoise[i] += learn * (t.variation(i) - t.fast[i]/tokens - t.demandNoise[i])
		t.variance[i] = (1-gain)*(1-gain)*t.variance[i] + gain*gain*t.noise(i)
		t.fast[i] += gain * r
		t.slow[i] += slow * (x - t.slow[i])
	}
}

// gain returns the weight of a new window for a time constant. The first windows
// weigh more, so that the estimate starts as a plain mean.
func (t *Tracker) gain(constant time.Duration) float64 {
	return max(gainOf(t.cfg.Window, constant), 1/float64(t.windows))
}

func gainOf(window, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(window)/float64(constant))
}
