package group_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

const (
	expertBytes = 1 << 20
	landingTime = time.Second
	tickTime    = time.Millisecond
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// node is a host: a sidecar with its guard, and an engine.
type node struct {
	rank   int
	name   host.Name
	life   host.Incarnation
	sw     *group.Switch
	guard  *order.Guard
	former *group.Former // on three nodes
	engine *engine
	down   bool // the sidecar is dead
	cut    bool // no message reaches or leaves it
}

// planner is a process that proposes maps.
type planner struct {
	name   host.Name
	fence  lease.Fence
	p      *group.Proposer
	paused bool
	ended  []group.Action
	inbox  []group.Event // what waits while it is paused
}

type delivery struct {
	at time.Duration
	do func()
}

// world is a group, its planners and what is on its way between them. All that
// is random comes from rng.
type world struct {
	rng      *rand.Rand
	kind     order.Engine
	at       time.Duration
	record   *group.Record
	nodes    []*node
	planners []*planner
	due      map[time.Duration][]func()
	step     uint64
	stepAt   time.Duration
	stepTime time.Duration
	delay    func() time.Duration
	rate     int64         // of the weight store
	patience time.Duration // for loading
	loss     float64       // of messages between processes
	lossy    float64       // of answers to orders
	doubled  float64       // messages that arrive twice, the second time late

	waits     int // steps that began late because of a limit
	waiting   bool
	messages  int
	loadedAt  time.Duration // when promises were last asked for
	bytes     int
	reforms   int // epochs begun
	platform  platform
	desired   *group.Record // by the document
	failures  []string
	checked   map[*expertmap.Map]bool
	asked     map[uint64]time.Duration // by step
	onDeliver func(to host.Name, m group.Message)
	from      host.Name // of the message being delivered
	onPropose func(*group.Proposal)
	onSend    func(from host.Name, m group.Message) bool // false drops the message
}

func newWorld(seed uint64, ranks int, kind order.Engine) *world {
	return newWorldOf(seed, expertmap.Shape{Layers: 2, Experts: 2 * ranks, Ranks: ranks, Slots: 4}, kind)
}

func newWorldOf(seed uint64, shape expertmap.Shape, kind order.Engine) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), kind: kind, due: map[time.Duration][]func(){},
		checked: map[*expertmap.Map]bool{},
		step:    1, stepTime: 4500 * time.Microsecond, rate: 64 * expertBytes, patience: 20 * time.Second,
	}
	w.delay = func() time.Duration { return time.Duration(200+w.rng.IntN(1800)) * time.Microsecond }
	ranks := shape.Ranks
	m, err := expertmap.Even(shape)
	if err != nil {
		panic(err)
	}
	w.record = &group.Record{Name: "redaction", Document: 1, Map: m}
	for rank := range ranks {
		n := &node{rank: rank, name: host.Name(fmt.Sprintf("rank-%d", rank))}
		n.engine = &engine{maps: map[uint64]*expertmap.Map{}, held: map[expertmap.Placement]bool{}}
		w.record.Ranks = append(w.record.Ranks, n.name)
		w.nodes = append(w.nodes, n)
	}
	w.desired = w.record
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if len(w.failures) > 4 {
		return
	}
	w.failures = append(w.failures, fmt.Sprintf("%v: ", w.at)+fmt.Sprintf(format, args...))
}

func (w *world) now() time.Time { return start.Add(w.at) }

// later does something after a delay.
func (w *world) later(d time.Duration, do func()) {
	at := (w.at + d).Truncate(tickTime) + tickTime
	w.due[at] = append(w.due[at], do)
}

// boot starts a new life of a sidecar.
func (w *world) boot(n *node) {
	n.life++
	n.down = false
	n.sw = group.New(group.Config{
		Group: w.desired.Name, Heartbeat: 500 * time.Millisecond, Self: n.name, Incarnation: n.life, Engine: w.kind, Rate: w.rate, ExpertBytes: expertBytes,
		Keep: 2 * time.Second, DeadAfter: 3 * time.Second,
	})
	n.guard = order.NewGuard(order.Config{Engine: w.kind, Timeout: 200 * time.Millisecond, Landing: landingTime})
	w.guarded(n, n.guard.Handle(w.now(), order.Event{Kind: order.Learn, Fence: w.fence()}))
	keepers := w.desired.Ranks[:min(3, len(w.desired.Ranks))]
	w.switched(n, n.sw.Handle(w.now(), group.Event{Kind: group.Kept, Keepers: keepers}))
	if n.rank < len(keepers) {
		n.former = group.NewFormer(formerKeys)
		w.formed(n, n.former.Handle(w.now(), group.FormerEvent{Kind: group.FormerDesired, Record: w.desired}))
	}
}

// fence is the fence of the present holder of the planning lease.
func (w *world) fence() lease.Fence {
	f := w.record.Fence
	for _, p := range w.planners {
		f = max(f, p.fence)
	}
	return f
}

func (w *world) planner(fence lease.Fence) *planner {
	p := &planner{name: host.Name(fmt.Sprintf("planner-%d", fence)), fence: fence, p: group.NewProposer(0)}
	w.planners = append(w.planners, p)
	return p
}

// propose lets a planner propose to move a few experts from the map in force.
func (w *world) propose(p *planner, moves int) {
	base, m := w.inForce()
	to := m.Clone()
	for range moves {
		layer, rank := w.rng.IntN(m.Shape().Layers), w.rng.IntN(len(w.nodes))
		e := uint16(w.rng.IntN(m.Shape().Experts))
		if !to.Holds(layer, rank, e) {
			to.Set(layer, rank, w.firstSpare()+w.rng.IntN(m.Shape().Slots-w.firstSpare()), e)
		}
	}
	proposal := &group.Proposal{
		Record: w.record, Base: base, BaseMap: m, Map: to, Fence: p.fence,
		ExpertBytes: expertBytes, StoreRate: w.rate, StepTime: w.stepTime, Patience: w.patience,
	}
	if w.onPropose != nil {
		w.onPropose(proposal)
	}
	w.proposed(p, p.p.Handle(w.now(), group.Event{Kind: group.Start, Proposal: proposal}))
}

// firstSpare is the first slot of a rank that no expert depends on.
func (w *world) firstSpare() int {
	s := w.record.Map.Shape()
	return (s.Experts + s.Ranks - 1) / s.Ranks
}

// inForce is the newest map that any engine uses in the epoch.
func (w *world) inForce() (group.Number, *expertmap.Map) {
	number, m := w.record.Number, w.record.Map
	for _, n := range w.nodes {
		e := n.engine
		if e.epoch == w.record.Epoch && group.Number(e.number) > number {
			number, m = group.Number(e.number), e.maps[e.number]
		}
	}
	return number, m
}

func (w *world) send(from host.Name, a group.Action) {
	if a.Message.Kind != group.Alive {
		w.messages++
	}
	if a.Message.Kind == group.Promise {
		w.loadedAt = max(w.loadedAt, w.promisedAt(a.Message))
	}
	if b, err := a.Message.Encode(); err == nil {
		w.bytes += len(b)
	}
	if err := a.Message.Check(); err != nil {
		w.fail("sent message: %v", err)
	}
	if w.onSend != nil && !w.onSend(from, a.Message) {
		return
	}
	if w.rng.Float64() < w.loss {
		return
	}
	w.later(w.delay(), func() { w.deliver(from, a.To, a.Message) })
	if w.rng.Float64() < w.doubled {
		w.later(w.delay()+time.Duration(w.rng.IntN(2000))*time.Millisecond, func() { w.deliver(from, a.To, a.Message) })
	}
}

// promisedAt returns when promises for a step were first asked for.
func (w *world) promisedAt(m group.Message) time.Duration {
	if w.asked == nil {
		w.asked = map[uint64]time.Duration{}
	}
	if _, ok := w.asked[m.Step]; !ok {
		w.asked[m.Step] = w.at
	}
	return w.asked[m.Step]
}

func (w *world) deliver(from, to host.Name, m group.Message) {
	if n := w.node(from); n != nil && n.cut {
		return
	}
	w.from = from
	if w.onDeliver != nil {
		w.onDeliver(to, m)
	}
	ev := group.Event{Kind: group.Received, From: from, Message: m}
	if n := w.node(to); n != nil {
		if n.down || n.cut {
			return
		}
		if n.former != nil && (m.Kind == group.Alive || m.Kind == group.Renew) {
			w.formed(n, n.former.Handle(w.now(), group.FormerEvent{Kind: group.FormerReceived, From: from, Message: m}))
		} else {
			w.switched(n, n.sw.Handle(w.now(), ev))
		}
		return
	}
	for _, p := range w.planners {
		switch {
		case p.name != to:
		case p.paused:
			p.inbox = append(p.inbox, ev)
		default:
			w.proposed(p, p.p.Handle(w.now(), ev))
		}
	}
}

func (w *world) node(name host.Name) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) proposed(p *planner, actions []group.Action) {
	for _, a := range actions {
		switch a.Kind {
		case group.Send:
			w.send(p.name, a)
		case group.Ended:
			p.ended = append(p.ended, a)
			w.save(a)
		case group.Violate:
			w.fail("%s: %s", p.name, a.Text)
		}
	}
}

func (w *world) switched(n *node, actions []group.Action) {
	life := n.life
	for _, a := range actions {
		switch a.Kind {
		case group.Send:
			w.send(n.name, a)
		case group.Give:
			w.guarded(n, n.guard.Handle(w.now(), order.Event{Kind: order.Submit, Order: a.Order}))
		case group.Read:
			w.later(w.delay(), func() {
				st := n.engine.state(w)
				w.later(w.delay(), func() {
					if n.life == life && !n.down && !n.engine.dead {
						w.switched(n, n.sw.Handle(w.now(), group.Event{Kind: group.ReadBack, State: st}))
					}
				})
			})
		case group.Violate:
			w.fail("%s: %s", n.name, a.Text)
		}
	}
}

func (w *world) guarded(n *node, actions []order.Action) {
	life := n.life
	for _, a := range actions {
		switch a.Kind {
		case order.Send:
			w.later(w.delay(), func() {
				if n.engine.dead {
					return
				}
				r := n.engine.take(w, n, a.Order)
				if w.rng.Float64() < w.lossy {
					return
				}
				w.later(w.delay(), func() {
					if n.life == life && !n.down {
						w.guarded(n, n.guard.Handle(w.now(), order.Event{Kind: order.Answer, Result: r}))
					}
				})
			})
		case order.Finish:
			w.switched(n, n.sw.Handle(w.now(), group.Event{Kind: group.OrderDone, Result: a.Result}))
		case order.Violate:
			w.fail("%s: %s", n.name, a.Violation)
		}
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.at + d; w.at < end; {
		w.at += tickTime
		for _, do := range w.due[w.at] {
			do()
		}
		delete(w.due, w.at)
		w.tick()
		if w.at >= w.stepAt {
			w.stepAt += w.stepTime
			w.lockStep()
		}
	}
}

func passed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

func (w *world) tick() {
	for _, p := range w.planners {
		if !p.paused && passed(w.now(), p.p.Deadline()) {
			w.proposed(p, p.p.Handle(w.now(), group.Event{Kind: group.Tick}))
		}
	}
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		if passed(w.now(), n.guard.Deadline()) {
			w.guarded(n, n.guard.Handle(w.now(), order.Event{Kind: order.Tick}))
		}
		if n.former != nil && passed(w.now(), n.former.Deadline()) {
			w.formed(n, n.former.Handle(w.now(), group.FormerEvent{Kind: group.FormerTick}))
		}
		if passed(w.now(), n.sw.Deadline()) {
			w.switched(n, n.sw.Handle(w.now(), group.Event{Kind: group.Tick}))
		}
	}
}

// lockStep makes one step if all ranks can, and checks what must hold in it.
func (w *world) lockStep() {
	limited := false
	for _, n := range w.nodes {
		e := n.engine
		if e.dead || e.epoch == 0 || e.epoch != w.nodes[0].engine.epoch {
			return
		}
		limited = limited || (e.limit != 0 && w.step >= e.limit)
	}
	if limited {
		if !w.waiting {
			w.waits++
		}
		w.waiting = true
		return
	}
	w.waiting = false
	for _, n := range w.nodes {
		e := n.engine
		if e.switchAt != 0 && w.step >= e.switchAt {
			e.number, e.prepared, e.switchAt = e.prepared, 0, 0
		}
	}
	w.checkStep()
	w.step++
	if w.step%4 == 0 {
		w.tellStep()
	}
}

func (w *world) checkStep() {
	first := w.nodes[0].engine
	for _, n := range w.nodes {
		e := n.engine
		m := e.maps[e.number]
		if e.number != first.number {
			w.fail("step %d: rank %d uses map %d, rank 0 map %d", w.step, n.rank, e.number, first.number)
		}
		if !e.holds(m, n.rank) {
			w.fail("step %d: rank %d lacks weights of map %d", w.step, n.rank, e.number)
		}
		if !w.checked[m] && len(m.Check()) > 0 {
			w.fail("step %d: map %d leaves an expert without replica", w.step, e.number)
		}
		w.checked[m] = true
	}
}

// tellStep reports the engine's progress, as its load reports do.
func (w *world) tellStep() {
	for _, n := range w.nodes {
		next, life := w.step, n.life
		w.later(w.delay(), func() {
			if n.life == life && !n.down {
				w.switched(n, n.sw.Handle(w.now(), group.Event{Kind: group.Stepped, Next: next}))
			}
		})
	}
}

// resume lets a paused planner go on with what it has missed.
func (w *world) resume(p *planner) {
	p.paused = false
	for _, ev := range p.inbox {
		w.proposed(p, p.p.Handle(w.now(), ev))
	}
	p.inbox = nil
}

// agreed tells whether the ranks use one map and none has a switch open.
func (w *world) agreed() bool {
	return !slices.ContainsFunc(w.nodes, func(n *node) bool {
		v := n.sw.View()
		return v.Phase != "settled" || v.Epoch != w.record.Epoch || v.Open != 0 || v.InForce != w.nodes[0].sw.View().InForce
	})
}

// until runs until something holds, and returns when that was.
func (w *world) until(holds func() bool) time.Duration {
	for end := w.at + 10*time.Minute; w.at < end && !holds(); {
		w.run(tickTime)
	}
	return w.at
}
