package group

import (
	"cmp"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
)

// loadSlack is how many times the planned loading time an order to load may take
// before another copy of it is sent.
const loadSlack = 4

// giveOrder gives the next order that the rank's situation calls for. There is
// one at a time.
func (s *Switch) giveOrder(now time.Time) {
	if s.waiting.Kind != 0 {
		return
	}
	at := s.orderAt()
	if at.IsZero() || now.Before(at) {
		return
	}
	o := s.wanted()
	s.sequence++
	fence := s.fence
	if s.open != nil {
		// A promised switch is carried to its end under the highest fence known:
		// it is the group's by then, and a guard refuses lower fences.
		fence = max(fence, s.open.number.Fence())
	}
	o.ID = order.ID{Fence: fence, Incarnation: s.cfg.Incarnation, Sequence: s.sequence}
	o.Epoch = s.record.Epoch
	s.waiting = o
	s.waitingFor = s.record.Epoch
	s.emit(Action{Kind: Give, Order: o})
}

// orderAt returns when the next order is due; zero if none is wanted.
func (s *Switch) orderAt() time.Time {
	switch {
	case s.phase == forming:
		return latest(s.retryAt, s.load.at)
	case s.phase != settled:
		return time.Time{}
	case s.open == nil:
		if len(s.extra) == 0 {
			return time.Time{}
		}
		return latest(s.retryAt, s.dropAt)
	}
	switch s.open.stage {
	case loadingWeights:
		return latest(s.retryAt, s.open.load.at)
	case loaded, promised, committed, passed:
		return time.Time{}
	}
	return latest(s.retryAt, s.open.since)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wanted returns the order for the rank's situation.
func (s *Switch) wanted() order.Order {
	if s.phase == forming {
		if len(s.load.rest) > 0 {
			return s.loadOrder(&s.load)
		}
		return order.Order{Kind: order.Form, Number: uint64(s.record.Number), Map: s.record.Map}
	}
	o := s.open
	if o == nil {
		s.held.remove(s.extra)
		return order.Order{Kind: order.Drop, Weights: s.extra}
	}
	switch o.stage {
	case loadingWeights:
		return s.loadOrder(&o.load)
	case preparing:
		return order.Order{Kind: order.Prepare, Number: uint64(o.number), Map: o.m}
	case promising:
		return order.Order{Kind: order.Limit, Step: o.step}
	case switching:
		return order.Order{Kind: order.SwitchMap, Number: uint64(o.number), Step: o.step}
	case cancelling:
		return order.Order{Kind: order.Cancel, Number: uint64(o.number)}
	}
	return order.Order{Kind: order.Lift}
}

func (s *Switch) loadOrder(l *loading) order.Order {
	list := l.next()
	s.held.add(list)
	return order.Order{
		Kind:    order.Load,
		Weights: slices.Clone(list),
		Timeout: max(order.DefaultTimeout, loadSlack*l.each*time.Duration(len(list))),
	}
}

// orderDone takes in the end of the order that was given.
func (s *Switch) orderDone(now time.Time, r order.Result) {
	if s.waiting.Kind == 0 || r.ID != s.waiting.ID {
		return
	}
	given := s.waiting
	s.waiting = order.Order{}
	s.next = max(s.next, r.Next)
	if given.Kind == order.Drop && r.Status != order.Done {
		s.held.add(given.Weights) // they may still be there
	}
	if s.waitingFor != s.record.Epoch {
		return
	}
	if r.Status == order.Unknown || passing(r.Reason) {
		s.retryAt = now.Add(s.cfg.Retry)
		return
	}
	if r.Reason == order.StaleFence && r.Fence > given.ID.Fence {
		// A newer planner is there. What is undecided is refused; everything else
		// is ordered again under its fence.
		s.retryAt = now.Add(s.cfg.Retry)
		s.fenced(now, r.Fence)
		return
	}
	if r.Status == order.Refused {
		s.orderRefused(now, given, r.Reason)
		return
	}
	s.orderTaken(now, given)
}

// passing tells whether the same order can succeed a little later.
func passing(r order.Reason) bool {
	return r == order.FenceUnknown || r == order.QueueFull || r == order.StoreFailed
}

func (s *Switch) orderTaken(now time.Time, given order.Order) {
	if s.phase == forming {
		s.formingTaken(now, given)
		return
	}
	if given.Kind == order.Drop {
		s.heldMore = false
		s.extra = nil
		return
	}
	o := s.open
	if o == nil || s.phase != settled {
		return
	}
	switch {
	case given.Kind == order.Load && o.stage == loadingWeights:
		o.load.done(now, len(given.Weights))
		if len(o.load.rest) == 0 {
			o.enter(now, preparing)
			s.retryAt = o.load.at // the last chunk is there by then
		}
	case given.Kind == order.Prepare && o.stage == preparing && given.Number == uint64(o.number):
		o.enter(now, loaded)
		s.report(o.proposer, o.number, "")
	case given.Kind == order.Limit && o.stage == promising:
		s.limited(now)
	case given.Kind == order.SwitchMap && o.stage == switching:
		o.enter(now, lifting)
	case given.Kind == order.Lift && o.stage == lifting:
		o.enter(now, committed)
		s.report(o.proposer, o.number, "")
		s.checkStep(now)
	case given.Kind == order.Cancel && o.stage == cancelling:
		o.enter(now, releasing)
	case given.Kind == order.Lift && o.stage == releasing:
		s.closeAt(s.dropAt)
	}
}

// limited makes the promise, now that the engine has confirmed that it stops.
func (s *Switch) limited(now time.Time) {
	o := s.open
	if s.next > o.step {
		s.violate("engine confirmed a limit at step %d and has begun step %d", o.step, s.next-1)
		s.refuse(now, StepBegun)
		return
	}
	o.enter(now, promised)
	o.askAt = s.turn(now)
	s.report(o.proposer, o.number, "")
}

func (s *Switch) formingTaken(now time.Time, given order.Order) {
	switch given.Kind {
	case order.Load:
		s.load.done(now, len(given.Weights))
	case order.Form:
		s.joined(now, s.next)
	}
}

// orderRefused deals with an order that the engine or the guard refused.
func (s *Switch) orderRefused(now time.Time, given order.Order, why order.Reason) {
	if s.phase == forming {
		s.formingRefused(now, given, why)
		return
	}
	s.retryAt = now.Add(s.cfg.Retry)
	if why == order.StaleEpoch {
		// The engine restarted, or was told to join another epoch.
		s.reform(now, "engine of %s is not in epoch %d", s.cfg.Self, s.record.Epoch)
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

// loadAgain orders the weights once more, if the store has had ample time: the
// engine may have failed to load some and told nobody.
func (s *Switch) loadAgain(now time.Time) {
	o := s.open
	s.retryAt = now.Add(max(s.cfg.Retry, min(o.load.each, time.Second)))
	list := needs(o.m, s.rank)
	if now.Sub(o.since) < order.DefaultTimeout+loadSlack*o.load.each {
		return
	}
	o.load.rest = list
	o.enter(now, loadingWeights)
}

// switchRefused deals with an engine that doesn't take the switch that all have
// promised. It stays before the step, so no step sees two maps; the group can
// only form again.
func (s *Switch) switchRefused(now time.Time, why order.Reason) {
	o := s.open
	if o.adopted && (why == order.NotPrepared || why == order.TooLate) {
		// An earlier life of the sidecar has ordered it, and the engine has
		// begun the step with the new map.
		o.enter(now, lifting)
		return
	}
	s.violate("engine refused switch %d that it had prepared: %s", o.number, why)
	s.reform(now, "engine of %s refused switch %d: %s", s.cfg.Self, o.number, why)
}

func (s *Switch) formingRefused(now time.Time, given order.Order, why order.Reason) {
	s.retryAt = now.Add(s.cfg.Retry)
	if given.Kind != order.Form {
		return
	}
	switch why {
	case order.StaleEpoch:
		// A copy whose answer was lost has brought the engine into the epoch. No
		// other life of the sidecar orders it to join this one.
		s.joined(now, s.next)
	case order.NotHeld:
		if now.Sub(s.load.at) > order.DefaultTimeout+loadSlack*s.load.each {
			s.load.rest = needs(s.record.Map, s.rank)
		}
	}
}

func sorted(list []expertmap.Placement) []expertmap.Placement {
	slices.SortFunc(list, func(a, b expertmap.Placement) int {
		return cmp.Or(cmp.Compare(a.Layer, b.Layer), cmp.Compare(a.Expert, b.Expert))
	})
	return list
}
