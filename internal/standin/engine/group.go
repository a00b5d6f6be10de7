package engine

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Group is a set of ranks in lock-step. One rank alone is a group, too.
type Group struct {
	cfg    Config
	ranks  []*Engine
	done   chan struct{}
	closed chan struct{}

	mu         sync.Mutex
	wake       *sync.Cond
	stopped    bool
	step       uint64 // next step to begin
	mixed      int    // steps whose ranks had different maps
	storeFree  time.Time
	popularity [][]float64 // share of the tokens by layer and expert
	rand       *rand.Rand
}

// New returns a single engine. Close it when done.
func New(cfg Config) *Engine {
	return NewGroup(cfg, 1).Rank(0)
}

// NewGroup returns a running group of ranks.
func NewGroup(cfg Config, ranks int) *Group {
	cfg = cfg.withDefaults()
	g := &Group{
		cfg:    cfg,
		done:   make(chan struct{}),
		closed: make(chan struct{}),
		step:   1,
		rand:   rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	g.wake = sync.NewCond(&g.mu)
	g.popularity = evenPopularity(cfg.Map)
	for rank := range ranks {
		g.ranks = append(g.ranks, newEngine(g, rank))
	}
	go g.loop()
	return g
}

// Rank returns one rank.
func (g *Group) Rank(i int) *Engine { return g.ranks[i] }

// Close stops the steps. Runs that are under way never end.
func (g *Group) Close() {
	g.mu.Lock()
	if !g.stopped {
		g.stopped = true
		close(g.closed)
	}
	g.wake.Broadcast()
	g.mu.Unlock()
	<-g.done
}

// Step returns the next step to begin.
func (g *Group) Step() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// MixedSteps returns the number of steps in which ranks had different maps, or a
// rank lacked weights of its map.
// Any number above zero is a broken promise.
func (g *Group) MixedSteps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// SetPopularity sets the share of the tokens that goes to each expert, by layer.
func (g *Group) SetPopularity(shares [][]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.ranks {
		e.settleCounts()
	}
	g.popularity = shares
}

func (g *Group) loop() {
	defer close(g.done)
	timer := time.NewTimer(0)
	<-timer.C
	for {
		took, ok := g.begin()
		if !ok {
			return
		}
		timer.Reset(took)
		select {
		case <-timer.C:
		case <-g.closed:
			return
		}
		g.finish()
	}
}

// begin waits until all ranks can begin the next step, and begins it. It
// returns the time of the slowest rank.
func (g *Group) begin() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.stopped && !g.ready() {
		g.wake.Wait()
	}
	if g.stopped {
		return 0, false
	}
	for _, e := range g.ranks {
		e.orders.beginStep(g.step)
		e.admit()
	}
	if !g.sameMap() {
		g.mixed++
	}
	g.step++
	return g.price(), true
}

// ready tells whether a step can and should begin.
func (g *Group) ready() bool {
	work := false
	for _, e := range g.ranks {
		if e.faults.Stalled || e.faults.Dead || e.orders.holds(g.step) {
			return false
		}
		if g.cfg.Map != nil && (!e.orders.joined || e.orders.epoch != g.ranks[0].orders.epoch) {
			return false
		}
		work = work || e.busy() || e.orders.pending()
	}
	return work
}

func (g *Group) sameMap() bool {
	for _, e := range g.ranks {
		if e.orders.number != g.ranks[0].orders.number || !e.orders.whole(e.orders.current) {
			return false
		}
	}
	return true
}

func (g *Group) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, e := range g.ranks {
		e.advance()
		e.snapshot(now)
	}
}
