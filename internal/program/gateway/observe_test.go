package gateway

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
)

// A response exceeded a bound. The log line of its request must tell which, and the metric count it.
func TestExceededBoundIsLogged(t *testing.T) {
	logged := new(logLines)
	m := metrics.NewSet()
	g := New(deployed.Settings{}, &log.Logger{Writer: logged}, m)
	g.requestEnded(forward.Record{Attempts: []forward.Attempt{{Target: "i-1", Bound: "head"}, {Target: "i-2"}}})
	attempts := logged.of("request")[0]["attempts"].([]any)
	require.Contains(t, attempts[0], " bound=head")
	require.NotContains(t, attempts[1], "bound")
	var text bytes.Buffer
	m.WritePrometheus(&text)
	require.Contains(t, text.String(), `wagtailshelf_answers_over_bound_total{bound="head"} 1`)
}
