package sidecar

import (
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// Guards against one call that ends the sidecar, and the calls of all others with it.
func TestPanicOfACall(t *testing.T) {
	for name, start := range map[string]func(s *Sidecar, j job){
		"call":     func(s *Sidecar, j job) { s.startCall(t.Context(), j) },
		"recovery": func(s *Sidecar, j job) { s.startRecovery(t.Context(), j) },
	} {
		t.Run(name, func(t *testing.T) {
			l := &log.Logger{Level: log.PanicLevel}
			s := &Sidecar{
				cfg:  Config{Log: l}, // there is no client of the target
				desk: newDesk(l, newCounts(metrics.NewSet()), book.DefaultConfig(1), workspace.Config{}),
			}
			j := job{id: request.ID{1}, deadline: time.Now().Add(10 * time.Second)}
			s.desk.jobs[j.id] = &j
			start(s, j)
			s.calls.Wait()
			ev := <-s.desk.ring
			require.Equal(t, book.Event{Kind: book.EngineEnd, ID: j.id, Reason: request.EngineTruncated}, ev.book)
		})
	}
}

func TestPanicOfAStream(t *testing.T) {
	s := &Sidecar{cfg: Config{Log: &log.Logger{Level: log.PanicLevel}}}
	require.Error(t, s.guardStream(func() error { panic("a fault") }))
	fails := errors.New("the stream ended")
	require.Equal(t, fails, s.guardStream(func() error { return fails }))
}
