package deployed

import (
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// logRing is how many lines wait to be written. At the busiest, some hundred lines
// are made in a second; a reader that stalls longer than that loses lines, which are
// counted, and requests never wait for it.
const logRing = 2048

// NewLog returns a logger of JSON lines to standard output.
func NewLog(s Settings, m *metrics.Set) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "15:04:05.000",
		Context:    log.NewContext(nil).Str("host", string(s.Name)).Value(),
		Writer: countedWriter{
			dropped: m.NewCounter("wagtailshelf_log_lines_dropped_total"),
			to: &log.AsyncWriter{
				ChannelSize:   logRing,
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

// WriteEntry hands a line to the ring.
func (w countedWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.to.WriteEntry(e)
	if err != nil {
		w.dropped.Inc()
	}
	return n, err
}
