package demand

import (
	"math"
	"time"
)

// Change is what a window did to the estimate.
type Change uint8

// The effects of a window.
const (
	Nothing   Change = iota // no rank counted any token; the estimate stands
	Folded                  // the window was smoothed into the estimate
	Suspected               // the window lies far off and was set aside
	Dismissed               // the one set aside was a passing disturbance
	Shifted                 // two windows agree on a new demand; the estimate jumped
)

// Estimate is what is known about the demand of a group.
type Estimate struct {
	Size      Size
	Share     []float64     // part of a layer's tokens per layer and expert; each layer sums to 1
	Deviation []float64     // standard deviation of Share
	Speed     []float64     // per rank, relative to the group's median
	Lasts     time.Duration // how long Share will stay good, as far as drift and past shifts tell
	Windows   int           // windows behind the estimate since the start or the last shift
	At        time.Time     // end of the last window that brought counts
	Since     time.Time     // last sharp shift, zero if there was none
}

// Tracker estimates the demand of one group. It is not safe for concurrent use.
type Tracker struct {
	size   Size
	cfg    Config
	speeds speeds

	open     []float64 // tokens of the window being filled
	seen     []bool    // ranks that reported in it
	latest   []uint64  // per rank, 1 + the last window taken
	window   []float64 // shares of the window being folded
	before   []float64 // shares of the window before it
	tokens   []float64 // per layer, in the window being folded
	fast     []float64
	slow     []float64
	square   []float64 // variance of the demand's own noise in one window, without that of sampling
	variance []float64 // of fast
	aside    []float64 // shares of the window set aside
	pending  bool      // whether aside is in use

	windows   int
	folds     int     // windows folded since the start
	usual     float64 // smoothed distance of windows from the estimate
	spread    float64 // mean deviation of that distance
	believed  float64 // smoothed distance that noise as it is believed explains
	last      time.Time
	lastShift time.Time
	interval  time.Duration // shortest recent time between shifts, 0 if unknown
}

// New returns a tracker that knows nothing: every expert equally popular, every
// rank equally fast.
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
		size:     size,
		cfg:      cfg,
		speeds:   newSpeeds(size.Ranks, cfg),
		open:     make([]float64, n),
		seen:     make([]bool, size.Ranks),
		latest:   make([]uint64, size.Ranks),
		window:   make([]float64, n),
		before:   make([]float64, n),
		tokens:   make([]float64, size.Layers),
		fast:     uniform(size),
		slow:     uniform(size),
		square:   make([]float64, n),
		variance: make([]float64, n),
		aside:    make([]float64, n),
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

// Handle takes a rank's report into the open window and tells whether it was
// taken. A report that was seen before, or that is older than one that was, is
// not taken: counting it twice would make its rank's topics look popular.
func (t *Tracker) Handle(r Report) (bool, error) {
	if err := r.Validate(t.size); err != nil {
		return false, err
	}
	if t.seen[r.Rank] || r.Window+1 <= t.latest[r.Rank] {
		return false, nil
	}
	t.seen[r.Rank] = true
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
	clear(t.seen)
	if !t.normalise() {
		return Nothing
	}
	t.last = now
	defer func() { copy(t.before, t.window) }()
	d := t.distance(t.window, t.fast)
	if t.windows == 0 {
		return t.jump()
	}
	if t.pending {
		return t.settle(now, d)
	}
	if t.far(d) {
		t.pending = true
		copy(t.aside, t.window)
		return Suspected
	}
	t.fold(d)
	return Folded
}

// settle decides on the window set aside now that the next one is known.
func (t *Tracker) settle(now time.Time, d float64) Change {
	t.pending = false
	// One window far off can be a burst of one customer. Jumping to it would
	// load weights for demand that is gone by the time they arrive. Two windows
	// that resemble each other more than the past are a change that stays.
	if t.far(d) && t.distance(t.window, t.aside) < d {
		t.noteShift(now)
		return t.jump()
	}
	t.fold(d)
	return Dismissed
}

// far tells whether a window at distance d from the estimate may be a shift.
// The first windows only teach the usual spread, which holds on across a shift: when each
// shift began that anew, one that followed within two windows was taken for noise, and
// maps that were far off were left alone for an hour. Few tokens lie far off by chance.
func (t *Tracker) far(d float64) bool {
	const learning = 2 // windows after the first one
	if t.folds < learning {
		return false
	}
	usual := max(t.usual, t.chance())
	return d > usual+t.cfg.ShiftDeviations*t.spread+t.cfg.ShiftFloor
}

// chance is the distance that sampling alone puts between the window and the
// estimate.
func (t *Tracker) chance() float64 {
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
		t.interval = now.Sub(t.lastShift)
	}
	t.lastShift = now
}

// normalise turns the open window's tokens into shares and empties it. A layer
// without tokens keeps its estimate; it reports whether any layer had some.
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

// distance is the part of all tokens that a would send to other experts than b.
func (t *Tracker) distance(a, b []float64) float64 {
	sum := 0.0
	for i, x := range a {
		sum += math.Abs(x - b[i])
	}
	return sum / 2 / float64(t.size.Layers)
}

// firstNoise is the deviation of a window relative to the mean that is assumed
// until windows show it.
const firstNoise = 0.2

// jump replaces the estimate by the window. The one set aside before a sharp shift
// is not used: the demand may have changed in the middle of it.
func (t *Tracker) jump() Change {
	first := t.windows == 0
	for i, x := range t.window {
		t.fast[i] = x
		t.slow[i] = x
		if first {
			t.square[i] = firstNoise * firstNoise * x * x
		}
		t.variance[i] = t.noise(i)
	}
	if first {
		t.windows = 1
		return Folded
	}
	// Two windows agree, so there is enough to plan with.
	t.windows = 2
	return Shifted
}

// jitter is what the window and the one before it say of the variance of one
// window. The distance from the estimate would say too much while that trails a
// change, and the planner would take real skew for noise for an hour.
func (t *Tracker) jitter(i int) float64 {
	d := t.window[i] - t.before[i]
	return d * d / 2
}

// noise is the variance of one window's share, from the demand's own noise and
// from sampling.
func (t *Tracker) noise(i int) float64 {
	n := t.tokens[i/t.size.Experts]
	return max(0, t.square[i]) + t.fast[i]/max(n, 1)
}

// fold smooths the window, at distance d, into the estimate.
func (t *Tracker) fold(d float64) {
	t.windows++
	t.folds++
	gain := t.gain(t.cfg.Smooth)
	explained := t.explained()
	for l, n := range t.tokens {
		if n > 0 {
			t.foldLayer(l, n)
		}
	}
	t.believed += gain * (explained - t.believed)
	t.spread += gain * (math.Abs(d-t.usual) - t.spread)
	t.usual += gain * (d - t.usual)
}

// explained is the distance between the window and the estimate that noise as it is believed
// leads to.
func (t *Tracker) explained() float64 {
	sum := 0.0
	for i, v := range t.variance {
		sum += math.Sqrt(t.noise(i) + v)
	}
	return sum * meanAbs / 2 / float64(t.size.Layers)
}

// quiet is the part of the believed noise that the windows of the last minutes show. A shift
// that is smoothed in counts as noise of its experts for an hour; windows that lie close to the
// estimate meanwhile say that there is less. Without it a map that is uneven by less than that
// noise is kept, and callers wait for its hottest rank.
func (t *Tracker) quiet() float64 {
	if t.folds < settledWindows || t.believed == 0 {
		return 1
	}
	return min(1, t.usual/t.believed)
}

// enough is how many tokens per expert and minute give a window its full weight.
// At night the few tokens of a window say little, and following them would move
// experts by chance. Sampling puts 5% of noise on as many.
const enough = 400

func (t *Tracker) foldLayer(l int, tokens float64) {
	weight := min(1, tokens/float64(t.size.Experts)/(enough*t.cfg.Window.Minutes()))
	gain := weight * t.gain(t.cfg.Smooth)
	slow := weight * t.gain(t.cfg.Trail)
	learn := weight * max(gainOf(t.cfg.Window, t.cfg.Trail), 1/float64(t.folds))
	first := l * t.size.Experts
	for e, x := range t.layer(t.window, l) {
		i := first + e
		r := x - t.fast[i]
		t.square[i] += learn * (t.jitter(i) - t.fast[i]/tokens - t.square[i])
		t.variance[i] = (1-gain)*(1-gain)*t.variance[i] + gain*gain*t.noise(i)
		t.fast[i] += gain * r
		t.slow[i] += slow * (x - t.slow[i])
	}
}

// gain is the weight of a new window for a time constant. The first windows
// weigh more, so that the estimate starts as a plain mean.
func (t *Tracker) gain(constant time.Duration) float64 {
	return max(gainOf(t.cfg.Window, constant), 1/float64(t.windows))
}

func gainOf(window, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(window)/float64(constant))
}
