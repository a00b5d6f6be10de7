package engine

import (
	"cmp"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// firstNumber is the number of the map in force at the start.
const firstNumber = 1

// weight names the weights of one expert in one layer.
type weight struct {
	layer, expert uint16
}

// orders is what a rank has been ordered.
type orders struct {
	rank     int
	last     order.ID // highest taken
	epoch    uint64
	joined   bool // takes part in the lock-step
	current  *expertmap.Map
	number   uint64 // of current
	prepared *expertmap.Map
	next     uint64 // number of prepared
	switchAt uint64 // first step with prepared; 0 for none
	limit    uint64 // first step not begun; 0 for none
	held     map[weight]bool
	loading  map[weight]bool
	models   []string
	role     string
}

func newOrders(m *expertmap.Map, rank int) orders {
	o := orders{rank: rank, held: make(map[weight]bool), loading: make(map[weight]bool)}
	if m == nil {
		return o
	}
	o.current, o.number, o.joined = m, firstNumber, true
	for _, w := range weightsOf(m, rank) {
		o.held[w] = true
	}
	return o
}

func weightsOf(m *expertmap.Map, rank int) []weight {
	if m == nil || rank >= m.Shape().Ranks {
		return nil
	}
	var all []weight
	for layer := range m.Shape().Layers {
		for _, expert := range m.Row(layer, rank) {
			if expert != expertmap.Empty {
				all = append(all, weight{layer: uint16(layer), expert: expert})
			}
		}
	}
	return all
}

// holds tells whether the rank may not begin the step.
func (o *orders) holds(step uint64) bool {
	return o.limit != 0 && step >= o.limit
}

// pending tells whether steps should go on without requests to reach what was ordered.
func (o *orders) pending() bool {
	return o.switchAt != 0 || o.limit != 0
}

func (o *orders) beginStep(step uint64) {
	if o.switchAt == 0 || step < o.switchAt {
		return
	}
	o.current, o.number = o.prepared, o.next
	o.cancel()
}

// cancel forgets the prepared map and the switch to it.
func (o *orders) cancel() {
	o.prepared, o.next, o.switchAt = nil, 0, 0
}

// whole tells whether all weights of the map in force are held.
func (o *orders) whole(m *expertmap.Map) bool {
	for _, w := range weightsOf(m, o.rank) {
		if !o.held[w] {
			return false
		}
	}
	return true
}

// Order carries out one order. An order to load weights returns when they are held.
func (e *Engine) Order(ord wire.Order) wire.OrderReply {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	reason := e.refusal(ord)
	if reason == "" {
		reason = e.carryOut(ord)
	}
	e.group.wake.Broadcast()
	return wire.OrderReply{Accepted: reason == "", Reason: reason, Next: e.group.step}
}

// refusal checks what concerns orders of all kinds.
func (e *Engine) refusal(ord wire.Order) order.Reason {
	o := &e.orders
	if !e.cfg.IgnoreFence && ord.ID.Fence < o.last.Fence {
		return order.StaleFence
	}
	if e.cfg.CheckIDs && ord.ID.Compare(o.last) < 0 {
		return order.StaleOrder
	}
	if ord.Epoch < o.epoch && ord.Kind != wire.LoadModel && ord.Kind != wire.ChangeRole {
		return order.StaleEpoch
	}
	if ord.ID.Compare(o.last) > 0 {
		o.last = ord.ID
	}
	return ""
}

func (e *Engine) carryOut(ord wire.Order) order.Reason {
	o := &e.orders
	switch ord.Kind {
	case wire.LoadWeights:
		return e.fetchAll(ord)
	case wire.Prepare:
		return o.prepare(ord)
	case wire.CancelMap:
		o.cancel()
		return ""
	case wire.Limit:
		return o.setLimit(ord, e.group.step)
	case wire.Lift:
		o.limit = 0
		return ""
	case wire.SwitchMap:
		return o.setSwitch(ord, e.group.step)
	case wire.Drop:
		return o.drop(ord)
	case wire.Form:
		return o.form(ord)
	case wire.LoadModel:
		return o.loadModel(ord.Model)
	case wire.ChangeRole:
		o.role = ord.Role
		return ""
	}
	return order.Unsupported
}

func (o *orders) prepare(ord wire.Order) order.Reason {
	m, ok := decodeMap(ord.Map, o.rank)
	if !ok || ord.Number == 0 {
		return order.Unsupported
	}
	if !o.whole(m) {
		return order.NotHeld
	}
	if o.next != ord.Number {
		o.prepared, o.next, o.switchAt = m, ord.Number, 0
	}
	return ""
}

func decodeMap(b []byte, rank int) (*expertmap.Map, bool) {
	if len(b) > wire.MaxMapBytes {
		return nil, false
	}
	m := new(expertmap.Map)
	if err := m.UnmarshalCBOR(b); err != nil {
		return nil, false
	}
	return m, rank < m.Shape().Ranks
}

// fetchAll fetches weights from the store, one after the other, and waits until they
// are held. The store is shared by the group and limited in its rate.
func (e *Engine) fetchAll(ord wire.Order) order.Reason {
	if len(ord.Weights) > wire.MaxWeights {
		return order.Unsupported
	}
	wanted := make([]weight, 0, len(ord.Weights))
	for _, p := range ord.Weights {
		w := weight{layer: p.Layer, expert: p.Expert}
		wanted = append(wanted, w)
		e.fetch(w)
	}
	for !e.orders.all(wanted) {
		if e.group.stopped || e.faults.Dead || !e.orders.fetching(wanted) {
			return order.StoreFailed
		}
		e.group.wake.Wait()
	}
	return ""
}

func (o *orders) all(ws []weight) bool {
	return !slices.ContainsFunc(ws, func(w weight) bool { return !o.held[w] })
}

// fetching tells whether each weight is held or on its way.
func (o *orders) fetching(ws []weight) bool {
	return !slices.ContainsFunc(ws, func(w weight) bool { return !o.held[w] && !o.loading[w] })
}

func (e *Engine) fetch(w weight) {
	if e.orders.held[w] || e.orders.loading[w] {
		return
	}
	e.orders.loading[w] = true
	now := time.Now()
	if e.group.storeFree.Before(now) {
		e.group.storeFree = now
	}
	seconds := float64(e.cfg.ExpertBytes) / float64(e.cfg.StoreRate)
	e.group.storeFree = e.group.storeFree.Add(time.Duration(seconds * float64(time.Second)))
	time.AfterFunc(e.group.storeFree.Sub(now), func() { e.fetched(w) })
}

func (e *Engine) fetched(w weight) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if !e.orders.loading[w] {
		return // dropped, or the rank died, in the meantime
	}
	delete(e.orders.loading, w)
	e.orders.held[w] = true
	e.group.wake.Broadcast()
}

func (o *orders) setLimit(ord wire.Order, next uint64) order.Reason {
	if ord.Step < next {
		return order.TooLate
	}
	o.limit = ord.Step
	return ""
}

func (o *orders) setSwitch(ord wire.Order, next uint64) order.Reason {
	if ord.Number == o.number {
		return "" // a repeated order; the switch has taken place already
	}
	if o.prepared == nil || ord.Number != o.next {
		return order.NotPrepared
	}
	if ord.Step < next {
		return order.TooLate
	}
	o.switchAt = ord.Step
	return ""
}

func (o *orders) drop(ord wire.Order) order.Reason {
	for _, p := range ord.Weights {
		if o.uses(p) {
			return order.InUse
		}
	}
	for _, p := range ord.Weights {
		w := weight{layer: p.Layer, expert: p.Expert}
		delete(o.held, w)
		delete(o.loading, w)
	}
	return ""
}

// uses tells whether the map in force or the prepared one needs the weights.
func (o *orders) uses(p expertmap.Placement) bool {
	for _, m := range []*expertmap.Map{o.current, o.prepared} {
		if m == nil || int(p.Layer) >= m.Shape().Layers {
			continue
		}
		if m.Holds(int(p.Layer), o.rank, p.Expert) {
			return true
		}
	}
	return false
}

func (o *orders) form(ord wire.Order) order.Reason {
	if ord.Epoch == o.epoch && ord.Number == o.number {
		return "" // a repeated order
	}
	m, ok := decodeMap(ord.Map, o.rank)
	if !ok {
		return order.Unsupported
	}
	if ord.Epoch == o.epoch {
		return order.StaleEpoch
	}
	if !o.whole(m) {
		return order.NotHeld
	}
	o.cancel()
	o.epoch, o.joined, o.limit = ord.Epoch, true, 0
	o.current, o.number = m, ord.Number
	return ""
}

func (o *orders) loadModel(model string) order.Reason {
	if model == "" || len(model) > wire.MaxNameBytes {
		return order.Unsupported
	}
	if !slices.Contains(o.models, model) {
		o.models = append(o.models, model)
	}
	return ""
}

// State reads the rank's orders back, also where Config.NoReadBack hides them.
func (e *Engine) State() wire.State {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	o := &e.orders
	return wire.State{
		Fence:    o.last.Fence,
		Epoch:    o.epoch,
		Next:     e.group.step,
		Map:      o.number,
		Prepared: o.next,
		Limit:    o.limit,
		Switch:   o.switchAt,
		Held:     o.placements(),
		Models:   slices.Clone(o.models),
		Role:     o.role,
	}
}

func (o *orders) placements() []expertmap.Placement {
	all := make([]expertmap.Placement, 0, len(o.held))
	for w := range o.held {
		all = append(all, expertmap.Placement{Rank: uint16(o.rank), Layer: w.layer, Expert: w.expert})
	}
	slices.SortFunc(all, func(a, b expertmap.Placement) int {
		return cmp.Or(cmp.Compare(a.Layer, b.Layer), cmp.Compare(a.Expert, b.Expert))
	})
	return all
}
