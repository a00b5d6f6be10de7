package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// serveConnections starts a server that answers with bytes.
func serveConnections(t *testing.T, answer func(c *net.TCPConn)) *standin.Server {
	t.Helper()
	return &standin.Server{Address: rawserver.StartOnce(t, answer)}
}

// Guards against callers that get what a faulty server sent for an answer: with a line that is no header field,
// with a body that is not the server's, or with a status that HTTP doesn't have.
func TestFaultyHeadsAreNoAnswer(t *testing.T) {
	const body = "5\r\nhello\r\n0\r\n\r\n"
	wire := func(fields string) string { return standin.Wire("id-1", fields, body) }
	for name, text := range map[string]string{
		"status 000":                  strings.Replace(wire("Content-Length: 15\r\n"), "200 OK", "000 Odd", 1),
		"a blank in a name":           wire("A Name: x\r\nContent-Length: 15\r\n"),
		"a blank before the colon":    wire("Name : x\r\nContent-Length: 15\r\n"),
		"a control byte in a name":    wire("A\x01Name: x\r\nContent-Length: 15\r\n"),
		"chunks behind a blank":       wire("Transfer-Encoding : chunked\r\n"),
		"a length behind a blank":     wire("Content-Length : 5\r\n"),
		"chunks in HTTP/1.0":          strings.Replace(wire("Transfer-Encoding: chunked\r\n"), "HTTP/1.1", "HTTP/1.0", 1),
		"chunks and a length":         wire("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
		"two lengths":                 wire("Content-Length: 15\r\nContent-Length: 5\r\n"),
		"a list of lengths":           wire("Content-Length: 15, 5\r\n"),
		"a signed length":             wire("Content-Length: +5\r\n"),
		"two kinds of coding":         wire("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"),
		"an interim answer like that": "HTTP/1.1 103 Early Hints\r\nA Name: x\r\n\r\n" + wire("Content-Length: 15\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			s := serveConnections(t, func(c *net.TCPConn) { _, _ = c.Write([]byte(text)) }) // what arrives is checked
			for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/once/x"} {
				a := newTestbed(t, s).call(http.MethodPost, path)
				require.NoError(t, a.err)
				require.Equal(t, http.StatusBadGateway, a.status, path)
				require.False(t, standin.Stamped(a.header))
			}
		})
	}
}

// Guards against a caller that gets a part of a body as a complete answer, as the server resets the connection while
// the request is still being written.
func TestPartOfAnAnswerToAnUpload(t *testing.T) {
	const size = 16 << 20
	s := serveConnections(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte(standin.Wire("id-1", "", "a part"))) // what arrives is checked
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
	})
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		for range 10 {
			b := newTestbed(t, s)
			b.configuration.Config.Limits.BodyBytes = size
			a := b.do(t.Context(), http.MethodPost, path, "", strings.Repeat("x", size))
			require.NoError(t, a.err)
			require.Equal(t, http.StatusBadGateway, a.status, "body %q", a.body)
		}
	}
}
