package response

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/ansel1/merry/v2"
)

// Transport is a transport of the standard library whose connections are guarded by [Conn]. It is safe for concurrent
// use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that goes by the settings of base, which must not be used elsewhere.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	base.MaxResponseHeaderBytes = maxHeadBytes
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request and reads the head of its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			take(written) // of an attempt on a connection that had ended
			if c, guarded := i.Conn.(*Conn); guarded {
				_ = c.Begin(nil) // fails only for bytes that have arrived
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			take(written)
			put(written, i.Err)
		},
	}
	w, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if w.ContentLength < 0 && len(w.TransferEncoding) == 0 {
		w.Body = &unframedBody{ReadCloser: w.Body, ctx: r.Context(), written: written}
	}
	return w, nil
}

// take empties a channel that holds one value at most.
func take(c chan error) {
	select {
	case <-c:
	default:
	}
}

// put fills it, unless another attempt has done that at the same moment.
func put(c chan error, err error) {
	select {
	case c <- err:
	default:
	}
}

// unframedBody is a body that ends with its connection. Its end proves that it is complete only if the request was
// written before.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context
	written chan error
}

// Read reads from the body.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	select {
	case failed := <-b.written:
		put(b.written, failed)
		if failed != nil {
			return n, merry.Wrap(ErrReset, merry.WithCause(failed))
		}
		return n, io.EOF
	case <-b.ctx.Done():
		return n, merry.Wrap(ErrReset, merry.WithCause(b.ctx.Err()))
	}
}
