package presence

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a server that resets connections beyond its limit, and is taken for one that does not run.
func TestServerThatResetsConnectionsIsPresent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	for range 4 {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_ = c.(*net.TCPConn).SetLinger(0) // an error shows in what the prober sees
				_ = c.Close()
			}
		}()
	}
	at := netip.MustParseAddrPort(l.Addr().String())
	for range 2000 {
		require.Equal(t, Listening, Probe(t.Context(), at))
	}
}
