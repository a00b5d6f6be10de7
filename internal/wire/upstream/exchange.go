package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/wire/response"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
)

// Errors of exchanges.
var (
	// ErrNotSent reports that no byte of the request was written, so the request did not run.
	ErrNotSent = merry.New("the request was not sent")
	// ErrConnectionFailed reports that the connection failed after bytes were written: the
	// request may have run.
	ErrConnectionFailed = merry.New("the connection failed")
	// ErrTruncated reports a response that ended before it was complete.
	ErrTruncated = merry.New("the response is truncated")
)

const (
	// smallBody is the size up to which a body is written completely before the response
	// is read: such a body fits into the initial windows of a new connection.
	smallBody = 8 << 10
	// maxResponses is how many responses are read in search of the one to the request,
	// before the connection is closed. Responses to other requests count.
	maxResponses = 2
	// maxForeign bounds the body of a response to another request, which is read since the one to the
	// request may follow.
	maxForeign = 4 << 20
	// maxDiscarded bounds a body that is read although nobody needs it, and discardTime the time for
	// that: a packet that is lost is sent again after 200 ms.
	maxDiscarded = 256 << 10
	discardTime  = 300 * time.Millisecond
)

// Request is a request to a target.
type Request struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is a target's response. The caller must end it with [Answer.Finish].
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader // ends with io.EOF only if it is complete
	// Unframed reports that the body has no stated length and ends with the connection.
	Unframed bool

	length   int64 // of the body as stated; negative if it isn't
	conn     *Conn
	pool     *Pool
	stop     func() bool
	written  chan error // receives the result of writing the body; nil if that is known
	writeErr error      // the result, once it is known
	reusable bool
	closed   bool
}

// Send writes a request to a connection and reads the head of its response. The function
// matches reports whether a response header belongs to this request; responses to other
// requests, which may arrive late on a reused connection, are skipped. The connection is
// closed when the context ends.
func (p *Pool) Send(ctx context.Context, c *Conn, r Request, matches func(http.Header) bool) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.Abort)
	a, err := p.exchange(c, r, matches)
	if err != nil {
		stop()
		c.Abort()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *Conn, r Request, matches func(http.Header) bool) (*Answer, error) {
	a := &Answer{conn: c, pool: p, reusable: true}
	writeHead(c, r)
	if len(r.Body) <= smallBody {
		if err := writeBody(c, r.Body); err != nil {
			return nil, merry.Wrap(ErrConnectionFailed, merry.AppendMessage(err.Error()))
		}
	} else {
		// A target may respond before it has read a long body. Reading and writing have
		// to run at the same time, or each side would wait for the other.
		a.written = make(chan error, 1)
		go func() { a.written <- writeBody(c, r.Body) }()
	}
	for range maxResponses {
		w, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if !matches(w.Header) {
			if err := discard(w.Body, maxForeign); err != nil {
				return nil, merry.Wrap(ErrConnectionFailed, merry.WithCause(err))
			}
			a.reusable = false
			continue
		}
		a.Status, a.Header = w.StatusCode, w.Header
		a.Unframed = w.ContentLength < 0 && len(w.TransferEncoding) == 0 && r.Method != http.MethodHead
		a.Body, a.length = w.Body, w.ContentLength
		if a.Unframed {
			a.Body = unframedBody{r: w.Body, a: a}
		}
		if w.Close || a.Unframed {
			a.reusable = false
		}
		return a, nil
	}
	return nil, merry.Wrap(ErrConnectionFailed, merry.AppendMessage("received only responses to other requests"))
}

func writeHead(c *Conn, r Request) {
	// The buffered writer keeps an error and returns it from Flush.
	w := c.w
	w.WriteString(r.Method)
	w.WriteByte(' ')
	w.WriteString(r.URI)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(r.Host)
	w.WriteString("\r\n")
	_ = r.Header.Write(w)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.Itoa(len(r.Body)))
		w.WriteString("\r\n")
	}
	w.WriteString("\r\n")
}

func writeBody(c *Conn, body []byte) error {
	if _, err := c.w.Write(body); err != nil {
		return err
	}
	return c.w.Flush()
}

// Finish ends the exchange. If complete is set, the body was read to its end, and the
// connection may be reused. The target keeps an idle connection open for the time keep;
// 0 if it did not state it.
func (a *Answer) Finish(now time.Time, complete bool, keep time.Duration) {
	if a.closed {
		return
	}
	a.closed = true
	notAborted := a.stop()
	if complete && notAborted && a.reusable && a.sent() && a.conn.r.Buffered() == 0 {
		a.pool.pushIdle(now, a.conn, keep)
		return
	}
	a.conn.Abort()
}

// sent reports whether the complete request was written. A response may arrive before that;
// on a reused connection, the target would then read the rest of the body as the next request.
func (a *Answer) sent() bool {
	if a.written == nil {
		return a.writeErr == nil
	}
	select {
	case a.writeErr = <-a.written:
		a.written = nil
		return a.writeErr == nil
	default:
		return false
	}
}

// awaitSent waits until the request was written, or can't be any more: the end of its context ends its connection.
func (a *Answer) awaitSent() error {
	if a.written != nil {
		a.writeErr, a.written = <-a.written, nil
	}
	if a.writeErr == nil && !a.conn.net.Delivered() {
		return response.ErrReset
	}
	return a.writeErr
}

// unframedBody is a body that ends with its connection. Its end proves that it is complete only if the target has
// received the complete request: one that fails while the request is still on its way closes or resets the
// connection as well, and the part of a body before that would be taken for all of it.
type unframedBody struct {
	r io.Reader
	a *Answer
}

// Read reads from the body.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.a.awaitSent(); err != nil {
		return n, merry.Wrap(ErrTruncated, merry.WithCause(err))
	}
	return n, io.EOF
}

// DisableReuse excludes the connection from reuse.
func (a *Answer) DisableReuse() { a.reusable = false }

// ReadAll reads the complete body, at most limit bytes, and reserves space for it in h. An error
// means that there is no complete body.
func (a *Answer) ReadAll(limit int64, h *space.Hold) ([]byte, error) {
	body, err := space.ReadAll(a.Body, a.length, limit, h)
	if err != nil {
		return nil, merry.Wrap(ErrTruncated, merry.WithCause(err))
	}
	return body, nil
}

// Discard reads the rest of the body, which nobody needs, so that the connection can be reused, and
// reports whether it found its end. A body that is long, or that doesn't come at once, is given up: a
// new connection costs less than its caller's time.
func (a *Answer) Discard() bool {
	// An error means that the connection is closed, which the read finds as well.
	_ = a.conn.net.SetReadDeadline(time.Now().Add(discardTime))
	err := discard(a.Body, maxDiscarded)
	_ = a.conn.net.SetReadDeadline(time.Time{})
	return err == nil
}

// discard reads a body of at most limit bytes to its end. It fails with [space.ErrTooLong] if the body
// is longer.
func discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return merry.Wrap(space.ErrTooLong)
	}
	return err
}

// Bound returns which bound on the bytes of a response made an exchange, or the reading of its body,
// fail; "" if none did.
func Bound(err error) string {
	switch {
	case errors.Is(err, response.ErrHeadTooLong):
		return "head"
	case errors.Is(err, response.ErrMalformed):
		return "malformed"
	case errors.Is(err, space.ErrTooLong):
		return "length"
	case errors.Is(err, space.ErrNoSpace):
		return "space"
	}
	return ""
}

// IsTruncated reports whether an error of reading a body means that the response is truncated.
func IsTruncated(err error) bool {
	return err != nil && !errors.Is(err, io.EOF)
}
