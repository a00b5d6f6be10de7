package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

var ctx = context.Background()

// fillPool makes one call, so that the pool holds an idle connection.
func fillPool(t *testing.T, c *engine.Client) {
	t.Helper()
	resp, err := c.Do(ctx, engine.Call{Method: http.MethodGet, Path: "/load", Repeatable: true})
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// startBreaker starts a server that answers the first request on each connection, and
// closes the connection without an answer after it has read the second request.
func startBreaker(t *testing.T) (netip.AddrPort, *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	arrivals := new(atomic.Int32)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go breakSecond(conn, arrivals)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), arrivals
}

func breakSecond(conn net.Conn, arrivals *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		arrivals.Add(1)
		if i == 1 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// The pool holds a connection that fails during the next request. The request reports a
// call's outcome and has an Idempotency-Key, because of which Go's transport would retry it
// on its own. The client sends it on a new connection, and it arrives once. The same holds
// for a request with an empty body, and for one with a safe method that the document
// declares as not repeatable.
func TestNotRepeatable(t *testing.T) {
	for name, call := range map[string]engine.Call{
		"body":    inferenceCall("r1", "outcome"),
		"no body": {Method: http.MethodPost, Path: "/outcomes"},
		"get":     {Method: http.MethodGet, Path: "/next"},
	} {
		t.Run(name, func(t *testing.T) {
			target, arrivals := startBreaker(t)
			c := engine.New(engine.Config{Target: target})
			defer c.Close()
			fillPool(t, c)
			if call.Header == nil {
				call.Header = http.Header{}
			}
			call.Header.Set("Idempotency-Key", "k1")
			resp, err := c.Do(ctx, call)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			assert.EqualValues(t, 2, arrivals.Load())
		})
	}
	t.Run("repeatable", func(t *testing.T) {
		target, arrivals := startBreaker(t)
		c := engine.New(engine.Config{Target: target})
		defer c.Close()
		fillPool(t, c)
		fillPool(t, c) // the connection fails and the transport retries the request, which is allowed
		assert.EqualValues(t, 3, arrivals.Load())
	})
}

// silentDialer counts dials. The connections up to number silentUpTo discard what is sent.
type silentDialer struct {
	dials      atomic.Int32
	silentUpTo atomic.Int32
}

func (d *silentDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	return &silentConn{Conn: conn, number: d.dials.Add(1), dialer: d}, err
}

type silentConn struct {
	net.Conn
	number int32
	dialer *silentDialer
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.number <= c.dialer.silentUpTo.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// The pooled connections to the engine are permanently silent. A repeatable call ends
// after its time limit for the first byte, with an error that leaves open whether it ran.
// The silent connections are closed, so the next call dials and is answered. A call that
// is not repeatable never uses a silent connection.
func TestSilentPooledConnection(t *testing.T) {
	e, _ := start(t, standin.Config{})
	d := new(silentDialer)
	c := connect(t, e, engine.Config{Dial: d.dial})
	var open []*http.Response
	for range 3 {
		resp, err := c.Do(ctx, engine.Call{Method: http.MethodGet, Path: "/load", Repeatable: true})
		require.NoError(t, err)
		open = append(open, resp)
	}
	for _, resp := range open {
		_, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	d.silentUpTo.Store(d.dials.Load())

	resp, err := c.Do(ctx, inferenceCall("once", "Bonjour"))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	call := engine.Call{Method: http.MethodGet, Path: "/load", Repeatable: true, FirstByte: 50 * time.Millisecond}
	_, err = c.Do(ctx, call)
	require.ErrorIs(t, err, engine.ErrSilent)
	failed := new(engine.CallError)
	require.ErrorAs(t, err, &failed)
	assert.False(t, failed.NotSent)

	call.FirstByte = 20 * time.Second
	resp, err = c.Do(ctx, call)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// No process listens at the target. The error states that the request was not sent, which
// proves that it did not run.
func TestNotSent(t *testing.T) {
	c := engine.New(engine.Config{Target: netip.MustParseAddrPort("127.0.0.1:1")})
	_, err := c.Do(ctx, inferenceCall("r1", "Bonjour"))
	failed := new(engine.CallError)
	require.ErrorAs(t, err, &failed)
	assert.True(t, failed.NotSent)
}

// readStream makes a call and reads its streamed answer to the end.
func readStream(t *testing.T, c *engine.Client, call engine.Call) error {
	t.Helper()
	call.Header.Del("Accept")
	resp, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := standin.ReadStream(resp.Body)
	assert.True(t, strings.HasPrefix(standin.Answer([]byte("Bonjour")), text))
	return err
}

// An engine closes a stream halfway, stops sending, or crashes. The reader gets an error
// and never a clean end, so a truncated answer can't be mistaken for a complete one.
func TestShortAnswer(t *testing.T) {
	_, healthy := start(t, standin.Config{})
	require.NoError(t, readStream(t, healthy, inferenceCall("r1", "Bonjour")))
	for name, f := range map[string]standin.Faults{
		"closes": {CloseAfter: 3},
		"stalls": {Stalled: true},
		"silent": {Silent: true},
		"dies":   {Dead: true},
	} {
		t.Run(name, func(t *testing.T) {
			e, c := start(t, standin.Config{})
			e.SetFaults(f)
			call := inferenceCall("r1", "Bonjour")
			call.FirstByte = 50 * time.Millisecond
			call.Idle = 50 * time.Millisecond
			err := readStream(t, c, call)
			require.Error(t, err)
			assert.False(t, errors.Is(err, io.EOF))
		})
	}
}

// The caller closes a stream early. The engine cancels the run, so that it doesn't spend
// steps on an answer that nobody reads.
func TestCancelByClosing(t *testing.T) {
	e, c := start(t, standin.Config{Step: 5 * time.Millisecond})
	call := inferenceCall("r1", `{"prompt":"long","maxTokens":4000}`)
	call.Header.Del("Accept")
	resp, err := c.Do(ctx, call)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return e.Runs("r1").Cancelled == 1 }, 10*time.Second, time.Millisecond)
}
