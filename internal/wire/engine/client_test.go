package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	standin "wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

func start(t *testing.T, cfg standin.Config) (*standin.Engine, *engine.Client) {
	t.Helper()
	if cfg.Step == 0 {
		cfg.Step = 200 * time.Microsecond
	}
	e := standin.New(cfg)
	t.Cleanup(e.Close)
	return e, connect(t, e, engine.Config{})
}

func connect(t *testing.T, h http.Handler, cfg engine.Config) *engine.Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	cfg.Target = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	c := engine.New(cfg)
	t.Cleanup(c.Close)
	return c
}

func inferenceCall(id, body string) engine.Call {
	return engine.Call{
		Method:        http.MethodPost,
		Path:          "/v1/draft",
		Header:        http.Header{engine.RequestIDHeader: {id}, "Accept": {"application/json"}},
		Body:          strings.NewReader(body),
		ContentLength: int64(len(body)),
	}
}

func TestCall(t *testing.T) {
	e, c := start(t, standin.Config{})
	resp, err := c.Do(context.Background(), inferenceCall("r1", "Bonjour"))
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Contains(t, string(text), standin.Answer([]byte("Bonjour")))
	assert.Equal(t, standin.RunCount{Starts: 1, Finished: 1}, e.Runs("r1"))
}

func TestReports(t *testing.T) {
	ctx := context.Background()
	_, c := start(t, standin.Config{})
	resp, err := c.Do(ctx, inferenceCall("r1", strings.Repeat("x", 2*engine.BlockBytes)))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	load, err := c.Load(ctx)
	require.NoError(t, err)
	assert.Equal(t, 2, load.CacheBlocks)

	events, err := c.Events(ctx, 1)
	require.NoError(t, err)
	require.Len(t, events.Events, 2)
	assert.Equal(t, engine.BlockHashes([]byte(strings.Repeat("x", 2*engine.BlockBytes)))[0], events.Events[0].Block)

	role := func(fence lease.Fence, name string) engine.OrderReply {
		ord := engine.Order{Kind: engine.ChangeRole, ID: order.ID{Fence: fence}, Role: name}
		reply, err := c.Order(ctx, ord, time.Minute)
		require.NoError(t, err)
		return reply
	}
	assert.True(t, role(5, "prefill").Accepted)
	assert.Equal(t, order.StaleFence, role(4, "decode").Reason)

	state, err := c.State(ctx)
	require.NoError(t, err)
	assert.Equal(t, "prefill", state.Role)
	assert.Equal(t, lease.Fence(5), state.Fence)
}

// BenchmarkCall compares calls on a pooled connection with calls that dial.
func BenchmarkCall(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok"))
	}))
	defer srv.Close()
	c := engine.New(engine.Config{Target: netip.MustParseAddrPort(srv.Listener.Addr().String())})
	defer c.Close()
	for name, repeatable := range map[string]bool{"pooled": true, "dialled": false} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				resp, err := c.Do(ctx, engine.Call{Method: http.MethodGet, Path: "/", Repeatable: repeatable})
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
