package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/ansel1/merry/v2"
)

// Fingerprint identifies what may crash targets: a request, by what stays the same when the caller
// sends it again, as its IDs and headers change each time; or a part of prompts that many requests
// have. Keys and texts can't be recovered from it, so it may be written to logs and to the store.
type Fingerprint [16]byte

// ErrFingerprint reports a text that is not a fingerprint.
var ErrFingerprint = merry.New("not a fingerprint")

// Request holds the parts of a request that its fingerprint is computed from.
type Request struct {
	Workspace string // "" if the route needs no key
	Host      string
	Method    string
	URI       string // path and query
	Body      []byte
}

// Fingerprint returns the request's fingerprint. It covers the whole body, so that
// bodies that differ only at their ends have different fingerprints. A body of 1 kB takes about 1 µs.
func (r Request) Fingerprint() Fingerprint {
	return fingerprintOf([]byte(r.Workspace), []byte(r.Host), []byte(r.Method), []byte(r.URI), r.Body)
}

// PartFingerprint returns the fingerprint of a part of the prompts of a service's requests. It is the
// same for all workspaces, as such a part crashes a target whoever sends it.
func PartFingerprint(service, id string) Fingerprint {
	return fingerprintOf([]byte("part"), []byte(service), []byte(id)).withScope(service)
}

// scope identifies the service of a part. Two services rarely have the same.
type scope [2]byte

// scope returns the scope of a part's fingerprint.
func (f Fingerprint) scope() scope { return scope(f[:len(scope{})]) }

// withScope returns the fingerprint with the scope of a service.
func (f Fingerprint) withScope(service string) Fingerprint {
	of := fingerprintOf([]byte("service"), []byte(service)).scope()
	copy(f[:], of[:])
	return f
}

// maxLeadingParts bounds the leading parts of a prompt.
const maxLeadingParts = 32

// LeadingParts returns the fingerprints of the beginnings of a prompt that consist of whole blocks, the
// shortest first, for a service whose prompts are not given in parts. The whole prompt is none of them.
func LeadingParts(service string, prompt []byte, blockBytes, blocks int) []Fingerprint {
	if blockBytes <= 0 {
		return nil
	}
	h := sha256.New()
	_, _ = h.Write([]byte(service)) // never fails
	var list []Fingerprint
	for n := 0; n < min(blocks, maxLeadingParts) && len(prompt) > blockBytes; n++ {
		_, _ = h.Write(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		list = append(list, Fingerprint(h.Sum(nil)[:len(Fingerprint{})]).withScope(service))
	}
	return list
}

func fingerprintOf(fields ...[]byte) Fingerprint {
	h := sha256.New()
	for _, field := range fields {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:]) // so that moving bytes from one field to the next changes the hash
		h.Write(field)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal, as it is logged.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IsZero reports whether there is no fingerprint.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// ParseFingerprint parses the text that String returns.
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
