package forward

import (
	"bufio"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

const hello = "Content-Length: 5\r\n"

// A late answer to another request comes before the caller's own. Nobody knows what
// else is to come on that connection, so the next request goes over a new one.
func TestConnectionWithLateAnswersIsNotKept(t *testing.T) {
	var connections atomic.Int64
	s := standin.NewRaw(t, func(_ int, c *bufio.ReadWriter) {
		connections.Add(1)
		for {
			if _, err := http.ReadRequest(c.Reader); err != nil {
				return
			}
			_, _ = c.WriteString(standin.Wire("another", hello, "twice") + standin.Wire("id-1", hello, "hello"))
			_ = c.Flush() // the test sees what arrives
		}
	})
	b := newBench(t, s)
	for range 2 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
	require.Equal(t, int64(2), connections.Load())
}

// A server answers before it has read a long body. What is left of that body would be
// taken for the next request on the connection, which so needs another one.
func TestConnectionIsNotKeptWithoutTheWholeBody(t *testing.T) {
	const long = 32 << 20 // more than the system takes for one connection
	s := standin.NewRaw(t, func(_ int, c *bufio.ReadWriter) {
		if _, err := http.ReadRequest(c.Reader); err != nil {
			return
		}
		_, _ = c.WriteString(standin.Wire("id-1", hello, "hello"))
		_ = c.Flush() // the test sees what arrives
	})
	b := newBench(t, s)
	b.rules.Config.Limits.BodyBytes = 2 * long
	// A busy machine takes two seconds to read the body.
	b.patienceMS = 60_000
	b.rules.Config.RouteFor(host, "/unsafe/x").Timeout = time.Minute
	requireServed(t, b.do(t.Context(), http.MethodPost, "/unsafe/x", "", strings.Repeat("x", long)), "hello")
	requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
}

// A target starts again under its id while a connection to its earlier life is idle. A request
// that may run once only would be lost on it, and nobody could say whether it ran; it goes
// over a new connection.
func TestConnectionToAnEarlierLifeIsNotUsed(t *testing.T) {
	var connections atomic.Int64
	s := standin.NewRaw(t, func(_ int, c *bufio.ReadWriter) {
		connections.Add(1)
		for {
			if _, err := http.ReadRequest(c.Reader); err != nil {
				return
			}
			_, _ = c.WriteString(standin.Wire("id-1", hello, "hello"))
			_ = c.Flush() // the test sees what arrives
		}
	})
	b := newBench(t, s)
	for range 2 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
	require.Equal(t, int64(1), connections.Load())
	b.Pool.Drop(s.Address)
	requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	require.Equal(t, int64(2), connections.Load())
}
