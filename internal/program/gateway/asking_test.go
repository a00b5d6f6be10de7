package gateway

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

// startPlanner starts a planner that answers heartbeats with the newest version that entries have.
func startPlanner(t *testing.T, at netip.AddrPort, newest int64) {
	t.Helper()
	socket, err := digest.Open(at)
	require.NoError(t, err)
	go func() {
		_ = socket.Serve(t.Context(), func(from netip.AddrPort, h digest.Heartbeat) {
			socket.SendUpdate(from, digest.Update{Service: "gen", Group: "g", Term: 1, Entries: 2, ConfigVersion: max(newest, h.ConfigVersion)})
		}, func(netip.AddrPort, digest.Update) {})
	}()
}

// startFromBackup returns an entry that has just read a configuration from a restored store, and
// exchanges heartbeats with the planner at an address.
func startFromBackup(t *testing.T, planner netip.Addr) *Gateway {
	g := newGateway()
	g.settings.Listen.Peers = netip.AddrPortFrom(newHost(), peersPort)
	g.crashes.MarkLoaded()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.exchangeWithPlanners(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-ended)
	})
	time.Sleep(storeDelay)
	config := routing.New(routing.Config{Version: 10, Services: []routing.Service{{Name: "gen", Engine: &routing.Engine{}}}})
	g.roster.Put(roster.Target{ID: "rank", Service: "gen", Address: netip.AddrPortFrom(planner, 8000)})
	g.installConfig(deployed.Elapsed(), feed.Page[*routing.Config]{Era: position.Era(2), Changes: []feed.Change[*routing.Config]{{Name: "main", Object: config}}})
	g.targetsListed.Store(true)
	return g
}

// storeDelay is how long the store takes to answer a process that starts.
const storeDelay = 100 * time.Millisecond

// peersPort is the port at which these tests' entries and planners exchange heartbeats.
const peersPort = 7403

// Guards against accepting a revoked key after a restore of the store, in an entry that starts then and
// has not asked yet what the other entries know.
func TestEntryThatStartsFromABackupAsksFirst(t *testing.T) {
	t.Parallel()
	t.Run("the others have a later version", func(t *testing.T) {
		t.Parallel()
		planner := newHost()
		startPlanner(t, netip.AddrPortFrom(planner, peersPort), 12)
		g := startFromBackup(t, planner)
		for begin := time.Now(); time.Since(begin) < 2*time.Second; time.Sleep(time.Millisecond) {
			require.Greater(t, g.currentConfig().Age, g.bounds.Load().Revoke, "after %s", time.Since(begin))
		}
	})
	t.Run("the others have the same version", func(t *testing.T) {
		t.Parallel()
		planner := newHost()
		startPlanner(t, netip.AddrPortFrom(planner, peersPort), 10)
		g := startFromBackup(t, planner)
		require.Eventually(t, g.ready, digest.HeartbeatInterval, time.Millisecond)
	})
	t.Run("no planner answers", func(t *testing.T) {
		t.Parallel()
		g := startFromBackup(t, newHost())
		require.False(t, g.ready())
		require.Eventually(t, g.ready, 2*digest.HeartbeatInterval, time.Millisecond)
	})
}
