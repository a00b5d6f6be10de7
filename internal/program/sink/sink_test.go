package sink

import (
	"bytes"
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// limit is how long anything that must happen may take before it counts as hanging.
const limit = 30 * time.Second

// stream is a stream of a process. It stands still while blocked is open, and fails with err.
type stream struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
	err     error
}

func newStream() *stream { return &stream{blocked: make(chan struct{})} }

func (s *stream) Write(p []byte) (int, error) {
	<-s.blocked
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	return s.text.Write(p)
}

func counters(t *testing.T, m *metrics.Set) string {
	t.Helper()
	var text bytes.Buffer
	m.WritePrometheus(&text)
	return text.String()
}

// Guards against lines that share their bytes with later ones.
func TestLinesAreWhole(t *testing.T) {
	to, m := newStream(), metrics.NewSet()
	close(to.blocked)
	s := New(to, m)
	l := &log.Logger{Writer: s}
	var logging sync.WaitGroup
	for writer := range 8 {
		logging.Go(func() {
			for n := range 100 {
				l.Info().Int("writer", writer).Int("n", n).Str("text", strings.Repeat(fmt.Sprint(writer), n)).Msg("")
			}
		})
	}
	logging.Wait()
	s.Flush(limit)
	for writer := range 8 {
		for n := range 100 {
			require.Contains(t, to.text.String(), fmt.Sprintf(`"writer":%d,"n":%d,"text":"%s"}`, writer, n, strings.Repeat(fmt.Sprint(writer), n)))
		}
	}
}

// Guards against a process that waits for the reader of its log.
func TestSlowReaderHoldsNobodyUp(t *testing.T) {
	to, m := newStream(), metrics.NewSet()
	s := New(to, m)
	l := &log.Logger{Writer: s}
	for range 3 * queueLines {
		l.Info().Msg("")
	}
	s.Flush(time.Millisecond)
	require.NotContains(t, counters(t, m), "wagtailshelf_log_lines_dropped_total 0\n")
	close(to.blocked)
	s.Flush(limit)
	require.Contains(t, counters(t, m), "wagtailshelf_log_lines_failed_total 0\n")
}

// Guards against lines that are lost without being counted.
func TestFailedLinesAreCounted(t *testing.T) {
	to, m := newStream(), metrics.NewSet()
	to.err = errors.New("no reader")
	close(to.blocked)
	s := New(to, m)
	l := &log.Logger{Writer: s}
	for range 5 {
		l.Info().Msg("")
	}
	s.Flush(limit)
	require.Contains(t, counters(t, m), "wagtailshelf_log_lines_failed_total 5\n")
}

// Guards against messages of libraries that are no lines of the log, and wait for the reader of standard error.
func TestLibrariesWriteToTheLog(t *testing.T) {
	to, m := newStream(), metrics.NewSet()
	close(to.blocked)
	s := New(to, m)
	CaptureLibraries(&log.Logger{Writer: s})
	defer stdlog.SetOutput(os.Stderr)
	stdlog.Print("http: panic serving", strings.Repeat("x", 2*maxLibraryText))
	s.Flush(limit)
	require.Contains(t, to.text.String(), `"event":"library","text":"http: panic serving`)
	require.Less(t, to.text.Len(), maxLibraryText+200)
}
