package group_test

import (
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// engine is the stand-in of one rank's engine: it obeys orders and takes part in
// steps.
type engine struct {
	epoch, activeNumber, prepared uint64
	limit, switchStep             uint64
	fence                         lease.Fence
	maps                          map[uint64]*expertmap.Map
	held                          map[expertmap.Placement]bool
	storeDown                     bool
	holdsFor                      *expertmap.Map // the engine is known to hold all weights of this map; nil if unknown
	dead                          bool
}

func (e *engine) execute(w *world, n *node, o order.Order) order.Result {
	r := order.Result{ID: o.ID, Kind: o.Kind, Status: order.Refused, Next: w.step, Fence: e.fence}
	switch {
	case w.engineKind.ChecksFences && o.ID.Fence < e.fence:
		r.Reason = order.StaleFence
	case o.Epoch < e.epoch, o.Epoch > e.epoch && o.Kind != order.JoinGroup && o.Kind != order.Load, o.Kind == order.JoinGroup && o.Epoch <= e.epoch:
		r.Reason = order.StaleEpoch
	default:
		if o.ID.Fence < e.fence {
			w.fail("engine %d: order with fence %d takes effect after %d", n.rank, o.ID.Fence, e.fence)
		}
		e.fence = o.ID.Fence
		r.Reason = e.obey(w, n, o)
	}
	if r.Reason == "" {
		r.Status = order.Done
	}
	return r
}

func (e *engine) obey(w *world, n *node, o order.Order) order.Reason {
	switch o.Kind {
	case order.Load:
		if e.storeDown {
			return order.StoreFailed
		}
		for _, p := range o.Weights {
			e.held[p] = true
		}
	case order.Prepare:
		if !e.holds(o.Map, n.rank) {
			return order.NotHeld
		}
		e.maps[o.Number] = o.Map
		e.prepared, e.switchStep = o.Number, 0
	case order.Cancel:
		e.prepared, e.switchStep = 0, 0
	case order.Limit:
		if o.Step < w.step {
			return order.TooLate
		}
		e.limit = o.Step
	case order.RemoveLimit:
		e.limit = 0
	case order.SwitchMap:
		if e.prepared != o.Number {
			return order.NotPrepared
		}
		if o.Step < w.step {
			return order.TooLate
		}
		e.switchStep = o.Step
	case order.Unload:
		for _, p := range o.Weights {
			delete(e.held, p)
		}
		e.holdsFor = nil
	case order.JoinGroup:
		if !e.holds(o.Map, n.rank) {
			return order.NotHeld
		}
		e.epoch, e.activeNumber, e.prepared, e.limit, e.switchStep = o.Epoch, o.Number, 0, 0, 0
		e.maps[o.Number] = o.Map
	}
	return ""
}

func (e *engine) holds(m *expertmap.Map, rank int) bool {
	if e.holdsFor == m {
		return true
	}
	for layer := range m.Shape().Layers {
		for _, x := range m.Row(layer, rank) {
			if x != expertmap.Empty && !e.held[expertmap.Placement{Rank: uint16(rank), Layer: uint16(layer), Expert: x}] {
				return false
			}
		}
	}
	e.holdsFor = m
	return true
}

func (e *engine) state(w *world) order.State {
	if !w.engineKind.ReadsBack {
		return order.State{}
	}
	st := order.State{Known: true, Epoch: e.epoch, Fence: e.fence, Next: w.step, Map: e.activeNumber,
		Prepared: e.prepared, Limit: e.limit, Switch: e.switchStep}
	for p := range e.held {
		st.Held = append(st.Held, p)
	}
	return st
}
