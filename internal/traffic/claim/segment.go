package claim

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// ErrBadSegment reports that an object is not a valid segment of its shard.
var ErrBadSegment = merry.New("bad claim segment")

// entry is one record of the chain: a claim, a move of it to another target, or
// its release.
type entry struct {
	Key   Key           `cbor:"1,keyasint"`
	Owner request.Prior `cbor:"2,keyasint"`
	At    int64         `cbor:"3,keyasint"` // time of writing, in milliseconds since 1970 by the writer's clock
	Freed bool          `cbor:"4,keyasint,omitempty"`
	Until int64         `cbor:"5,keyasint,omitempty"` // when the claim expires, by the same clock
}

func (e entry) at() time.Time    { return time.UnixMilli(e.At) }
func (e entry) until() time.Time { return time.UnixMilli(e.Until) }

// segment is the value of one object of the ring. Entries are only added, and no
// entry is added once the segment is sealed.
type segment struct {
	Sequence uint64  `cbor:"1,keyasint"` // from 1; the number of the object is Sequence modulo the ring's size
	Sealed   bool    `cbor:"2,keyasint,omitempty"`
	Entries  []entry `cbor:"3,keyasint"`
}

// until returns when the last claim of the segment expires.
func (s *segment) until() time.Time {
	var until int64
	for _, e := range s.Entries {
		until = max(until, e.Until)
	}
	return time.UnixMilli(until)
}

func (s *segment) encode() ([]byte, error) {
	return cbor.Marshal(s)
}

func decodeSegment(value []byte) (segment, error) {
	var s segment
	if len(value) > object.MaxValueBytes {
		return s, merry.Wrap(ErrBadSegment, merry.AppendMessagef("%d bytes", len(value)))
	}
	if err := cbor.Unmarshal(value, &s); err != nil {
		return s, merry.Wrap(ErrBadSegment, merry.WithCause(err))
	}
	if s.Sequence == 0 {
		return s, merry.Wrap(ErrBadSegment, merry.AppendMessage("no sequence"))
	}
	return s, nil
}

// prefix returns the common prefix of the keys of a shard's objects.
func (c Config) prefix() object.Key {
	return object.Key(fmt.Sprintf("claims/%s-%03d-", c.Service, c.Shard))
}

func (c Config) objectKey(sequence uint64) object.Key {
	return object.Key(fmt.Sprintf("%s%03d", c.prefix(), sequence%uint64(c.Segments)))
}
