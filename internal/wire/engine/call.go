package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/wire/response"
)

// Defaults of a [Config].
const (
	DefaultDialTimeout   = time.Second
	DefaultReportTimeout = 2 * time.Second
	DefaultMaxReport     = 2 << 20 // bytes; MaxEvents events have some 600 KiB
)

const (
	maxIdleConns = 256
	idleTimeout  = 15 * time.Second
)

// ErrSilent reports that the target sent nothing for longer than allowed.
var ErrSilent = errors.New("engine: target is silent")

// CallError is the error of a call that got no answer.
type CallError struct {
	// NotSent proves that the target received nothing of the request, since no
	// connection to it was made. If it is false, the request may have run.
	NotSent bool
	Err     error
}

// Error returns the text of the cause.
func (e *CallError) Error() string { return "engine: call: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Config configures a [Client]. Zero fields take the defaults.
type Config struct {
	Target        netip.AddrPort
	DialTimeout   time.Duration
	ReportTimeout time.Duration // for reports, and for orders and reading them back
	MaxReport     int64         // greatest size of a report in bytes

	// Dial opens connections; nil uses a [net.Dialer].
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends calls to one target. It is safe for concurrent use.
type Client struct {
	cfg    Config
	pooled *response.Transport // keeps connections
	fresh  *response.Transport // dials for each call
}

// New returns a client of one target.
func New(cfg Config) *Client {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.ReportTimeout <= 0 {
		cfg.ReportTimeout = DefaultReportTimeout
	}
	if cfg.MaxReport <= 0 {
		cfg.MaxReport = DefaultMaxReport
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	transport := func(fresh bool) *response.Transport {
		return response.NewTransport(&http.Transport{
			DialContext:         cfg.Dial,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableKeepAlives:   fresh,
			DisableCompression:  true, // answers are passed on unchanged
		})
	}
	return &Client{cfg: cfg, pooled: transport(false), fresh: transport(true)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Call is one request to the target.
type Call struct {
	Method        string
	Path          string // decoded
	RawQuery      string
	Host          string // Host header; the target's address if empty
	Header        http.Header
	Body          io.Reader     // nil for none
	ContentLength int64         // -1 if not known
	Repeatable    bool          // idempotent: may use a pooled connection
	FirstByte     time.Duration // longest wait for the answer's head; 0 for no limit
	Idle          time.Duration // longest wait for more of the body; 0 for no limit

	// Connected is called for each connection that the call is about to be sent on; nil for none. The function open
	// reports whether neither side has closed it.
	Connected func(open func() bool)
}

// Do sends a call and returns the answer as soon as its head has arrived. The
// caller reads and closes the answer's body. Every error is a [*CallError].
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		sent.Store(true)
		if c, guarded := i.Conn.(*response.Conn); guarded && call.Connected != nil {
			call.Connected(c.Open)
		}
	}}
	req := c.request(httptrace.WithClientTrace(ctx, trace), call)
	timer := newSilenceTimer(call.FirstByte, cancel)
	resp, err := c.transport(call).RoundTrip(req)
	timer.stop()
	if err != nil {
		err = c.explain(ctx, err)
		cancel(nil)
		return nil, &CallError{NotSent: !sent.Load(), Err: err}
	}
	resp.Body = &timedBody{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, idle: call.Idle}
	return resp, nil
}

// transport returns the transport for a call. A pooled connection may be permanently
// silent. If a pooled connection fails, Go's transport retries some requests on its own:
// those with a safe method or an Idempotency-Key header whose body can be read again. A
// request that may not run twice therefore gets a new connection: on that the transport
// never retries, and a failed dial proves that the target received nothing.
func (c *Client) transport(call Call) *response.Transport {
	if call.Repeatable {
		return c.pooled
	}
	return c.fresh
}

func (c *Client) request(ctx context.Context, call Call) *http.Request {
	address := c.cfg.Target.String()
	req := &http.Request{
		Method:        call.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.RawQuery},
		Host:          call.Host,
		Header:        call.Header,
		ContentLength: call.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if call.Body != nil && call.ContentLength != 0 {
		// GetBody stays nil, so that a partly sent body is never sent again.
		req.Body = io.NopCloser(call.Body)
	}
	return req.WithContext(ctx)
}

// explain returns the cause of a cancelled context in place of the transport's
// error. After [ErrSilent] it closes the idle connections, since whatever made one
// connection silent may affect all of them.
func (c *Client) explain(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrSilent) {
		c.pooled.CloseIdleConnections()
	}
	if cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		// The end of a connection before the answer's head must not look like a clean end.
		return io.ErrUnexpectedEOF
	}
	return err
}

// silenceTimer cancels a call with [ErrSilent] unless it is stopped in time.
type silenceTimer struct {
	timer *time.Timer
}

func newSilenceTimer(d time.Duration, cancel context.CancelCauseFunc) silenceTimer {
	if d <= 0 {
		return silenceTimer{}
	}
	return silenceTimer{timer: time.AfterFunc(d, func() { cancel(ErrSilent) })}
}

func (s silenceTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// timedBody is the body of an answer. Each read has a time limit.
type timedBody struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	idle   time.Duration
}

func (b *timedBody) Read(p []byte) (int, error) {
	timer := newSilenceTimer(b.idle, b.cancel)
	n, err := b.ReadCloser.Read(p)
	timer.stop()
	if err != nil && err != io.EOF {
		if cause := context.Cause(b.ctx); cause != nil {
			err = cause
		}
	}
	return n, err
}

func (b *timedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
