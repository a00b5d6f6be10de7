package credential

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRing(t *testing.T) {
	old, current := NewToken(), NewToken()
	r, err := NewTokenSet([]Holder{
		{Name: "alice", Digests: []Digest{DigestOf(old), DigestOf(current)}},
		{Name: "bob", Digests: []Digest{DigestOf("bob's")}},
	})
	require.NoError(t, err)

	for token, want := range map[string]string{
		old:                        "alice",
		current:                    "alice",
		"bob's":                    "bob",
		"":                         "",
		"bob":                      "",
		strings.Repeat("x", 1<<20): "",
	} {
		got, ok := r.Authenticate(token)
		assert.Equal(t, want, got)
		assert.Equal(t, want != "", ok)
	}
	_, ok := (*TokenSet)(nil).Authenticate(current)
	assert.False(t, ok, "a nil ring matches no token")
}

func TestRingReplace(t *testing.T) {
	before, err := NewTokenSet([]Holder{{Name: "alice", Digests: []Digest{DigestOf("old")}}})
	require.NoError(t, err)
	after, err := NewTokenSet([]Holder{{Name: "bob", Digests: []Digest{DigestOf("new")}}})
	require.NoError(t, err)
	before.Replace(after)
	_, ok := before.Authenticate("old")
	assert.False(t, ok)
	name, ok := before.Authenticate("new")
	assert.True(t, ok)
	assert.Equal(t, "bob", name)
}

func TestRingRefusesSharedTokens(t *testing.T) {
	d := []Digest{DigestOf("same")}
	_, err := NewTokenSet([]Holder{{Name: "alice", Digests: d}, {Name: "bob", Digests: d}})
	assert.Error(t, err)
}

func TestParseDigest(t *testing.T) {
	d, err := ParseDigest(DigestOf("t").String())
	require.NoError(t, err)
	assert.Equal(t, DigestOf("t"), d)
	assert.True(t, Matches("t", d))
	assert.False(t, Matches("u", d))
	for _, text := range []string{"", "ab", strings.Repeat("g", 64), strings.Repeat("a", 65)} {
		_, err := ParseDigest(text)
		assert.ErrorIs(t, err, ErrDigest)
	}
}

func ExampleTokenSet_Authenticate() {
	token := "a random token, see NewToken"
	r, _ := NewTokenSet([]Holder{{Name: "alice", Digests: []Digest{DigestOf(token)}}})
	fmt.Println(r.Authenticate(token))
	// Output: alice true
}
