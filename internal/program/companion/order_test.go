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

// evenMap is a map of three ranks, some slots of which are empty.
func evenMap(t *testing.T) *expertmap.Map {
	t.Helper()
	m, err := expertmap.Even(expertmap.Shape{Layers: 2, Experts: 6, Ranks: 3, Slots: 3})
	require.NoError(t, err)
	return m
}

// Guards against a group that waits while each sidecar is told the whole map to take a change back.
func TestFenceIsToldByItsDigest(t *testing.T) {
	var got rankport.Order
	mux := http.NewServeMux()
	rankport.Handler{
		Look:  func(context.Context, rankport.Look) rankport.Seen { return rankport.Seen{} },
		Order: func(_ context.Context, o rankport.Order) rankport.Done { got = o; return rankport.Done{} },
	}.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	at := netip.MustParseAddrPort(server.Listener.Addr().String())

	p := newPlanner()
	inForce := evenMap(t)
	p.c.keep(inForce)
	seen := inForce.Clone()
	clear(seen.Row(0, 2))
	seen.Set(0, 1, 0, inForce.At(0, 1, 1)) // engines list their experts in an order of their own
	seen.Set(0, 1, 1, inForce.At(0, 1, 0))
	fence := p.fenceWith(seen, 2)
	require.True(t, fence.Equal(inForce))
	p.order(t.Context(), &seat{sidecar: at, engine: at}, changeover.Order{Operation: changeover.Prepare, Version: 9, Map: fence})
	require.Nil(t, got.Order.Map)
	require.Equal(t, inForce.Digest().String(), got.Base)

	follower := newPlanner().c
	require.False(t, follower.completeMap(&got), "one that has not prepared it asks for the whole")
	follower.keep(inForce)
	require.True(t, follower.completeMap(&got))
	require.True(t, got.Order.Map.Equal(inForce))
}

// Guards against a fence whose experts ranks would have to copy first.
func TestFenceHasTheExpertsThatRanksHave(t *testing.T) {
	p := newPlanner()
	inForce := evenMap(t)
	other := inForce.Clone()
	other.Set(1, 0, 2, other.At(1, 1, 0))
	p.c.keep(other)
	require.Same(t, inForce, p.fenceWith(inForce, nobody), "no sidecar has prepared it")
	require.Nil(t, p.base)
	require.Same(t, inForce, p.fenceWith(inForce, 2), "it differs at a rank that can be asked")
	require.Same(t, other, p.fenceWith(inForce, 0))
}

// Guards against a map in force that is forgotten as fences with the same experts are prepared.
func TestFencesDoNotPushOutOtherMaps(t *testing.T) {
	c := newPlanner().c
	inForce, next := evenMap(t), evenMap(t)
	next.Set(1, 0, 2, next.At(1, 1, 0))
	c.keep(inForce)
	c.keep(next)
	for range 2 * keptMaps {
		c.keep(inForce.Clone())
	}
	require.Len(t, c.maps, 2)
	require.NotNil(t, c.kept(next.Digest().String()))
}
