package sidecar

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

const (
	// observePeriod is the interval at which the engine's load is read. Admission uses
	// the step time, which changes over seconds.
	observePeriod = 250 * time.Millisecond

	// minSteps is the smallest number of steps over which a step time is computed, so
	// that the delay of one report has little weight.
	minSteps = 8

	// silentReads is the number of consecutive failed reads after which an engine counts
	// as silent.
	silentReads = 2

	// stalledAfter is how long an engine with work may make no step and send nothing
	// before it counts as silent. This is the time of hundreds of steps.
	stalledAfter = 2 * time.Second
)

// observation is one load report of an engine and the time at which it was read.
type observation struct {
	at   time.Time
	load engine.Load
}

// stepTime returns the mean time of a step between two observations; false if
// the engine idled between them or made too few steps.
func stepTime(from, to observation) (time.Duration, bool) {
	if from.load.Running == 0 || to.load.Running == 0 {
		return 0, false // idle time belongs to no step
	}
	if to.load.Step < from.load.Step+minSteps {
		return 0, false
	}
	steps := to.load.Step - from.load.Step
	return to.at.Sub(from.at) / time.Duration(steps), true
}

// progress tracks whether an engine makes steps.
type progress struct {
	last observation // first observation of the current step
}

// stalled adds an observation and reports whether the engine has made no step for
// stalledAfter. This also holds for an engine without work, and for one whose load
// reports are frozen; the desk decides whether requests wait for it in vain.
func (p *progress) stalled(now observation) bool {
	if p.last.at.IsZero() || now.load.Step != p.last.load.Step {
		p.last = now
		return false
	}
	return now.at.Sub(p.last.at) >= stalledAfter
}

// observe reads the load of the engine and passes its step time to admission. If the
// engine does not answer or makes no steps, the desk cancels the idempotent requests
// that wait for its first byte, so that they move to another target while there is time.
func (s *Sidecar) observe(ctx context.Context) error {
	ticker := time.NewTicker(observePeriod)
	defer ticker.Stop()
	var last observation
	failed := 0
	var steps progress
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		load, err := s.target.Load(ctx)
		if err != nil {
			last = observation{}
			failed++
			if failed >= silentReads {
				s.desk.put(ctx, deskEvent{kind: deskEngineSilent})
			}
			continue
		}
		failed = 0
		now := observation{at: time.Now(), load: load}
		if steps.stalled(now) {
			s.desk.put(ctx, deskEvent{kind: deskEngineSilent})
		}
		if d, ok := stepTime(last, now); ok {
			s.desk.put(ctx, deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Step, StepTime: d}})
		}
		last = now
	}
}
