package upstream

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an event that grows until the process has no memory left.
func TestEventWithoutEnd(t *testing.T) {
	for name, line := range map[string]string{"short lines": "data: x\n", "one line": "x"} {
		t.Run(name, func(t *testing.T) {
			read := 0
			e := NewEvents(endless(func(b []byte) { read += len(b); copy(b, strings.Repeat(line, len(b)/len(line)+1)) }))
			_, err := e.Next()
			require.ErrorIs(t, err, ErrTruncated)
			require.LessOrEqual(t, read, maxEvent+bufferSize)
		})
	}
}

// endless is a body that never ends.
type endless func(b []byte)

func (f endless) Read(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

// Guards against a stream that is taken for one that was cut inside an event, or the reverse.
func TestInside(t *testing.T) {
	for text, inside := range map[string]bool{
		"": false, "\n": false, ": alive": false, ": alive\nid: 1": true, "id: 1\ndata: x\n": true, "i": true,
	} {
		e := NewEvents(strings.NewReader("data: x\n\n" + text))
		_, err := e.Next()
		require.NoError(t, err)
		_, err = e.Next()
		require.Equal(t, text == "", err == io.EOF)
		require.Equal(t, inside, e.Inside(), "%q", text)
	}
}
