package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/ansel1/merry/v2"
)

// Fingerprint names a request by what stays the same when it comes again: its ids and
// headers change with each attempt of the caller. Keys and texts can't be read off it, so
// that it may stand in logs and in the store.
type Fingerprint [16]byte

// ErrFingerprint reports a text that is no fingerprint.
var ErrFingerprint = merry.New("not a fingerprint")

// Request is what a fingerprint is made of.
type Request struct {
	Workspace string // "" if the route needs no key
	Host      string
	Method    string
	URI       string // path and query
	Body      []byte
}

// Fingerprint returns the request's fingerprint. It reads the whole body: two that differ
// only at their ends must not be taken for the same. A body of 1 kB takes about 1 µs.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Workspace), []byte(r.Host), []byte(r.Method), []byte(r.URI), r.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:]) // so that no part can pass for the end of the one before
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String is the fingerprint as logs tell it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IsZero tells whether there is no fingerprint.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// ParseFingerprint reads what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != len(f) {
		return f, merry.Wrap(ErrFingerprint)
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return f, merry.Wrap(ErrFingerprint, merry.AppendMessage(err.Error()))
	}
	return f, nil
}
