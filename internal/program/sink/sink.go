// Package sink writes the log lines of a process. Neither a reader that is slow, nor one that is gone, nor a full device
// holds the process up or ends it: lines wait in a bounded queue, and those that find no room or can't be written are
// counted.
package sink

import (
	"io"
	stdlog "log"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
)

const (
	// queueLines is how many lines may wait to be written. At the highest load some hundred lines are logged in a second.
	queueLines = 2048
	// maxPooledLine is the size of the largest buffer that is kept for further lines, in bytes.
	maxPooledLine = 16 << 10
	// maxLibraryText bounds what is logged of one message of a library, in bytes; that of a panic has a stack.
	maxLibraryText = 4 << 10
)

// ErrFull reports a line that found no room in the queue.
var ErrFull = merry.New("the queue of log lines is full")

// Sink is a writer of log lines that never waits.
type Sink struct {
	to              io.Writer
	queue           chan item
	dropped, failed *metrics.Counter
}

// item is a line that waits to be written, or a question whether all lines before it were.
type item struct {
	line    *[]byte
	written chan<- struct{}
}

// lines holds buffers of lines that were written.
var lines = sync.Pool{New: func() any { return new([]byte) }}

// New returns a sink that writes to a stream of the process, for as long as the process lives.
func New(to io.Writer, m *metrics.Set) *Sink {
	s := &Sink{
		to: to, queue: make(chan item, queueLines),
		dropped: m.NewCounter("wagtailshelf_log_lines_dropped_total"),
		failed:  m.NewCounter("wagtailshelf_log_lines_failed_total"),
	}
	go s.write()
	return s
}

// WriteEntry queues a line.
func (s *Sink) WriteEntry(e *log.Entry) (int, error) {
	line := lines.Get().(*[]byte)
	*line = append((*line)[:0], e.Value()...)
	n := len(*line)
	select {
	case s.queue <- item{line: line}:
		return n, nil
	default:
		s.dropped.Inc()
		return 0, ErrFull
	}
}

// Flush waits until the lines so far are written, but no longer than the limit: the reader may be gone.
func (s *Sink) Flush(limit time.Duration) {
	timeout := time.After(limit)
	written := make(chan struct{}, 1)
	select {
	case s.queue <- item{written: written}:
	case <-timeout:
		return
	}
	select {
	case <-written:
	case <-timeout:
	}
}

// write writes the queued lines. A line that can't be written has nowhere to be logged, so it is counted.
func (s *Sink) write() {
	for i := range s.queue {
		if i.written != nil {
			i.written <- struct{}{}
			continue
		}
		if _, err := s.to.Write(*i.line); err != nil {
			s.failed.Inc()
		}
		if cap(*i.line) <= maxPooledLine {
			lines.Put(i.line)
		}
	}
}

// CaptureLibraries makes what libraries print to the standard logger lines of l.
func CaptureLibraries(l *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{l})
}

// libraryWriter logs each text that is written to it.
type libraryWriter struct{ log *log.Logger }

// Write logs a text.
func (w libraryWriter) Write(p []byte) (int, error) {
	w.log.Error().Str("event", "library").Bytes("text", p[:min(len(p), maxLibraryText)]).Msg("")
	return len(p), nil
}
