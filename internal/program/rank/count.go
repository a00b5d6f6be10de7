package rank

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// counts are the metrics of a rank in its group.
type counts struct {
	set    *metrics.Set
	labels string

	sent          *metrics.Counter
	bytesSent     *metrics.Counter
	received      *metrics.Counter
	bytesReceived *metrics.Counter
	dropped       *metrics.Counter // messages dropped because the ring was full
	invalid       *metrics.Counter // messages that cannot be decoded
	unanswered    *metrics.Counter // reads that the engine did not answer
	activated     *metrics.Counter // maps that became active
	epochsAsked   *metrics.Counter // requests of this rank for a new epoch
	violations    *metrics.Counter
}

func newCounts(set *metrics.Set, service, name string) *counts {
	c := &counts{set: set, labels: fmt.Sprintf("service=%q,group=%q", service, name)}
	counter := func(n string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_group_%s{%s}", n, c.labels))
	}
	c.sent = counter("messages_sent_total")
	c.bytesSent = counter("sent_bytes_total")
	c.received = counter("messages_received_total")
	c.bytesReceived = counter("received_bytes_total")
	c.dropped = counter("messages_dropped_total")
	c.invalid = counter("messages_invalid_total")
	c.unanswered = counter("reads_unanswered_total")
	c.activated = counter("maps_in_force_total")
	c.epochsAsked = counter("epochs_asked_total")
	c.violations = counter("violations_total")
	return c
}

func (c *counts) orderSent(k order.Kind) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_group_orders_sent_total{%s,kind=%q}", c.labels, k)).Inc()
}

func (c *counts) orderEnded(r order.Result) {
	outcomes := map[order.Status]string{order.Done: "done", order.Refused: "refused", order.Unknown: "unknown"}
	name := fmt.Sprintf("wagtailshelf_group_orders_ended_total{%s,kind=%q,outcome=%q}", c.labels, r.Kind, outcomes[r.Status])
	c.set.GetOrCreateCounter(name).Inc()
}

// State is the state of a rank in a dump.
type State struct {
	Service     string      `json:"service"`
	Group       string      `json:"group"`
	Rank        *group.View `json:"rank,omitempty"` // nil before the first document
	Fence       lease.Fence `json:"fence"`          // highest fence that the guard knows
	FenceKnown  bool        `json:"fenceKnown"`     // without it no order is sent
	KeepsRecord bool        `json:"keepsRecord"`    // forms new epochs on request
	RecordEpoch uint64      `json:"recordEpoch,omitempty"`
	Violations  uint64      `json:"violations"`
}

func (r *Rank) state() State {
	s := State{Service: r.cfg.Service, Group: r.cfg.Group, KeepsRecord: r.former != nil, Violations: r.counts.violations.Get()}
	if r.setup == nil {
		return s
	}
	v := r.group.View()
	s.Rank = &v
	s.Fence, s.FenceKnown = r.guard.Fence(), r.guard.FenceKnown()
	if r.former != nil && r.former.Record() != nil {
		s.RecordEpoch = r.former.Record().Epoch
	}
	return s
}

// State returns the rank's state, or the cause of ctx if that ends first.
func (r *Rank) State(ctx context.Context) (State, error) {
	answer := make(chan State, 1)
	r.put(ctx, event{state: answer})
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return State{}, context.Cause(ctx)
	}
}
