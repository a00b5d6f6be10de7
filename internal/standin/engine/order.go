package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// orders is what a rank has been ordered.
type orders struct {
	rank       int
	fence      uint64
	epoch      uint64
	limit      uint64 // first step not begun; 0 for none
	number     uint64
	current    *expertmap.Map
	prepared   *expertmap.Map
	nextNumber uint64
	switchStep uint64
	loaded     map[wire.Weight]bool
	loading    map[wire.Weight]bool
	models     []string
	role       string
}

func newOrders(m *expertmap.Map, rank int) orders {
	o := orders{
		rank:    rank,
		current: m,
		loaded:  make(map[wire.Weight]bool),
		loading: make(map[wire.Weight]bool),
	}
	if m != nil {
		o.number = 1
		for _, w := range weightsOf(m, rank) {
			o.loaded[w] = true
		}
	}
	return o
}

func weightsOf(m *expertmap.Map, rank int) []wire.Weight {
	if m == nil || rank >= m.Shape().Ranks {
		return nil
	}
	var all []wire.Weight
	for layer := range m.Shape().Layers {
		for _, expert := range m.Row(layer, rank) {
			if expert != expertmap.Empty {
				all = append(all, wire.Weight{Layer: uint16(layer), Expert: expert})
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
	return o.switchStep != 0 || o.limit != 0
}

func (o *orders) beginStep(step uint64) {
	if o.switchStep == 0 || step < o.switchStep {
		return
	}
	o.current, o.number = o.prepared, o.nextNumber
	o.forgetPrepared()
}

func (o *orders) forgetPrepared() {
	o.prepared, o.nextNumber, o.switchStep = nil, 0, 0
}

// Order carries out one order.
func (e *Engine) Order(ord wire.Order) wire.OrderReply {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	refusal := e.carryOut(ord)
	e.group.wake.Broadcast()
	reply := wire.OrderReply{Accepted: refusal == "", Refusal: refusal, Step: e.group.step}
	if !e.cfg.IgnoreFence {
		reply.Fence = e.orders.fence
	}
	return reply
}

func (e *Engine) carryOut(ord wire.Order) wire.Refusal {
	o := &e.orders
	if !e.cfg.IgnoreFence && ord.Fence < o.fence {
		return wire.StaleFence
	}
	if ord.Kind != wire.FormGroup && ord.Epoch != 0 && ord.Epoch != o.epoch {
		return wire.WrongEpoch
	}
	o.fence = max(o.fence, ord.Fence)
	switch ord.Kind {
	case wire.LoadModel:
		return o.loadModel(ord.Model)
	case wire.LoadWeights:
		return e.loadWeights(ord.Weights)
	case wire.DropWeights:
		return o.dropWeights(ord.Weights)
	case wire.PrepareMap:
		return o.prepare(ord)
	case wire.CancelMap:
		o.forgetPrepared()
		return ""
	case wire.SetStepLimit:
		return o.setLimit(ord.Step, e.group.step)
	case wire.SwitchMap:
		return o.setSwitch(ord, e.group.step)
	case wire.ChangeRole:
		o.role = ord.Role
		return ""
	case wire.FormGroup:
		return o.form(ord)
	}
	return wire.BadOrder
}

func (o *orders) loadModel(model string) wire.Refusal {
	if model == "" || len(model) > wire.MaxNameBytes {
		return wire.BadOrder
	}
	if !slices.Contains(o.models, model) {
		o.models = append(o.models, model)
	}
	return ""
}

// loadWeights fetches the weights from the store one after the other. The store
// is shared by the group and limited in its rate.
func (e *Engine) loadWeights(ws []wire.Weight) wire.Refusal {
	if len(ws) > wire.MaxWeights {
		return wire.BadOrder
	}
	o := &e.orders
	now := time.Now()
	each := time.Duration(float64(e.cfg.ExpertBytes) / float64(e.cfg.StoreRate) * float64(time.Second))
	for _, w := range ws {
		if o.loaded[w] || o.loading[w] {
			continue
		}
		o.loading[w] = true
		if e.group.storeFree.Before(now) {
			e.group.storeFree = now
		}
		e.group.storeFree = e.group.storeFree.Add(each)
		time.AfterFunc(e.group.storeFree.Sub(now), func() { e.weightLoaded(w) })
	}
	return ""
}

func (e *Engine) weightLoaded(w wire.Weight) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if !e.orders.loading[w] {
		return // dropped, or the rank died, in the meantime
	}
	delete(e.orders.loading, w)
	e.orders.loaded[w] = true
}

func (o *orders) dropWeights(ws []wire.Weight) wire.Refusal {
	for _, w := range ws {
		if holdsWeight(o.current, o.rank, w) || holdsWeight(o.prepared, o.rank, w) {
			return wire.InUse
		}
	}
	for _, w := range ws {
		delete(o.loaded, w)
		delete(o.loading, w)
	}
	return ""
}

func holdsWeight(m *expertmap.Map, rank int, w wire.Weight) bool {
	if m == nil || int(w.Layer) >= m.Shape().Layers || rank >= m.Shape().Ranks {
		return false
	}
	return m.Holds(int(w.Layer), rank, w.Expert)
}

func (o *orders) prepare(ord wire.Order) wire.Refusal {
	if ord.Number == 0 {
		return wire.BadOrder
	}
	m, refusal := o.usable(ord.Map)
	if refusal != "" {
		return refusal
	}
	o.prepared, o.nextNumber, o.switchStep = m, ord.Number, 0
	return ""
}

// usable decodes a map and checks that the rank has the weights for it.
func (o *orders) usable(b []byte) (*expertmap.Map, wire.Refusal) {
	if len(b) > wire.MaxMapBytes {
		return nil, wire.BadOrder
	}
	m := new(expertmap.Map)
	if err := m.UnmarshalCBOR(b); err != nil || o.rank >= m.Shape().Ranks {
		return nil, wire.BadOrder
	}
	for _, w := range weightsOf(m, o.rank) {
		if !o.loaded[w] {
			return nil, wire.MissingWeights
		}
	}
	return m, ""
}

func (o *orders) setLimit(step, next uint64) wire.Refusal {
	if step != 0 && step < next {
		return wire.PassedStep
	}
	o.limit = step
	return ""
}

func (o *orders) setSwitch(ord wire.Order, next uint64) wire.Refusal {
	if o.prepared == nil || ord.Number != o.nextNumber {
		return wire.NotPrepared
	}
	if ord.Step < next {
		return wire.PassedStep
	}
	o.switchStep = ord.Step
	return ""
}

func (o *orders) form(ord wire.Order) wire.Refusal {
	if ord.Epoch <= o.epoch {
		return wire.WrongEpoch
	}
	m, refusal := o.usable(ord.Map)
	if refusal != "" {
		return refusal
	}
	o.forgetPrepared()
	o.epoch, o.limit = ord.Epoch, 0
	o.current, o.number = m, ord.Number
	return ""
}

// state reads the orders back. The group's lock is held.
func (e *Engine) state() wire.State {
	o := &e.orders
	return wire.State{
		Fence:      o.fence,
		Epoch:      o.epoch,
		Step:       e.group.step,
		StepLimit:  o.limit,
		Map:        o.number,
		Prepared:   o.nextNumber,
		SwitchStep: o.switchStep,
		Loaded:     sortedWeights(o.loaded),
		Loading:    sortedWeights(o.loading),
		Models:     slices.Clone(o.models),
		Role:       o.role,
	}
}

func sortedWeights(set map[wire.Weight]bool) []wire.Weight {
	return slices.SortedFunc(maps.Keys(set), func(a, b wire.Weight) int {
		return cmp.Or(cmp.Compare(a.Layer, b.Layer), cmp.Compare(a.Expert, b.Expert))
	})
}
