package presence

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestProbe(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	at := netip.MustParseAddrPort(l.Addr().String())
	require.Equal(t, Listening, Probe(t.Context(), at))
	require.NoError(t, l.Close())
	require.Equal(t, Absent, Probe(t.Context(), at))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, Silent, Probe(ended, at), "no response proves nothing")
}
