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

// result holds the measurements of one policy on one generated day.
type result struct {
	policy
	shape       expertmap.Shape
	hours       float64
	skews       []float64 // per window
	noiseless   []float64 // per window, for the demand without its noise
	times       []float64 // per window: step time of the experts relative to the ideal
	bounds      []float64 // per window: lower bound of times
	loads       int
	mapSwitches int
	minLoads    int // lower bound on the loads for the step times that the plans reached
	planning    []time.Duration
	memory      uint64 // largest number of bytes allocated for one plan
}

// competitor is a policy with its maps and measurements.
type competitor struct {
	result
	planner *plan.Planner
	current *expertmap.Map
	next    *expertmap.Map // is being loaded, or nil
	ready   time.Time      // when next is loaded
}

// run measures all policies on the same generated day.
func run(ctx context.Context, s scenario, shape expertmap.Shape, hours float64, seed uint64, policies []policy) ([]result, error) {
	sim, err := newSimulation(s, shape, seed, policies)
	if err != nil {
		return nil, err
	}
	for range int(hours * 60) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := sim.step(); err != nil {
			return nil, err
		}
	}
	var list []result
	for _, c := range sim.competitors {
		c.hours = hours
		list = append(list, c.result)
	}
	return list, nil
}

// simulation is a run of all competitors on one day.
type simulation struct {
	shape       expertmap.Shape
	generator   *topic.Generator
	tracker     *demand.Tracker
	competitors []*competitor
	start       time.Time
	window      uint64
	lastPlan    time.Time
}

func newSimulation(s scenario, shape expertmap.Shape, seed uint64, policies []policy) (*simulation, error) {
	size := demand.Size{Layers: shape.Layers, Experts: shape.Experts, Ranks: shape.Ranks}
	tracker, err := demand.New(size, demand.Config{})
	if err != nil {
		return nil, err
	}
	d := &simulation{shape: shape, generator: s.newGenerator(shape.Ranks, seed), tracker: tracker, start: time.Unix(0, 0)}
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

// step simulates one window. The active maps are scored on the window before the
// tracker receives it, so that no policy is scored on demand that it has already seen.
func (d *simulation) step() error {
	w := d.generator.Next()
	now := d.start.Add(w.At)
	if err := d.score(w); err != nil {
		return err
	}
	change, err := d.observe(w, now)
	if err != nil {
		return err
	}
	e := d.tracker.Estimate()
	if d.competitors[0].current == nil {
		return d.setFirstMaps(e)
	}
	due := now.Sub(d.lastPlan) >= period || change == demand.Shifted || !e.Settled()
	if due {
		d.lastPlan = now
	}
	for _, c := range d.competitors {
		if err := c.step(now, due, e); err != nil {
			return err
		}
	}
	return nil
}

// observe reports the window to the tracker, in the way ranks do.
func (d *simulation) observe(w topic.Window, now time.Time) (demand.Change, error) {
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
			return demand.NoCounts, err
		}
	}
	return d.tracker.Close(now), nil
}

// setFirstMaps gives all competitors the same first map.
func (d *simulation) setFirstMaps(e demand.Estimate) error {
	m, err := plan.Resolve(d.shape, e.Share, e.Speed)
	if err != nil {
		return err
	}
	for _, c := range d.competitors {
		c.current = m
	}
	return nil
}

// score records the skew and step time of the active maps for a window.
func (d *simulation) score(w topic.Window) error {
	if d.competitors[0].current == nil {
		return nil
	}
	bound := 0.0
	for l := range layers {
		bound += plan.Bound(d.shape, w.Share[l*experts:(l+1)*experts], w.Speed) / layers
	}
	for _, c := range d.competitors {
		f, err := plan.Predict(c.current, w.Share, w.Speed)
		if err != nil {
			return err
		}
		noiseless, err := plan.Predict(c.current, w.NoiselessShare, w.Speed)
		if err != nil {
			return err
		}
		c.skews = append(c.skews, f.Skew)
		c.noiseless = append(c.noiseless, noiseless.Skew)
		c.times = append(c.times, f.Time)
		c.bounds = append(c.bounds, bound)
	}
	return nil
}

// step activates the next map once it is loaded, and chooses a new one when a plan is due.
func (c *competitor) step(now time.Time, due bool, e demand.Estimate) error {
	if c.next != nil && !now.Before(c.ready) {
		c.current, c.next = c.next, nil
	}
	if !due || c.next != nil || c.kind == never {
		return nil
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	next, err := c.choose(now, e)
	c.planning = append(c.planning, time.Since(began))
	runtime.ReadMemStats(&after)
	c.memory = max(c.memory, after.TotalAlloc-before.TotalAlloc)
	if err != nil || next == nil {
		return err
	}
	return c.install(now, next)
}

// choose returns the map that the policy chooses, or nil to keep the active one.
func (c *competitor) choose(now time.Time, e demand.Estimate) (*expertmap.Map, error) {
	if c.kind == planned {
		if err := c.planner.Observe(now, c.current, e); err != nil {
			return nil, err
		}
		p, err := c.planner.Plan(now, c.current, e)
		if err != nil {
			return nil, err
		}
		c.addMinLoads(p, e)
		return p.Map, nil
	}
	next, err := plan.Resolve(c.current.Shape(), e.Share, e.Speed)
	if err != nil || c.kind == resolve {
		return next, err
	}
	return plan.Relabel(c.current, next, e.Speed), nil
}

// addMinLoads adds the lower bound on the loads for the step times that the plan predicts.
func (c *competitor) addMinLoads(p plan.Proposal, e demand.Estimate) {
	for _, step := range p.Layers {
		share := e.Share[step.Layer*experts : (step.Layer+1)*experts]
		c.minLoads += plan.FewestLoads(c.current.Shape(), c.current.Layer(step.Layer), share, e.Speed, step.After)
	}
}

// install starts to load a map. The planner's loads take as long as they do at the rate
// of the weight store; a load of less than a minute counts as immediate. The maps of the
// baselines are active at once.
func (c *competitor) install(now time.Time, next *expertmap.Map) error {
	d, err := expertmap.Diff(c.current, next)
	if err != nil {
		return err
	}
	c.loads += len(d.Loads)
	c.mapSwitches++
	if c.kind != planned {
		c.current = next
		return nil
	}
	if err := c.planner.Installed(now, c.current, next); err != nil {
		return err
	}
	seconds := float64(d.Bytes(expertBytes)) / storeRate
	c.next, c.ready = next, now.Add(time.Duration(seconds*float64(time.Second)))
	if seconds < time.Minute.Seconds() {
		c.current, c.next = next, nil
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

// quantile returns the value that a fraction q of the list does not exceed.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
