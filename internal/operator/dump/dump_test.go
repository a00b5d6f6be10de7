package dump

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/operator/token"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := &cli.Command{Name: "wagtailshelf", Writer: &out, Commands: Commands()}
	err := root.Run(t.Context(), append([]string{"wagtailshelf", "dump"}, args...))
	return out.String(), err
}

// serve starts an administration listener of a process, with f as its handler, and
// returns its address.
func serve(t *testing.T, f http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestDump(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/dump" || r.Header.Get("Authorization") != "Bearer secret" {
			http.Error(w, "the credential is not an operator's", http.StatusUnauthorized)
			return
		}
		_, _ = io.WriteString(w, "{}\n")
	})
	t.Run("token by file", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "token")
		require.NoError(t, os.WriteFile(file, []byte("secret\n"), 0o600))
		out, err := run(t, "--token-file", file, address)
		require.NoError(t, err)
		assert.Equal(t, "{}\n", out)
	})
	t.Run("token by variable", func(t *testing.T) {
		t.Setenv(token.Variable, "secret")
		_, err := run(t, address)
		assert.NoError(t, err)
	})
	t.Run("wrong token", func(t *testing.T) {
		t.Setenv(token.Variable, "guess")
		_, err := run(t, address)
		require.ErrorIs(t, err, ErrRefused)
		assert.ErrorContains(t, err, "not an operator's")
	})
	t.Run("no address", func(t *testing.T) {
		_, err := run(t)
		assert.Error(t, err)
	})
}

// TestSilentProcess covers a process that accepts the connection and never responds: the
// command must fail after the timeout instead of waiting forever.
func TestSilentProcess(t *testing.T) {
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, err := run(t, "--timeout", "20ms", address)
	assert.ErrorContains(t, err, "deadline exceeded")
}
