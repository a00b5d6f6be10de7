package sidecar

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// Guards against a rest that outlives the target's life, or that another answer brings on.
func TestRestOfASidecarsTarget(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	head := func(status int) book.Event {
		return book.Event{Kind: book.EngineHead, Status: status, Header: []request.Field{{Name: "retry-after", Value: "3"}}}
	}
	desk := func() *desk {
		return newDesk(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, newCounts(metrics.NewSet()), book.DefaultConfig(1), workspace.DefaultConfig())
	}
	for name, c := range map[string]struct {
		events []book.Event
		rests  bool
	}{
		"it asks":                {[]book.Event{head(http.StatusServiceUnavailable)}, true},
		"it failed":              {[]book.Event{head(http.StatusInternalServerError)}, false},
		"it answers others":      {[]book.Event{head(http.StatusServiceUnavailable), head(http.StatusOK)}, true},
		"a connection broke":     {[]book.Event{head(http.StatusServiceUnavailable), {Kind: book.EngineEnd, Reason: request.EngineBroke}}, true},
		"it crashed":             {[]book.Event{head(http.StatusServiceUnavailable), {Kind: book.EngineEnd, Reason: request.EngineCrashed}}, false},
		"it crashed, asks again": {[]book.Event{{Kind: book.EngineEnd, Reason: request.EngineCrashed}, head(http.StatusServiceUnavailable)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := desk()
			for _, ev := range c.events {
				d.handleBook(now, ev)
			}
			left, resting := d.resting(now.Add(time.Second))
			require.Equal(t, c.rests, resting)
			if resting {
				require.InDelta(t, 2, left.Seconds(), 0.31)
			}
			_, resting = d.resting(now.Add(4 * time.Second))
			require.False(t, resting)
		})
	}
}
