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
)

// Defaults of a [Config].
const (
	DefaultDialTimeout   = time.Second
	DefaultReportTimeout = 2 * time.Second
	DefaultMaxReport     = 16 << 20
)

const (
	maxIdleConns   = 256
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 64 << 10
)

// ErrSilent tells that the target sent nothing for longer than allowed.
var ErrSilent = errors.New("engine: target is silent")

// CallError is the end of a call without an answer.
type CallError struct {
	// NotSent proves that the target saw nothing of the request: no connection
	// to it was made. Without it the request may have been run.
	NotSent bool
	Err     error
}

// Error returns the cause.
func (e *CallError) Error() string { return "engine: call: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Config sets up a [Client]. Zero fields take the defaults.
type Config struct {
	Target        netip.AddrPort
	DialTimeout   time.Duration
	ReportTimeout time.Duration // of reports, orders and their reading back
	MaxReport     int64         // bytes of a report

	// Dial opens connections; net.Dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client talks to one target. It is safe for concurrent use.
type Client struct {
	cfg    Config
	pooled *http.Transport
	fresh  *http.Transport
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
	pooled := &http.Transport{
		DialContext:            cfg.Dial,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true, // answers pass through unchanged
	}
	fresh := pooled.Clone()
	fresh.DisableKeepAlives = true
	return &Client{cfg: cfg, pooled: pooled, fresh: fresh}
}

// Close drops the idle connections.
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
	Repeatable    bool          // idempotent: may go on a pooled connection
	FirstByte     time.Duration // bound of the wait for the answer's head; 0 for none
	Idle          time.Duration // bound of the wait for more of the body; 0 for none
}

// Do carries out a call and returns the answer as its head has come in. The
// caller reads and closes the answer's body. Every error is a [*CallError].
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req := c.request(httptrace.WithClientTrace(ctx, trace), call)
	timer := newSilence(call.FirstByte, cancel)
	resp, err := c.transport(call).RoundTrip(req)
	timer.stop()
	if err != nil {
		err = c.explain(ctx, err)
		cancel(nil)
		return nil, &CallError{NotSent: !sent.Load(), Err: err}
	}
	resp.Body = &body{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, idle: call.Idle}
	return resp, nil
}

// transport picks the connections for a call. A pooled connection may be silent
// for good, and on a pooled one Go's transport repeats some requests by itself
// when it breaks: those with a safe method or an Idempotency-Key header, whose
// body can be had again. A request that may not run twice therefore dials: on a
// fresh connection the transport never repeats, and a failed dial proves that
// the target saw nothing.
func (c *Client) transport(call Call) *http.Transport {
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
		// GetBody stays nil: a body that has been sent in part is never sent again.
		req.Body = io.NopCloser(call.Body)
	}
	return req.WithContext(ctx)
}

// explain puts the reason of a cancelled context in the place of the
// transport's error, and drops the idle connections after silence: what made
// one of them silent may have struck them all.
func (c *Client) explain(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrSilent) {
		c.pooled.CloseIdleConnections()
	}
	if cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		// A connection that ends before the head must not pass for a clean end.
		return io.ErrUnexpectedEOF
	}
	return err
}

// silence cancels a call after a time without a sign of life.
type silence struct {
	timer *time.Timer
}

func newSilence(d time.Duration, cancel context.CancelCauseFunc) silence {
	if d <= 0 {
		return silence{}
	}
	return silence{timer: time.AfterFunc(d, func() { cancel(ErrSilent) })}
}

func (s silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// body is an answer's body whose reads are bounded in time.
type body struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	idle   time.Duration
}

func (b *body) Read(p []byte) (int, error) {
	timer := newSilence(b.idle, b.cancel)
	n, err := b.ReadCloser.Read(p)
	timer.stop()
	if err != nil && err != io.EOF {
		if cause := context.Cause(b.ctx); cause != nil {
			err = cause
		}
	}
	return n, err
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
