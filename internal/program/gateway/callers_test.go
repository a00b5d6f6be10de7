package gateway

import (
	"context"
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
	require.Eventually(t, g.draining.Load, 10*time.Second, time.Millisecond)
	callers := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		w, err := callers.Get("http://" + l.Addr().String() + "/x")
		require.NoError(t, err)
		require.NoError(t, w.Body.Close())
		require.True(t, w.Close, "the response announces that it is the last one on its connection")
	}
	require.NoError(t, <-ended)
}
