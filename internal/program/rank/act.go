package rank

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
)

// toGroup passes an event to the map switch and executes the actions that it returns.
func (r *Rank) toGroup(ctx context.Context, ev group.Event) {
	actions := r.group.Handle(time.Now(), ev)
	v := r.group.View()
	r.switching.Store(v.Open != 0 || v.Phase != "settled")
	for _, a := range actions {
		r.act(ctx, a)
	}
}

func (r *Rank) act(ctx context.Context, a group.Action) {
	switch a.Kind {
	case group.Send:
		r.send(a.To, a.Message)
	case group.SubmitOrder:
		r.toGuard(ctx, order.Event{Kind: order.Submit, Order: a.Order})
	case group.ReadEngine:
		r.async(func() { r.readEngine(ctx) })
	case group.MapActivated:
		r.counts.activated.Inc()
		r.cfg.Log.Info().Str("group", r.cfg.Group).Uint64("epoch", a.Record.Epoch).
			Uint64("map", uint64(a.Record.Number)).Msg("expert map is active")
	case group.RequestEpoch:
		r.counts.epochsAsked.Inc()
		r.cfg.Log.Warn().Str("group", r.cfg.Group).Str("reason", a.Text).Msg("a new epoch is asked for")
	case group.Violate:
		r.violate(a.Text)
	}
}

func (r *Rank) violate(text string) {
	r.counts.violations.Inc()
	r.cfg.Log.Error().Str("group", r.cfg.Group).Str("evidence", text).Msg("invariant of the group does not hold")
}

// toGuard passes an event to the guard and executes the actions that it returns.
func (r *Rank) toGuard(ctx context.Context, ev order.Event) {
	for _, a := range r.guard.Handle(time.Now(), ev) {
		switch a.Kind {
		case order.Send:
			r.counts.orderSent(a.Order.Kind)
			r.async(func() { r.sendOrder(ctx, a.Order) })
		case order.Finish:
			r.ordersEnded.Add(1)
			r.counts.orderEnded(a.Result)
			r.toGroup(ctx, group.Event{Kind: group.OrderDone, Result: a.Result})
		case order.Violate:
			r.violate(a.Violation)
		}
	}
}

// toFormer passes an event to the former, if this rank has one, and executes the actions
// that it returns.
func (r *Rank) toFormer(ctx context.Context, ev group.EpochFormerEvent) {
	if r.former == nil {
		return
	}
	for _, a := range r.former.Handle(time.Now(), ev) {
		switch a.Kind {
		case group.EpochFormerCall:
			r.async(func() { r.callPlatform(ctx, a.Call) })
		case group.EpochFormerSend:
			r.send(a.To, a.Message)
		case group.EpochFormerViolate:
			r.violate(a.Text)
		}
	}
}

// async runs a call in a goroutine; the call ends by putting an event on the ring. Run
// waits for all of them.
func (r *Rank) async(call func()) {
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		call()
	}()
}

// sendOrder sends one copy of an order. Its connection is closed when sendOrder returns,
// so a copy without a response takes effect within the maximum delay or never.
func (r *Rank) sendOrder(ctx context.Context, o order.Order) {
	res, lost := r.cfg.Engine.SendOrder(ctx, o)
	ev := order.Event{Kind: order.Answer, Result: res}
	if lost {
		ev.Kind = order.Lost
	}
	r.put(ctx, event{guard: &ev})
}

func (r *Rank) callPlatform(ctx context.Context, c object.Call) {
	reply := r.cfg.Platform.Do(ctx, c)
	r.put(ctx, event{former: &group.EpochFormerEvent{Kind: group.EpochFormerReply, Reply: reply}})
}

// pollEngine reads the engine at intervals: its step number, and whether its state is
// still the one that was ordered.
func (r *Rank) pollEngine(ctx context.Context) error {
	if err := r.awaitDocument(ctx); err != nil {
		return err
	}
	for {
		wait := pollIdle
		if r.switching.Load() {
			wait = pollSwitching
		}
		select {
		case <-time.After(wait):
			r.readEngine(ctx)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// readEngine reads the engine's orders and fence back. From an engine that cannot report
// them it reads the step number of its load.
func (r *Rank) readEngine(ctx context.Context) {
	ordersEnded := r.ordersEnded.Load()
	st, err := r.cfg.Engine.ReadBack(ctx)
	if err != nil {
		r.counts.unanswered.Inc()
		return
	}
	if st.Known && !r.fenceRead.Swap(true) {
		r.put(ctx, event{guard: &order.Event{Kind: order.Learn, Fence: st.Fence}})
	}
	r.put(ctx, event{group: &group.Event{Kind: group.ReadBack, State: st}, ordersEnded: ordersEnded})
	if st.Known {
		return
	}
	load, err := r.cfg.Engine.Load(ctx)
	if err != nil {
		r.counts.unanswered.Inc()
		return
	}
	r.put(ctx, event{group: &group.Event{Kind: group.StepRead, Next: load.Step}})
}

func (r *Rank) send(to host.Name, m group.Message) {
	payload, err := m.Encode()
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("cannot encode a group message")
		return
	}
	c := frame.Control{Topic: frame.TopicGroup, Payload: payload}
	r.counts.sent.Inc()
	r.counts.bytesSent.Add(len(payload))
	r.cfg.Send(to, c)
}
