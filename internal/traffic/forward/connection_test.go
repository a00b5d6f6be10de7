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

const helloHeader = "Content-Length: 5\r\n"

// A late response to another request arrives before the caller's own. More of them may follow on
// that connection, so the next request uses a new one.
func TestConnectionWithLateAnswersIsNotKept(t *testing.T) {
	var connections atomic.Int64
	s := standin.NewRaw(t, func(c *bufio.ReadWriter) {
		connections.Add(1)
		for {
			if _, err := http.ReadRequest(c.Reader); err != nil {
				return
			}
			_, _ = c.WriteString(standin.Wire("another", helloHeader, "twice") + standin.Wire("id-1", helloHeader, "hello"))
			_ = c.Flush() // an error shows in what the caller receives
		}
	})
	b := newTestbed(t, s)
	for range 2 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
	require.Equal(t, int64(2), connections.Load())
}

// A server responds before it has read a long body. It would parse the rest of that body as the
// next request on the connection, so the next request needs a new one.
func TestConnectionIsNotKeptWithoutTheWholeBody(t *testing.T) {
	const long = 32 << 20 // more than the system buffers for one connection
	s := standin.NewRaw(t, func(c *bufio.ReadWriter) {
		if _, err := http.ReadRequest(c.Reader); err != nil {
			return
		}
		_, _ = c.WriteString(standin.Wire("id-1", helloHeader, "hello"))
		_ = c.Flush() // an error shows in what the caller receives
	})
	b := newTestbed(t, s)
	b.configuration.Config.Limits.BodyBytes = 2 * long
	// Reading the body takes two seconds on a busy machine.
	b.patienceMS = 60_000
	b.configuration.Config.RouteFor(host, "/unsafe/x").Timeout = time.Minute
	requireServed(t, b.do(t.Context(), http.MethodPost, "/unsafe/x", "", strings.Repeat("x", long)), "hello")
	requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
}

// A target restarts under its ID while a connection to its earlier incarnation is idle. A request
// that may run only once would be lost on that connection, and nobody could tell whether it ran,
// so it uses a new connection.
func TestConnectionToAnEarlierIncarnationIsNotUsed(t *testing.T) {
	var connections atomic.Int64
	s := standin.NewRaw(t, func(c *bufio.ReadWriter) {
		connections.Add(1)
		for {
			if _, err := http.ReadRequest(c.Reader); err != nil {
				return
			}
			_, _ = c.WriteString(standin.Wire("id-1", helloHeader, "hello"))
			_ = c.Flush() // an error shows in what the caller receives
		}
	})
	b := newTestbed(t, s)
	for range 2 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
	require.Equal(t, int64(1), connections.Load())
	b.Pool.Drop(s.Address)
	requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	require.Equal(t, int64(2), connections.Load())
}
