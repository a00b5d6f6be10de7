package process_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/process"
	"wagtailshelf.example/wagtailshelf/internal/program/signals"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

const operatorToken = "operator-token"

// newProgram returns a program whose drain ends when the returned channel is closed.
func newProgram(t *testing.T) (*process.Program, chan struct{}) {
	t.Helper()
	ring, err := credential.NewTokenSet([]credential.Holder{{Name: "anne", Digests: []credential.Digest{credential.DigestOf(operatorToken)}}})
	require.NoError(t, err)
	admin := &process.Admin{
		Ready:     func() bool { return true },
		Dump:      func(context.Context) (any, error) { return map[string]int{"requests": 3}, nil },
		Operators: ring,
		Metrics:   metrics.NewSet(),
	}
	require.NoError(t, admin.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0")))
	drained := make(chan struct{})
	return &process.Program{
		Run: func(ctx context.Context) error {
			<-ctx.Done()
			return context.Cause(ctx)
		},
		Drain: func(ctx context.Context) error {
			select {
			case <-drained:
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		},
		Stops:   signals.Stops(),
		Hangups: signals.Hangups(),
		Admin:   admin,
		Log:     &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}, drained
}

func get(t *testing.T, p *process.Program, path, token string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+p.Admin.Addr().String()+path, nil)
	require.NoError(t, err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

func TestAdmin(t *testing.T) {
	p, _ := newProgram(t)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	tests := []struct {
		name, path, token string
		status            int
		body              string
	}{
		{"alive", "/healthz", "", http.StatusOK, "alive\n"},
		{"ready", "/readyz", "", http.StatusOK, "ready\n"},
		{"dump", "/dump", operatorToken, http.StatusOK, "{\n  \"requests\": 3\n}\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body := get(t, p, test.path, test.token)
			require.Equal(t, test.status, status)
			require.Equal(t, test.body, body)
		})
	}
	for name, token := range map[string]string{"no credential": "", "wrong credential": "guess"} {
		t.Run(name, func(t *testing.T) {
			status, _ := get(t, p, "/dump", token)
			require.Equal(t, http.StatusUnauthorized, status)
		})
	}
}

// SIGTERM arrives while work is in flight: the program keeps serving until its drain has ended,
// and only then returns, without an error.
func TestSignalDrains(t *testing.T) {
	p, drained := newProgram(t)
	done := make(chan error, 1)
	go func() { done <- p.Serve(context.Background()) }()
	require.Eventually(t, func() bool {
		status, _ := get(t, p, "/healthz", "")
		return status == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case <-done:
		t.Fatal("the program ended before its drain")
	case <-time.After(20 * time.Millisecond):
	}
	close(drained)
	require.NoError(t, <-done)
}
