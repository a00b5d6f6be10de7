package sidecar

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

const (
	// observePeriod is how often the engine's load is read. Admission follows
	// the step time, which moves over seconds.
	observePeriod = 250 * time.Millisecond

	// minSteps is how many steps a step time is taken over, so that the lag of
	// one report weighs little.
	minSteps = 8
)

// observation is one load report of an engine with the time it was read at.
type observation struct {
	at   time.Time
	load engine.Load
}

// stepTime returns the mean time of a step between two observations; false if
// the engine idled between them or made too few steps.
func stepTime(from, to observation) (time.Duration, bool) {
	if from.load.Running == 0 || to.load.Running == 0 {
		return 0, false // time without work is no step's
	}
	if to.load.Step < from.load.Step+minSteps {
		return 0, false
	}
	steps := to.load.Step - from.load.Step
	return to.at.Sub(from.at) / time.Duration(steps), true
}

// observe reads the load of the engine and tells admission its step time. An
// engine that does not answer is left to the requests that it fails.
func (s *Sidecar) observe(ctx context.Context) error {
	ticker := time.NewTicker(observePeriod)
	defer ticker.Stop()
	var last observation
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		load, err := s.target.Load(ctx)
		if err != nil {
			last = observation{}
			continue
		}
		now := observation{at: time.Now(), load: load}
		if d, ok := stepTime(last, now); ok {
			s.desk.put(ctx, deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Step, StepTime: d}})
		}
		last = now
	}
}
