package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The balancer keeps sending new callers for a while after an entry was asked to stop. The
// entry must accept them: a refused connection is an error that callers can't explain.
func TestDrainingTakesNewConnections(t *testing.T) {
	g := newGateway()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.serveOn(ctx, l) }()
	end()
	require.Eventually(t, g.drain.Begun, 10*time.Second, time.Millisecond)
	callers := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		w, err := callers.Get("http://" + l.Addr().String() + "/x")
		require.NoError(t, err)
		require.NoError(t, w.Body.Close())
		require.True(t, w.Close, "the response announces that it is the last one on its connection")
	}
	require.NoError(t, <-ended)
}

// Guards against a broken answer that looks complete: a caller of HTTP/1.0 knows its end only by that of the connection.
func TestBrokenAnswersAreSeenAsBroken(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for name, breaks := range map[string]bool{"broken": true, "whole": false} {
			t.Run(version+" "+name, func(t *testing.T) {
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				require.NoError(t, err)
				s := newGateway().callerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "id: 1\n\n") // the caller checks what arrives
					w.(http.Flusher).Flush()
					if breaks {
						panic(http.ErrAbortHandler)
					}
				}))
				go func() { _ = s.Serve(l) }() // Serve returns when the server is closed
				t.Cleanup(func() { _ = s.Close() })
				c, err := net.Dial("tcp4", l.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				_, err = io.WriteString(c, "POST /x HTTP/"+version+"\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
				require.NoError(t, err)
				a, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				body, err := io.ReadAll(a.Body)
				require.Equal(t, breaks, err != nil, "%q, then %v", body, err)
			})
		}
	}
}
