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

// warm makes one call, so that the pool holds a connection.
func warm(t *testing.T, c *engine.Client) {
	t.Helper()
	resp, err := c.Do(ctx, engine.Call{Method: http.MethodGet, Path: "/load", Repeatable: true})
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// breaker answers the first request on each connection, and closes the
// connection after it has read the second one.
func breaker(t *testing.T) (netip.AddrPort, *atomic.Int32) {
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

// The pool holds a connection that breaks under the next request. The log of a
// call outcome carries an Idempotency-Key, by which Go's transport would send it
// again by itself. It goes over a connection of its own and arrives once, the
// same with an empty body and with a safe method that the document calls not
// repeatable.
func TestNotRepeatable(t *testing.T) {
	for name, call := range map[string]engine.Call{
		"body":    draft("r1", "outcome"),
		"no body": {Method: http.MethodPost, Path: "/outcomes"},
		"get":     {Method: http.MethodGet, Path: "/next"},
	} {
		t.Run(name, func(t *testing.T) {
			target, arrivals := breaker(t)
			c := engine.New(engine.Config{Target: target})
			defer c.Close()
			warm(t, c)
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
		target, arrivals := breaker(t)
		c := engine.New(engine.Config{Target: target})
		defer c.Close()
		warm(t, c)
		warm(t, c) // breaks, and is sent again by the transport: allowed
		assert.EqualValues(t, 3, arrivals.Load())
	})
}

// deaf counts dials; connections up to a number swallow what is sent.
type deaf struct {
	dials atomic.Int32
	upTo  atomic.Int32
}

func (d *deaf) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	return &deafConn{Conn: conn, number: d.dials.Add(1), owner: d}, err
}

type deafConn struct {
	net.Conn
	number int32
	owner  *deaf
}

func (c *deafConn) Write(p []byte) (int, error) {
	if c.number <= c.owner.upTo.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// The pooled connections to the engine are silent for good. A repeatable call
// ends after its bound for the first byte, with an error that proves nothing; the
// silent connections are dropped, so the next call dials and is answered. A call
// that is not repeatable never meets a silent connection.
func TestSilentPooledConnection(t *testing.T) {
	e, _ := start(t, standin.Config{})
	d := new(deaf)
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
	d.upTo.Store(d.dials.Load())

	resp, err := c.Do(ctx, draft("once", "Bonjour"))
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

// Nobody listens at the target. The call says that the target saw nothing, which
// is the proof that a request was not run.
func TestNotSent(t *testing.T) {
	c := engine.New(engine.Config{Target: netip.MustParseAddrPort("127.0.0.1:1")})
	_, err := c.Do(ctx, draft("r1", "Bonjour"))
	failed := new(engine.CallError)
	require.ErrorAs(t, err, &failed)
	assert.True(t, failed.NotSent)
}

// read drains a streamed answer.
func read(t *testing.T, c *engine.Client, call engine.Call) error {
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

// An engine breaks a stream half-way, stops sending, or dies. The reader sees an
// error and never a clean end, so a short answer can't pass for a whole one.
func TestShortAnswer(t *testing.T) {
	_, healthy := start(t, standin.Config{})
	require.NoError(t, read(t, healthy, draft("r1", "Bonjour")))
	for name, f := range map[string]standin.Faults{
		"closes": {CloseAfter: 3},
		"stalls": {Stalled: true},
		"silent": {Silent: true},
		"dies":   {Dead: true},
	} {
		t.Run(name, func(t *testing.T) {
			e, c := start(t, standin.Config{})
			e.SetFaults(f)
			call := draft("r1", "Bonjour")
			call.FirstByte = 50 * time.Millisecond
			call.Idle = 50 * time.Millisecond
			err := read(t, c, call)
			require.Error(t, err)
			assert.False(t, errors.Is(err, io.EOF))
		})
	}
}

// The caller gives up a stream. The engine cancels the run, so that it doesn't
// spend steps on an answer that nobody reads.
func TestCancelByClosing(t *testing.T) {
	e, c := start(t, standin.Config{Step: 5 * time.Millisecond})
	call := draft("r1", `{"prompt":"long","maxTokens":4000}`)
	call.Header.Del("Accept")
	resp, err := c.Do(ctx, call)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return e.Runs("r1").Cancelled == 1 }, 10*time.Second, time.Millisecond)
}
