package ingress

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

// Guards against a data race between a refusal and the end of the server, which decides by it how the connection is closed.
func TestCloseWhileHeadsAreRefused(t *testing.T) {
	const rounds, clients = 20, 8
	head := "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"
	for range rounds {
		l := Resources{Memory: 100 << 20, Descriptors: 1000}.Limits(Callers)
		l.HeadBytes = func() int { return 1 << 10 }
		s := NewServer("test", l, &http.Server{Handler: http.NotFoundHandler()}, metrics.NewSet())
		socket, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(socket) }()
		var writing sync.WaitGroup
		for range clients {
			c, err := net.Dial("tcp4", socket.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			writing.Go(func() { _, _ = c.Write([]byte(head)) }) // the server may have closed it
		}
		time.Sleep(time.Millisecond)
		require.NoError(t, s.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
		writing.Wait()
	}
}
