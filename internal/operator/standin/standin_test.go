package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/operator/standin"
	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
)

// run starts a stand-in and returns its addresses, as URLs.
func run(t *testing.T, addresses int, args ...string) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	root := &cli.Command{Name: "wagtailshelf", Commands: standin.Commands(), Writer: w}
	ended := make(chan error, 1)
	go func() { ended <- root.Run(ctx, append([]string{"wagtailshelf", "standin"}, args...)) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	lines := bufio.NewScanner(r)
	var got []string
	for range addresses {
		require.True(t, lines.Scan())
		got = append(got, "http://"+lines.Text())
	}
	return got
}

func get(t *testing.T, url string, v any) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(v))
}

func TestGroupOfRanks(t *testing.T) {
	ranks := run(t, 3, "engine", "--ranks", "3", "--step", "1ms")
	resp, err := http.Post(ranks[2]+"/v1/draft", "text/plain", strings.NewReader("Bonjour"))
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := engine.ReadStream(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, engine.Answer([]byte("Bonjour")), text)

	var state engine.GroupState
	get(t, ranks[0]+"/group", &state)
	assert.Equal(t, 3, state.Ranks)
	assert.Positive(t, state.Next)
	assert.Zero(t, state.MixedSteps)
}

func TestPlatformAndService(t *testing.T) {
	var calls []any
	get(t, run(t, 1, "platform", "--hosts-lag", "1s")[0]+"/calls", &calls)
	assert.Empty(t, calls)
	var people []any
	get(t, run(t, 1, "service")[0]+"/lists/monday", &people)
	assert.NotEmpty(t, people)
}
