package key

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/setting"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := &cli.Command{Name: "wagtailshelf", Writer: &out, Commands: Commands()}
	err := root.Run(t.Context(), append([]string{"wagtailshelf", "keys"}, args...))
	return out.String(), err
}

// open loads a host's files as a process does.
func open(t *testing.T, dir string) *credential.Store {
	t.Helper()
	files := setting.TLS{
		CertificateFile: filepath.Join(dir, certificateFile),
		KeyFile:         filepath.Join(dir, keyFile),
		AuthoritiesFile: filepath.Join(dir, authoritiesFile),
	}
	m, err := files.Material(os.ReadFile)
	require.NoError(t, err)
	s, err := credential.NewStore(m, time.Now)
	require.NoError(t, err)
	return s
}

func TestIssue(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	_, err := run(t, "issue", "--dir", dir, "a", "b")
	require.NoError(t, err)
	authority, err := os.ReadFile(filepath.Join(dir, authorityFile))
	require.NoError(t, err)

	t.Run("again, by the same authority", func(t *testing.T) {
		_, err := run(t, "issue", "--dir", dir, "--role", "sidecar", "--lifetime", "1h", "a")
		require.NoError(t, err)
		again, err := os.ReadFile(filepath.Join(dir, authorityFile))
		require.NoError(t, err)
		assert.Equal(t, authority, again)
		a := open(t, filepath.Join(dir, "a"))
		assert.Equal(t, credential.Identity{Name: "a", Role: host.Sidecar}, a.Identity())
		assert.Less(t, time.Until(a.Expiry()), 2*time.Hour)
		assert.Equal(t, host.Entry, open(t, filepath.Join(dir, "b")).Identity().Role)
	})
	t.Run("secrets are for the owner only", func(t *testing.T) {
		for _, name := range []string{authorityKeyFile, "a/" + keyFile} {
			info, err := os.Stat(filepath.Join(dir, name))
			require.NoError(t, err)
			assert.EqualValues(t, secretMode, info.Mode().Perm())
		}
	})
	t.Run("refusals", func(t *testing.T) {
		for _, args := range [][]string{{}, {"--role", "root", "a"}, {"../x"}} {
			_, err := run(t, append([]string{"issue", "--dir", dir}, args...)...)
			assert.Error(t, err)
		}
	})
	t.Run("the key is not made anew when the certificate is lost", func(t *testing.T) {
		require.NoError(t, os.Remove(filepath.Join(dir, authorityFile)))
		_, err := run(t, "issue", "--dir", dir, "c")
		assert.ErrorIs(t, err, os.ErrExist)
	})
}

func TestToken(t *testing.T) {
	out, err := run(t, "token")
	require.NoError(t, err)
	lines := strings.Fields(out)
	require.Len(t, lines, 4)
	assert.Equal(t, credential.DigestOf(lines[1]).String(), lines[3])
}
