package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// fieldBytes is the memory that a header field takes up beside its own bytes, in the map that the
	// server keeps the header in.
	fieldBytes = 128
	// beginningBytes is how much of a body is reserved together with its request's header. What is longer is the
	// handler's to bound.
	beginningBytes = 16 << 10
	// surplusBytes is how much the server may read together with the fields of a head: the line before them, and what
	// follows in its buffer.
	surplusBytes = 8 << 10
	// writeStep is how much is written at a time, so that a client that reads a long response makes progress.
	writeStep = 64 << 10
	// lingerTime and lingerBytes bound what is read of a request after its refusal. If the connection were
	// closed with bytes unread, it would be reset, and the client, which still writes, would lose the refusal.
	lingerTime  = time.Second
	lingerBytes = 256 << 10
	// lingeringShare is how many connections there are for each that may be read so at the same time.
	lingeringShare = 16
	// maxAhead is how many requests in a row a client may send before it has the response to the one before.
	maxAhead = 8
)

// Refusals of requests whose head is not complete. The client may send them again.
const (
	tooManyBytes = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooLong  = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// conn is a connection of a client. The server reads and writes it; it notes what the client does.
type conn struct {
	*net.TCPConn
	server *Server
	client client

	inHead   atomic.Bool // a head is awaited or read
	deadline atomic.Bool // the read deadline is that of the head, or of the wait

	// Used only by the goroutine that serves the connection.
	begin     time.Time // when the wait for the head, or its first byte, was
	headBytes int       // bytes read of the head
	cost      int64     // memory that it takes up
	received  bool      // bytes were read since the connection was idle
	ahead     int       // requests in a row that had been sent ahead

	readingBody atomic.Bool // the handler waits for bytes of the body
	lingers     atomic.Bool // its request was refused, and the client may still write; the end of the server reads it too
}

// Read reads from the client, and accounts for what it read.
func (c *conn) Read(p []byte) (int, error) {
	if !c.inHead.Load() {
		return c.readBody(p)
	}
	c.boundWait()
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal, cause := c.noteHead(time.Now(), p[:n]); refusal != "" {
		c.server.refused(cause)
		c.refuse(refusal)
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrRefused}
	}
	return n, err
}

// boundWait sets the deadline for the next request to begin, or for its head to end.
func (c *conn) boundWait() {
	if c.deadline.Load() {
		return
	}
	limit := c.server.limits.HeadTime()
	if c.client.is(idle) {
		limit = c.server.limits.IdleTime()
	}
	c.deadline.Store(true)
	_ = c.TCPConn.SetReadDeadline(c.begin.Add(limit)) // fails only if the connection is closed
}

// SetReadDeadline sets the deadline for reading. While a head is awaited, the server lifts the deadline between two of its
// steps, and [conn.boundWait] sets it again. A body that has to yield calls it from another goroutine.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.inHead.Load() {
		c.deadline.Store(false)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// noteHead accounts for bytes of a head. It returns the refusal if the head is too long, or if there is no room for it.
func (c *conn) noteHead(now time.Time, p []byte) (refusal string, cause Cause) {
	if c.client.is(idle) {
		c.client.enter(now, sending)
		c.begin = now
		c.deadline.Store(false)
	}
	c.received = true
	c.client.progress(now, len(p))
	c.headBytes += len(p)
	if limit := c.server.limits.HeadBytes(); limit > 0 && c.headBytes > limit+surplusBytes {
		return headTooLong, HeadTooLong
	}
	c.cost += int64(len(p) + bytes.Count(p, []byte{'\n'})*fieldBytes)
	if !c.reserve(now, c.cost) {
		return tooManyBytes, NoRoom
	}
	return "", ""
}

// reserve reserves memory until the connection has so many bytes, and closes others if they have to yield.
func (c *conn) reserve(now time.Time, bytes int64) bool {
	victims, ok := c.server.table.grow(now, &c.client, bytes)
	c.server.cut(victims...)
	return ok
}

// readBody reads bytes of a body, or what is sent ahead.
func (c *conn) readBody(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.client.is(sending) {
		c.client.progress(time.Now(), n)
	}
	return n, err
}

// Write writes to the client, and notes how it reads.
func (c *conn) Write(p []byte) (int, error) {
	before := phase(c.client.phase.Load())
	defer c.client.set(before)
	written := 0
	for {
		c.client.enter(time.Now(), reading)
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// ReadFrom copies from r with [conn.Write], so that it is accounted for.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// refuse sends a refusal. What the client still sends is read once the server has closed the connection, and no longer
// holds the request.
func (c *conn) refuse(text string) {
	c.server.table.close(&c.client)
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	if _, err := io.WriteString(c.TCPConn, text); err == nil {
		c.lingers.Store(true)
	}
}

// Close closes the connection. One whose request was refused is read for a while before, if not too many are.
func (c *conn) Close() error {
	if !c.lingers.Load() {
		return c.TCPConn.Close()
	}
	select {
	case c.server.lingering <- struct{}{}:
	default:
		return c.TCPConn.Close()
	}
	go func() {
		defer func() { <-c.server.lingering }()
		c.linger()
	}()
	return nil
}

// linger reads what the client still sends, within bounds, and closes the connection.
func (c *conn) linger() {
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	_ = c.CloseWrite()                                        // the client may have closed it
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	_ = c.TCPConn.Close() // the client may have closed it
}

// end closes the connection for others. A handler that waits for a body can still refuse it.
func (c *conn) end() {
	if c.readingBody.Load() {
		_ = c.TCPConn.SetReadDeadline(past) // fails only if the connection is closed
		return
	}
	_ = c.TCPConn.Close() // the client may have closed it
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// beginRequest accounts for a request whose head is complete, and reports whether there is room for it.
func (c *conn) beginRequest(now time.Time, r *http.Request) bool {
	length := r.ContentLength
	if length < 0 || length > beginningBytes {
		length = beginningBytes
	}
	return c.reserve(now, headerCost(r)+length)
}

// sentAhead reports whether the client sends more requests ahead than it may.
func (c *conn) sentAhead() bool {
	if c.received {
		c.ahead = 0
		return false
	}
	c.ahead++
	return c.ahead >= maxAhead
}

// headerCost returns the memory that a request's header takes up, in bytes.
func headerCost(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v) + fieldBytes
		}
	}
	return int64(n)
}

// follow notes a new state of the connection.
func (c *conn) follow(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.inHead.Store(false)
		c.client.enter(time.Now(), serving)
	case http.StateIdle:
		now := time.Now()
		c.reserve(now, 0)
		c.client.enter(now, idle)
		c.begin, c.received = now, false
		c.headBytes, c.cost = 0, 0
		c.deadline.Store(false)
		c.inHead.Store(true)
	case http.StateClosed, http.StateHijacked:
		c.server.table.close(&c.client)
	}
}

// body is the body of a request. While it is read, the connection waits for the client.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body. It fails with [os.ErrDeadlineExceeded] if the connection has to yield to others.
func (b *body) Read(p []byte) (int, error) {
	c := b.conn
	c.readingBody.Store(true)
	c.client.set(sending)
	n, err := b.ReadCloser.Read(p)
	c.client.set(serving)
	c.readingBody.Store(false)
	switch {
	case err != nil && c.server.table.isGone(&c.client):
		return n, os.ErrDeadlineExceeded
	case err == io.EOF:
		_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
	return n, err
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
