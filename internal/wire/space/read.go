package space

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// Errors of reading a body.
var (
	// ErrTooLong reports a body that is longer than its own bound.
	ErrTooLong = merry.New("longer than the limit")
	// ErrNoSpace reports that the process holds too many bytes already.
	ErrNoSpace = merry.New("no space for the body")
)

const (
	// firstBuffer is the size of the first buffer for a body whose length isn't known.
	firstBuffer = 512
	// maxFirstBuffer bounds the first buffer for a body with a stated length, which may not come.
	maxFirstBuffer = Free
)

// ReadAll reads a body to its end. The body may have limit bytes at most, or any number if limit is
// 0. Its stated length is a hint; it is negative if there is none. Space is reserved in h, which the
// caller must release. With an error, nothing is returned.
func ReadAll(body io.Reader, length, limit int64, h *Hold) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, merry.Wrap(ErrTooLong)
	}
	size := int64(firstBuffer)
	if length >= 0 {
		size = min(length+1, maxFirstBuffer) // with room for the read that finds the end
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			size = nextSize(int64(cap(buf)), length, limit)
			if !h.Grow(size) {
				return nil, merry.Wrap(ErrNoSpace)
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case limit > 0 && int64(len(buf)) > limit:
			return nil, merry.Wrap(ErrTooLong)
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer that follows one of a size: twice as much, but no more than
// the body can need. One byte more than a bound shows that the body exceeds it.
func nextSize(size, length, limit int64) int64 {
	next := 2 * size
	if limit > 0 {
		next = min(next, limit+1)
	}
	if length >= size {
		next = min(next, length+1)
	}
	return next
}
