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
	var begin []byte
	if length >= 0 && length < Free {
		begin = make([]byte, 0, length+1) // with room for the read that finds the end
	}
	for len(begin) < cap(begin) {
		n, err := r.Read(begin[len(begin):cap(begin)])
		begin = begin[:len(begin)+n]
		if errors.Is(err, io.EOF) {
			return begin, nil
		}
		if err != nil {
			return nil, err
		}
	}
	rest, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	if len(begin) == 0 {
		return rest, nil
	}
	return append(begin, rest...), nil
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
	switch {
	case r.limit > 0 && r.n > r.limit:
		return 0, merry.Wrap(ErrTooLong)
	case r.n > Free && !r.hold.Grow((r.n+step-1)/step*step):
		return 0, merry.Wrap(ErrNoSpace)
	}
	return n, err
}
