package process

import (
	"context"
	"errors"
	"os"

	"github.com/oklog/run"
	"github.com/phuslu/log"
)

// Program is the program that a process runs.
type Program struct {
	// Run serves until its context ends.
	Run func(ctx context.Context) error

	// Drain lets the work in flight finish and returns.
	Drain func(ctx context.Context) error

	// Reload reads the keys again.
	Reload func() error

	// Stops receives a signal that asks the process to stop, and a second one that asks it to hurry. Hangups receives
	// one that asks it to reload.
	Stops, Hangups <-chan os.Signal

	Admin *Admin
	Log   *log.Logger
}

// errStopped is returned when a signal asked the process to stop.
var errStopped = errors.New("stopped by a signal")

// Serve runs the program until it fails, ctx ends or a signal asks it to stop.
// The first signal to stop drains it; a second one ends it at once.
func (p *Program) Serve(ctx context.Context) error {
	var g run.Group
	p.add(ctx, &g, p.Run)
	p.add(ctx, &g, p.Admin.Serve)
	p.add(ctx, &g, p.handleSignals)
	err := g.Run()
	if errors.Is(err, errStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (p *Program) add(ctx context.Context, g *run.Group, task func(context.Context) error) {
	ctx, stop := context.WithCancel(ctx)
	g.Add(func() error { return task(ctx) }, func(error) { stop() })
}

func (p *Program) handleSignals(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-p.Stops:
			return p.drain(ctx)
		case <-p.Hangups:
			p.reload()
		}
	}
}

func (p *Program) reload() {
	if p.Reload == nil {
		return
	}
	if err := p.Reload(); err != nil {
		p.Log.Error().Err(err).Msg("failed to reload keys; the old ones stay in use")
		return
	}
	p.Log.Info().Msg("keys reloaded")
}

// drain waits for the work in flight. A second signal to stop ends the wait.
func (p *Program) drain(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.Log.Info().Msg("draining")
	done := make(chan error, 1)
	go func() { done <- p.Drain(ctx) }()
	select {
	case err := <-done:
		if err != nil {
			p.Log.Warn().Err(err).Msg("drain ended early")
			return errStopped
		}
		p.Log.Info().Msg("drained")
	case <-p.Stops:
		p.Log.Warn().Msg("stopped by a second signal")
		cancel()
		<-done
	}
	return errStopped
}
