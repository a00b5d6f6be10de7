package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
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
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, guarded := i.Conn.(*Conn); guarded {
				_ = c.Begin(nil) // fails only for bytes that have arrived
			}
		},
	}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
