package sidecar

import (
	"bytes"
	"io"
	"net/http"
)

// maxEventBytes is the largest incomplete event that is buffered.
const maxEventBytes = 1 << 20

// endName is the name of the event that ends a stream.
const endName = "end"

// passedOn is what has been passed on of a stream. It outlasts the connections that the stream
// comes by, and decides where the stream is resumed and whether it is complete.
type passedOn struct {
	tokens int  // events that carry a token
	ended  bool // the event that ends the stream
}

// add notes an event. Engines set a name on all events except those that carry a token. Comments, which
// keep a connection alive, and fields for the connection come without data.
func (p *passedOn) add(e event) {
	switch {
	case e.name == endName:
		p.ended = true
	case e.name == "" && e.hasData:
		p.tokens++
	}
}

// event is a server-sent event.
type event struct {
	name    string
	hasData bool
	data    []byte
}

// parseEvent reads the lines of an event. It keeps the last line of data, since an engine sends one.
func parseEvent(text []byte) event {
	var e event
	for line := range bytes.Lines(text) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			e.name = string(value)
		case "data":
			e.hasData, e.data = true, value
		}
	}
	return e
}

// eventReader reads an engine's stream in complete events. A stream can break within
// an event. If a part of the event had been forwarded, resuming the stream would repeat
// or lose bytes in the middle of the answer.
type eventReader struct {
	r        io.Reader
	unframed bool // no length and no chunks: the end of the connection ends the body, whatever caused it
	sent     *passedOn
	partial  []byte // the beginning of an event that is not complete yet
	scanned  int    // bytes of partial that hold no end of an event
	err      error  // of the last read
}

func newEventReader(resp *http.Response, sent *passedOn) *eventReader {
	return &eventReader{r: resp.Body, unframed: isUnframed(resp), sent: sent}
}

// isUnframed reports whether the end of its connection is all that ends an answer.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// next returns one or more complete events. With an error it returns none. The error is [io.EOF]
// only if the stream is complete.
func (e *eventReader) next(buf []byte) ([]byte, error) {
	for {
		if complete := e.takeComplete(); len(complete) > 0 {
			return complete, nil
		}
		if e.err == io.EOF || e.sent.ended {
			return nil, e.end()
		}
		if e.err != nil {
			return nil, e.err
		}
		if len(e.partial) > maxEventBytes {
			return nil, bytes.ErrTooLarge
		}
		var n int
		n, e.err = e.r.Read(buf)
		e.partial = append(e.partial, buf[:n]...)
	}
}

// end returns what the end of the body proves: [io.EOF] if the stream is complete. Whatever follows the
// event that ends the stream is no part of it, and neither is a failure of the connection then.
func (e *eventReader) end() error {
	if e.sent.ended {
		_, _ = e.r.Read(make([]byte, 1)) // the connection can be kept if the body ends here
		return io.EOF
	}
	half := len(bytes.TrimSpace(e.partial)) > 0
	if half || e.unframed {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// takeComplete removes the complete events from the buffer and returns them.
func (e *eventReader) takeComplete() []byte {
	size := 0
	for !e.sent.ended {
		n := eventLength(e.partial[size:], e.scanned)
		if n == 0 {
			break
		}
		e.sent.add(parseEvent(e.partial[size : size+n]))
		size, e.scanned = size+n, 0
	}
	e.scanned = max(len(e.partial)-size-maxEventEnd, 0)
	if size == 0 {
		return nil
	}
	complete := e.partial[:size:size] // capped, because the book keeps it
	e.partial = append([]byte(nil), e.partial[size:]...)
	return complete
}

// maxEventEnd is the length of the longest end of an event, less one byte.
const maxEventEnd = len("\n\r\n") - 1

// eventLength returns the length of the first event of a text, with the blank line that ends it; 0 if it is not
// complete. The blank line is not in the bytes before from. Lines end with "\n" or "\r\n".
func eventLength(text []byte, from int) int {
	for {
		n := bytes.IndexByte(text[from:], '\n')
		if n < 0 {
			return 0
		}
		from += n + 1
		switch rest := text[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + len("\r\n")
		}
	}
}
