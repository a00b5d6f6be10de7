package deployed

import (
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// logRingSize is how many log lines may wait to be written. At the highest load some hundred lines
// are logged in a second. If the reader stalls for longer than the ring lasts, lines are dropped
// and counted; requests never wait for the log.
const logRingSize = 2048

// NewLog returns a logger of JSON lines to standard output.
func NewLog(s Settings, m *metrics.Set) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "15:04:05.000",
		Context:    log.NewContext(nil).Str("host", string(s.Name)).Value(),
		Writer: countedWriter{
			dropped: m.NewCounter("wagtailshelf_log_lines_dropped_total"),
			to: &log.AsyncWriter{
				ChannelSize:   logRingSize,
				DiscardOnFull: true,
				Writer:        &log.IOWriter{Writer: os.Stdout},
			},
		},
	}
}

// countedWriter counts the lines that did not fit into the ring.
type countedWriter struct {
	dropped *metrics.Counter
	to      *log.AsyncWriter
}

// WriteEntry passes a line to the ring.
func (w countedWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.to.WriteEntry(e)
	if err != nil {
		w.dropped.Inc()
	}
	return n, err
}
