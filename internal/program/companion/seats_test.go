package companion

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// Guards against a planner that loses a rank's server because another writer's entry names its address.
func TestUnknownServiceDisplacesNoRank(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{Version: 1, Engines: "svc", Plain: "app"}))
	store.PutServer("rank", "svc", address)
	store.PutServer("foreign", "inventory", address)
	p := newPlanner()
	p.c.store = platform.NewStore(store.Address)
	p.refresh(t.Context())
	require.Len(t, p.servers, 1)
	require.Equal(t, "rank", p.servers[0].target)
}
