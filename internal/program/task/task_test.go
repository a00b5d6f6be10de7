package task

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// output is a log that tasks write to at the same time.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Guards against a task that ends the whole process by an error, by a panic, or by returning.
func TestTaskIsStartedAgain(t *testing.T) {
	for name, end := range map[string]func() error{
		"error":  func() error { return errors.New("no room") },
		"panic":  func() error { panic("no room") },
		"return": func() error { return nil },
		"nil map": func() error {
			var m map[string]int
			m["no room"]++
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			var out output
			set := metrics.NewSet()
			ctx, cancel := context.WithCancel(t.Context())
			g := Group{Log: &log.Logger{Writer: &log.IOWriter{Writer: &out}}, Metrics: set}
			starts, others := 0, make(chan struct{})
			g.Add(ctx, "weak", func(ctx context.Context) error {
				if starts++; starts < 3 {
					return end()
				}
				cancel()
				<-ctx.Done()
				return nil
			})
			g.Add(context.WithoutCancel(ctx), "other", func(ctx context.Context) error {
				<-ctx.Done()
				close(others)
				return nil
			})
			require.NoError(t, g.Run())
			<-others
			require.Equal(t, 3, starts)
			require.Equal(t, 2, strings.Count(out.String(), `"event":"taskEnded","task":"weak"`), out.String())
			require.NotContains(t, out.String(), `"task":"other"`)
			var counts bytes.Buffer
			set.WritePrometheus(&counts)
			require.Contains(t, counts.String(), `wagtailshelf_task_ends_total{task="weak"} 2`)
		})
	}
}

// Guards against a log line without the place of a panic, or without a bound.
func TestPanicIsReportedWithItsStack(t *testing.T) {
	var out output
	err := Guard(func() error { panic(strings.Repeat("x", 3*maxText)) })
	Report(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, "weak", err)
	require.Contains(t, out.String(), "task_test.go")
	require.Less(t, len(out.String()), 3*maxText)
}
