package engine

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Group is a set of ranks in lock-step. A single rank forms a group as well.
type Group struct {
	cfg    Config
	ranks  []*Engine
	done   chan struct{}
	closed chan struct{}

	mu          sync.Mutex
	wake        *sync.Cond
	stopped     bool
	step        uint64 // number of the next step
	mixedSteps  int    // steps whose ranks had different maps
	storeFreeAt time.Time
	popularity  [][]float64 // share of the tokens by layer and expert
	rand        *rand.Rand
}

// New returns a single engine. Close it when done.
func New(cfg Config) *Engine {
	return NewGroup(cfg, 1).Rank(0)
}

// NewGroup returns a running group of ranks. Close it when done.
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

// Close stops the steps. Runs that are not finished never end.
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

// Step returns the number of the next step to begin.
func (g *Group) Step() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// MixedSteps returns the number of steps in which ranks had different maps, or a
// rank lacked weights of its map. Any number
// above zero violates the rule that all ranks use the same map.
func (g *Group) MixedSteps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixedSteps
}

// SetPopularity sets the share of the tokens that each expert gets, by layer.
func (g *Group) SetPopularity(shares [][]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.ranks {
		e.distributeTokens()
	}
	g.popularity = shares
}

func (g *Group) loop() {
	defer close(g.done)
	timer := time.NewTimer(0)
	<-timer.C
	for {
		stepTime, ok := g.beginStep()
		if !ok {
			return
		}
		timer.Reset(stepTime)
		select {
		case <-timer.C:
		case <-g.closed:
			return
		}
		g.finishStep()
	}
}

// beginStep waits until all ranks can begin the next step, and begins it. It returns
// the step time of the slowest rank, and false if the group is closed.
func (g *Group) beginStep() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.stopped && !g.canBegin() {
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
		g.mixedSteps++
	}
	g.step++
	return g.stepTime(), true
}

// canBegin reports whether all ranks can begin a step and there is work for it.
func (g *Group) canBegin() bool {
	hasWork := false
	for _, e := range g.ranks {
		if e.faults.Stalled || e.faults.Dead || e.orders.limited(g.step) {
			return false
		}
		if g.cfg.Map != nil && (!e.orders.joined || e.orders.epoch != g.ranks[0].orders.epoch) {
			return false
		}
		hasWork = hasWork || e.busy() || e.orders.pending()
	}
	return hasWork
}

func (g *Group) sameMap() bool {
	for _, e := range g.ranks {
		if e.orders.currentNumber != g.ranks[0].orders.currentNumber || !e.orders.holdsWeightsOf(e.orders.current) {
			return false
		}
	}
	return true
}

func (g *Group) finishStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, e := range g.ranks {
		e.advance()
		e.refreshLoad(now)
	}
}
