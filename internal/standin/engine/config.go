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

// prefillBlocks is how many uncached prompt blocks a step processes.
const prefillBlocks = 64

// Config sets up an engine, or each rank of a group. Zero fields take the defaults.
type Config struct {
	Step        time.Duration  // time of a balanced step
	MaxBatch    int            // largest number of requests in a step of one rank
	MaxWaiting  int            // largest number of waiting requests; more are refused with 503
	CacheBlocks int            // size of the prefix cache in blocks
	EventDelay  time.Duration  // delay until a cache event is visible
	EventLoss   float64        // share of cache events that are lost
	LoadLag     time.Duration  // largest age of a load report
	IgnoreFence bool           // carry out orders with an old fence
	CheckIDs    bool           // refuse orders with an ID below the highest accepted one
	NoReadBack  bool           // the state from orders can't be read back
	Grace       time.Duration  // time until a run that outlives its connections is cancelled
	Map         *expertmap.Map // active map at the start, with number 1; nil for no experts
	ExpertBytes int64          // size of one expert's weights in one layer
	StoreRate   int64          // bytes per second of the weight store, shared by the group
	Seed        uint64         // seed of the random losses
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

// Faults are the faults that an engine simulates. The zero value is a healthy engine.
type Faults struct {
	Stalled    bool    `json:"stalled"`    // the rank begins no step, so its group waits
	Held       bool    `json:"held"`       // steps make no tokens, and no response begins
	Slow       float64 `json:"slow"`       // factor on its step time; 0 for 1
	CloseAfter int     `json:"closeAfter"` // number of tokens after which streams break; 0 for never
	Silent     bool    `json:"silent"`     // requests run, but no response is sent
	Refuse     bool    `json:"refuse"`     // requests get 503 and do not run
	Dead       bool    `json:"dead"`       // connections break; runs and the state from orders are lost
}

// SetFaults replaces the rank's faults.
func (e *Engine) SetFaults(f Faults) {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Dead && !e.faults.Dead {
		e.reset()
	}
	e.faults = f
	g.wake.Broadcast()
}

// Faults returns the rank's current faults.
func (e *Engine) Faults() Faults {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.faults
}

// reset drops all state that a process loses when it dies. The caller holds the
// group's lock.
func (e *Engine) reset() {
	for _, r := range e.runs {
		r.finish(cancelled)
	}
	e.runs = make(map[string]*run)
	e.batch, e.waiting = nil, nil
	e.cache = newCache(e.cfg.CacheBlocks)
	e.orders = newOrderState(nil, e.rank)
}
