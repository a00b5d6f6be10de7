package document

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Digest is the SHA-256 digest of a document's text, as sha256sum prints it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits, for people.
func (d Digest) Short() string { return d.String()[:12] }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error { return decodeHex(d[:], text) }

// KeyDigest is the SHA-256 digest of a workspace's credential.
type KeyDigest [sha256.Size]byte

// KeyDigestOf returns the digest of a credential.
func KeyDigestOf(credential string) KeyDigest { return sha256.Sum256([]byte(credential)) }

// String returns the digest in hexadecimal.
func (k KeyDigest) String() string { return hex.EncodeToString(k[:]) }

// UnmarshalText decodes 64 hexadecimal digits, with or without the prefix "sha256:".
func (k *KeyDigest) UnmarshalText(text []byte) error {
	digits := strings.TrimPrefix(string(text), "sha256:")
	return decodeHex(k[:], []byte(digits))
}

var errDigest = errors.New("must be the 64 hexadecimal digits of a SHA-256 digest")

func decodeHex(to, text []byte) error {
	if hex.DecodedLen(len(text)) != len(to) || len(text)%2 != 0 {
		return errDigest
	}
	if _, err := hex.Decode(to, text); err != nil {
		return errDigest
	}
	return nil
}

// Bytes is a number of bytes. In a document it has a unit, for example 64KiB.
type Bytes int64

// units are the units of [Bytes], in the order in which they are matched.
var units = []struct {
	name string
	size Bytes
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1},
}

// UnmarshalText reads a number with an optional unit.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := string(text)
	size := Bytes(1)
	for _, u := range units {
		if n, ok := strings.CutSuffix(s, u.name); ok {
			s, size = strings.TrimSpace(n), u.size
			break
		}
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x*float64(size) > 1<<53 {
		return errors.New("must be a size such as 64KiB or 2MB")
	}
	*b = Bytes(x * float64(size))
	return nil
}

// String formats the size with the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range units {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.name
		}
	}
	return "0B"
}

// Priority orders the requests that are queued for a target. A higher one goes first.
type Priority uint8

// The priorities.
const (
	Background  Priority = iota + 1 // nobody waits for the response
	Normal                          // somebody will read the response soon
	Interactive                     // somebody waits for the response
)

var priorities = map[Priority]string{
	Background:  "background",
	Normal:      "normal",
	Interactive: "interactive",
}

// String returns the priority's name.
func (p Priority) String() string {
	if name, ok := priorities[p]; ok {
		return name
	}
	return fmt.Sprintf("Priority(%d)", uint8(p))
}

// UnmarshalText reads the priority's name.
func (p *Priority) UnmarshalText(text []byte) error {
	for each, name := range priorities {
		if name == string(text) {
			*p = each
			return nil
		}
	}
	return errors.New("must be background, normal or interactive")
}

// Danger is a kind of change that is refused unless it is explicitly confirmed.
type Danger string

// The dangerous changes.
const (
	NoTarget       Danger = "noTarget"       // no target is left that accepts requests
	ReplaceTargets Danger = "replaceTargets" // no target of the active document is kept
	DropGroup      Danger = "dropGroup"      // an expert group ends
	ReshapeGroup   Danger = "reshapeGroup"   // an expert group must form again
	DropWorkspace  Danger = "dropWorkspace"  // a customer is no longer served
	MakeIdempotent Danger = "makeIdempotent" // requests that ran at most once may be repeated
	TrustFences    Danger = "trustFences"    // the engine, not the sidecar, must refuse orders with an old fence
)
