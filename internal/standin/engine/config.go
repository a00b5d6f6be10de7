package engine

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Defaults of a [Config].
const (
	DefaultStep        = 4500 * time.Microsecond
	DefaultMaxBatch    = 64
	DefaultMaxWaiting  = 256
	DefaultCacheBlocks = 4096
	DefaultGrace       = 5 * time.Second
	DefaultExpertBytes = 40 << 20
	DefaultStoreRate   = 4 << 30
)

// prefillBlocks is how many uncached prompt blocks a step works off.
const prefillBlocks = 64

// Config sets up an engine, or each rank of a group. Zero fields take the defaults.
type Config struct {
	Step        time.Duration  // time of a step in balance
	MaxBatch    int            // requests in a step of one rank
	MaxWaiting  int            // requests that wait; more are refused with 503
	CacheBlocks int            // prefix blocks that the cache holds
	EventDelay  time.Duration  // cache events are visible so much later
	EventLoss   float64        // share of cache events that are lost
	LoadLag     time.Duration  // a load report is up to so old
	IgnoreFence bool           // orders with an old fence are carried out
	CheckIDs    bool           // orders with an id below the highest taken are refused
	NoReadBack  bool           // orders can't be read back
	Grace       time.Duration  // a kept run without a reader is cancelled after so long
	Map         *expertmap.Map // map in force at the start, as number 1; nil for no experts
	ExpertBytes int64          // size of one expert's weights in one layer
	StoreRate   int64          // bytes a second of the weight store, shared by the group
	Seed        uint64         // of the random losses
}

func (c Config) withDefaults() Config {
	if c.Step <= 0 {
		c.Step = DefaultStep
	}
	if c.MaxBatch <= 0 {
		c.MaxBatch = DefaultMaxBatch
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = DefaultCacheBlocks
	}
	if c.Grace <= 0 {
		c.Grace = DefaultGrace
	}
	if c.ExpertBytes <= 0 {
		c.ExpertBytes = DefaultExpertBytes
	}
	if c.StoreRate <= 0 {
		c.StoreRate = DefaultStoreRate
	}
	return c
}

// Faults says how an engine misbehaves. The zero value is a healthy one.
type Faults struct {
	Stalled    bool    `json:"stalled"`    // begins no step; its group waits
	Slow       float64 `json:"slow"`       // its step time is multiplied by this; 0 for 1
	CloseAfter int     `json:"closeAfter"` // streams break after so many tokens; 0 for never
	Silent     bool    `json:"silent"`     // requests run, but nothing is ever sent back
	Refuse     bool    `json:"refuse"`     // requests get 503 and do not run
	Dead       bool    `json:"dead"`       // connections break; runs and orders are forgotten
}

// SetFaults replaces the rank's faults.
func (e *Engine) SetFaults(f Faults) {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Dead && !e.faults.Dead {
		e.die()
	}
	e.faults = f
	g.wake.Broadcast()
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.faults
}

// die forgets all that a process forgets. The group's lock held.
func (e *Engine) die() {
	for _, r := range e.runs {
		r.finish(cancelled)
	}
	e.runs = make(map[string]*run)
	e.batch, e.waiting = nil, nil
	e.cache = newCache(e.cfg.CacheBlocks)
	e.orders = newOrders(nil, e.rank)
}
