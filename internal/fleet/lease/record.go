package lease

import (
	"encoding/json"
	"errors"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Fence numbers the holders of a lease. It increases with each take-over.
type Fence uint64

// maxRecordBytes bounds the size of a record that is read from the platform.
const maxRecordBytes = 4096

// maxLength bounds the length in a record, so that a damaged record can't prevent
// all processes from taking the lease forever.
const maxLength = time.Minute

// Record is the value of the lease's object, stored as JSON. An empty holder means
// that the lease is free.
type Record struct {
	Holder      host.Name        `json:"holder,omitempty"`
	Incarnation host.Incarnation `json:"incarnation,omitempty"`
	Fence       Fence            `json:"fence"`
	Attempt     uint64           `json:"attempt,omitempty"` // distinguishes the holder's writes
	Length      time.Duration    `json:"lengthNanoseconds"`
}

// Encode returns the record in the stored form.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of numbers and strings can always be encoded
	}
	return b
}

// Errors of [Decode].
var (
	ErrTooLarge = errors.New("lease record is too large")
	ErrLength   = errors.New("lease length is out of range")
)

// Decode decodes a stored record.
func Decode(value []byte) (Record, error) {
	if len(value) > maxRecordBytes {
		return Record{}, ErrTooLarge
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, err
	}
	if r.Length < 0 || r.Length > maxLength {
		return Record{}, ErrLength
	}
	return r, nil
}
