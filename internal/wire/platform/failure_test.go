package platform_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	standin "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

var ctx = context.Background()

func putCall(key object.Key, v object.Version, value string) object.Call {
	return object.Call{Op: object.Put, Key: key, Version: v, Value: []byte(value), Cause: "test"}
}

// A conditional write takes effect and its response is lost. The caller learns that
// the outcome is unknown, neither a success nor a refusal. Reading the object back
// shows that the write took effect, and the same write again gets a conflict.
func TestLostAnswer(t *testing.T) {
	p, c := start(t, standin.Config{Faults: standin.Faults{LostResponses: 1}}, platform.Config{})

	lost := c.Do(ctx, putCall("leases/planner", 0, "a"))
	assert.Equal(t, object.Unknown, lost.Status)
	require.Error(t, lost.Err)

	read := c.Do(ctx, object.Call{Op: object.Get, Key: "leases/planner"})
	require.Equal(t, object.Done, read.Status)
	assert.Equal(t, "a", string(read.Object.Value))
	assert.Equal(t, object.Conflict, c.Do(ctx, putCall("leases/planner", 0, "a")).Status)
	assert.Contains(t, p.Calls(), standin.Calls{Cause: "test", Op: "put", Count: 2})
}

// lossyServer answers the first request on each connection and closes the
// connection on the second one, after it has read it.
func lossyServer(t *testing.T) (url string, arrivals *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	arrivals = new(atomic.Int32)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveLossy(conn, arrivals)
		}
	}()
	return "http://" + ln.Addr().String(), arrivals
}

func serveLossy(conn net.Conn, arrivals *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = r.Discard(int(req.ContentLength))
		arrivals.Add(1)
		if i == 1 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
	}
}

// A reused connection breaks after the platform has read a write. Go's transport
// retries some requests on its own here. A retried write would get a conflict
// caused by its own first attempt, and the caller would take it for another
// client's write. So the write arrives once, and its outcome is unknown. A read
// may arrive again.
func TestWriteIsNotRepeated(t *testing.T) {
	for name, call := range map[string]object.Call{
		"put":    putCall("leases/planner", 1, "a"),
		"delete": {Op: object.Delete, Key: "leases/planner", Version: 1},
	} {
		t.Run(name, func(t *testing.T) {
			url, arrivals := lossyServer(t)
			c := platform.New(platform.Config{URL: url, Budget: largeBudget})
			defer c.Close()
			require.Equal(t, object.NotFound, c.Do(ctx, object.Call{Op: object.Get, Key: "leases/planner"}).Status)
			assert.Equal(t, object.Unknown, c.Do(ctx, call).Status)
			assert.EqualValues(t, 2, arrivals.Load())
		})
	}
	t.Run("get", func(t *testing.T) {
		url, arrivals := lossyServer(t)
		c := platform.New(platform.Config{URL: url, Budget: largeBudget})
		defer c.Close()
		for range 2 {
			require.Equal(t, object.NotFound, c.Do(ctx, object.Call{Op: object.Get, Key: "leases/planner"}).Status)
		}
		assert.EqualValues(t, 3, arrivals.Load())
	})
}

// silencingDialer counts dials, and can silence all connections opened so far: data
// written to them is discarded, and reads return nothing.
type silencingDialer struct {
	dials      atomic.Int32
	silentUpTo atomic.Int32 // connections up to this number are silent
}

func (s *silencingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: conn, number: s.dials.Add(1), dialer: s, closed: make(chan struct{})}, nil
}

func (s *silencingDialer) silence() { s.silentUpTo.Store(s.dials.Load()) }

type silentConn struct {
	net.Conn
	number int32
	dialer *silencingDialer
	closed chan struct{}
}

func (c *silentConn) silenced() bool { return c.number <= c.dialer.silentUpTo.Load() }

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silenced() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silenced() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// fillPool makes n calls at once, so that n connections are pooled afterwards.
func fillPool(t *testing.T, p *standin.Platform, c *platform.Client, n int) {
	t.Helper()
	p.SetFaults(standin.Faults{Slowness: 20 * time.Millisecond})
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { c.Do(ctx, object.Call{Op: object.Get, Key: "documents/a"}) })
	}
	wg.Wait()
	p.SetFaults(standin.Faults{})
}

// All pooled connections go silent for good while new ones work, as when a device
// between the two ends has lost their state. A read succeeds after one timeout,
// over a new connection. A write ends with an unknown outcome, but the next one
// finds no silent connection in the pool any more.
func TestSilentConnection(t *testing.T) {
	s := new(silencingDialer)
	p, c := start(t, standin.Config{}, platform.Config{Dial: s.dial, Timeout: 500 * time.Millisecond})
	require.Equal(t, object.Done, c.Do(ctx, putCall("documents/a", 0, "one")).Status)

	fillPool(t, p, c, 3)
	s.silence()
	read := c.Do(ctx, object.Call{Op: object.Get, Key: "documents/a"})
	require.Equal(t, object.Done, read.Status, "%v", read.Err)

	fillPool(t, p, c, 3)
	s.silence()
	assert.Equal(t, object.Unknown, c.Do(ctx, putCall("documents/b", 0, "two")).Status)
	assert.Equal(t, object.Done, c.Do(ctx, putCall("documents/b", 0, "two")).Status)
}

// The platform has three addresses: no server listens at the first, the second
// accepts connections and never responds, the third works. A read succeeds after
// one timeout, and later calls go straight to the third.
func TestAddresses(t *testing.T) {
	p := standin.New(standin.Config{})
	srv := httptest.NewServer(p)
	defer srv.Close()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer unresponsive.Close()
	c := platform.New(platform.Config{
		URL:     "http://platform",
		Budget:  largeBudget,
		Timeout: 500 * time.Millisecond,
		Addresses: []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:1"),
			netip.MustParseAddrPort(unresponsive.Addr().String()),
			netip.MustParseAddrPort(srv.Listener.Addr().String()),
		},
	})
	defer c.Close()
	read := c.Do(ctx, object.Call{Op: object.Get, Key: "documents/a"})
	require.Equal(t, object.NotFound, read.Status, "%v", read.Err)
	assert.Equal(t, object.Done, c.Do(ctx, putCall("documents/a", 0, "one")).Status)
}

// A watch's connection goes silent while the watch waits. The watch ends with an
// error soon after its bound instead of hanging for ever, and its caller's read
// returns the missed change.
func TestSilentWatch(t *testing.T) {
	s := new(silencingDialer)
	cfg := platform.Config{Dial: s.dial, Timeout: 100 * time.Millisecond, Watch: 50 * time.Millisecond}
	p, c := start(t, standin.Config{}, cfg)
	require.Equal(t, object.NotFound, c.Do(ctx, object.Call{Op: object.Get, Key: "documents/a"}).Status)

	s.silence()
	p.Put("documents/a", []byte("new"))
	_, _, err := c.Watch(ctx, "documents/", 0)
	require.Error(t, err)
	list := c.Do(ctx, object.Call{Op: object.List, Key: "documents/"})
	assert.Len(t, list.Objects, 1)
}

// The platform is in an outage. After three refusals in a row the client refuses
// calls at once without sending them. No call has an unknown outcome, because the
// platform's status code proves each refusal.
func TestOutage(t *testing.T) {
	cfg := platform.Config{
		MaxWait: time.Millisecond,
		Seed:    1,
		Budget:  budget.Config{Rate: 1e6, Burst: 1e6, BackoffBase: time.Hour, BackoffMax: time.Hour},
	}
	p, c := start(t, standin.Config{Faults: standin.Faults{Outage: true}}, cfg)
	for i := range 50 {
		reply := c.Do(ctx, putCall("documents/a", 0, "one"))
		assert.Equal(t, object.Refused, reply.Status)
		assert.Equal(t, i >= budget.DefaultThreshold, errors.Is(reply.Err, platform.ErrOutage), "call %d", i)
	}
	assert.True(t, c.InOutage())
	assert.Equal(t, budget.DefaultThreshold, p.Total())
}

// The platform recovers from an outage. The next probe detects it, and calls succeed
// again.
func TestCallsResumeAfterAnOutage(t *testing.T) {
	quick := budget.Config{Rate: 1e6, Burst: 1e6, BackoffBase: time.Millisecond, BackoffMax: time.Millisecond, Ramp: time.Millisecond}
	p, c := start(t, standin.Config{Faults: standin.Faults{Outage: true}}, platform.Config{Budget: quick})
	for range 10 {
		require.Equal(t, object.Refused, c.Do(ctx, putCall("documents/a", 0, "one")).Status)
	}
	require.True(t, c.InOutage())
	p.SetFaults(standin.Faults{})
	require.Equal(t, object.Done, c.Do(ctx, putCall("documents/a", 0, "one")).Status)
	assert.False(t, c.InOutage())
}

// A replica behind the platform's address lags: a read returns an older object than
// the same process has just written. The client returns it unchanged. Its version
// shows that it is old, and a conditional write with that version is refused
// instead of overwriting the newer object.
func TestLaggingRead(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p, c := start(t, standin.Config{Now: func() time.Time { return now }}, platform.Config{})
	first := c.Do(ctx, putCall("documents/a", 0, "one"))
	require.Equal(t, object.Done, first.Status)
	now = now.Add(time.Second)
	second := c.Do(ctx, putCall("documents/a", first.Object.Version, "two"))
	require.Equal(t, object.Done, second.Status)

	p.SetFaults(standin.Faults{ReadLag: time.Second})
	old := c.Do(ctx, object.Call{Op: object.Get, Key: "documents/a"})
	assert.Equal(t, first.Object, old.Object)
	stale := c.Do(ctx, putCall("documents/a", old.Object.Version, "three"))
	assert.Equal(t, object.Conflict, stale.Status)
	assert.Equal(t, "two", string(stale.Object.Value))
}

// Only some failures prove that a write was not carried out.
func TestRefusalNeedsProof(t *testing.T) {
	for code, want := range map[int]object.Status{
		http.StatusServiceUnavailable:    object.Refused,
		http.StatusTooManyRequests:       object.Refused,
		http.StatusRequestEntityTooLarge: object.Refused,
		http.StatusInternalServerError:   object.Unknown,
		http.StatusBadGateway:            object.Unknown,
		http.StatusGatewayTimeout:        object.Unknown,
		http.StatusOK:                    object.Unknown, // with an empty body
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }))
		c := platform.New(platform.Config{URL: srv.URL, Budget: largeBudget})
		assert.Equal(t, want, c.Do(ctx, putCall("documents/a", 0, "one")).Status, "status %d", code)
		c.Close()
		srv.Close()
	}
	c := platform.New(platform.Config{URL: "http://127.0.0.1:1", Budget: largeBudget})
	assert.Equal(t, object.Refused, c.Do(ctx, putCall("documents/a", 0, "one")).Status, "no server listens")
	for _, bad := range []object.Call{
		putCall("documents/../leases/a", 0, ""),
		putCall("documents", 0, ""),
		putCall("documents/a", 0, string(make([]byte, object.MaxValueBytes+1))),
		{Op: 99, Key: "documents/a"},
	} {
		assert.Equal(t, object.Refused, c.Do(ctx, bad).Status)
	}
}
