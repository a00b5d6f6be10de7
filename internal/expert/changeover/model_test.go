package changeover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// modelRank is one engine of the model.
type modelRank struct {
	version  int64 // of the active map
	content  expertmap.Digest
	prepared int64
	next     expertmap.Digest
	highest  int64
	armed    *Arming
	held     int64
}

// lateOrder is an order that got no answer and is carried out later.
type lateOrder struct {
	at    int
	rank  int
	order Order
	term  int64 // of the planner that sent it, if the sidecar has yet to pass it on; 0 if the engine has it
}

// model is a group of engines that carries out some orders late, and loses answers.
// Its clock advances with each call, so that steps begin between any two calls. It
// records each step that two ranks would begin with different maps.
type model struct {
	mu           sync.Mutex
	r            *rand.Rand
	ranks        []modelRank
	epoch        int64
	clock        int
	step         int64
	nextStepAt   int // clock at which the next step may begin
	callsPerStep int
	late         []lateOrder
	lose         float64 // part of the orders that get no answer
	violations   []string

	first         expertmap.Digest // of the map that a group begins with
	restartChance float64          // at each tick, that a server restarts under the same id
	restarts      int              // so far; each one forms the group again

	// Of runs with frozen hosts.
	freezeChance float64 // that a process's host freezes at one of its calls
	frozenUntil  []int   // by rank: the clock at which its host runs again
	newestTerms  []int64 // by rank: the newest term that its sidecar has received
	term         int64   // of the newest planner
	running      int     // processes that have not ended yet

	// Of runs in which the store is restored from a backup.
	restoreChance float64 // each time that a process takes the leadership
	reportsEra    bool    // the store reports that it was restored
	restores      int     // so far
	era           int64   // added to the terms, if the store reports it
}

func newModel(seed uint64, ranks int, lose float64) *model {
	even, err := expertmap.Even(modelShape(ranks))
	if err != nil {
		panic(err) // the shape is constant
	}
	m := &model{first: even.Digest(), r: rand.New(rand.NewPCG(seed, 1)), epoch: 1, callsPerStep: 2*ranks + 3, lose: lose}
	for range ranks {
		m.ranks = append(m.ranks, modelRank{content: m.first})
	}
	m.frozenUntil, m.newestTerms = make([]int, ranks), make([]int64, ranks)
	return m
}

func modelShape(ranks int) expertmap.Shape {
	return expertmap.Shape{Layers: 1, Experts: ranks, Ranks: ranks, Slots: 2}
}

// modelMap returns a map that differs for each number.
func modelMap(ranks, n int) *expertmap.Map {
	m, err := expertmap.Even(modelShape(ranks))
	if err != nil {
		panic(err) // the shape is constant
	}
	rank := n % ranks
	m.Set(0, rank, 1, uint16((rank+1+n/ranks%(ranks-1))%ranks))
	return m
}

// tick advances the clock: late orders are carried out and steps begin.
func (m *model) tick() {
	m.clock++
	if m.r.Float64() < m.restartChance {
		m.restartServer()
	}
	kept := m.late[:0]
	for _, l := range m.late {
		if l.at <= m.clock {
			if l.term == 0 || m.follows(l.rank, l.term) {
				m.execute(l.rank, l.order)
			}
			continue
		}
		kept = append(kept, l)
	}
	m.late = kept
	if m.clock >= m.nextStepAt && !m.isHeld(m.step+1) {
		m.beginStep()
	}
}

// restartServer forms the group again, as one of its servers has restarted under the same id: in a
// new epoch, with the first map and nothing prepared, armed or held. The versions that ranks have
// had are forgotten; steps are counted from the start again or not. Orders to the earlier
// incarnations are still under way.
func (m *model) restartServer() {
	m.epoch++
	m.restarts++
	m.nextStepAt = m.clock + m.callsPerStep
	if m.r.IntN(2) == 0 {
		m.step = 0
	}
	for i := range m.ranks {
		m.ranks[i] = modelRank{content: m.first}
	}
}

func (m *model) isHeld(step int64) bool {
	for _, r := range m.ranks {
		if r.held == step {
			return true
		}
	}
	return false
}

// beginStep begins a step at all ranks.
func (m *model) beginStep() {
	m.step++
	m.nextStepAt = m.clock + m.callsPerStep
	for i := range m.ranks {
		r := &m.ranks[i]
		if r.armed != nil && r.armed.Step == m.step {
			r.version, r.content, r.armed = r.armed.Version, r.next, nil
		}
	}
	first := m.ranks[0]
	for i, r := range m.ranks {
		if r.version != first.version || r.content != first.content {
			m.violations = append(m.violations, fmt.Sprintf("step %d: rank %d has map %d, rank 0 has %d", m.step, i, r.version, first.version))
		}
	}
}

// execute carries out an order as an engine does.
func (m *model) execute(rank int, o Order) Result {
	r := &m.ranks[rank]
	if o.Epoch != m.epoch {
		return WrongState
	}
	switch o.Operation {
	case Prepare:
		if o.Version <= r.highest || r.armed != nil {
			return WrongState
		}
		r.highest, r.prepared, r.next = o.Version, o.Version, o.Map.Digest()
	case Arm:
		if r.prepared != o.Version || o.Step <= m.step {
			return WrongState
		}
		r.armed = &Arming{o.Version, o.Step}
	case Disarm:
		if r.version == o.Version || r.armed == nil || r.armed.Version != o.Version {
			return WrongState
		}
		r.armed = nil
	case Hold:
		if o.Step <= m.step || r.held != 0 && r.held != o.Step {
			return WrongState
		}
		r.held = o.Step
	case Release:
		if r.held != o.Step {
			return WrongState
		}
		r.held = 0
	}
	return Accepted
}

func (m *model) order(rank int, o Order) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tick()
	if m.r.Float64() >= m.lose {
		return m.execute(rank, o)
	}
	if m.r.IntN(2) == 0 {
		m.execute(rank, o) // carried out, and the answer is lost
		return Unanswered
	}
	m.late = append(m.late, lateOrder{at: m.clock + 1 + m.r.IntN(40*m.callsPerStep), rank: rank, order: o})
	return Unanswered
}

func (m *model) readReport(rank int) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tick()
	r := m.ranks[rank]
	report := Report{
		Group: "g", Epoch: m.epoch, Rank: rank, Ranks: len(m.ranks), Open: true,
		Step: m.step, Map: r.version, Prepared: r.prepared, Held: r.held,
	}
	if r.armed != nil {
		armed := *r.armed
		report.Armed = &armed
	}
	return report
}

// group returns the access of one planner to the ranks. After limit calls the planner is
// dead: its calls do nothing any more.
func (m *model) group(ctx context.Context, limit int) *Group {
	calls := 0
	var mu sync.Mutex
	dead := func() bool {
		mu.Lock()
		defer mu.Unlock()
		calls++
		return calls > limit || ctx.Err() != nil
	}
	m.mu.Lock()
	epoch := m.epoch
	m.mu.Unlock()
	g := &Group{
		Ranks: len(m.ranks),
		Epoch: epoch,
		Order: func(_ context.Context, rank int, o Order) Result {
			if dead() {
				return Unanswered
			}
			return m.order(rank, o)
		},
		ReadReport: func(_ context.Context, rank int) (Report, error) {
			if dead() {
				return Report{}, ErrGroupChanged
			}
			return m.readReport(rank), nil
		},
		Pause: func(_ context.Context, d time.Duration) {
			m.mu.Lock()
			defer m.mu.Unlock()
			for range 1 + int(d/recoverPause) {
				m.tick()
			}
		},
		OnPrepared: func() {},
		OnRejected: func(string, int, Result) {},
	}
	g.Reachable = func(ctx context.Context) error {
		_, err := g.pollAll(ctx)
		return err
	}
	return g
}

func (m *model) reports() []Report {
	reports := make([]Report, len(m.ranks))
	for i := range reports {
		reports[i] = m.readReport(i)
	}
	return reports
}

// mapsByVersion holds the map of each version that a planner chose.
var mapsByVersion sync.Map

type mapKey struct {
	m       *model
	version int64
}

// storeMap chooses a map for a version and stores it in mapsByVersion.
func storeMap(m *model, version int64, n int) *expertmap.Map {
	c := modelMap(len(m.ranks), n)
	mapsByVersion.Store(mapKey{m, version}, c)
	return c
}

// currentMap returns the map of a version. A version without one is that of a fence: the
// map is the first one.
func currentMap(m *model, version int64) *expertmap.Map {
	if c, found := mapsByVersion.Load(mapKey{m, version}); found {
		return c.(*expertmap.Map)
	}
	return modelMap(len(m.ranks), 0)
}
