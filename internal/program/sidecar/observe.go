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

	// silentReads is how many reads in a row have to fail before an engine counts
	// as silent.
	silentReads = 2

	// stalledAfter is how long an engine with work may make no step, and send
	// nothing, before it counts as silent. It is hundreds of steps.
	stalledAfter = 2 * time.Second
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

// progress watches whether an engine makes steps.
type progress struct {
	last observation // the first with the present step
}

// stalled takes the next observation and tells whether the engine stands still.
// An engine without work does, too, and so does one whose reports are frozen:
// the desk knows whether requests wait for it in vain.
func (p *progress) stalled(now observation) bool {
	if p.last.at.IsZero() || now.load.Step != p.last.load.Step {
		p.last = now
		return false
	}
	return now.at.Sub(p.last.at) >= stalledAfter
}

// observe reads the load of the engine and tells admission its step time. An
// engine that does not answer fails the requests that wait for its first byte
// and may be repeated, so that they move to another target while there is time.
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
				s.desk.put(ctx, deskEvent{kind: deskSilent})
			}
			continue
		}
		failed = 0
		now := observation{at: time.Now(), load: load}
		if steps.stalled(now) {
			s.desk.put(ctx, deskEvent{kind: deskSilent})
		}
		if d, ok := stepTime(last, now); ok {
			s.desk.put(ctx, deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Step, StepTime: d}})
		}
		last = now
	}
}
