package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxEvent bounds the bytes of one event of a stream; events have some hundred bytes.
const maxEvent = 64 << 10

// Events reads an event stream, one complete event at a time.
type Events struct {
	r   *bufio.Reader
	buf []byte
}

// NewEvents returns a reader of the events in the body of a response.
func NewEvents(body io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(body, bufferSize)}
}

// Event is one event, valid until the next is read.
type Event struct {
	Bytes   []byte // as sent by the target, including the blank line at the end
	ID      string // "" if it has none
	HasData bool   // it has a data field; a comment has none
}

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// Next returns the next complete event. It returns [io.EOF] if the stream ended after
// a complete event, and [ErrTruncated] if it ended inside one or the event is too long.
func (e *Events) Next() (Event, error) {
	e.buf = e.buf[:0]
	var ev Event
	for {
		line, err := e.readLine()
		if errors.Is(err, io.EOF) && len(e.buf) == 0 {
			return Event{}, io.EOF
		}
		if err != nil {
			return Event{}, merry.Wrap(ErrTruncated, merry.AppendMessage(err.Error()))
		}
		if len(line) == 0 {
			ev.Bytes = e.buf
			return ev, nil
		}
		ev.HasData = ev.HasData || bytes.HasPrefix(line, dataField)
		if value, found := bytes.CutPrefix(line, idField); found {
			ev.ID = string(bytes.TrimSpace(value))
		}
	}
}

// readLine appends the next line to the event and returns it without its line end.
func (e *Events) readLine() ([]byte, error) {
	begin := len(e.buf)
	for {
		part, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, part...)
		switch {
		case len(e.buf) > maxEvent:
			return nil, bufio.ErrTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the line is longer than the buffer
		case err != nil:
			return nil, err
		}
		return bytes.TrimRight(e.buf[begin:], "\r\n"), nil
	}
}

// Inside reports whether the stream ended inside an event that is no comment, after an error of Next.
func (e *Events) Inside() bool {
	for line := range bytes.Lines(e.buf) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// Ready reports whether another complete event has already been received. A part of an
// event doesn't count: it may never be completed, and the events before it must not wait
// for it.
func (e *Events) Ready() bool {
	buffered, err := e.r.Peek(e.r.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}
