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

// Guards against a back-off that outlives the target's incarnation, or that a response other
// than 503 starts.
func TestTargetBackoff(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	head := func(status int) book.Event {
		return book.Event{Kind: book.EngineHead, Status: status, Header: []request.Field{{Name: "retry-after", Value: "3"}}}
	}
	desk := func() *desk {
		return newDesk(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, newCounts(metrics.NewSet()), book.DefaultConfig(1), workspace.DefaultConfig())
	}
	for name, c := range map[string]struct {
		events   []book.Event
		backsOff bool
	}{
		"asks for back-off":      {[]book.Event{head(http.StatusServiceUnavailable)}, true},
		"failed":                 {[]book.Event{head(http.StatusInternalServerError)}, false},
		"answers other requests": {[]book.Event{head(http.StatusServiceUnavailable), head(http.StatusOK)}, true},
		"connection broke":       {[]book.Event{head(http.StatusServiceUnavailable), {Kind: book.EngineEnd, Reason: request.EngineTruncated}}, true},
		"crashed":                {[]book.Event{head(http.StatusServiceUnavailable), {Kind: book.EngineEnd, Reason: request.EngineCrashed}}, false},
		"crashed, asks again":    {[]book.Event{{Kind: book.EngineEnd, Reason: request.EngineCrashed}, head(http.StatusServiceUnavailable)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := desk()
			for _, ev := range c.events {
				d.handleBook(now, ev)
			}
			left, backingOff := d.backingOff(now.Add(time.Second))
			require.Equal(t, c.backsOff, backingOff)
			if backingOff {
				require.InDelta(t, 2, left.Seconds(), 0.31)
			}
			_, backingOff = d.backingOff(now.Add(4 * time.Second))
			require.False(t, backingOff)
		})
	}
}
