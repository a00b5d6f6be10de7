package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// causeHeader carries the cause of a call to the platform.
const causeHeader = "X-Call-Cause"

// request is one HTTP request to the platform.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	cause  object.Cause
}

func (c *Client) request(call object.Call) request {
	req := request{cause: call.Cause, query: url.Values{}}
	req.path = "/objects/" + string(call.Key)
	version := strconv.FormatUint(uint64(call.Version), 10)
	switch call.Op {
	case object.Get:
		req.method = http.MethodGet
	case object.Put:
		req.method = http.MethodPut
		req.body = call.Value
		req.query.Set("version", version)
	case object.Delete:
		req.method = http.MethodDelete
		req.query.Set("version", version)
	case object.List:
		req.method = http.MethodGet
		req.path = "/list"
		req.query.Set("prefix", string(call.Key))
	}
	return req
}

func watchRequest(prefix object.Key, since object.Version, wait time.Duration) request {
	query := url.Values{}
	query.Set("prefix", string(prefix))
	query.Set("since", strconv.FormatUint(uint64(since), 10))
	query.Set("waitMillis", strconv.FormatInt(wait.Milliseconds(), 10))
	return request{method: http.MethodGet, path: "/watch", query: query, cause: watchCause}
}

// exchange is the outcome of one HTTP request.
type exchange struct {
	sent     bool // part of the request may have reached the platform
	timedOut bool // no response came in time
	canceled bool // the caller's context ended
	code     int  // HTTP status; zero without a response
	body     []byte
	err      error
}

// outcome returns what the exchange shows about the platform's health.
func (ex exchange) outcome() budget.Outcome {
	switch {
	case ex.canceled:
		return budget.Abandoned
	case ex.err != nil, ex.code >= http.StatusInternalServerError, ex.code == http.StatusTooManyRequests:
		return budget.Failed
	}
	return budget.Answered
}

// send makes one HTTP request and waits for its response, at most for the bound.
func (c *Client) send(caller context.Context, bound time.Duration, req request) exchange {
	ctx, cancel := context.WithTimeout(caller, bound)
	defer cancel()
	ex := c.roundTrip(ctx, req)
	ex.timedOut = errors.Is(ex.err, context.DeadlineExceeded)
	ex.canceled = ex.err != nil && caller.Err() != nil
	return ex
}

func (c *Client) roundTrip(ctx context.Context, req request) exchange {
	// The flag is set by the transport's goroutines.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	hr, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return exchange{err: err}
	}
	resp, err := c.http.Do(hr)
	if err != nil {
		return exchange{sent: sent.Load(), err: err}
	}
	defer resp.Body.Close()
	body, err := readBounded(resp.Body, c.cfg.MaxReply)
	return exchange{sent: true, code: resp.StatusCode, body: body, err: err}
}

func (c *Client) newRequest(ctx context.Context, req request) (*http.Request, error) {
	u := *c.base
	u.Path = strings.TrimSuffix(u.Path, "/") + req.path
	u.RawPath = ""
	u.RawQuery = req.query.Encode()
	hr, err := http.NewRequestWithContext(ctx, req.method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	hr.Header.Set(causeHeader, string(req.cause))
	if req.body != nil {
		// The transport retries a request on its own when a reused connection
		// breaks before the response, if the method is safe or an idempotency key
		// is set, and the body can be read again. A retried conditional write
		// would get a conflict caused by its own first attempt. Three things
		// prevent a retry, each of them sufficient: PUT and DELETE are not safe
		// methods, no key is set, and without GetBody the body can't be read again.
		hr.Body = io.NopCloser(bytes.NewReader(req.body))
		hr.ContentLength = int64(len(req.body))
		hr.GetBody = nil
	}
	return hr, nil
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("platform: response larger than %d bytes", limit)
	}
	return body, nil
}
