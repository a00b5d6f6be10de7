package rank

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// counts are the metrics of a rank's part in its group.
type counts struct {
	set    *metrics.Set
	labels string

	sent          *metrics.Counter
	bytesSent     *metrics.Counter
	received      *metrics.Counter
	bytesReceived *metrics.Counter
	dropped       *metrics.Counter // messages that found no room
	invalid       *metrics.Counter // messages that can't be read
	silent        *metrics.Counter // reads that the engine did not answer
	inForce       *metrics.Counter // maps that came in force
	renewals      *metrics.Counter // times that this rank asked for a new epoch
	violated      *metrics.Counter
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
	c.silent = counter("reads_unanswered_total")
	c.inForce = counter("maps_in_force_total")
	c.renewals = counter("epochs_asked_total")
	c.violated = counter("violations_total")
	return c
}

func (c *counts) ordered(k order.Kind) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_group_orders_sent_total{%s,kind=%q}", c.labels, k)).Inc()
}

func (c *counts) ended(r order.Result) {
	outcomes := map[order.Status]string{order.Done: "done", order.Refused: "refused", order.Unknown: "unknown"}
	name := fmt.Sprintf("wagtailshelf_group_orders_ended_total{%s,kind=%q,outcome=%q}", c.labels, r.Kind, outcomes[r.Status])
	c.set.GetOrCreateCounter(name).Inc()
}

// State is the rank's part of a dump.
type State struct {
	Service     string      `json:"service"`
	Group       string      `json:"group"`
	Rank        *group.View `json:"rank,omitempty"` // none before a document
	Fence       lease.Fence `json:"fence"`          // highest that the guard knows
	FenceKnown  bool        `json:"fenceKnown"`     // without it no order is given
	KeepsRecord bool        `json:"keepsRecord"`    // forms new epochs when asked
	RecordEpoch uint64      `json:"recordEpoch,omitempty"`
	Violations  uint64      `json:"violations"`
}

func (r *Rank) state() State {
	s := State{Service: r.cfg.Service, Group: r.cfg.Group, KeepsRecord: r.former != nil, Violations: r.counts.violated.Get()}
	if r.setup == nil {
		return s
	}
	v := r.group.View()
	s.Rank = &v
	s.Fence, s.FenceKnown = r.guard.Fence(), r.guard.Learnt()
	if r.former != nil && r.former.Record() != nil {
		s.RecordEpoch = r.former.Record().Epoch
	}
	return s
}

// State returns the rank's state, once the duty that owns it has time.
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
