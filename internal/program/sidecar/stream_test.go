package sidecar

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readEvents reads a stream to its end and returns its complete events and the last
// error.
func readEvents(r io.Reader) (text string, tokens int, err error) {
	var sent passedOn
	events := eventReader{r: r, sent: &sent}
	buf := make([]byte, 16)
	var all strings.Builder
	for {
		complete, err := events.next(buf)
		if err != nil {
			return all.String(), sent.tokens, err
		}
		all.Write(complete)
	}
}

// An engine's connection breaks within an event. The data that is forwarded must end with
// the last complete event, so that the resumed stream continues at a token and the
// caller's text has no gap and no repeat.
func TestEventReaderHoldsBackHalfEvents(t *testing.T) {
	errBroken := errors.New("broken")
	const complete = "data: {\"index\":0}\n\ndata: {\"index\":1}\n\n"
	const crlf = "data: {\"index\":0}\r\n\r\ndata: {\"index\":1}\n\r\n"
	tests := []struct {
		name   string
		stream string
		text   string
		tokens int
		end    error // what the end of the stream proves
	}{
		{"nothing", "", "", 0, io.EOF},
		{"complete events", complete, complete, 2, io.EOF},
		{"carriage returns", crlf, crlf, 2, io.EOF},
		{"half a separator with carriage returns", crlf + "data: {}\r\n\r", crlf, 2, io.ErrUnexpectedEOF},
		{"half an event", complete + "data: {\"ind", complete, 2, io.ErrUnexpectedEOF},
		{"half a separator", complete + "data: {}\n", complete, 2, io.ErrUnexpectedEOF},
		{"an event without a token", complete + "event: note\ndata: {}\n\n", complete + "event: note\ndata: {}\n\n", 2, io.EOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			broken := io.MultiReader(strings.NewReader(test.stream), iotest.ErrReader(errBroken))
			text, tokens, err := readEvents(broken)
			require.ErrorIs(t, err, errBroken)
			require.Equal(t, test.text, text)
			require.Equal(t, test.tokens, tokens)

			text, tokens, err = readEvents(iotest.OneByteReader(strings.NewReader(test.stream)))
			require.ErrorIs(t, err, test.end)
			require.Equal(t, test.text, text)
			require.Equal(t, test.tokens, tokens)
		})
	}
}

// Guards against an event without end: it is held only up to its bound, whatever its lines are.
func TestEventWithoutEndIsBounded(t *testing.T) {
	for name, line := range map[string]string{"one line": "a", "short lines": "a\n", "short lines with carriage returns": "a\r\n"} {
		t.Run(name, func(t *testing.T) {
			text, _, err := readEvents(strings.NewReader("data: 0\n\n" + strings.Repeat(line, 2*maxEventBytes)))
			require.ErrorIs(t, err, bytes.ErrTooLarge)
			require.Equal(t, "data: 0\n\n", text)
		})
	}
}
