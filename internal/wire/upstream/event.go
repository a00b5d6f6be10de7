package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxEvent bounds one event of a stream; events have some hundred bytes.
const maxEvent = 1 << 20

// Events reads a stream of events, one whole event at a time.
type Events struct {
	r   *bufio.Reader
	buf []byte
}

// NewEvents reads events from the body of an answer.
func NewEvents(body io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(body, bufferSize)}
}

// Event is one event, valid until the next is read.
type Event struct {
	Bytes []byte // as the target sent it, with the blank line at its end
	ID    string // "" if it has none
}

var idField = []byte("id:")

// Next returns the next whole event. It returns [io.EOF] if the stream ended after
// a whole event, and [ErrTruncated] if it broke off.
func (e *Events) Next() (Event, error) {
	e.buf = e.buf[:0]
	var ev Event
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.buf) < maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.buf) == 0 {
			return Event{}, io.EOF
		}
		if err != nil {
			return Event{}, merry.Wrap(ErrTruncated, merry.AppendMessage(err.Error()))
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			ev.Bytes = e.buf
			return ev, nil
		}
		if value, found := bytes.CutPrefix(line, idField); found {
			ev.ID = string(bytes.TrimSpace(value))
		}
	}
}

// Ready tells whether another whole event has come already. A part of one doesn't
// count: it may never be completed, and what came before must not wait for it.
func (e *Events) Ready() bool {
	come, err := e.r.Peek(e.r.Buffered())
	return err == nil && (bytes.Contains(come, []byte("\n\n")) || bytes.Contains(come, []byte("\n\r\n")))
}
