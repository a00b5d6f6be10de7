package engine

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// maxRunCounts bounds the requests whose runs are counted; the oldest are dropped first.
const maxRunCounts = 1 << 17

// Engine is one rank of a group. It is an [http.Handler], safe for concurrent use.
// The group's lock guards its fields.
type Engine struct {
	cfg   Config
	group *Group
	rank  int
	mux   *http.ServeMux

	faults  Faults
	runs    map[string]*run // by request ID; kept for Config.Grace after the end
	batch   []*run
	waiting []*run
	cache   *cache
	orders  orderState

	stepTime       time.Duration // duration of the current step
	work           float64       // relative work with the map and popularity below
	workMap        *expertmap.Map
	workPopularity *[]float64

	steps       uint64
	tokens      uint64
	busyTime    time.Duration
	distributed uint64    // part of tokens that is counted in expertTokens
	lastLoad    wire.Load // last load report
	lastLoadAt  time.Time // time of lastLoad

	expertTokens [][]float64 // by layer and expert

	runCounts   map[string]*RunCount
	runCountIDs []string
}

func newEngine(g *Group, rank int) *Engine {
	e := &Engine{
		cfg:       g.cfg,
		group:     g,
		rank:      rank,
		runs:      make(map[string]*run),
		cache:     newCache(g.cfg.CacheBlocks),
		orders:    newOrderState(g.cfg.Map, rank),
		runCounts: make(map[string]*RunCount),
	}
	e.mux = e.routes()
	return e
}

// Close stops the engine's group.
func (e *Engine) Close() { e.group.Close() }

// Group returns the group that the rank belongs to.
func (e *Engine) Group() *Group { return e.group }

func (e *Engine) busy() bool {
	return len(e.batch)+len(e.waiting) > 0
}

// admit moves waiting runs into the batch, ordered by priority, then by arrival.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return cmp.Compare(b.priority, a.priority) })
	for len(e.waiting) > 0 && len(e.batch) < e.cfg.MaxBatch {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.prefill = e.prefillSteps(r)
		e.batch = append(e.batch, r)
	}
}

// prefillSteps looks the prompt up in the cache, stores what is missing, and
// returns how many steps the missing part takes.
func (e *Engine) prefillSteps(r *run) int {
	missing := e.cache.touch(r.blocks, func(ev wire.Event) { e.publish(ev) })
	return (missing + prefillBlocks - 1) / prefillBlocks
}

// publish logs a cache event, or loses it with the probability Config.EventLoss.
func (e *Engine) publish(ev wire.Event) {
	if e.cfg.EventLoss > 0 && e.group.rand.Float64() < e.cfg.EventLoss {
		return
	}
	e.cache.log(ev, time.Now().Add(e.cfg.EventDelay))
}

// advance completes a step: it makes one token for each request in the batch whose
// prefill is done, unless the runs are held.
func (e *Engine) advance() {
	e.steps++
	e.busyTime += e.stepTime
	remaining := e.batch[:0]
	for _, r := range e.batch {
		if r.state != running {
			continue
		}
		if e.faults.Held {
			remaining = append(remaining, r)
			continue
		}
		if r.prefill > 0 {
			r.prefill--
			remaining = append(remaining, r)
			continue
		}
		e.tokens++
		if r.emit() {
			e.runCount(r.id).Finished++
			continue
		}
		remaining = append(remaining, r)
	}
	clear(e.batch[len(remaining):])
	e.batch = remaining
}

// refreshLoad renews the load report if it is older than Config.LoadLag.
func (e *Engine) refreshLoad(now time.Time) {
	if now.Sub(e.lastLoadAt) < e.cfg.LoadLag {
		return
	}
	queued := 0
	for _, r := range slices.Concat(e.batch, e.waiting) {
		queued += r.total - r.emitted
	}
	e.lastLoadAt = now
	e.lastLoad = wire.Load{
		Running:      len(e.batch),
		Waiting:      len(e.waiting),
		QueuedTokens: queued,
		CacheBlocks:  e.cache.len(),
		CacheLimit:   e.cfg.CacheBlocks,
		Step:         e.group.step,
	}
}

// RunCount is how often a request was run.
type RunCount struct {
	Starts    int `json:"starts"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
}

// Runs returns how often the request with this ID was run at this rank.
func (e *Engine) Runs(id string) RunCount {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if c, ok := e.runCounts[id]; ok {
		return *c
	}
	return RunCount{}
}

func (e *Engine) runCount(id string) *RunCount {
	if c, ok := e.runCounts[id]; ok {
		return c
	}
	if len(e.runCountIDs) >= maxRunCounts {
		delete(e.runCounts, e.runCountIDs[0])
		e.runCountIDs = e.runCountIDs[1:]
	}
	c := &RunCount{}
	e.runCounts[id] = c
	e.runCountIDs = append(e.runCountIDs, id)
	return c
}
