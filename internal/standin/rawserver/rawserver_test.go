package rawserver

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a server that outlasts its test, and logs to it when it has ended: a data race, and a panic.
func TestServerEndsWithItsTest(t *testing.T) {
	var served atomic.Int64
	require.True(t, t.Run("inner", func(t *testing.T) {
		at := Start(t, func(_ *net.TCPConn, r *bufio.Reader) {
			_, _ = io.Copy(io.Discard, r) // until the connection is closed
			time.Sleep(20 * time.Millisecond)
			served.Add(1)
		})
		for range 5 {
			c, err := net.Dial("tcp4", at.String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
		}
		time.Sleep(20 * time.Millisecond) // the server accepts the connections
	}))
	require.EqualValues(t, 5, served.Load())
}
