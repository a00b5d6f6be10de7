package role

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/setting"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// credentialDir is a directory with the settings and keys of the entry "a".
type credentialDir struct {
	t         *testing.T
	dir       string
	authority *credential.Authority
}

func (h credentialDir) path(name string) string { return filepath.Join(h.dir, name) }

func (h credentialDir) write(name, text string) {
	require.NoError(h.t, os.WriteFile(h.path(name), []byte(text), 0o600))
}

// issue writes keys for a host.
func (h credentialDir) issue(name host.Name, lifetime time.Duration) {
	m, err := h.authority.Issue(time.Now(), credential.Identity{Name: name, Role: host.Entry}, lifetime)
	require.NoError(h.t, err)
	h.write("c", string(m.Certificate))
	h.write("k", string(m.Key))
	h.write("as", string(m.Authorities))
}

// configure writes settings with one operator, who has the token.
func (h credentialDir) configure(name host.Name, token string) {
	h.write("s", fmt.Sprintf(`role: entry
name: %s
dataCentre: mtl-a
platform: [127.0.0.1:8200]
operators: [{name: anne, tokens: [%s]}]
tls: {certificateFile: %q, keyFile: %q, authoritiesFile: %q}
`, name, credential.DigestOf(token), h.path("c"), h.path("k"), h.path("as")))
}

func newBase(t *testing.T) (credentialDir, *base) {
	t.Helper()
	authority, err := credential.NewAuthority(time.Now())
	require.NoError(t, err)
	h := credentialDir{t: t, dir: t.TempDir(), authority: authority}
	h.issue("a", time.Hour)
	h.configure("a", "old")
	text, err := os.ReadFile(h.path("s"))
	require.NoError(t, err)
	s, list := setting.Load("s", text)
	require.NoError(t, list.Err())
	b, err := build(s)
	require.NoError(t, err)
	b.file = h.path("s")
	return h, b
}

func assertOperator(t *testing.T, b *base, token string) {
	t.Helper()
	_, ok := b.operators.Authenticate(token)
	assert.True(t, ok)
}

func TestReload(t *testing.T) {
	h, b := newBase(t)
	before := b.keys.Expiry()
	h.issue("a", 2*time.Hour)
	h.configure("a", "new")
	require.NoError(t, b.reload())
	assert.True(t, b.keys.Expiry().After(before))
	assertOperator(t, b, "new")
	_, ok := b.operators.Authenticate("old")
	assert.False(t, ok, "a removed token is still accepted")
}

// TestFailedReloadKeepsKeysAndOperators reloads settings or keys that are unusable. The
// process must report an error and keep the keys and operators that it has.
func TestFailedReloadKeepsKeysAndOperators(t *testing.T) {
	tests := []struct {
		name   string
		damage func(credentialDir)
	}{
		{"no file", func(h credentialDir) { require.NoError(h.t, os.Remove(h.path("s"))) }},
		{"findings", func(h credentialDir) { h.write("s", "role: entry\n") }},
		{"half a key", func(h credentialDir) { h.write("k", "-----BEGIN") }},
		{"keys of another host", func(h credentialDir) { h.issue("b", time.Hour) }},
		{"settings of another host", func(h credentialDir) { h.configure("b", "new") }},
		{"expired", func(h credentialDir) { h.issue("a", -time.Minute) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, b := newBase(t)
			before := b.keys.Expiry()
			h.configure("a", "new")
			test.damage(h)
			assert.Error(t, b.reload())
			assert.Equal(t, before, b.keys.Expiry())
			assertOperator(t, b, "old")
		})
	}
}
