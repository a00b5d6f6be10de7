package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
	"wagtailshelf.example/wagtailshelf/internal/wire/reset"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/internal/wire/witness"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// testbed is a forwarder in front of some servers.
type testbed struct {
	patienceMS int // timeout that callers send
	*Forwarder
	t             *testing.T
	url           string
	targets       *roster.Roster
	configuration Configuration
	mu            sync.Mutex
	records       []Record
}

const host = "calls.example"

func testConfig() *routing.Config {
	route := func(name string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			LatencyGoal: 500 * time.Millisecond, GapGoal: 100 * time.Millisecond, MaxAttempts: 2,
			Shares: []routing.Share{{Service: "svc", Weight: 1}}, Public: true,
		}
	}
	stream := route("stream", routing.Streaming)
	stream.Resumable = true
	keyed := route("keyed", routing.Safe)
	keyed.Public = false
	short := route("short", routing.Safe)
	short.Timeout = 100 * time.Millisecond
	return routing.New(routing.Config{
		Version: 7,
		Routes: []routing.Route{
			route("safe", routing.Safe), route("unsafe", routing.Unsafe), stream,
			route("once", routing.Streaming), keyed, short,
		},
		Services:   []routing.Service{{Name: "svc"}},
		Workspaces: []routing.Workspace{{Name: "acme", Keys: []string{"k1"}}},
		Limits:     routing.Limits{HeaderBytes: 4096, BodyBytes: 1 << 16},
	})
}

// newTestbed starts a forwarder in front of servers, which are the targets i-0, i-1 and so on.
func newTestbed(t *testing.T, servers ...*standin.Server) *testbed {
	b := &testbed{t: t, targets: roster.New(), configuration: Configuration{Config: testConfig()}, patienceMS: 1500}
	for i, s := range servers {
		b.targets.Put(roster.Target{ID: "i-" + strconv.Itoa(i), Service: "svc", Address: s.Address, Slots: 4})
	}
	admit := admission.New()
	admit.Targets = b.targets.Serving
	admit.RulesFor = func(string) admission.Limits {
		return admission.Limits{PerTarget: 4, Queue: 4, Entries: 1}
	}
	b.Forwarder = &Forwarder{
		Configuration: func() Configuration { return b.configuration },
		KeyMaxAge:     func() time.Duration { return 4 * time.Second },
		UnknownMaxAge: func() time.Duration { return 3 * time.Second },
		Admission:     admit,
		Pool:          upstream.NewPool(),
		Witnesses:     witness.New(),
		Budget: &Budget{Limits: func() Limits {
			return Limits{Ratio: 0.2, Window: 10 * time.Second, Fixed: 10}
		}},
		Now:           time.Now,
		Drain:         NewDrain(),
		OnMisdirected: func(t roster.Target, _ string) { b.targets.MarkLeaving(t.ID, time.Time{}) },
		OnConnectionFailure: func(f ConnectionFailure) {
			f.Examined <- presence.Probe(t.Context(), f.Target.Address)
			close(f.Examined)
		},

		Quarantine: quarantine.New("entry-1"),
		OnEnd: func(r Record) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.records = append(b.records, r)
		},
	}
	s := httptest.NewUnstartedServer(reset.Wrap(b.Forwarder))
	s.Config.ConnContext = reset.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	b.url = s.URL
	return b
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // there was no response, or its body was truncated
}

func (b *testbed) do(ctx context.Context, method, path, key, body string) answer {
	r := standin.NewCall(method, b.url+path, "id-1", key, b.patienceMS, strings.NewReader(body)).WithContext(ctx)
	r.Host = host
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	return answer{status: w.StatusCode, header: w.Header, body: string(text), err: err}
}

func (b *testbed) call(method, path string) answer {
	return b.do(b.t.Context(), method, path, "", "")
}

func requireRefused(t *testing.T, a answer, status int) {
	t.Helper()
	require.NoError(t, a.err)
	require.Equal(t, status, a.status)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.LessOrEqual(t, after, 0.51, "at most a third of the remaining time")
	require.False(t, standin.Stamped(a.header))
}

func requireServed(t *testing.T, a answer, body string) {
	t.Helper()
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, body, a.body)
	require.True(t, standin.Stamped(a.header))
}

func complete(body string) func(standin.Reply, standin.Request) {
	return func(w standin.Reply, _ standin.Request) { w.Complete(http.StatusOK, body) }
}

func refusing(w standin.Reply, _ standin.Request) { w.NotRun() }

func TestServed(t *testing.T) {
	s := standin.NewServer(t, complete("hello"))
	b := newTestbed(t, s)
	a := b.do(t.Context(), http.MethodPost, "/unsafe/x?y=1", "", "text")
	requireServed(t, a, "hello")
	got := s.Seen()[0]
	require.Equal(t, "id-1", got.ID)
	require.Equal(t, "/unsafe/x?y=1", got.URI)
	require.Equal(t, "text", got.Body)
	require.Equal(t, "i-0", got.Instance)
	left, err := strconv.Atoi(got.TimeoutMS)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 1500, "at most the time that the caller has")
}

func TestWorkspaceReplacesKey(t *testing.T) {
	s := standin.NewServer(t, complete("hello"))
	b := newTestbed(t, s)
	requireServed(t, b.do(t.Context(), http.MethodGet, "/keyed/x", "k1", ""), "hello")
	require.Equal(t, "acme", s.Seen()[0].Workspace)
	require.Empty(t, s.Seen()[0].Key, "the key is not sent to targets")
}

func TestDenied(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, complete("hello")))
	require.Equal(t, http.StatusNotFound, b.call(http.MethodGet, "/none/x").status)
	require.Equal(t, http.StatusUnauthorized, b.do(t.Context(), http.MethodGet, "/keyed/x", "k2", "").status)
	require.Equal(t, http.StatusRequestEntityTooLarge, b.do(t.Context(), http.MethodPost, "/unsafe/x", "", strings.Repeat("x", 1<<17)).status)
}

// Guards against a connection that is reset while its caller still writes a body that is too long:
// the caller would lose the response that says so.
func TestCallerOfALongBodyReceivesTheResponse(t *testing.T) {
	b := newTestbed(t)
	conn, err := net.Dial("tcp4", strings.TrimPrefix(b.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	const parts, part = 20, 10 << 10
	_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", host, parts*part)
	require.NoError(t, err)
	for range parts {
		_, err = conn.Write(make([]byte, part))
		require.NoError(t, err)
		time.Sleep(40 * time.Millisecond) // for longer than the server delays a reset
	}
	w, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer w.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, w.StatusCode)
	require.True(t, w.Close)
}

// An entry is partitioned from the store, and receives a request with a new key or for a new
// route. If it reported them as unknown, the caller would not retry at another entry; its
// configuration is too old to prove that.
func TestOldConfigurationProvesNothingUnknown(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, complete("hello")))
	b.configuration.Age = 3500 * time.Millisecond
	requireRefused(t, b.call(http.MethodGet, "/none/x"), http.StatusServiceUnavailable)
	requireRefused(t, b.do(t.Context(), http.MethodGet, "/keyed/x", "k2", ""), http.StatusServiceUnavailable)
	requireServed(t, b.do(t.Context(), http.MethodGet, "/keyed/x", "k1", ""), "hello")
}

// A key was revoked while the entry was partitioned or frozen, and its holder still sends
// requests. A configuration older than the bound proves no key, so nothing may run.
func TestOldConfigurationProvesNoKey(t *testing.T) {
	s := standin.NewServer(t, complete("hello"))
	b := newTestbed(t, s)
	b.configuration.Age = 4500 * time.Millisecond
	requireRefused(t, b.do(t.Context(), http.MethodGet, "/keyed/x", "k1", ""), http.StatusServiceUnavailable)
	require.Empty(t, s.Seen())
	requireServed(t, b.call(http.MethodGet, "/safe/x"), "hello")
}

// The store refuses this entry, while others have a fresh configuration. A caller that is asked
// to retry after a second loses that second: the other entries would have served it at once.
func TestOldConfigurationAndOtherEntries(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, complete("hello")))
	b.configuration.Age = 4500 * time.Millisecond
	const third = 500 * time.Millisecond // of the caller's time
	for otherEntriesFresh, want := range map[bool]time.Duration{true: otherEntryDelay, false: third} {
		b.OtherEntriesFresh = func() bool { return otherEntriesFresh }
		a := b.do(t.Context(), http.MethodGet, "/keyed/x", "k1", "")
		requireRefused(t, a, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, want.Seconds(), after, want.Seconds()/2)
	}
}

func TestNoConfiguration(t *testing.T) {
	b := newTestbed(t)
	b.configuration = Configuration{}
	a := b.call(http.MethodGet, "/safe/x")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
}

func TestNoTarget(t *testing.T) {
	requireRefused(t, newTestbed(t).call(http.MethodGet, "/safe/x"), http.StatusServiceUnavailable)
}

// The first server reports that it did not run the request. So another one may run it, even if
// the request must not run twice.
func TestRefusedElsewhere(t *testing.T) {
	for _, refuse := range []func(standin.Reply, standin.Request){
		refusing,
		func(w standin.Reply, _ standin.Request) { w.Misdirected() },
	} {
		first, second := standin.NewServer(t, refuse), standin.NewServer(t, complete("hello"))
		b := newTestbed(t, first, second)
		for range 6 {
			requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
		}
		require.Len(t, second.Seen(), 6)
	}
}

// A server has ended, and another incarnation of it responds at its address. Each further request
// that is sent there costs its caller one attempt. The time between the requests is longer than
// the time for which a server that refused one is avoided.
func TestAddressOfAnotherIncarnation(t *testing.T) {
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Misdirected() })
	b := newTestbed(t, first, standin.NewServer(t, complete("hello")))
	var passed atomic.Int64
	b.Now = func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
	for range 20 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
		passed.Add(int64(2 * admission.AvoidRefused))
	}
	require.LessOrEqual(t, len(first.Seen()), 1)
}

// The host of a server is down, and no connection can be opened. Nothing was sent, so a request
// that may be sent only once is sent to another server.
func TestUnreachable(t *testing.T) {
	gone := &standin.Server{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	b := newTestbed(t, gone, standin.NewServer(t, complete("hello")))
	b.configuration.Config.RouteFor(host, "/unsafe/x").MaxAttempts = 1
	for range 6 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
}

// All servers are full. The caller receives a response that states that nothing ran and when to
// retry.
func TestRefusedEverywhere(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, refusing), standin.NewServer(t, refusing))
	requireRefused(t, b.call(http.MethodPost, "/unsafe/x"), http.StatusServiceUnavailable)
}

// Three servers refuse a request whose route allows two attempts. The third does not receive it:
// while all are full, a further attempt would be useless load.
func TestTriesAreBounded(t *testing.T) {
	servers := []*standin.Server{
		standin.NewServer(t, refusing), standin.NewServer(t, refusing), standin.NewServer(t, refusing),
	}
	requireRefused(t, newTestbed(t, servers...).call(http.MethodPost, "/unsafe/x"), http.StatusServiceUnavailable)
	asked := 0
	for _, s := range servers {
		asked += len(s.Seen())
	}
	require.Equal(t, 2, asked)
}

// The connection fails after the request was written, so the request may have run. If it must not
// run twice it is not sent again, and the caller must not receive "not run".
func TestBrokenUnsafe(t *testing.T) {
	cut := func(w standin.Reply, _ standin.Request) { w.Abort() }
	first, second := standin.NewServer(t, cut), standin.NewServer(t, cut)
	a := newTestbed(t, first, second).call(http.MethodPost, "/unsafe/x")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, 1, len(first.Seen())+len(second.Seen()))
}

func TestBrokenSafe(t *testing.T) {
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Abort() })
	second := standin.NewServer(t, complete("hello"))
	b := newTestbed(t, first, second)
	for range 4 {
		requireServed(t, b.call(http.MethodGet, "/safe/x"), "hello")
	}
}

// The only server closes the connection, and there is no other for a second attempt. The request
// may have run, so the caller must not receive "not run".
func TestBrokenAndNoOther(t *testing.T) {
	s := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Abort() })
	a := newTestbed(t, s).call(http.MethodGet, "/safe/x")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Empty(t, a.header.Get("Retry-After"))
}

// A faulty server sends something other than the complete response to this request. The caller
// must not receive it as a proven response.
func TestNotProved(t *testing.T) {
	requireUnknown := func(t *testing.T, a answer) {
		t.Helper()
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, a.status)
		require.False(t, standin.Stamped(a.header))
		require.Empty(t, a.body)
	}
	for name, garble := range map[string]func(standin.Reply, standin.Request){
		"no stamp":           func(w standin.Reply, _ standin.Request) { w.Raw("bytes") },
		"no stamp, own id":   func(w standin.Reply, _ standin.Request) { w.Unstamped(); w.Raw("bytes") },
		"other request":      func(w standin.Reply, _ standin.Request) { w.StampedHeader(); w.OtherID(); w.Raw("bytes") },
		"failure of another": func(w standin.Reply, _ standin.Request) { w.CompleteForOther(http.StatusNotFound, "none") },
		"encoded": func(w standin.Reply, _ standin.Request) {
			w.Header("Content-Encoding", "gzip")
			w.Complete(http.StatusOK, "bytes")
		},
		"too short": func(w standin.Reply, _ standin.Request) { w.Bytes(w.Wire("Content-Length: 9\r\n", "bytes")) },
		"no answer": func(w standin.Reply, _ standin.Request) { w.Bytes("no answer\r\n\r\n") },
		"cut chunk": func(w standin.Reply, _ standin.Request) {
			w.Bytes(w.Wire("Transfer-Encoding: chunked\r\n", "5\r\nbytes\r\n"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			requireUnknown(t, newTestbed(t, standin.NewServer(t, garble)).call(http.MethodPost, "/unsafe/x"))
		})
	}
}

// Bytes follow a complete response. They belong to no request, and the next request on that
// connection would receive them.
func TestExtraAnswer(t *testing.T) {
	s := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		w.Bytes(w.Wire("Content-Length: 5\r\n", "hello") + w.Wire("Content-Length: 5\r\n", "twice"))
	})
	b := newTestbed(t, s)
	for range 3 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
}

func TestUnframedAnswer(t *testing.T) {
	s := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Bytes(w.Wire("", "hello")) })
	requireServed(t, newTestbed(t, s).call(http.MethodPost, "/unsafe/x"), "hello")
}

// A server fails a request that may be repeated, and so does the next one. The caller receives
// the server's own failure response with its proof.
func TestServerFails(t *testing.T) {
	fail := func(w standin.Reply, _ standin.Request) { w.Complete(http.StatusInternalServerError, "no") }
	t.Run("once", func(t *testing.T) {
		b := newTestbed(t, standin.NewServer(t, fail), standin.NewServer(t, complete("hello")))
		for range 4 {
			requireServed(t, b.call(http.MethodGet, "/safe/x"), "hello")
		}
	})
	t.Run("twice", func(t *testing.T) {
		a := newTestbed(t, standin.NewServer(t, fail), standin.NewServer(t, fail)).call(http.MethodGet, "/safe/x")
		require.Equal(t, http.StatusInternalServerError, a.status)
		require.True(t, standin.Stamped(a.header))
	})
	t.Run("unsafe", func(t *testing.T) {
		s := standin.NewServer(t, fail)
		a := newTestbed(t, s, standin.NewServer(t, fail)).call(http.MethodPost, "/unsafe/x")
		require.Equal(t, http.StatusInternalServerError, a.status)
	})
}

// The timeout of the route is shorter than the caller's. The caller receives the final response
// when the route's timeout ends.
func TestRouteTimeout(t *testing.T) {
	s := standin.NewServer(t, func(_ standin.Reply, r standin.Request) { <-r.Done })
	begin := time.Now()
	a := newTestbed(t, s).call(http.MethodGet, "/short/x")
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Less(t, time.Since(begin), 1400*time.Millisecond, "before the caller's own timeout")
}

// The caller disconnects while a server processes its request. The server is notified at once, as
// its work would be useless.
func TestCallerLeaves(t *testing.T) {
	reached := make(chan struct{})
	cancelled := make(chan struct{})
	s := standin.NewServer(t, func(_ standin.Reply, r standin.Request) {
		close(reached)
		<-r.Done
		close(cancelled)
	})
	b := newTestbed(t, s)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-reached
		leave()
	}()
	require.Error(t, b.do(ctx, http.MethodPost, "/unsafe/x", "", "text").err)
	<-cancelled
}

func TestDrainingClosesConnections(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, complete("hello")))
	b.Drain.Begin(time.Now().Add(time.Second), time.Now().Add(8*time.Second))
	r := standin.NewCall(http.MethodGet, b.url+"/safe/x", "id-1", "", 1500, nil)
	r.Host = host
	w, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer w.Body.Close()
	require.True(t, w.Close, "the response announces that the connection closes")
}
