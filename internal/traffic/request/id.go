package request

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"

	"github.com/ansel1/merry/v2"
)

// ID identifies a request through all of its attempts.
type ID [16]byte

// ErrBadID reports a text that is not an ID.
var ErrBadID = merry.New("request id is not 32 hexadecimal digits")

// NewID draws an ID from r. IDs must not be guessable by callers only where
// they are shown to them, so any well-seeded source will do.
func NewID(r *rand.Rand) ID {
	var id ID
	binary.BigEndian.PutUint64(id[:8], r.Uint64())
	binary.BigEndian.PutUint64(id[8:], r.Uint64())
	return id
}

// ParseID reads the text form.
func ParseID(s string) (ID, error) {
	var id ID
	err := id.UnmarshalText([]byte(s))
	return id, err
}

// String returns the ID as 32 hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// MarshalText returns the text form.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText reads the text form.
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
