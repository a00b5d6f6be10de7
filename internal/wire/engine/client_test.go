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

func draft(id, body string) engine.Call {
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
	resp, err := c.Do(context.Background(), draft("r1", "Bonjour"))
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
	resp, err := c.Do(ctx, draft("r1", strings.Repeat("x", 2*engine.BlockBytes)))
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

	reply, err := c.Order(ctx, engine.Order{Kind: engine.ChangeRole, Fence: 5, Role: "prefill"})
	require.NoError(t, err)
	assert.True(t, reply.Accepted)
	reply, err = c.Order(ctx, engine.Order{Kind: engine.ChangeRole, Fence: 4, Role: "decode"})
	require.NoError(t, err)
	assert.Equal(t, engine.StaleFence, reply.Refusal)

	state, err := c.State(ctx)
	require.NoError(t, err)
	assert.Equal(t, "prefill", state.Role)
	assert.Equal(t, uint64(5), state.Fence)
}
