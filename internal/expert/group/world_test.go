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
	maxDelay    = time.Second
	tickTime    = time.Millisecond
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// node is a host with a sidecar, the guard of its orders, and an engine.
type node struct {
	rank        int
	name        host.Name
	incarnation host.Incarnation
	sidecar     *group.Switch
	guard       *order.Guard
	former      *group.EpochFormer // on up to three nodes, else nil
	engine      *engine
	down        bool // the sidecar is dead
	partitioned bool // the host neither receives nor sends messages
}

// planner is a process that proposes maps.
type planner struct {
	name     host.Name
	fence    lease.Fence
	proposer *group.Proposer
	paused   bool
	ended    []group.Action
	inbox    []group.Event // events that arrived while it is paused
}

type delivery struct {
	at time.Duration
	do func()
}

// world simulates a group, its planners and the messages between them. All random
// choices come from rng.
type world struct {
	rng          *rand.Rand
	engineKind   order.Capabilities
	elapsed      time.Duration
	record       *group.Record
	nodes        []*node
	planners     []*planner
	scheduled    map[time.Duration][]func()
	step         uint64
	stepAt       time.Duration
	stepTime     time.Duration
	messageDelay func() time.Duration
	storeRate    int64         // of the weight store, bytes per second
	patience     time.Duration // time allowed for loading
	messageLoss  float64       // probability that a message between processes is lost
	resultLoss   float64       // probability that the result of an order is lost
	duplication  float64       // probability that a message arrives twice, the second time late

	delayedSteps    int // steps that began late because of a limit
	delayed         bool
	messages        int
	promisesAskedAt time.Duration // when promises for the latest switch step were first asked for
	bytes           int
	epochs          int // number of epochs formed
	platform        platform
	desired         *group.Record // what the document requires
	failures        []string
	checked         map[*expertmap.Map]bool
	askedAt         map[uint64]time.Duration // when promises were first asked for, by switch step
	onDeliver       func(to host.Name, m group.Message)
	sender          host.Name // sender of the message being delivered
	onPropose       func(*group.Proposal)
	onSend          func(from host.Name, m group.Message) bool // false drops the message
}

func newWorld(seed uint64, ranks int, kind order.Capabilities) *world {
	return newWorldOf(seed, expertmap.Shape{Layers: 2, Experts: 2 * ranks, Ranks: ranks, Slots: 4}, kind)
}

func newWorldOf(seed uint64, shape expertmap.Shape, kind order.Capabilities) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), engineKind: kind, scheduled: map[time.Duration][]func(){},
		checked: map[*expertmap.Map]bool{},
		step:    1, stepTime: 4500 * time.Microsecond, storeRate: 64 * expertBytes, patience: 20 * time.Second,
	}
	w.messageDelay = func() time.Duration { return time.Duration(200+w.rng.IntN(1800)) * time.Microsecond }
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
	w.failures = append(w.failures, fmt.Sprintf("%v: ", w.elapsed)+fmt.Sprintf(format, args...))
}

func (w *world) now() time.Time { return start.Add(w.elapsed) }

// later schedules a function after a delay.
func (w *world) later(d time.Duration, do func()) {
	at := (w.elapsed + d).Truncate(tickTime) + tickTime
	w.scheduled[at] = append(w.scheduled[at], do)
}

// boot starts a new incarnation of a sidecar.
func (w *world) boot(n *node) {
	n.incarnation++
	n.down = false
	n.sidecar = group.New(group.Config{
		Group: w.desired.Name, Heartbeat: 500 * time.Millisecond, Self: n.name, Incarnation: n.incarnation, Engine: w.engineKind, Rate: w.storeRate, ExpertBytes: expertBytes,
		Keep: 2 * time.Second, ReformAfter: 3 * time.Second,
	})
	n.guard = order.NewGuard(order.Config{Engine: w.engineKind, Timeout: 200 * time.Millisecond, MaxDelay: maxDelay})
	w.applyGuard(n, n.guard.Handle(w.now(), order.Event{Kind: order.Learn, Fence: w.fence()}))
	keepers := w.desired.Ranks[:min(3, len(w.desired.Ranks))]
	w.applySwitch(n, n.sidecar.Handle(w.now(), group.Event{Kind: group.KeepersChanged, Keepers: keepers}))
	if n.rank < len(keepers) {
		n.former = group.NewFormer(formerKeys)
		w.applyFormer(n, n.former.Handle(w.now(), group.EpochFormerEvent{Kind: group.EpochFormerDesired, Record: w.desired}))
	}
}

// fence returns the fence of the current holder of the planning lease.
func (w *world) fence() lease.Fence {
	f := w.record.Fence
	for _, p := range w.planners {
		f = max(f, p.fence)
	}
	return f
}

func (w *world) planner(fence lease.Fence) *planner {
	p := &planner{name: host.Name(fmt.Sprintf("planner-%d", fence)), fence: fence, proposer: group.NewProposer(0)}
	w.planners = append(w.planners, p)
	return p
}

// propose makes a planner propose a map that places up to moves experts differently
// than the active one.
func (w *world) propose(p *planner, moves int) {
	base, m := w.activeMap()
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
		ExpertBytes: expertBytes, StoreRate: w.storeRate, StepTime: w.stepTime, Patience: w.patience,
	}
	if w.onPropose != nil {
		w.onPropose(proposal)
	}
	w.applyProposer(p, p.proposer.Handle(w.now(), group.Event{Kind: group.Start, Proposal: proposal}))
}

// firstSpare returns the first expert slot of a rank that never holds the only
// replica of an expert.
func (w *world) firstSpare() int {
	s := w.record.Map.Shape()
	return (s.Experts + s.Ranks - 1) / s.Ranks
}

// activeMap returns the newest map that any engine uses in the epoch.
func (w *world) activeMap() (group.Number, *expertmap.Map) {
	number, m := w.record.Number, w.record.Map
	for _, n := range w.nodes {
		e := n.engine
		if e.epoch == w.record.Epoch && group.Number(e.activeNumber) > number {
			number, m = group.Number(e.activeNumber), e.maps[e.activeNumber]
		}
	}
	return number, m
}

func (w *world) send(from host.Name, a group.Action) {
	if a.Message.Kind != group.Heartbeat {
		w.messages++
	}
	if a.Message.Kind == group.Promise {
		w.promisesAskedAt = max(w.promisesAskedAt, w.promisedAt(a.Message))
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
	if w.rng.Float64() < w.messageLoss {
		return
	}
	w.later(w.messageDelay(), func() { w.deliver(from, a.To, a.Message) })
	if w.rng.Float64() < w.duplication {
		w.later(w.messageDelay()+time.Duration(w.rng.IntN(2000))*time.Millisecond, func() { w.deliver(from, a.To, a.Message) })
	}
}

// promisedAt returns when promises for a step were first asked for.
func (w *world) promisedAt(m group.Message) time.Duration {
	if w.askedAt == nil {
		w.askedAt = map[uint64]time.Duration{}
	}
	if _, ok := w.askedAt[m.Step]; !ok {
		w.askedAt[m.Step] = w.elapsed
	}
	return w.askedAt[m.Step]
}

func (w *world) deliver(from, to host.Name, m group.Message) {
	if n := w.node(from); n != nil && n.partitioned {
		return
	}
	w.sender = from
	if w.onDeliver != nil {
		w.onDeliver(to, m)
	}
	ev := group.Event{Kind: group.Received, From: from, Message: m}
	if n := w.node(to); n != nil {
		if n.down || n.partitioned {
			return
		}
		if n.former != nil && (m.Kind == group.Heartbeat || m.Kind == group.EpochRequest) {
			w.applyFormer(n, n.former.Handle(w.now(), group.EpochFormerEvent{Kind: group.EpochFormerReceived, From: from, Message: m}))
		} else {
			w.applySwitch(n, n.sidecar.Handle(w.now(), ev))
		}
		return
	}
	for _, p := range w.planners {
		switch {
		case p.name != to:
		case p.paused:
			p.inbox = append(p.inbox, ev)
		default:
			w.applyProposer(p, p.proposer.Handle(w.now(), ev))
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

func (w *world) applyProposer(p *planner, actions []group.Action) {
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

func (w *world) applySwitch(n *node, actions []group.Action) {
	incarnation := n.incarnation
	for _, a := range actions {
		switch a.Kind {
		case group.Send:
			w.send(n.name, a)
		case group.SubmitOrder:
			w.applyGuard(n, n.guard.Handle(w.now(), order.Event{Kind: order.Submit, Order: a.Order}))
		case group.ReadEngine:
			w.later(w.messageDelay(), func() {
				st := n.engine.state(w)
				w.later(w.messageDelay(), func() {
					if n.incarnation == incarnation && !n.down && !n.engine.dead {
						w.applySwitch(n, n.sidecar.Handle(w.now(), group.Event{Kind: group.ReadBack, State: st}))
					}
				})
			})
		case group.Violate:
			w.fail("%s: %s", n.name, a.Text)
		}
	}
}

func (w *world) applyGuard(n *node, actions []order.Action) {
	incarnation := n.incarnation
	for _, a := range actions {
		switch a.Kind {
		case order.Send:
			w.later(w.messageDelay(), func() {
				if n.engine.dead {
					return
				}
				r := n.engine.execute(w, n, a.Order)
				if w.rng.Float64() < w.resultLoss {
					return
				}
				w.later(w.messageDelay(), func() {
					if n.incarnation == incarnation && !n.down {
						w.applyGuard(n, n.guard.Handle(w.now(), order.Event{Kind: order.Answer, Result: r}))
					}
				})
			})
		case order.Finish:
			w.applySwitch(n, n.sidecar.Handle(w.now(), group.Event{Kind: group.OrderDone, Result: a.Result}))
		case order.Violate:
			w.fail("%s: %s", n.name, a.Violation)
		}
	}
}

// run advances the time, and runs all that becomes due.
func (w *world) run(d time.Duration) {
	for end := w.elapsed + d; w.elapsed < end; {
		w.elapsed += tickTime
		for _, do := range w.scheduled[w.elapsed] {
			do()
		}
		delete(w.scheduled, w.elapsed)
		w.tick()
		if w.elapsed >= w.stepAt {
			w.stepAt += w.stepTime
			w.lockStep()
		}
	}
}

func due(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

func (w *world) tick() {
	for _, p := range w.planners {
		if !p.paused && due(w.now(), p.proposer.Deadline()) {
			w.applyProposer(p, p.proposer.Handle(w.now(), group.Event{Kind: group.Tick}))
		}
	}
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		if due(w.now(), n.guard.Deadline()) {
			w.applyGuard(n, n.guard.Handle(w.now(), order.Event{Kind: order.Tick}))
		}
		if n.former != nil && due(w.now(), n.former.Deadline()) {
			w.applyFormer(n, n.former.Handle(w.now(), group.EpochFormerEvent{Kind: group.EpochFormerTick}))
		}
		if due(w.now(), n.sidecar.Deadline()) {
			w.applySwitch(n, n.sidecar.Handle(w.now(), group.Event{Kind: group.Tick}))
		}
	}
}

// lockStep makes one step if no rank prevents it, and checks the invariants of a
// step.
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
		if !w.delayed {
			w.delayedSteps++
		}
		w.delayed = true
		return
	}
	w.delayed = false
	for _, n := range w.nodes {
		e := n.engine
		if e.switchStep != 0 && w.step >= e.switchStep {
			e.activeNumber, e.prepared, e.switchStep = e.prepared, 0, 0
		}
	}
	w.checkStep()
	w.step++
	if w.step%4 == 0 {
		w.reportStep()
	}
}

func (w *world) checkStep() {
	first := w.nodes[0].engine
	for _, n := range w.nodes {
		e := n.engine
		m := e.maps[e.activeNumber]
		if e.activeNumber != first.activeNumber {
			w.fail("step %d: rank %d uses map %d, rank 0 map %d", w.step, n.rank, e.activeNumber, first.activeNumber)
		}
		if !e.holds(m, n.rank) {
			w.fail("step %d: rank %d lacks weights of map %d", w.step, n.rank, e.activeNumber)
		}
		if !w.checked[m] && len(m.Problems()) > 0 {
			w.fail("step %d: map %d leaves an expert without replica", w.step, e.activeNumber)
		}
		w.checked[m] = true
	}
}

// reportStep reports the engines' progress to the sidecars, as the engines' load
// reports do.
func (w *world) reportStep() {
	for _, n := range w.nodes {
		next, incarnation := w.step, n.incarnation
		w.later(w.messageDelay(), func() {
			if n.incarnation == incarnation && !n.down {
				w.applySwitch(n, n.sidecar.Handle(w.now(), group.Event{Kind: group.StepRead, Next: next}))
			}
		})
	}
}

// resume makes a paused planner handle the events that it has missed.
func (w *world) resume(p *planner) {
	p.paused = false
	for _, ev := range p.inbox {
		w.applyProposer(p, p.proposer.Handle(w.now(), ev))
	}
	p.inbox = nil
}

// agreed reports whether all ranks use one map and none has a switch open.
func (w *world) agreed() bool {
	return !slices.ContainsFunc(w.nodes, func(n *node) bool {
		v := n.sidecar.View()
		return v.Phase != "settled" || v.Epoch != w.record.Epoch || v.Open != 0 || v.ActiveNumber != w.nodes[0].sidecar.View().ActiveNumber
	})
}

// until runs until a condition holds, for 10 minutes at most, and returns the time
// then.
func (w *world) until(holds func() bool) time.Duration {
	for end := w.elapsed + 10*time.Minute; w.elapsed < end && !holds(); {
		w.run(tickTime)
	}
	return w.elapsed
}
