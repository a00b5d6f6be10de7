package planner

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/expert/planner"
)

// counts holds the planner's metrics.
type counts struct {
	set    *metrics.Set
	labels string

	dropped    *metrics.Counter // messages dropped because the inbox or the question queue was full
	invalid    *metrics.Counter // messages that can't be decoded or encoded
	unanswered *metrics.Counter // questions left unanswered because the engine's counts could not be read
	violated   *metrics.Counter
	loads      *metrics.Counter // experts loaded for maps that became active
	skew       *metrics.Gauge
	time       *metrics.Gauge
}

func newCounts(set *metrics.Set, service, group string) *counts {
	labels := fmt.Sprintf("service=%q,group=%q", service, group)
	name := func(n string) string { return fmt.Sprintf("wagtailshelf_plan_%s{%s}", n, labels) }
	return &counts{
		set:        set,
		labels:     labels,
		dropped:    set.GetOrCreateCounter(name("messages_dropped_total")),
		invalid:    set.GetOrCreateCounter(name("messages_invalid_total")),
		unanswered: set.GetOrCreateCounter(name("questions_unanswered_total")),
		violated:   set.GetOrCreateCounter(name("violations_total")),
		loads:      set.GetOrCreateCounter(name("loads_total")),
		skew:       set.GetOrCreateGauge(name("skew"), nil),
		time:       set.GetOrCreateGauge(name("step_time_over_ideal"), nil),
	}
}

// planned records a plan.
func (c *counts) planned(p plan.Proposal) {
	c.skew.Set(p.Before.Skew)
	c.time.Set(p.Before.Time)
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_plan_plans_total{%s,reason=%q}", c.labels, p.Reason)).Inc()
}

// switchEnded records the outcome of a map switch.
func (c *counts) switchEnded(a planner.Action) {
	if a.Vote == group.Committed {
		c.loads.Add(a.Proposal.Loads)
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_plan_switches_total{%s,outcome=%q}", c.labels, a.Vote)).Inc()
}

// State is the planner's part of a state dump.
type State struct {
	Service string         `json:"service"`
	Group   string         `json:"group"`
	Holds   bool           `json:"holds"` // this process holds the lease and plans
	Status  planner.Status `json:"status"`
}

func (p *Planner) state() State {
	return State{
		Service: p.cfg.Service,
		Group:   p.cfg.Group,
		Holds:   p.controller.Holds(time.Now()),
		Status:  p.controller.Status(),
	}
}

// State returns the planner's state. It waits until the goroutine that owns the state
// is free.
func (p *Planner) State(ctx context.Context) (State, error) {
	c := make(chan State, 1)
	select {
	case p.states <- c:
	case <-ctx.Done():
		return State{}, context.Cause(ctx)
	}
	select {
	case s := <-c:
		return s, nil
	case <-ctx.Done():
		return State{}, context.Cause(ctx)
	}
}
