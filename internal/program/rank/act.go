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

func (r *Rank) toGroup(ctx context.Context, ev group.Event) {
	actions := r.group.Handle(time.Now(), ev)
	v := r.group.View()
	r.open.Store(v.Open != 0 || v.Phase != "settled")
	for _, a := range actions {
		r.act(ctx, a)
	}
}

func (r *Rank) act(ctx context.Context, a group.Action) {
	switch a.Kind {
	case group.Send:
		r.send(a.To, a.Message)
	case group.Give:
		r.toGuard(ctx, order.Event{Kind: order.Submit, Order: a.Order})
	case group.Read:
		r.async(func() { r.readEngine(ctx) })
	case group.InForce:
		r.counts.inForce.Inc()
		r.cfg.Log.Info().Str("group", r.cfg.Group).Uint64("epoch", a.Record.Epoch).
			Uint64("map", uint64(a.Record.Number)).Msg("expert map in force")
	case group.Reform:
		r.counts.renewals.Inc()
		r.cfg.Log.Warn().Str("group", r.cfg.Group).Str("reason", a.Text).Msg("a new epoch is asked for")
	case group.Violate:
		r.violate(a.Text)
	}
}

func (r *Rank) violate(text string) {
	r.counts.violated.Inc()
	r.cfg.Log.Error().Str("group", r.cfg.Group).Str("evidence", text).Msg("invariant of the group does not hold")
}

func (r *Rank) toGuard(ctx context.Context, ev order.Event) {
	for _, a := range r.guard.Handle(time.Now(), ev) {
		switch a.Kind {
		case order.Send:
			r.counts.ordered(a.Order.Kind)
			r.async(func() { r.give(ctx, a.Order) })
		case order.Finish:
			r.orders.Add(1)
			r.counts.ended(a.Result)
			r.toGroup(ctx, group.Event{Kind: group.OrderDone, Result: a.Result})
		case order.Violate:
			r.violate(a.Violation)
		}
	}
}

func (r *Rank) toFormer(ctx context.Context, ev group.FormerEvent) {
	if r.former == nil {
		return
	}
	for _, a := range r.former.Handle(time.Now(), ev) {
		switch a.Kind {
		case group.FormerCall:
			r.async(func() { r.call(ctx, a.Call) })
		case group.FormerSend:
			r.send(a.To, a.Message)
		case group.FormerViolate:
			r.violate(a.Text)
		}
	}
}

// async runs a call whose end is an event on the ring. Run awaits all of them.
func (r *Rank) async(call func()) {
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		call()
	}()
}

// give sends one copy of an order. Its connection is closed when give returns, so
// a copy without an answer lands within the landing time or never.
func (r *Rank) give(ctx context.Context, o order.Order) {
	res, lost := r.cfg.Engine.Give(ctx, o)
	ev := order.Event{Kind: order.Answer, Result: res}
	if lost {
		ev.Kind = order.Lost
	}
	r.put(ctx, event{guard: &ev})
}

func (r *Rank) call(ctx context.Context, c object.Call) {
	reply := r.cfg.Platform.Do(ctx, c)
	r.put(ctx, event{former: &group.FormerEvent{Kind: group.FormerReply, Reply: reply}})
}

// poll is the duty that reads the engine: how far its steps are, and whether it
// is still as it was ordered.
func (r *Rank) poll(ctx context.Context) error {
	if err := r.awaitDocument(ctx); err != nil {
		return err
	}
	for {
		wait := pollIdle
		if r.open.Load() {
			wait = pollOpen
		}
		select {
		case <-time.After(wait):
			r.readEngine(ctx)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (r *Rank) readEngine(ctx context.Context) {
	orders := r.orders.Load()
	st, err := r.cfg.Engine.ReadBack(ctx)
	if err != nil {
		r.counts.silent.Inc()
		return
	}
	if st.Known && !r.fenced.Swap(true) {
		r.put(ctx, event{guard: &order.Event{Kind: order.Learn, Fence: st.Fence}})
	}
	r.put(ctx, event{group: &group.Event{Kind: group.ReadBack, State: st}, orders: orders})
	if st.Known {
		return
	}
	load, err := r.cfg.Engine.Load(ctx)
	if err != nil {
		r.counts.silent.Inc()
		return
	}
	r.put(ctx, event{group: &group.Event{Kind: group.Stepped, Next: load.Step}})
}

func (r *Rank) send(to host.Name, m group.Message) {
	payload, err := m.Encode()
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("a message of the group can't be encoded")
		return
	}
	c := frame.Control{Topic: frame.TopicGroup, Payload: payload}
	r.counts.sent.Inc()
	r.counts.bytesSent.Add(len(payload))
	r.cfg.Send(to, c)
}
