package deployed

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// A list with an unreadable object is read again each time that a watch ends early. The log must
// have one line for each change of the finding, and the counter every occurrence.
func TestMalformedIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	set := metrics.NewSet()
	m := NewMalformed(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, set)
	for range 5 {
		m.Report("i-1", errors.New("no slots"))
		m.Report("i-2", errors.New("no slots"))
	}
	m.Report("i-1", errors.New("no state"))
	require.Equal(t, 3, bytes.Count(out.Bytes(), []byte("malformed")))
	var counts bytes.Buffer
	set.WritePrometheus(&counts)
	require.Contains(t, counts.String(), `wagtailshelf_malformed_total{named="true"} 11`)
	for n := range 3 * maxRememberedObjects {
		m.Report(fmt.Sprint(n), errors.New("x"))
	}
	require.LessOrEqual(t, len(m.last), maxRememberedObjects)
}
