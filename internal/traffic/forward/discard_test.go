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

const (
	refusal = standin.RefusalHead
	// atOnce is much less than the caller's patience.
	atOnce = 700 * time.Millisecond
)

// withoutEnd are the ways in which a body doesn't end.
var withoutEnd = map[string]func(c *bufio.ReadWriter){
	"in bytes": func(c *bufio.ReadWriter) {
		chunk := strings.Repeat("0", 64<<10)
		for {
			if _, err := c.WriteString(chunk); err != nil {
				return // the other side has closed the connection
			}
		}
	},
	"in drops": func(c *bufio.ReadWriter) {
		for range 1000 {
			_, _ = c.WriteString("0")
			if err := c.Flush(); err != nil {
				return // the other side has closed the connection
			}
			time.Sleep(20 * time.Millisecond)
		}
	},
	"in silence": func(c *bufio.ReadWriter) { _ = c.Flush() }, // what arrives is checked
}

// beginning returns a server whose responses begin with a text and have no end.
func beginning(t *testing.T, text string, rest func(c *bufio.ReadWriter)) *standin.Server {
	return standin.NewRaw(t, func(c *bufio.ReadWriter) {
		if _, err := http.ReadRequest(c.Reader); err == nil {
			_, _ = c.WriteString(text) // what arrives is checked
			rest(c)
		}
	})
}

// A server refuses a request, and the body of its refusal doesn't end. The head has said that the
// request did not run, so it must go to another server while its caller waits.
func TestRefusalWithoutEnd(t *testing.T) {
	for name, rest := range withoutEnd {
		t.Run(name, func(t *testing.T) {
			for _, length := range []string{"\r\n", "Content-Length: 1000000000\r\n\r\n"} {
				b := newTestbed(t, beginning(t, refusal+length, rest))
				begin := time.Now()
				a := b.call(http.MethodPost, "/unsafe/x")
				require.Less(t, time.Since(begin), atOnce)
				requireRefused(t, a, http.StatusServiceUnavailable)
			}
		})
	}
}

// A late response to another request sends bytes without end. The caller of a request that may be
// repeated must get its response from another server while it waits.
func TestForeignResponseWithoutEnd(t *testing.T) {
	b := newTestbed(t, beginning(t, standin.Wire("another", "Content-Length: 1000000000\r\n", ""), withoutEnd["in bytes"]))
	begin := time.Now()
	a := b.call(http.MethodGet, "/safe/x")
	require.Less(t, time.Since(begin), atOnce)
	require.Equal(t, http.StatusBadGateway, a.status)
}

// A refusal with a body is read to its end, so that its connection is used again.
func TestConnectionOfARefusalIsKept(t *testing.T) {
	var connections atomic.Int64
	s := standin.NewRaw(t, func(c *bufio.ReadWriter) {
		connections.Add(1)
		for {
			if _, err := http.ReadRequest(c.Reader); err != nil {
				return
			}
			_, _ = c.WriteString(refusal + "Content-Length: 4\r\n\r\nbusy")
			_ = c.Flush() // an error shows in what the caller receives
		}
	})
	b := newTestbed(t, s)
	for range 2 {
		requireRefused(t, b.call(http.MethodPost, "/unsafe/x"), http.StatusServiceUnavailable)
		time.Sleep(time.Second / 2) // the server is avoided for a moment
	}
	require.EqualValues(t, 1, connections.Load())
}
