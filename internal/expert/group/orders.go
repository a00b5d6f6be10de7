package group

import (
	"cmp"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
)

// loadSlack is the timeout of an order to load as a multiple of the planned loading
// time. After it another copy of the order is sent.
const loadSlack = 4

// submitOrder submits the next order that the rank's state requires. Only one order is
// pending at a time.
func (s *Switch) submitOrder(now time.Time) {
	if s.pendingOrder.Kind != 0 {
		return
	}
	at := s.nextOrderAt()
	if at.IsZero() || now.Before(at) {
		return
	}
	o := s.nextOrder()
	s.sequence++
	fence := s.fence
	if s.open != nil {
		// A promised switch is completed under the highest fence known: it no
		// longer depends on its planner, and a guard refuses lower fences.
		fence = max(fence, s.open.number.Fence())
	}
	o.ID = order.ID{Fence: fence, Incarnation: s.cfg.Incarnation, Sequence: s.sequence}
	o.Epoch = s.record.Epoch
	s.pendingOrder = o
	s.pendingEpoch = s.record.Epoch
	s.emit(Action{Kind: SubmitOrder, Order: o})
}

// nextOrderAt returns when the next order is due; zero if none is needed.
func (s *Switch) nextOrderAt() time.Time {
	switch {
	case s.phase == forming:
		return latest(s.retryAt, s.load.nextAt)
	case s.phase != settled:
		return time.Time{}
	case s.open == nil:
		if len(s.toDrop) == 0 {
			return time.Time{}
		}
		return latest(s.retryAt, s.dropAt)
	}
	switch s.open.stage {
	case loadingWeights:
		return latest(s.retryAt, s.open.load.nextAt)
	case loaded, promised, committed, passed:
		return time.Time{}
	}
	return latest(s.retryAt, s.open.stageSince)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextOrder returns the order that the rank's state requires.
func (s *Switch) nextOrder() order.Order {
	if s.phase == forming {
		if len(s.load.remaining) > 0 {
			return s.loadOrder(&s.load)
		}
		return order.Order{Kind: order.JoinGroup, Number: uint64(s.record.Number), Map: s.record.Map}
	}
	o := s.open
	if o == nil {
		s.held.remove(s.toDrop)
		return order.Order{Kind: order.Unload, Weights: s.toDrop}
	}
	switch o.stage {
	case loadingWeights:
		return s.loadOrder(&o.load)
	case preparing:
		return order.Order{Kind: order.Prepare, Number: uint64(o.number), Map: o.newMap}
	case promising:
		return order.Order{Kind: order.Limit, Step: o.step}
	case switching:
		return order.Order{Kind: order.SwitchMap, Number: uint64(o.number), Step: o.step}
	case cancelling:
		return order.Order{Kind: order.Cancel, Number: uint64(o.number)}
	}
	return order.Order{Kind: order.RemoveLimit}
}

func (s *Switch) loadOrder(l *loading) order.Order {
	list := l.next()
	s.held.add(list)
	return order.Order{
		Kind:    order.Load,
		Weights: slices.Clone(list),
		Timeout: max(order.DefaultTimeout, loadSlack*l.timePerLoad*time.Duration(len(list))),
	}
}

// orderDone handles the result of the pending order.
func (s *Switch) orderDone(now time.Time, r order.Result) {
	if s.pendingOrder.Kind == 0 || r.ID != s.pendingOrder.ID {
		return
	}
	given := s.pendingOrder
	s.pendingOrder = order.Order{}
	s.next = max(s.next, r.Next)
	if given.Kind == order.Unload && r.Status != order.Done {
		s.held.add(given.Weights) // the engine may still hold them
	}
	if s.pendingEpoch != s.record.Epoch {
		return
	}
	if r.Status == order.Unknown || temporary(r.Reason) {
		s.retryAt = now.Add(s.cfg.Retry)
		return
	}
	if r.Reason == order.StaleFence && r.Fence > given.ID.Fence {
		// There is a newer planner. An undecided switch is refused; any other
		// order is given again under the new fence.
		s.retryAt = now.Add(s.cfg.Retry)
		s.learnFence(now, r.Fence)
		return
	}
	if r.Status == order.Refused {
		s.orderRefused(now, given, r.Reason)
		return
	}
	s.orderAccepted(now, given)
}

// temporary reports whether the same order can succeed a little later.
func temporary(r order.Reason) bool {
	return r == order.FenceUnknown || r == order.QueueFull || r == order.StoreFailed
}

func (s *Switch) orderAccepted(now time.Time, given order.Order) {
	if s.phase == forming {
		s.formingOrderAccepted(now, given)
		return
	}
	if given.Kind == order.Unload {
		s.mayHoldMore = false
		s.toDrop = nil
		return
	}
	o := s.open
	if o == nil || s.phase != settled {
		return
	}
	switch {
	case given.Kind == order.Load && o.stage == loadingWeights:
		o.load.accepted(now, len(given.Weights))
		if len(o.load.remaining) == 0 {
			o.enter(now, preparing)
			s.retryAt = o.load.nextAt // the last chunk should be loaded by then
		}
	case given.Kind == order.Prepare && o.stage == preparing && given.Number == uint64(o.number):
		o.enter(now, loaded)
		s.report(o.proposer, o.number, "")
	case given.Kind == order.Limit && o.stage == promising:
		s.limitConfirmed(now)
	case given.Kind == order.SwitchMap && o.stage == switching:
		o.enter(now, lifting)
	case given.Kind == order.RemoveLimit && o.stage == lifting:
		o.enter(now, committed)
		s.report(o.proposer, o.number, "")
		s.checkStep(now)
	case given.Kind == order.Cancel && o.stage == cancelling:
		o.enter(now, releasing)
	case given.Kind == order.RemoveLimit && o.stage == releasing:
		s.closeOpen(s.dropAt)
	}
}

// limitConfirmed makes the promise, after the engine has confirmed the limit.
func (s *Switch) limitConfirmed(now time.Time) {
	o := s.open
	if s.next > o.step {
		s.violate("engine confirmed a limit at step %d and has begun step %d", o.step, s.next-1)
		s.refuse(now, StepBegun)
		return
	}
	o.enter(now, promised)
	o.askAt = s.firstAskAt(now)
	s.report(o.proposer, o.number, "")
}

func (s *Switch) formingOrderAccepted(now time.Time, given order.Order) {
	switch given.Kind {
	case order.Load:
		s.load.accepted(now, len(given.Weights))
	case order.JoinGroup:
		s.joined(now, s.next)
	}
}

// orderRefused handles an order that the engine or the guard refused.
func (s *Switch) orderRefused(now time.Time, given order.Order, why order.Reason) {
	if s.phase == forming {
		s.formingOrderRefused(now, given, why)
		return
	}
	s.retryAt = now.Add(s.cfg.Retry)
	if why == order.StaleEpoch {
		// The engine restarted, or was ordered to join another epoch.
		s.requestEpoch(now, "engine of %s is not in epoch %d", s.cfg.Self, s.record.Epoch)
		return
	}
	o := s.open
	if o == nil {
		s.dropAt = now.Add(s.cfg.Keep)
		return
	}
	switch o.stage {
	case preparing:
		if why != order.NotHeld {
			s.refuse(now, OrderFailed)
			return
		}
		s.loadAgain(now)
	case loadingWeights:
		s.refuse(now, OrderFailed)
	case promising:
		s.refuse(now, limitRefusal(why))
	case switching:
		s.switchRefused(now, why)
	case cancelling:
		o.enter(now, releasing)
	}
}

func limitRefusal(why order.Reason) Reason {
	if why == order.TooLate {
		return StepBegun
	}
	return OrderFailed
}

// loadAgain orders all weights again if the store has had ample time: the engine
// may have failed to load some without reporting it.
func (s *Switch) loadAgain(now time.Time) {
	o := s.open
	s.retryAt = now.Add(max(s.cfg.Retry, min(o.load.timePerLoad, time.Second)))
	list := needs(o.newMap, s.rank)
	if now.Sub(o.stageSince) < order.DefaultTimeout+loadSlack*o.load.timePerLoad {
		return
	}
	o.load.remaining = list
	o.enter(now, loadingWeights)
}

// switchRefused handles an engine that refuses the switch that all ranks have
// promised. The engine stays before the step, so no step uses two maps; the group
// has to form again.
func (s *Switch) switchRefused(now time.Time, why order.Reason) {
	o := s.open
	if o.adopted && (why == order.NotPrepared || why == order.TooLate) {
		// An earlier incarnation of the sidecar ordered the switch, and the
		// engine has begun the step with the new map.
		o.enter(now, lifting)
		return
	}
	s.violate("engine refused switch %d that it had prepared: %s", o.number, why)
	s.requestEpoch(now, "engine of %s refused switch %d: %s", s.cfg.Self, o.number, why)
}

func (s *Switch) formingOrderRefused(now time.Time, given order.Order, why order.Reason) {
	s.retryAt = now.Add(s.cfg.Retry)
	if given.Kind != order.JoinGroup {
		return
	}
	switch why {
	case order.StaleEpoch:
		// The engine joined the epoch by a copy of this order whose result was
		// lost: no other incarnation of the sidecar orders it to join this epoch.
		s.joined(now, s.next)
	case order.NotHeld:
		if now.Sub(s.load.nextAt) > order.DefaultTimeout+loadSlack*s.load.timePerLoad {
			s.load.remaining = needs(s.record.Map, s.rank)
		}
	}
}

func sorted(list []expertmap.Placement) []expertmap.Placement {
	slices.SortFunc(list, func(a, b expertmap.Placement) int {
		return cmp.Or(cmp.Compare(a.Layer, b.Layer), cmp.Compare(a.Expert, b.Expert))
	})
	return list
}
