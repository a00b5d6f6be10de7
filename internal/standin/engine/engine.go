package engine

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// maxRunCounts bounds the requests whose runs are counted, oldest out first.
const maxRunCounts = 1 << 17

// Engine is one rank. It is an [http.Handler], safe for concurrent use. Its
// fields are guarded by the group's lock.
type Engine struct {
	cfg   Config
	group *Group
	rank  int
	mux   *http.ServeMux

	faults  Faults
	runs    map[string]*run // by request id; kept for the grace after the end
	batch   []*run
	waiting []*run
	cache   *cache
	orders  orders

	took     time.Duration // time of the step under way
	load     float64       // relative load under the map and popularity below
	priced   *expertmap.Map
	pricedBy *[]float64

	steps   uint64
	tokens  uint64
	busyFor time.Duration
	settled uint64    // of tokens: shared out among the experts
	report  wire.Load // last load report
	at      time.Time // of the report

	expertTokens [][]float64 // by layer and expert

	counted  map[string]*RunCount
	countIDs []string
}

func newEngine(g *Group, rank int) *Engine {
	e := &Engine{
		cfg:     g.cfg,
		group:   g,
		rank:    rank,
		runs:    make(map[string]*run),
		cache:   newCache(g.cfg.CacheBlocks),
		orders:  newOrders(g.cfg.Map, rank),
		counted: make(map[string]*RunCount),
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

// admit moves waiting runs into the batch, by priority, then by arrival.
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

// publish notes a cache event, or loses it.
func (e *Engine) publish(ev wire.Event) {
	if e.cfg.EventLoss > 0 && e.group.rand.Float64() < e.cfg.EventLoss {
		return
	}
	e.cache.log(ev, time.Now().Add(e.cfg.EventDelay))
}

// advance makes one token for each request in the batch.
func (e *Engine) advance() {
	e.steps++
	e.busyFor += e.took
	left := e.batch[:0]
	for _, r := range e.batch {
		if r.state != running {
			continue
		}
		if r.prefill > 0 {
			r.prefill--
			left = append(left, r)
			continue
		}
		e.tokens++
		if r.emit() {
			e.count(r.id).Finished++
			continue
		}
		left = append(left, r)
	}
	clear(e.batch[len(left):])
	e.batch = left
}

func (e *Engine) snapshot(now time.Time) {
	if now.Sub(e.at) < e.cfg.LoadLag {
		return
	}
	queued := 0
	for _, r := range slices.Concat(e.batch, e.waiting) {
		queued += r.total - r.emitted
	}
	e.at = now
	e.report = wire.Load{
		Running:      len(e.batch),
		Waiting:      len(e.waiting),
		QueuedTokens: queued,
		CacheBlocks:  e.cache.len(),
		CacheLimit:   e.cfg.CacheBlocks,
		Step:         e.group.step,
	}
}

// RunCount tells how often a request was run.
type RunCount struct {
	Starts    int `json:"starts"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
}

// Runs returns how often the request with this id was run here.
func (e *Engine) Runs(id string) RunCount {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if c, ok := e.counted[id]; ok {
		return *c
	}
	return RunCount{}
}

func (e *Engine) count(id string) *RunCount {
	if c, ok := e.counted[id]; ok {
		return c
	}
	if len(e.countIDs) >= maxRunCounts {
		delete(e.counted, e.countIDs[0])
		e.countIDs = e.countIDs[1:]
	}
	c := &RunCount{}
	e.counted[id] = c
	e.countIDs = append(e.countIDs, id)
	return c
}
