package trial_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/trial"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

const testTimeout = 30 * time.Second

// newDeployment starts two engines, one plain service and one entry.
func newDeployment(t *testing.T) *trial.Deployment {
	t.Helper()
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	for _, name := range []string{"redaction-0", "redaction-1"} {
		_, err := d.AddEngine(name, "mtl-a")
		require.NoError(t, err)
	}
	_, err = d.AddService("agenda-0", "mtl-a", service.New())
	require.NoError(t, err)
	ctx := testContext(t)
	require.NoError(t, d.Put(ctx, "redaction", trial.RedactionDocument(d.Targets[:2], "")))
	require.NoError(t, d.Put(ctx, "agenda", trial.AgendaDocument(d.Targets[2:], "")))
	e, err := d.AddEntry("mtl-a-entry-0", "mtl-a", nil)
	require.NoError(t, err)
	require.Eventually(t, e.Ready, testTimeout, 5*time.Millisecond)
	return d
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func post(t *testing.T, d *trial.Deployment, path, key, body string) *http.Response {
	t.Helper()
	url := "http://" + d.Entries[0].Addr().String() + path
	r, err := http.NewRequestWithContext(testContext(t), http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func requireOutcome(t *testing.T, resp *http.Response, status int, outcome string) []byte {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	got := resp.Header.Get(caller.OutcomeHeader)
	if got == "" {
		got = resp.Trailer.Get(caller.OutcomeHeader)
	}
	require.Equal(t, status, resp.StatusCode, "%s", body)
	require.Equal(t, outcome, got)
	require.NotEmpty(t, resp.Header.Get(caller.RequestIDHeader))
	return body
}

func TestWholePath(t *testing.T) {
	d := newDeployment(t)
	t.Run("a stream arrives complete, with its outcome in the trailer", func(t *testing.T) {
		resp := post(t, d, "/redaction/v1/draft", trial.LargeKey, `{"prompt":"bonjour","maxTokens":8}`)
		body := requireOutcome(t, resp, http.StatusOK, "answered")
		require.True(t, bytes.HasSuffix(body, []byte("\n\n")), "%q", body)
	})
	t.Run("a plain call has its outcome in the header", func(t *testing.T) {
		resp := post(t, d, "/agenda/outcomes", trial.SmallKey, `{"call":"c1","outcome":"reached"}`)
		requireOutcome(t, resp, http.StatusCreated, "answered")
	})
	t.Run("an unknown workspace is refused", func(t *testing.T) {
		resp := post(t, d, "/redaction/v1/draft", "stranger", "{}")
		requireOutcome(t, resp, http.StatusUnauthorized, "notRun")
	})
	t.Run("an unknown route is refused", func(t *testing.T) {
		resp := post(t, d, "/redaction/v1/none", trial.LargeKey, "{}")
		requireOutcome(t, resp, http.StatusNotFound, "notRun")
	})
	t.Run("an unknown service is refused", func(t *testing.T) {
		resp := post(t, d, "/none", trial.LargeKey, "{}")
		requireOutcome(t, resp, http.StatusNotFound, "notRun")
	})
	t.Run("a body over the bound is refused", func(t *testing.T) {
		resp := post(t, d, "/agenda/outcomes", trial.LargeKey, strings.Repeat("x", 33<<10))
		requireOutcome(t, resp, http.StatusRequestEntityTooLarge, "notRun")
	})
}
