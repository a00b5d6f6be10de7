package engine_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// connectRaw returns a client of a target that reads the head of a request and writes a text. It resets the connection
// then, or closes it.
func connectRaw(t *testing.T, text string, linger int) *engine.Client {
	t.Helper()
	at := rawserver.StartOnce(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, text) // what arrives is checked
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(linger)
	})
	c := engine.New(engine.Config{Target: at})
	t.Cleanup(c.Close)
	return c
}

// read makes a call and reads its whole answer.
func read(t *testing.T, c *engine.Client, body string, repeatable bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	call := inferenceCall("r1", body)
	call.Repeatable = repeatable
	resp, err := c.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// Guards against the part of an answer that a sidecar takes for all of it, as the target resets the connection while
// the request is still being written.
func TestAnswerToAnUploadThatIsReset(t *testing.T) {
	c := connectRaw(t, "HTTP/1.1 200 OK\r\n\r\na part", 0)
	for range 30 {
		for _, repeatable := range []bool{false, true} {
			text, err := read(t, c, strings.Repeat("x", 8<<20), repeatable)
			require.Error(t, err, "answer %q", text)
		}
	}
}

// Guards against a sidecar that passes on what a faulty target sent in place of an answer.
func TestFaultyHeadsAreNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nhello",
		"a status above 599":       "HTTP/1.1 999 Odd\r\nContent-Length: 5\r\n\r\nhello",
		"a blank in a name":        "HTTP/1.1 200 OK\r\nA Name: x\r\nContent-Length: 5\r\n\r\nhello",
		"a blank before the colon": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"a control byte in a name": "HTTP/1.1 200 OK\r\nA\x01Name: x\r\nContent-Length: 5\r\n\r\nhello",
		"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := connectRaw(t, head, -1)
			for _, repeatable := range []bool{false, true} {
				text, err := read(t, c, "Bonjour", repeatable)
				require.Error(t, err, "answer %q", text)
			}
		})
	}
}
