package deployed

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/task"
)

// Tasks are the tasks of a process.
type Tasks struct {
	task.Group
	began time.Time
}

// NewTasks returns no tasks yet.
func NewTasks(l *log.Logger, m *metrics.Set) *Tasks {
	return &Tasks{Group: task.Group{Log: l, Metrics: m}, began: time.Now()}
}

// Run runs the tasks, and logs that the process has started and why it stops. The cause of ctx's end is why.
func (t *Tasks) Run(ctx context.Context, r host.Role) error {
	t.Log.Info().Str("event", "started").Str("role", string(r)).Msg("")
	err := t.Group.Run()
	e := t.Log.Info().Str("event", "stopped").Dur("lived", time.Since(t.began)).Err(err)
	if cause := context.Cause(ctx); cause != nil {
		e.Str("cause", cause.Error())
	}
	e.Msg("")
	return err
}
