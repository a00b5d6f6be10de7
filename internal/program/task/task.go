// Package task runs the tasks of a process: goroutines that go on for as long as it does.
//
// A task that ends before, by an error or a panic, concerns what it does: the requests of others go on, and so do the
// other tasks. It is logged, counted, and started again after a pause. Tasks lock with deferred unlocks, so that a panic
// leaves no lock behind.
package task

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/phuslu/log"
)

const (
	// restartPause is the time between a task's end and its next start.
	restartPause = 200 * time.Millisecond
	// maxText bounds the text of a panic's value and of its stack in a log line, in bytes each.
	maxText = 2 << 10
)

// PanicError is a panic that was turned into an error.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the panic's value.
func (e *PanicError) Error() string { return bounded(fmt.Sprintf("panic: %v", e.Value)) }

// Catch turns a panic of the function that defers it into the function's error.
func Catch(err *error) {
	if v := recover(); v != nil {
		*err = &PanicError{Value: v, Stack: debug.Stack()}
	}
}

// Guard calls a function and returns its error, also if it panics.
func Guard(f func() error) (err error) {
	defer Catch(&err)
	return f()
}

// Go runs a function in a goroutine. A panic is logged, and ends only that.
func Go(l *log.Logger, name string, f func()) {
	go func() {
		if err := Guard(func() error { f(); return nil }); err != nil {
			Report(l, name, err)
		}
	}()
}

// Group is the tasks of a process.
type Group struct {
	Log     *log.Logger
	Metrics *metrics.Set

	tasks run.Group
}

// Add adds a task, which is to return when its context ends. That is when ctx ends, or once the first task has returned
// after its own context ended.
func (g *Group) Add(ctx context.Context, name string, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.tasks.Add(func() error { return g.Keep(ctx, name, serve) }, func(error) { cancel() })
}

// Run runs the tasks, and returns the error of the first one that returned.
func (g *Group) Run() error { return g.tasks.Run() }

// Keep runs a task until its context ends, as the group does with its own.
func (g *Group) Keep(ctx context.Context, name string, serve func(context.Context) error) error {
	for {
		err := Guard(func() error { return serve(ctx) })
		if ctx.Err() != nil {
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return err
		}
		g.Metrics.GetOrCreateCounter(fmt.Sprintf("wagtailshelf_task_ends_total{task=%q}", name)).Inc()
		Report(g.Log, name, err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartPause):
		}
	}
}

// Report logs that a task has ended though it was to go on.
func Report(l *log.Logger, name string, err error) {
	e := l.Error().Str("event", "taskEnded").Str("task", name).Err(err)
	if p, ok := err.(*PanicError); ok {
		e.Str("stack", bounded(string(p.Stack)))
	}
	e.Msg("")
}

// bounded returns the beginning of a text.
func bounded(s string) string { return s[:min(len(s), maxText)] }
