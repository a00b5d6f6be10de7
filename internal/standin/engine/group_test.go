package engine_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

const ranks = 3

// testMaps returns an even map, and one in which rank 0 has an expert of rank 1 in
// the place of one of its own in layer 0.
func testMaps(t *testing.T) (from, to *expertmap.Map) {
	t.Helper()
	from, err := expertmap.Even(expertmap.Shape{Layers: 2, Experts: 6, Ranks: ranks, Slots: 3})
	require.NoError(t, err)
	to = from.Clone()
	to.Set(0, 0, 2, from.At(0, 1, 0))
	return from, to
}

func newGroup(t *testing.T, cfg engine.Config) *engine.Group {
	t.Helper()
	cfg.Step = 100 * time.Microsecond
	cfg.StoreRate = 1 << 40
	g := engine.NewGroup(cfg, ranks)
	t.Cleanup(g.Close)
	return g
}

// send sends an order to a rank and returns why the rank refused it, or "".
func send(g *engine.Group, rank int, ord wire.Order) order.Reason {
	return g.Rank(rank).Order(ord).Reason
}

// keepBusy starts a long request at each rank, so that steps go on.
func keepBusy(t *testing.T, g *engine.Group) {
	t.Helper()
	for rank := range ranks {
		srv := httptest.NewServer(g.Rank(rank))
		body := strings.NewReader(`{"prompt":"long","maxTokens":4096}`)
		resp, err := http.Post(srv.URL+"/v1/draft", "application/json", body)
		require.NoError(t, err)
		t.Cleanup(func() {
			resp.Body.Close()
			srv.Close()
		})
	}
}

// prepare loads the weights of the second map at each rank, and prepares it as map 2.
func prepare(t *testing.T, g *engine.Group, from, to *expertmap.Map) {
	t.Helper()
	encoded, err := to.MarshalCBOR()
	require.NoError(t, err)
	diff, err := expertmap.Diff(from, to)
	require.NoError(t, err)
	for rank := range ranks {
		prep := wire.Order{Kind: wire.Prepare, Number: 2, Map: encoded}
		loads := diff.ForRank(rank)
		if len(loads) > 0 {
			assert.Equal(t, order.NotHeld, send(g, rank, prep))
		}
		require.Empty(t, send(g, rank, wire.Order{Kind: wire.LoadWeights, Weights: loads}))
		require.Empty(t, send(g, rank, prep))
	}
}

// waitForStep waits until the step has begun.
func waitForStep(t *testing.T, g *engine.Group, step uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return g.Step() > step }, 20*time.Second, time.Millisecond)
}

func TestSwitch(t *testing.T) {
	from, to := testMaps(t)
	g := newGroup(t, engine.Config{Map: from})
	keepBusy(t, g)
	prepare(t, g, from, to)
	at := g.Step() + 1000
	for rank := range ranks {
		require.Empty(t, send(g, rank, wire.Order{Kind: wire.Limit, Step: at}))
	}
	waitForStep(t, g, at-1)
	assert.Equal(t, at, g.Step(), "no step begins from the limit on")
	for rank := range ranks {
		assert.Equal(t, uint64(1), g.Rank(rank).State().Map)
		require.Empty(t, send(g, rank, wire.Order{Kind: wire.SwitchMap, Number: 2, Step: at}))
	}
	for rank := range ranks {
		require.Empty(t, send(g, rank, wire.Order{Kind: wire.Lift}))
	}
	waitForStep(t, g, at)
	for rank := range ranks {
		assert.Equal(t, uint64(2), g.Rank(rank).State().Map)
		assert.Empty(t, send(g, rank, wire.Order{Kind: wire.SwitchMap, Number: 2, Step: at}), "repeated")
	}
	assert.Zero(t, g.MixedSteps())
}

// A planner that sends a switch order to only two of three ranks violates the rule
// that all ranks use the same map. The group counts such steps.
func TestMixedMapsAreCounted(t *testing.T) {
	from, to := testMaps(t)
	g := newGroup(t, engine.Config{Map: from})
	keepBusy(t, g)
	prepare(t, g, from, to)
	at := g.Step() + 100000
	for rank := range ranks - 1 {
		require.Empty(t, send(g, rank, wire.Order{Kind: wire.SwitchMap, Number: 2, Step: at}))
	}
	assert.Zero(t, g.MixedSteps())
	for rank := range ranks - 1 {
		next := g.Step() + 50
		require.Empty(t, send(g, rank, wire.Order{Kind: wire.SwitchMap, Number: 2, Step: next}))
	}
	require.Eventually(t, func() bool { return g.MixedSteps() > 0 }, 20*time.Second, time.Millisecond)
}

// A rank dies and restarts as a new process. Its group begins no step until the rank
// has loaded its weights and all ranks have joined the same new epoch. Orders of the
// old epoch are refused from then on.
func TestForm(t *testing.T) {
	from, _ := testMaps(t)
	encoded, err := from.MarshalCBOR()
	require.NoError(t, err)
	g := newGroup(t, engine.Config{Map: from})
	keepBusy(t, g)
	g.Rank(1).SetFaults(engine.Faults{Dead: true})
	g.Rank(1).SetFaults(engine.Faults{})
	form := wire.Order{Kind: wire.Form, Epoch: 1, Number: 1, Map: encoded}
	assert.Equal(t, order.NotHeld, send(g, 1, form))

	var all []expertmap.Placement
	for layer := range 2 {
		for _, expert := range from.Row(layer, 1) {
			all = append(all, expertmap.Placement{Rank: 1, Layer: uint16(layer), Expert: expert})
		}
	}
	require.Empty(t, send(g, 1, wire.Order{Kind: wire.LoadWeights, Epoch: 1, Weights: all}))
	stopped := g.Step()
	for rank := range ranks {
		assert.LessOrEqual(t, g.Step(), stopped+1)
		require.Empty(t, send(g, rank, form))
	}
	waitForStep(t, g, stopped+10)
	assert.Equal(t, order.StaleEpoch, send(g, 0, wire.Order{Kind: wire.Limit, Step: 1 << 40}))
	assert.Zero(t, g.MixedSteps())
}

func TestOrderRefusals(t *testing.T) {
	from, _ := testMaps(t)
	g := newGroup(t, engine.Config{Map: from, CheckIDs: true})
	used := []expertmap.Placement{{Rank: 0, Layer: 0, Expert: from.At(0, 0, 0)}}
	for _, c := range []struct {
		name string
		ord  wire.Order
		want order.Reason
	}{
		{"newest", wire.Order{ID: order.ID{Fence: 5, Sequence: 2}, Kind: wire.ChangeRole}, ""},
		{"again", wire.Order{ID: order.ID{Fence: 5, Sequence: 2}, Kind: wire.ChangeRole}, ""},
		{"late copy", wire.Order{ID: order.ID{Fence: 5, Sequence: 1}, Kind: wire.ChangeRole}, order.StaleOrder},
		{"old fence", wire.Order{ID: order.ID{Fence: 4, Sequence: 9}, Kind: wire.ChangeRole}, order.StaleFence},
		{"not prepared", wire.Order{ID: order.ID{Fence: 6}, Kind: wire.SwitchMap, Number: 7, Step: 99}, order.NotPrepared},
		{"too late", wire.Order{ID: order.ID{Fence: 6}, Kind: wire.Limit, Step: 0}, order.TooLate},
		{"in use", wire.Order{ID: order.ID{Fence: 6}, Kind: wire.Drop, Weights: used}, order.InUse},
		{"no map", wire.Order{ID: order.ID{Fence: 6}, Kind: wire.Prepare, Number: 2, Map: []byte("x")}, order.Unsupported},
		{"no such kind", wire.Order{ID: order.ID{Fence: 6}, Kind: "sing"}, order.Unsupported},
	} {
		assert.Equal(t, c.want, send(g, 0, c.ord), c.name)
	}
	ignoring := newGroup(t, engine.Config{Map: from, IgnoreFence: true})
	for _, fence := range []lease.Fence{5, 4, 3} {
		assert.Empty(t, send(ignoring, 0, wire.Order{ID: order.ID{Fence: fence}, Kind: wire.ChangeRole}))
	}
}
