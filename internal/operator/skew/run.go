package skew

import (
	"context"
	"runtime"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/standin/topic"
)

// result is what one policy did with one day.
type result struct {
	policy
	shape    expertmap.Shape
	hours    float64
	skews    []float64 // per window
	steady   []float64 // per window, on the demand without its noise
	times    []float64 // per window: step time of the experts relative to the ideal
	bounds   []float64 // per window: lower bound of times
	loads    int
	changes  int // of map
	fewest   int // lower bound of loads for what the plans reached
	planning []time.Duration
	memory   uint64 // most bytes allocated for one plan
}

// competitor is a policy with its state.
type competitor struct {
	result
	planner *plan.Planner
	m       *expertmap.Map
	next    *expertmap.Map // loading, or nil
	ready   time.Time      // when next is loaded
}

// run measures the policies on the same day.
func run(ctx context.Context, s scenario, shape expertmap.Shape, hours float64, seed uint64, policies []policy) ([]result, error) {
	r, err := newRun(s, shape, seed, policies)
	if err != nil {
		return nil, err
	}
	for range int(hours * 60) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := r.step(); err != nil {
			return nil, err
		}
	}
	var list []result
	for _, c := range r.competitors {
		c.hours = hours
		list = append(list, c.result)
	}
	return list, nil
}

// day is a run in progress.
type day struct {
	shape       expertmap.Shape
	source      *topic.Generator
	tracker     *demand.Tracker
	competitors []*competitor
	start       time.Time
	window      uint64
	planned     time.Time
}

func newRun(s scenario, shape expertmap.Shape, seed uint64, policies []policy) (*day, error) {
	size := demand.Size{Layers: shape.Layers, Experts: shape.Experts, Ranks: shape.Ranks}
	tracker, err := demand.New(size, demand.Config{})
	if err != nil {
		return nil, err
	}
	d := &day{shape: shape, source: s.source(shape.Ranks, seed), tracker: tracker, start: time.Unix(0, 0)}
	for _, p := range policies {
		planner, err := plan.New(plan.Config{
			Shape:       d.shape,
			Weights:     p.weights,
			ExpertBytes: expertBytes,
			StoreRate:   storeRate,
		})
		if err != nil {
			return nil, err
		}
		d.competitors = append(d.competitors, &competitor{result: result{policy: p, shape: shape}, planner: planner})
	}
	return d, nil
}

// step lets one window pass. Maps are judged by the window before it is known to
// those who choose them.
func (d *day) step() error {
	w := d.source.Next()
	now := d.start.Add(w.At)
	if err := d.judge(w); err != nil {
		return err
	}
	change, err := d.observe(w, now)
	if err != nil {
		return err
	}
	e := d.tracker.Estimate()
	if d.competitors[0].m == nil {
		return d.begin(e)
	}
	due := now.Sub(d.planned) >= period || change == demand.Shifted || !e.Settled()
	if due {
		d.planned = now
	}
	for _, c := range d.competitors {
		if err := c.step(now, due, e); err != nil {
			return err
		}
	}
	return nil
}

// observe reports the window to the tracker as the ranks would.
func (d *day) observe(w topic.Window, now time.Time) (demand.Change, error) {
	d.window++
	for r, v := range w.Speed {
		const work = 1e6
		report := demand.Report{
			Rank:   uint16(r),
			Window: d.window,
			Work:   work,
			Busy:   time.Duration(float64(time.Second) / v),
		}
		if r == 0 {
			report.Counts = w.Counts
		}
		if _, err := d.tracker.Handle(report); err != nil {
			return demand.Nothing, err
		}
	}
	return d.tracker.Close(now), nil
}

// begin gives everybody the same first map.
func (d *day) begin(e demand.Estimate) error {
	m, err := plan.Resolve(d.shape, e.Share, e.Speed)
	if err != nil {
		return err
	}
	for _, c := range d.competitors {
		c.m = m
	}
	return nil
}

// judge records what the maps in force do with a window.
func (d *day) judge(w topic.Window) error {
	if d.competitors[0].m == nil {
		return nil
	}
	bound := 0.0
	for l := range layers {
		bound += plan.Bound(d.shape, w.Share[l*experts:(l+1)*experts], w.Speed) / layers
	}
	for _, c := range d.competitors {
		f, err := plan.Predict(c.m, w.Share, w.Speed)
		if err != nil {
			return err
		}
		steady, err := plan.Predict(c.m, w.Mean, w.Speed)
		if err != nil {
			return err
		}
		c.skews = append(c.skews, f.Skew)
		c.steady = append(c.steady, steady.Skew)
		c.times = append(c.times, f.Time)
		c.bounds = append(c.bounds, bound)
	}
	return nil
}

// step puts a loaded map in force and plans if it is due.
func (c *competitor) step(now time.Time, due bool, e demand.Estimate) error {
	if c.next != nil && !now.Before(c.ready) {
		c.m, c.next = c.next, nil
	}
	if !due || c.next != nil || c.kind == never {
		return nil
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	to, err := c.choose(now, e)
	c.planning = append(c.planning, time.Since(began))
	runtime.ReadMemStats(&after)
	c.memory = max(c.memory, after.TotalAlloc-before.TotalAlloc)
	if err != nil || to == nil {
		return err
	}
	return c.install(now, to)
}

// choose returns the map that the policy wants, or nil to keep the one in force.
func (c *competitor) choose(now time.Time, e demand.Estimate) (*expertmap.Map, error) {
	if c.kind == planned {
		if err := c.planner.Observe(now, c.m, e); err != nil {
			return nil, err
		}
		p, err := c.planner.Plan(now, c.m, e)
		if err != nil {
			return nil, err
		}
		c.count(p, e)
		return p.Map, nil
	}
	to, err := plan.Resolve(c.m.Shape(), e.Share, e.Speed)
	if err != nil || c.kind == resolve {
		return to, err
	}
	return plan.Relabel(c.m, to, e.Speed), nil
}

// count adds the loads that the plan could not have done without.
func (c *competitor) count(p plan.Proposal, e demand.Estimate) {
	for _, step := range p.Layers {
		share := e.Share[step.Layer*experts : (step.Layer+1)*experts]
		c.fewest += plan.FewestLoads(c.m.Shape(), c.m.Layer(step.Layer), share, e.Speed, step.After)
	}
}

// install starts to load a map. The planner's loads take their time at the
// store's rate; the baselines have theirs at once.
func (c *competitor) install(now time.Time, to *expertmap.Map) error {
	d, err := expertmap.Diff(c.m, to)
	if err != nil {
		return err
	}
	c.loads += len(d.Loads)
	c.changes++
	if c.kind != planned {
		c.m = to
		return nil
	}
	if err := c.planner.Installed(now, c.m, to); err != nil {
		return err
	}
	seconds := float64(d.Bytes(expertBytes)) / storeRate
	c.next, c.ready = to, now.Add(time.Duration(seconds*float64(time.Second)))
	if seconds < time.Minute.Seconds() {
		c.m, c.next = to, nil
	}
	return nil
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

// quantile is the value that a part q of the list does not exceed.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
