package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/internal/wire/response"
)

const (
	// patience is how long a test waits for the end of an exchange that ends at once.
	patience = 2 * time.Second
	// withoutEnd is how many bytes a server sends that sends them without end.
	withoutEnd = 32 << 20
	// memoryBound bounds what the reading of one head allocates.
	memoryBound = 2 << 20
)

// serve starts a server that answers the first request of each connection by calling answer, and
// leaves the connection open. It returns the server's address.
func serve(t *testing.T, answer func(w io.Writer)) netip.AddrPort {
	return rawserver.Start(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			answer(c)
		}
	})
}

// repeat writes a text again and again, until the other side closes the connection or withoutEnd
// bytes are written.
func repeat(w io.Writer, text string) {
	chunk := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	for sent := 0; sent < withoutEnd; sent += len(chunk) {
		if _, err := w.Write(chunk); err != nil {
			return // the other side has closed the connection
		}
	}
}

// send sends a request on a new connection.
func send(t *testing.T, to netip.AddrPort) (*Answer, error) {
	p := NewPool()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	c, err := p.Get(ctx, time.Now(), to, time.Second)
	require.NoError(t, err)
	return p.Send(ctx, c, Request{Method: http.MethodPost, URI: "/x", Host: "h"}, func(h http.Header) bool {
		return h.Get("Other") == ""
	})
}

// allocated returns the bytes that f allocates, and the process beside it.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A faulty server's head has no end. It would be collected until the process exceeds its memory.
func TestHeadWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, form := range map[string]struct{ begin, rest string }{
		"a status line":                  {"", "0"},
		"a header line":                  {ok + "Name: ", "0"},
		"a header that goes on":          {ok + "Name: 0\r\n", " 0\r\n"},
		"headers":                        {ok, "a: b\r\n"},
		"headers of an interim response": {"HTTP/1.1 103 Early Hints\r\n", "a: b\r\n"},
		"interim responses":              {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			to := serve(t, func(w io.Writer) {
				_, _ = io.WriteString(w, form.begin) // what arrives is checked
				repeat(w, form.rest)
			})
			var err error
			begin := time.Now()
			used := allocated(func() { _, err = send(t, to) })
			require.Error(t, err)
			require.Less(t, used, uint64(memoryBound))
			require.Less(t, time.Since(begin), patience, "ends before its caller's patience")
		})
	}
}

// A long head, and a body that is longer than a head may be, must not be taken for bytes without
// end.
func TestLongHeadAndBodyAreRead(t *testing.T) {
	body := strings.Repeat("0", 128<<10)
	to := serve(t, func(w io.Writer) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nConnection: close\r\nName: "+strings.Repeat("0", 16<<10)+
			"\r\nContent-Length: 131072\r\n\r\n"+body) // what arrives is checked
	})
	a, err := send(t, to)
	require.NoError(t, err)
	got, err := a.ReadAll(int64(len(body)), nil)
	require.NoError(t, err)
	require.Equal(t, body, string(got))
	a.Finish(time.Now(), true, 0)
}

// A response has a status that HTTP doesn't have. The HTTP server panics when it is passed on.
func TestImpossibleStatus(t *testing.T) {
	for _, status := range []string{"000", "020", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			to := serve(t, func(w io.Writer) {
				_, _ = io.WriteString(w, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n") // what arrives is checked
			})
			_, err := send(t, to)
			require.ErrorIs(t, err, response.ErrMalformed)
		})
	}
}
