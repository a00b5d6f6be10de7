package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of exchanges.
var (
	// ErrNotSent reports that no byte of the request was written: it did not run.
	ErrNotSent = merry.New("the request was not sent")
	// ErrBroken reports that the connection failed after bytes were written: the
	// request may have run.
	ErrBroken = merry.New("the connection broke")
	// ErrTruncated reports an answer that ended before it was whole.
	ErrTruncated = merry.New("the answer is not whole")
)

const (
	// smallBody is written at once, before the answer is looked for: it fits into
	// the windows of a new connection.
	smallBody = 8 << 10
	// maxStrays is how many answers to other requests are passed over before the
	// connection is given up.
	maxStrays = 2
)

// Request is what is sent to a target.
type Request struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is a target's answer. Its body must be read to its end or closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader // ends with io.EOF only if it is whole
	// Unframed tells that the body has no length and ends with the connection.
	Unframed bool

	conn    *Conn
	pool    *Pool
	stop    func() bool
	written chan error // nil if the request was written before the answer was read
	reuse   bool
	closed  bool
}

// Send writes a request on a connection and reads the head of its answer. ID
// returns the id that an answer names; answers to other requests, which may come
// late on a used connection, are passed over. The connection is closed when the
// context ends.
func (p *Pool) Send(ctx context.Context, c *Conn, r Request, mine func(http.Header) bool) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.Abort)
	a, err := p.exchange(c, r, mine)
	if err != nil {
		stop()
		c.Abort()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *Conn, r Request, mine func(http.Header) bool) (*Answer, error) {
	a := &Answer{conn: c, pool: p, reuse: true}
	writeHead(c, r)
	if len(r.Body) <= smallBody {
		if err := writeBody(c, r.Body); err != nil {
			return nil, merry.Wrap(ErrBroken, merry.AppendMessage(err.Error()))
		}
	} else {
		// A target may answer before it has read a long body; both directions go on
		// at the same time, or each side would wait for the other.
		a.written = make(chan error, 1)
		go func() { a.written <- writeBody(c, r.Body) }()
	}
	for range maxStrays {
		w, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, merry.Wrap(ErrBroken, merry.AppendMessage(err.Error()))
		}
		if w.StatusCode >= 100 && w.StatusCode < 200 {
			continue
		}
		if !mine(w.Header) {
			if _, err := io.Copy(io.Discard, w.Body); err != nil {
				return nil, merry.Wrap(ErrBroken, merry.AppendMessage(err.Error()))
			}
			a.reuse = false
			continue
		}
		a.Status, a.Header = w.StatusCode, w.Header
		a.Unframed = w.ContentLength < 0 && len(w.TransferEncoding) == 0
		a.Body = w.Body
		if w.Close || a.Unframed {
			a.reuse = false
		}
		return a, nil
	}
	return nil, merry.Wrap(ErrBroken, merry.AppendMessage("answers to other requests came instead"))
}

func writeHead(c *Conn, r Request) {
	// Errors stay in the buffered writer and come out with its flush.
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

// Finish ends the exchange. Whole tells that the body was read to its end; then
// the connection may carry another request, after keep at the latest.
func (a *Answer) Finish(now time.Time, whole bool, keep time.Duration) {
	if a.closed {
		return
	}
	a.closed = true
	undisturbed := a.stop()
	if whole && undisturbed && a.reuse && a.sent() && a.conn.r.Buffered() == 0 {
		a.pool.put(now, a.conn, keep)
		return
	}
	a.conn.Abort()
}

// sent tells whether the whole request was written. An answer may come before; the
// rest of that body would be taken for the next request.
func (a *Answer) sent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// KeepOut tells that the connection must not be used again.
func (a *Answer) KeepOut() { a.reuse = false }

// ReadAll reads the whole body, at most limit bytes. An error means that it is not
// whole.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return nil, merry.Wrap(ErrTruncated, merry.AppendMessage(err.Error()))
	}
	if int64(len(body)) > limit {
		return nil, merry.Wrap(ErrTruncated, merry.AppendMessage("longer than can be held"))
	}
	return body, nil
}

// Cut tells whether an error means that the answer broke off.
func Cut(err error) bool {
	return err != nil && !errors.Is(err, io.EOF)
}
