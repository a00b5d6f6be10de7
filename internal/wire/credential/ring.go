package credential

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// ErrDigest reports a text that is not a SHA-256 digest in hexadecimal.
var ErrDigest = merry.Sentinel("not a SHA-256 digest of 64 hexadecimal digits")

// maxTokenBytes bounds the work for a token of an unauthenticated caller.
const maxTokenBytes = 512

// Digest is the SHA-256 digest of a token.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token string) Digest {
	return sha256.Sum256([]byte(token))
}

// ParseDigest reads a digest from hexadecimal.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return Digest{}, ErrDigest
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, ErrDigest
	}
	return d, nil
}

// UnmarshalText reads a digest from hexadecimal, with or without the
// prefix "sha256:".
func (d *Digest) UnmarshalText(text []byte) error {
	got, err := ParseDigest(strings.TrimPrefix(string(text), "sha256:"))
	if err != nil {
		return err
	}
	*d = got
	return nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// NewToken returns a random token of 256 bits.
func NewToken() string {
	return rand.Text() + rand.Text()
}

// Holder is the name of a token's holder with the digests of its tokens. There are
// two digests while a token is being replaced.
type Holder struct {
	Name    string
	Digests []Digest
}

// TokenSet is a set of holders that finds the holder of a token. It is safe for concurrent use.
type TokenSet struct {
	holders atomic.Pointer[map[Digest]string]
}

// NewTokenSet returns a set of the holders. It returns an error if two of them share a
// digest, since such a token would identify neither.
func NewTokenSet(holders []Holder) (*TokenSet, error) {
	byDigest := make(map[Digest]string, len(holders))
	for _, h := range holders {
		for _, d := range h.Digests {
			if other, ok := byDigest[d]; ok && other != h.Name {
				return nil, merry.Errorf("%q and %q have the same token", other, h.Name)
			}
			byDigest[d] = h.Name
		}
	}
	s := &TokenSet{}
	s.holders.Store(&byDigest)
	return s, nil
}

// Replace replaces the holders by those of another set.
func (s *TokenSet) Replace(other *TokenSet) {
	s.holders.Store(other.holders.Load())
}

// Authenticate returns the name of the token's holder.
//
// The time of the lookup depends on the token's digest, not on the token. An
// attacker who measures it learns about a digest that they can't choose, so the
// time doesn't help to guess a token character by character. A scan of all digests
// would take 12,000 comparisons a call at the largest size.
func (s *TokenSet) Authenticate(token string) (string, bool) {
	if s == nil || token == "" || len(token) > maxTokenBytes {
		return "", false
	}
	name, ok := (*s.holders.Load())[DigestOf(token)]
	return name, ok
}

// Matches reports whether the token has the digest. The time that it takes depends
// on neither.
func Matches(token string, d Digest) bool {
	if len(token) > maxTokenBytes {
		return false
	}
	got := DigestOf(token)
	return subtle.ConstantTimeCompare(got[:], d[:]) == 1
}
