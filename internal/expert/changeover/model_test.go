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
	version  int64 // in force
	content  expertmap.Digest
	prepared int64
	next     expertmap.Digest
	highest  int64
	armed    *Arming
	held     int64
}

// lateOrder is one that got no answer and is carried out later.
type lateOrder struct {
	at    int
	rank  int
	order Order
	term  int64 // of its giver if the sidecar has yet to pass it on; 0 if the engine has it
}

// model is a group of engines that carries out some orders late, and loses answers.
// Its clock moves with each call, so that passes begin between any two of them. It
// notes each pass that two ranks would begin with different maps.
type model struct {
	mu     sync.Mutex
	r      *rand.Rand
	ranks  []modelRank
	epoch  int64
	clock  int
	step   int64
	passAt int // when the next pass may begin
	every  int // calls that a pass takes
	late   []lateOrder
	lose   float64 // part of the orders that get no answer
	broken []string

	first  expertmap.Digest // of the map that a group begins with
	again  float64          // chance at each tick that a server starts again under its id
	formed int              // times that this formed the group anew

	// Of runs with hosts that stand still.
	freeze  float64 // chance that a process's host stands still at one of its calls
	frozen  []int   // by rank: until when its host stands still
	terms   []int64 // by rank: the newest planner that its sidecar has heard
	term    int64   // of the newest planner
	running int     // processes that are not through yet

	// Of runs in which the store comes back from a copy.
	copied   float64 // chance of that each time that a process takes the duty
	tellsEra bool    // the store tells that it did
	copies   int     // times that it did
	era      int64   // of the terms, as far as it is told
}

func newModel(seed uint64, ranks int, lose float64) *model {
	even, err := expertmap.Even(modelShape(ranks))
	if err != nil {
		panic(err) // the shape is constant
	}
	m := &model{first: even.Digest(), r: rand.New(rand.NewPCG(seed, 1)), epoch: 1, every: 2*ranks + 3, lose: lose}
	for range ranks {
		m.ranks = append(m.ranks, modelRank{content: m.first})
	}
	m.frozen, m.terms = make([]int, ranks), make([]int64, ranks)
	return m
}

func modelShape(ranks int) expertmap.Shape {
	return expertmap.Shape{Layers: 1, Experts: ranks, Ranks: ranks, Slots: 2}
}

// modelMap is a map that differs for each number.
func modelMap(ranks, n int) *expertmap.Map {
	m, err := expertmap.Even(modelShape(ranks))
	if err != nil {
		panic(err) // the shape is constant
	}
	rank := n % ranks
	m.Set(0, rank, 1, uint16((rank+1+n/ranks%(ranks-1))%ranks))
	return m
}

// tick lets time pass: late orders are carried out and passes begin.
func (m *model) tick() {
	m.clock++
	if m.r.Float64() < m.again {
		m.formAnew()
	}
	kept := m.late[:0]
	for _, l := range m.late {
		if l.at <= m.clock {
			if l.term == 0 || m.follows(l.rank, l.term) {
				m.do(l.rank, l.order)
			}
			continue
		}
		kept = append(kept, l)
	}
	m.late = kept
	if m.clock >= m.passAt && !m.isHeld(m.step+1) {
		m.begin()
	}
}

// formAnew forms the group anew, as a server of its has started again under its id: in a new
// epoch, with the first map and nothing prepared, armed or held. Versions that ranks have had
// are counted anew, and passes maybe. Orders to the earlier lives are still on their way.
func (m *model) formAnew() {
	m.epoch++
	m.formed++
	m.passAt = m.clock + m.every
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

// begin begins a pass at all ranks.
func (m *model) begin() {
	m.step++
	m.passAt = m.clock + m.every
	for i := range m.ranks {
		r := &m.ranks[i]
		if r.armed != nil && r.armed.Step == m.step {
			r.version, r.content, r.armed = r.armed.Version, r.next, nil
		}
	}
	first := m.ranks[0]
	for i, r := range m.ranks {
		if r.version != first.version || r.content != first.content {
			m.broken = append(m.broken, fmt.Sprintf("pass %d: rank %d has map %d, rank 0 has %d", m.step, i, r.version, first.version))
		}
	}
}

// do carries an order out as an engine does.
func (m *model) do(rank int, o Order) Result {
	r := &m.ranks[rank]
	if o.Epoch != m.epoch {
		return Unfit
	}
	switch o.Operation {
	case Prepare:
		if o.Version <= r.highest || r.armed != nil {
			return Unfit
		}
		r.highest, r.prepared, r.next = o.Version, o.Version, o.Map.Digest()
	case Arm:
		if r.prepared != o.Version || o.Step <= m.step {
			return Unfit
		}
		r.armed = &Arming{o.Version, o.Step}
	case Disarm:
		if r.version == o.Version || r.armed == nil || r.armed.Version != o.Version {
			return Unfit
		}
		r.armed = nil
	case Hold:
		if o.Step <= m.step || r.held != 0 && r.held != o.Step {
			return Unfit
		}
		r.held = o.Step
	case Go:
		if r.held != o.Step {
			return Unfit
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
		return m.do(rank, o)
	}
	if m.r.IntN(2) == 0 {
		m.do(rank, o) // carried out, and the answer is lost
		return NoAnswer
	}
	m.late = append(m.late, lateOrder{at: m.clock + 1 + m.r.IntN(40*m.every), rank: rank, order: o})
	return NoAnswer
}

func (m *model) look(rank int) Report {
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

// group is the access of one planner. After limit calls the planner is dead: its
// calls do nothing any more.
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
				return NoAnswer
			}
			return m.order(rank, o)
		},
		Look: func(_ context.Context, rank int) (Report, error) {
			if dead() {
				return Report{}, ErrLeft
			}
			return m.look(rank), nil
		},
		Pause: func(_ context.Context, d time.Duration) {
			m.mu.Lock()
			defer m.mu.Unlock()
			for range 1 + int(d/recoverPause) {
				m.tick()
			}
		},
		Prepared: func() {},
		Step:     func(string, int, Result) {},
	}
	g.Reachable = func(ctx context.Context) error {
		_, err := g.lookAll(ctx)
		return err
	}
	return g
}

func (m *model) reports() []Report {
	reports := make([]Report, len(m.ranks))
	for i := range reports {
		reports[i] = m.look(i)
	}
	return reports
}

// chosen remembers what map a version stands for.
var chosen sync.Map

type chosenKey struct {
	m       *model
	version int64
}

func remember(m *model, version int64, n int) *expertmap.Map {
	c := modelMap(len(m.ranks), n)
	chosen.Store(chosenKey{m, version}, c)
	return c
}

// currentMap is the map that a version stands for; fences stand for the one before.
func currentMap(m *model, version int64) *expertmap.Map {
	if c, found := chosen.Load(chosenKey{m, version}); found {
		return c.(*expertmap.Map)
	}
	return modelMap(len(m.ranks), 0)
}
