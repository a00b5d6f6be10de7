package request

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"

	"github.com/ansel1/merry/v2"
)

// ID identifies a request through all of its attempts.
type ID [16]byte

// ErrBadID reports that a text is not an ID.
var ErrBadID = merry.New("request id is not 32 hexadecimal digits")

// NewID returns a random ID drawn from r. An ID would have to be hard to guess
// only if callers were shown it, so any well-seeded source is sufficient.
func NewID(r *rand.Rand) ID {
	var id ID
	binary.BigEndian.PutUint64(id[:8], r.Uint64())
	binary.BigEndian.PutUint64(id[8:], r.Uint64())
	return id
}

// ParseID parses the text form of an ID.
func ParseID(s string) (ID, error) {
	var id ID
	err := id.UnmarshalText([]byte(s))
	return id, err
}

// String returns the ID as 32 hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// MarshalText returns the same text as String.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText parses the text form of an ID.
func (id *ID) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(id)) {
		return merry.Wrap(ErrBadID)
	}
	var v ID
	if _, err := hex.Decode(v[:], text); err != nil {
		return merry.Wrap(ErrBadID, merry.WithCause(err))
	}
	*id = v
	return nil
}
