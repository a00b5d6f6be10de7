package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/reset"
)

var (
	eventStream = []request.Field{{Name: "Content-Type", Value: "text/event-stream"}}
	answered    = request.Result{Outcome: request.Answered}
	truncated   = request.Result{Outcome: request.Unknown, Reason: request.EngineTruncated, Truncated: true}
)

// received is what a caller got.
type received struct {
	body string
	err  error
}

// call sends a request to a server whose handler answers it, and returns the response's body as
// a caller reads it.
func call(t *testing.T, text string, answer func(s *httptest.Server, a *Answer)) received {
	var s *httptest.Server
	s = httptest.NewUnstartedServer(reset.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answer(s, newAnswer(w, request.ID{1}, time.Now().Add(10*time.Second)))
	})))
	s.Config.ConnContext = reset.ConnContext
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }() // all has been read
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	return received{string(body), err}
}

// Requests of callers that differ in how an answer of no length is delimited.
var requests = map[string]string{
	"HTTP 1.1":             "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"HTTP 1.1 with close":  "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	"HTTP 1.0":             "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
	"HTTP 1.0 with keep":   "GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n",
	"HTTP 1.0 with a body": "POST / HTTP/1.0\r\nHost: a\r\nContent-Length: 1\r\n\r\nx",
}

// Guards against an answer that was broken off and looks complete to its caller.
func TestBrokenAnswerIsSeenAsBroken(t *testing.T) {
	ends := map[string]func(s *httptest.Server, a *Answer){
		"broken off":            func(_ *httptest.Server, a *Answer) { a.Finish(truncated) },
		"end of the process":    func(s *httptest.Server, _ *Answer) { s.CloseClientConnections() },
		"before the first byte": nil,
	}
	for name, text := range requests {
		for how, end := range ends {
			t.Run(fmt.Sprint(name, " ", how), func(t *testing.T) {
				got := call(t, text, func(s *httptest.Server, a *Answer) {
					a.Head(http.StatusOK, eventStream)
					if end == nil {
						a.Write(nil) // sends the head
						a.Finish(truncated)
					}
					a.Write([]byte("data: 1\n\n"))
					end(s, a)
				})
				require.Error(t, got.err)
			})
		}
		t.Run(name+" complete", func(t *testing.T) {
			const body = "data: 1\n\ndata: 2\n\n"
			got := call(t, text, func(_ *httptest.Server, a *Answer) {
				a.Head(http.StatusOK, eventStream)
				a.Write([]byte(body))
				a.Finish(answered)
			})
			require.Equal(t, received{body, nil}, got)
		})
	}
}

// Guards against an event that is joined to the event which says that the answer broke off.
func TestNothingIsJoinedToHalfAnEvent(t *testing.T) {
	for _, lines := range []string{"\n", "\r\n"} {
		whole, half := "data: 1"+lines+lines, "data: {\"ind"
		for part, said := range map[string]bool{whole: true, whole + half: false, whole + half + lines: false, "": true} {
			t.Run(fmt.Sprintf("%q", part), func(t *testing.T) {
				got := call(t, requests["HTTP 1.1"], func(_ *httptest.Server, a *Answer) {
					a.Head(http.StatusOK, eventStream)
					for _, b := range []byte(part) {
						a.Write([]byte{b})
					}
					a.Finish(truncated)
				})
				require.Error(t, got.err)
				rest, found := strings.CutPrefix(got.body, part)
				require.True(t, found, "%q", got.body)
				require.Equal(t, said, strings.HasPrefix(rest, "event: "+ErrorEvent), "%q", rest)
				require.Equal(t, said, rest != "", "%q", rest)
			})
		}
	}
}
