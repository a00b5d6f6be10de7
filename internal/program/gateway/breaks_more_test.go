package gateway

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
)

// Guards against a connection that ended as its target crashed and is judged by a probe for an earlier one,
// before the delay in which a process that ends closes its listener.
func TestEachFailureGetsTheWholeProbeDelay(t *testing.T) {
	g := newGateway()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.followFailures(ctx) }()
	defer func() {
		stop()
		require.NoError(t, <-ended)
	}()
	judged := 0
	for range 30 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		target := roster.Target{ID: l.Addr().String(), Address: netip.MustParseAddrPort(l.Addr().String())}
		failed := func() chan presence.Presence {
			done := make(chan presence.Presence, 1)
			g.connectionFailed(forward.ConnectionFailure{Target: target, Ended: true, Examined: done})
			return done
		}
		sound := failed() // a proper response without a length
		time.Sleep(presence.Settle * 7 / 10)
		crashed, at := failed(), time.Now()
		time.Sleep(presence.Settle * 6 / 10)
		require.NoError(t, l.Close())
		inTime := time.Since(at) < presence.Settle // otherwise this machine is too slow to tell
		<-sound
		if p := <-crashed; inTime {
			judged++
			require.Equal(t, presence.Absent, p, "pair %d", judged)
		}
	}
	require.Positive(t, judged)
}
