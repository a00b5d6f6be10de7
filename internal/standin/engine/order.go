package engine

import (
	"cmp"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// firstNumber is the number of the active map at the start.
const firstNumber = 1

// weightID identifies the weights of one expert in one layer.
type weightID struct {
	layer, expert uint16
}

// orderState is the state of a rank that orders change.
type orderState struct {
	rank           int
	lastID         order.ID // highest accepted ID
	epoch          uint64
	joined         bool // whether the rank takes part in the lock-step
	current        *expertmap.Map
	currentNumber  uint64 // number of current
	prepared       *expertmap.Map
	preparedNumber uint64 // number of prepared
	switchAt       uint64 // first step that uses prepared; 0 for none
	limit          uint64 // first step that the rank must not begin; 0 for none
	held           map[weightID]bool
	loading        map[weightID]bool
	models         []string
	role           string
}

func newOrderState(m *expertmap.Map, rank int) orderState {
	o := orderState{rank: rank, held: make(map[weightID]bool), loading: make(map[weightID]bool)}
	if m == nil {
		return o
	}
	o.current, o.currentNumber, o.joined = m, firstNumber, true
	for _, w := range weightsOf(m, rank) {
		o.held[w] = true
	}
	return o
}

func weightsOf(m *expertmap.Map, rank int) []weightID {
	if m == nil || rank >= m.Shape().Ranks {
		return nil
	}
	var all []weightID
	for layer := range m.Shape().Layers {
		for _, expert := range m.Row(layer, rank) {
			if expert != expertmap.Empty {
				all = append(all, weightID{layer: uint16(layer), expert: expert})
			}
		}
	}
	return all
}

// limited reports whether a limit order keeps the rank from beginning the step.
func (o *orderState) limited(step uint64) bool {
	return o.limit != 0 && step >= o.limit
}

// pending reports whether the rank has a switch or a limit ahead, for which steps go
// on even without requests.
func (o *orderState) pending() bool {
	return o.switchAt != 0 || o.limit != 0
}

// beginStep activates the prepared map if the switch is due.
func (o *orderState) beginStep(step uint64) {
	if o.switchAt == 0 || step < o.switchAt {
		return
	}
	o.current, o.currentNumber = o.prepared, o.preparedNumber
	o.cancelSwitch()
}

// cancelSwitch drops the prepared map and the switch to it.
func (o *orderState) cancelSwitch() {
	o.prepared, o.preparedNumber, o.switchAt = nil, 0, 0
}

// holdsWeightsOf reports whether the rank holds all its weights of the map.
func (o *orderState) holdsWeightsOf(m *expertmap.Map) bool {
	for _, w := range weightsOf(m, o.rank) {
		if !o.held[w] {
			return false
		}
	}
	return true
}

// Order carries out one order. For an order to load weights it returns when the rank
// holds them.
func (e *Engine) Order(ord wire.Order) wire.OrderReply {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	reason := e.checkOrder(ord)
	if reason == "" {
		reason = e.carryOut(ord)
	}
	e.group.wake.Broadcast()
	return wire.OrderReply{Accepted: reason == "", Reason: reason, Next: e.group.step}
}

// checkOrder makes the checks that are common to all kinds of orders. It returns why
// the order is refused, or "".
func (e *Engine) checkOrder(ord wire.Order) order.Reason {
	o := &e.orders
	if !e.cfg.IgnoreFence && ord.ID.Fence < o.lastID.Fence {
		return order.StaleFence
	}
	if e.cfg.CheckIDs && ord.ID.Compare(o.lastID) < 0 {
		return order.StaleOrder
	}
	if ord.Epoch < o.epoch && ord.Kind != wire.LoadModel && ord.Kind != wire.ChangeRole {
		return order.StaleEpoch
	}
	if ord.ID.Compare(o.lastID) > 0 {
		o.lastID = ord.ID
	}
	return ""
}

func (e *Engine) carryOut(ord wire.Order) order.Reason {
	o := &e.orders
	switch ord.Kind {
	case wire.LoadWeights:
		return e.loadWeights(ord)
	case wire.Prepare:
		return o.prepare(ord)
	case wire.CancelMap:
		o.cancelSwitch()
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

func (o *orderState) prepare(ord wire.Order) order.Reason {
	m, ok := decodeMap(ord.Map, o.rank)
	if !ok || ord.Number == 0 {
		return order.Unsupported
	}
	if !o.holdsWeightsOf(m) {
		return order.NotHeld
	}
	if o.preparedNumber != ord.Number {
		o.prepared, o.preparedNumber, o.switchAt = m, ord.Number, 0
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

// loadWeights loads weights from the store, one after the other, and waits until the
// rank holds them. The group shares the store, whose rate is limited.
func (e *Engine) loadWeights(ord wire.Order) order.Reason {
	if len(ord.Weights) > wire.MaxWeights {
		return order.Unsupported
	}
	wanted := make([]weightID, 0, len(ord.Weights))
	for _, p := range ord.Weights {
		w := weightID{layer: p.Layer, expert: p.Expert}
		wanted = append(wanted, w)
		e.startLoad(w)
	}
	for !e.orders.allHeld(wanted) {
		if e.group.stopped || e.faults.Dead || !e.orders.allHeldOrLoading(wanted) {
			return order.StoreFailed
		}
		e.group.wake.Wait()
	}
	return ""
}

func (o *orderState) allHeld(ws []weightID) bool {
	return !slices.ContainsFunc(ws, func(w weightID) bool { return !o.held[w] })
}

// allHeldOrLoading reports whether the rank holds or loads each of the weights.
func (o *orderState) allHeldOrLoading(ws []weightID) bool {
	return !slices.ContainsFunc(ws, func(w weightID) bool { return !o.held[w] && !o.loading[w] })
}

func (e *Engine) startLoad(w weightID) {
	if e.orders.held[w] || e.orders.loading[w] {
		return
	}
	e.orders.loading[w] = true
	now := time.Now()
	if e.group.storeFreeAt.Before(now) {
		e.group.storeFreeAt = now
	}
	seconds := float64(e.cfg.ExpertBytes) / float64(e.cfg.StoreRate)
	e.group.storeFreeAt = e.group.storeFreeAt.Add(time.Duration(seconds * float64(time.Second)))
	time.AfterFunc(e.group.storeFreeAt.Sub(now), func() { e.finishLoad(w) })
}

func (e *Engine) finishLoad(w weightID) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if !e.orders.loading[w] {
		return // the weights were dropped in the meantime, or the rank died
	}
	delete(e.orders.loading, w)
	e.orders.held[w] = true
	e.group.wake.Broadcast()
}

func (o *orderState) setLimit(ord wire.Order, next uint64) order.Reason {
	if ord.Step < next {
		return order.TooLate
	}
	o.limit = ord.Step
	return ""
}

func (o *orderState) setSwitch(ord wire.Order, next uint64) order.Reason {
	if ord.Number == o.currentNumber {
		return "" // a repeated order: the switch has taken place already
	}
	if o.prepared == nil || ord.Number != o.preparedNumber {
		return order.NotPrepared
	}
	if ord.Step < next {
		return order.TooLate
	}
	o.switchAt = ord.Step
	return ""
}

func (o *orderState) drop(ord wire.Order) order.Reason {
	for _, p := range ord.Weights {
		if o.uses(p) {
			return order.InUse
		}
	}
	for _, p := range ord.Weights {
		w := weightID{layer: p.Layer, expert: p.Expert}
		delete(o.held, w)
		delete(o.loading, w)
	}
	return ""
}

// uses reports whether the active map or the prepared one needs the weights.
func (o *orderState) uses(p expertmap.Placement) bool {
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

func (o *orderState) form(ord wire.Order) order.Reason {
	if ord.Epoch == o.epoch && ord.Number == o.currentNumber {
		return "" // a repeated order
	}
	m, ok := decodeMap(ord.Map, o.rank)
	if !ok {
		return order.Unsupported
	}
	if ord.Epoch == o.epoch {
		return order.StaleEpoch
	}
	if !o.holdsWeightsOf(m) {
		return order.NotHeld
	}
	o.cancelSwitch()
	o.epoch, o.joined, o.limit = ord.Epoch, true, 0
	o.current, o.currentNumber = m, ord.Number
	return ""
}

func (o *orderState) loadModel(model string) order.Reason {
	if model == "" || len(model) > wire.MaxNameBytes {
		return order.Unsupported
	}
	if !slices.Contains(o.models, model) {
		o.models = append(o.models, model)
	}
	return ""
}

// State returns the rank's state after its orders, even if Config.NoReadBack hides it
// over HTTP.
func (e *Engine) State() wire.State {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	o := &e.orders
	return wire.State{
		Fence:    o.lastID.Fence,
		Epoch:    o.epoch,
		Next:     e.group.step,
		Map:      o.currentNumber,
		Prepared: o.preparedNumber,
		Limit:    o.limit,
		Switch:   o.switchAt,
		Held:     o.heldPlacements(),
		Models:   slices.Clone(o.models),
		Role:     o.role,
	}
}

func (o *orderState) heldPlacements() []expertmap.Placement {
	all := make([]expertmap.Placement, 0, len(o.held))
	for w := range o.held {
		all = append(all, expertmap.Placement{Rank: uint16(o.rank), Layer: w.layer, Expert: w.expert})
	}
	slices.SortFunc(all, func(a, b expertmap.Placement) int {
		return cmp.Or(cmp.Compare(a.Layer, b.Layer), cmp.Compare(a.Expert, b.Expert))
	})
	return all
}
