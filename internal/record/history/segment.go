package history

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// ObjectKind is the kind of the objects that hold segments.
const ObjectKind = "archives"

// Bounds of a segment. The bound on the lines limits the size to which a damaged or
// hostile object can be decompressed.
const (
	MaxSegmentBytes = object.MaxValueBytes * 3 / 4
	MaxLinesBytes   = 8 << 20
)

// Errors of segments.
var (
	ErrDamaged    = errors.New("the history is damaged")
	ErrFull       = errors.New("the segment is full")
	ErrTwoDigests = errors.New("one number has two digests")
)

// Prefix returns the beginning of the keys of a service's segments.
func Prefix(service string) object.Key { return object.Key(ObjectKind + "/" + service + ".") }

// SegmentKey returns the key of a segment. Segments are counted from 1.
func SegmentKey(service string, n int) object.Key {
	return Prefix(service) + object.Key(fmt.Sprintf("%06d", n))
}

// segmentNumber reads the number of a segment from its key.
func segmentNumber(k object.Key) int {
	_, digits, _ := strings.Cut(k.Name(), ".")
	digits = digits[strings.LastIndexByte(digits, '.')+1:]
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return n
}

// line is the JSON form of an entry in a segment.
type line struct {
	Entry
	Text   *string `json:"text,omitempty"`   // the complete text
	Change []edit  `json:"change,omitempty"` // from the text of the previous line
}

// Segment is a part of the history of one service that is stored as one object.
type Segment struct {
	raw  []byte // the uncompressed lines
	last Entry
}

// Last returns the newest entry of the segment.
func (s *Segment) Last() Entry { return s.last }

// Add adds an entry, whose number must be higher than the last one's. The
// segment is unchanged if it returns [ErrFull].
func (s *Segment) Add(e Entry) error {
	l := line{Entry: e}
	switch {
	case e.Text == nil:
	case s.last.Text == nil:
		text := string(e.Text)
		l.Text = &text
	default:
		l.Change = diff(s.last.Text, e.Text)
	}
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	grown := append(slices.Clip(s.raw), append(b, '\n')...)
	first := len(s.raw) == 0
	if len(grown) > MaxLinesBytes || !first && !fits(grown) {
		return ErrFull
	}
	s.raw, s.last = grown, e
	return nil
}

func fits(raw []byte) bool {
	return len(raw) <= MaxSegmentBytes || len(compress(raw)) <= MaxSegmentBytes
}

// Encode returns the stored form of the segment.
func (s *Segment) Encode() []byte { return compress(s.raw) }

func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw) // writing to a bytes.Buffer can't fail
	_ = w.Close()
	return b.Bytes()
}

// DecodeSegment reads a stored segment. With an error, the segment and the
// entries hold what could be read before the damage.
func DecodeSegment(value []byte) (*Segment, []Entry, error) {
	s := &Segment{}
	raw, err := decompress(value)
	if err != nil {
		return s, nil, err
	}
	var entries []Entry
	for b := range bytes.Lines(raw) {
		if err := s.readLine(b); err != nil {
			return s, entries, err
		}
		entries = append(entries, s.last)
	}
	return s, entries, nil
}

func decompress(value []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxLinesBytes+1))
	if err != nil || len(raw) > MaxLinesBytes {
		return nil, fmt.Errorf("%w: lines of %d bytes: %w", ErrDamaged, len(raw), err)
	}
	return raw, nil
}

// readLine decodes one line, and checks the text against its digest.
func (s *Segment) readLine(b []byte) error {
	var l line
	if err := json.Unmarshal(b, &l); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	e := l.Entry
	switch {
	case l.Text != nil:
		e.Text = []byte(*l.Text)
	case l.Change != nil:
		text, err := apply(s.last.Text, l.Change)
		if err != nil {
			return fmt.Errorf("%w: number %d: %w", ErrDamaged, e.Number, err)
		}
		e.Text = text
	}
	if e.Text != nil && document.DigestOf(e.Text) != e.Digest {
		return fmt.Errorf("%w: number %d: the text is not that of the digest", ErrDamaged, e.Number)
	}
	if e.Number <= s.last.Number {
		return fmt.Errorf("%w: number %d follows %d", ErrDamaged, e.Number, s.last.Number)
	}
	s.raw, s.last = append(s.raw, b...), e
	return nil
}

// Read returns the entries of all segments of a service, in the order of their
// numbers. Damaged segments are reported together; what could be read is
// returned in any case.
func Read(segments []object.Object) ([]Entry, error) {
	var lists [][]Entry
	var errs []error
	for _, o := range segments {
		_, entries, err := DecodeSegment(o.Value)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", o.Key, err))
		}
		lists = append(lists, entries)
	}
	merged, err := Merge(lists...)
	return merged, errors.Join(append(errs, err)...)
}
