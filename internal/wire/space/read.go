package space

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of reading a body.
var (
	// ErrTooLong reports a body that is longer than its own bound.
	ErrTooLong = merry.New("longer than the limit")
	// ErrNoSpace reports that the process holds too many bytes already.
	ErrNoSpace = merry.New("no space for the body")
)

// step is the size of the steps in which space is reserved.
const step = 64 << 10

// ReadAll reads a body to its end. The body may have limit bytes at most, or any number if limit is
// 0. Its stated length is a hint; it is negative if there is none. Space is reserved in h, which the
// caller must release. With an error, nothing is returned.
func ReadAll(body io.Reader, length, limit int64, h *Hold) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, merry.Wrap(ErrTooLong)
	}
	r := &reader{r: body, limit: limit, hold: h}
	size := int64(firstChunk)
	if length >= 0 && length < Free {
		size = length + 1 // with room for the read that finds the end
	}
	var chunks [][]byte
	for {
		chunk, err := readChunk(r, make([]byte, 0, size))
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		chunks = append(chunks, chunk)
		if err != nil {
			return join(chunks), nil
		}
		size = min(2*size, step)
	}
}

// firstChunk is the size of the first part of a body of unknown or great length. Parts are not larger than the steps in
// which space is reserved, so that what is reserved covers what is allocated.
const firstChunk = 4 << 10

// readChunk reads until a chunk is full or the body ends, with [io.EOF] then.
func readChunk(r io.Reader, chunk []byte) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

// join returns the chunks as one.
func join(chunks [][]byte) []byte {
	if len(chunks) == 1 {
		return chunks[0]
	}
	return bytes.Join(chunks, nil)
}

// reader reads a body within its bound, and reserves space for it.
type reader struct {
	r     io.Reader
	limit int64 // 0 for none
	hold  *Hold
	n     int64 // bytes read
}

// Read reads from the body. It fails with [ErrTooLong] or [ErrNoSpace].
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.n += int64(n)
	if r.limit > 0 && r.n > r.limit {
		return 0, merry.Wrap(ErrTooLong)
	}
	if r.n <= Free {
		return n, err
	}
	now := time.Now()
	r.hold.arrive(now, r.n)
	if !r.hold.Grow(now, (r.n+step-1)/step*step) {
		return 0, merry.Wrap(ErrNoSpace)
	}
	return n, err
}
