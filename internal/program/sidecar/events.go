package sidecar

import (
	"bytes"
	"io"
	"net/http"
)

// maxEventBytes is the largest incomplete event that is buffered.
const maxEventBytes = 1 << 20

var (
	eventEnd   = []byte("\n\n")
	eventField = []byte("event:")
	endEvent   = []byte("event: end\n")
)

// passedOn is what has been passed on of a stream. It outlasts the connections that the stream
// comes by, and decides where the stream is resumed and whether it is complete.
type passedOn struct {
	tokens int  // events that carry a token
	ended  bool // the event that ends the stream
}

// add notes an event.
func (p *passedOn) add(event []byte) {
	if bytes.HasPrefix(event, endEvent) {
		p.ended = true
	}
	// Engines set a name on all events except those that carry a token.
	if len(event) > 0 && !bytes.HasPrefix(event, eventField) {
		p.tokens++
	}
}

// eventReader reads an engine's stream in complete events. A stream can break within
// an event. If a part of the event had been forwarded, resuming the stream would repeat
// or lose bytes in the middle of the answer.
type eventReader struct {
	r        io.Reader
	unframed bool // no length and no chunks: the end of the connection ends the body, whatever caused it
	sent     *passedOn
	partial  []byte // the beginning of an event that is not complete yet
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
		n, err := e.r.Read(buf)
		e.partial = append(e.partial, buf[:n]...)
		if complete := e.takeComplete(); len(complete) > 0 {
			return complete, nil
		}
		if err == io.EOF {
			return nil, e.end()
		}
		if err != nil {
			return nil, err
		}
		if len(e.partial) > maxEventBytes {
			return nil, bytes.ErrTooLarge
		}
	}
}

// end returns what the end of the body proves: [io.EOF] if the stream is complete.
func (e *eventReader) end() error {
	half := len(bytes.TrimSpace(e.partial)) > 0
	if half || e.unframed && !e.sent.ended {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// takeComplete removes the complete events from the buffer and returns them.
func (e *eventReader) takeComplete() []byte {
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	complete := e.partial[:end:end] // capped, because the book keeps it
	e.partial = append([]byte(nil), e.partial[end:]...)
	for event := range bytes.SplitSeq(complete, eventEnd) {
		e.sent.add(event)
	}
	return complete
}
