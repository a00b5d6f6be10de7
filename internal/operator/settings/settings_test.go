package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := &cli.Command{Name: "wagtailshelf", Writer: &out, Commands: Commands()}
	err := root.Run(t.Context(), append([]string{"wagtailshelf", "settings"}, args...))
	return out.String(), err
}

func TestCheck(t *testing.T) {
	t.Run("examples", func(t *testing.T) {
		files, err := filepath.Glob("../../../examples/settings/*.yaml")
		require.NoError(t, err)
		out, err := run(t, append([]string{"check"}, files...)...)
		require.NoError(t, err)
		assert.Contains(t, out, "bonjour-entry.yaml: ok, entry mtl-a-entry-1 in mtl-a\n")
	})
	t.Run("findings", func(t *testing.T) {
		t.Chdir(t.TempDir())
		require.NoError(t, os.WriteFile("s.yaml", []byte("role: entry\nnam: a\n"), 0o600))
		out, err := run(t, "check", "s.yaml")
		assert.ErrorIs(t, err, ErrFindings)
		assert.Contains(t, out, "s.yaml:2:1: unknown key \"nam\"")
	})
	t.Run("no such file", func(t *testing.T) {
		_, err := run(t, "check", filepath.Join(t.TempDir(), "none"))
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
	t.Run("no file", func(t *testing.T) {
		_, err := run(t, "check")
		assert.Error(t, err)
	})
}

func TestList(t *testing.T) {
	out, err := run(t, "list")
	require.NoError(t, err)
	assert.Contains(t, out, "`drain.bound`")
}
