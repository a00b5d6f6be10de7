package companion

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// evenMap returns a map of three ranks in which some slots are empty.
func evenMap(t *testing.T) *expertmap.Map {
	t.Helper()
	m, err := expertmap.Even(expertmap.Shape{Layers: 2, Experts: 6, Ranks: 3, Slots: 3})
	require.NoError(t, err)
	return m
}

// Guards against a group that waits while the complete map is sent to each sidecar to abort a map
// switch.
func TestFenceIsSentByItsDigest(t *testing.T) {
	var got rankport.Order
	mux := http.NewServeMux()
	rankport.Handler{
		Poll:  func(context.Context, rankport.Poll) rankport.State { return rankport.State{} },
		Order: func(_ context.Context, o rankport.Order) rankport.OrderResult { got = o; return rankport.OrderResult{} },
	}.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	at := netip.MustParseAddrPort(server.Listener.Addr().String())

	p := newPlanner()
	active := evenMap(t)
	p.c.rememberMap(active)
	seen := active.Clone()
	clear(seen.Row(0, 2))
	seen.Set(0, 1, 0, active.At(0, 1, 1)) // engines list their experts in any order
	seen.Set(0, 1, 1, active.At(0, 1, 0))
	fence := p.fenceMap(seen, 2)
	require.True(t, fence.Equal(active))
	p.sendOrder(t.Context(), &modelServer{sidecarAddr: at, engineAddr: at}, changeover.Order{Operation: changeover.Prepare, Version: 9, Map: fence})
	require.Nil(t, got.Order.Map)
	require.Equal(t, active.Digest().String(), got.Base)

	follower := newPlanner().c
	require.False(t, follower.resolveMap(&got), "a sidecar that has not prepared the map asks for the complete one")
	follower.rememberMap(active)
	require.True(t, follower.resolveMap(&got))
	require.True(t, got.Order.Map.Equal(active))
}

// Guards against a fence map with experts that ranks would have to copy first.
func TestFenceHasTheExpertsThatRanksHave(t *testing.T) {
	p := newPlanner()
	active := evenMap(t)
	other := active.Clone()
	other.Set(1, 0, 2, other.At(1, 1, 0))
	p.c.rememberMap(other)
	require.Same(t, active, p.fenceMap(active, noRank), "no sidecar has prepared it")
	require.Nil(t, p.delta)
	require.Same(t, active, p.fenceMap(active, 2), "it differs at a rank that is not the excepted one")
	require.Same(t, other, p.fenceMap(active, 0))
}

// Guards against an active map that is dropped because fence maps with the same experts are
// prepared.
func TestFencesDoNotEvictOtherMaps(t *testing.T) {
	c := newPlanner().c
	active, next := evenMap(t), evenMap(t)
	next.Set(1, 0, 2, next.At(1, 1, 0))
	c.rememberMap(active)
	c.rememberMap(next)
	for range 2 * maxPreparedMaps {
		c.rememberMap(active.Clone())
	}
	require.Len(t, c.preparedMaps, 2)
	require.NotNil(t, c.preparedMap(next.Digest().String()))
}
