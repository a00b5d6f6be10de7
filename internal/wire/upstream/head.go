package upstream

import (
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// maxHeadBytes bounds the head of a response, its status line and its headers; heads have some
// hundred bytes. Bytes that are no response may have no line end, and come without end.
const maxHeadBytes = 32 << 10

// ErrHeadTooLong reports a response whose head is longer than maxHeadBytes.
var ErrHeadTooLong = merry.New("the head of the response is too long")

// headReader reads from a connection. While a head is read, it returns no more than a bounded
// number of bytes; a body has bounds of its own.
type headReader struct {
	r      io.Reader
	inHead bool
	left   int // bytes that may still be read of the head
}

// Read reads from the connection. It fails with [ErrHeadTooLong] at the bound.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// readHead reads the head of the next response on the connection. Interim responses before it are
// skipped; their heads count for the bound, which is all that bounds their number.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.in.inHead, c.in.left = true, maxHeadBytes
	defer func() { c.in.inHead = false }()
	for {
		w, err := http.ReadResponse(c.r, &http.Request{Method: method})
		switch {
		case errors.Is(err, ErrHeadTooLong):
			return nil, merry.Wrap(ErrHeadTooLong)
		case err != nil:
			return nil, merry.Wrap(ErrConnectionFailed, merry.AppendMessage(err.Error()))
		case w.StatusCode < 100 || w.StatusCode >= 200:
			return w, nil
		}
	}
}
