package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// maxEventBytes is the largest incomplete event that is buffered; events have some hundred bytes.
const maxEventBytes = 256 << 10

// endName is the name of the event that ends a stream.
const endName = "end"

// errNumber reports an event that does not go on where its stream stands.
var errNumber = errors.New("event out of order")

// passedOn is what has been passed on of a stream. It outlasts the connections that the stream
// comes by, and decides what may follow, where the stream is resumed and whether it is complete.
type passedOn struct {
	tokens   int  // events that carry a token
	resumed  int  // the number of tokens when the stream was resumed last
	numbered bool // all tokens bear their numbers
	ended    bool // the event that ends the stream
}

// add notes an event, unless it doesn't go on where the stream stands. Engines set a name on all events except
// those that carry a token. Comments, which keep a connection alive, and fields for the connection come
// without data.
func (p *passedOn) add(e event) error {
	switch {
	case e.name == endName:
		count := e.numbers().Tokens
		if count != nil && *count != p.tokens && (p.numbered || p.tokens == 0) {
			return errNumber
		}
		p.ended = true
	case e.name == "" && e.hasData:
		if !p.continues(e) {
			return errNumber
		}
		p.tokens++
	}
	return nil
}

// continues reports whether a token may follow. Tokens that bear the numbers 0 and 1 are numbered, and each
// further one must bear the next number. A value that stays 0 in the first connection is no number.
func (p *passedOn) continues(e event) bool {
	number := e.numbers().Index
	next := number != nil && *number == p.tokens
	if p.tokens == 0 || p.tokens == 1 && p.resumed == 0 {
		p.numbered = next && (p.numbered || p.tokens == 0)
		return true
	}
	return next || !p.numbered
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

// eventNumbers are the numbers in the data of an event; nil if it has none.
type eventNumbers struct {
	Index  *int `json:"index"`  // number of a token
	Tokens *int `json:"tokens"` // how many tokens the stream had, in its last event
}

// numbers returns the numbers in the event's data.
func (e event) numbers() (n eventNumbers) {
	if json.Unmarshal(e.data, &n) != nil {
		return eventNumbers{} // data of another form
	}
	return n
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
	wrong    error  // why the next event is not passed on
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
		if e.wrong != nil {
			return nil, e.wrong
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

// takeComplete removes the complete events from the buffer, up to one that doesn't follow, and returns them.
func (e *eventReader) takeComplete() []byte {
	size := 0
	for !e.sent.ended && e.wrong == nil {
		n := eventLength(e.partial[size:], e.scanned)
		if n == 0 {
			break
		}
		if e.wrong = e.sent.add(parseEvent(e.partial[size : size+n])); e.wrong == nil {
			size, e.scanned = size+n, 0
		}
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
