package forward

import (
	"context"
	"io"
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
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// bench is a forwarder before some servers.
type bench struct {
	patienceMS int // of callers
	*Forwarder
	t       *testing.T
	url     string
	targets *roster.Roster
	rules   Rules
	mu      sync.Mutex
	records []Record
}

const host = "calls.example"

func testConfig() *routing.Config {
	route := func(name string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			Aim: 500 * time.Millisecond, GapAim: 100 * time.Millisecond, MaxAttempts: 2,
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

// newBench starts a forwarder before servers, the first of which is asked first.
func newBench(t *testing.T, servers ...*standin.Server) *bench {
	b := &bench{t: t, targets: roster.New(), rules: Rules{Config: testConfig()}, patienceMS: 1500}
	for i, s := range servers {
		b.targets.Put(roster.Target{ID: "i-" + strconv.Itoa(i), Service: "svc", Address: s.Address, Slots: 4})
	}
	admit := admission.New()
	admit.Targets = b.targets.Serving
	admit.RulesFor = func(string) admission.Rules {
		return admission.Rules{PerTarget: 4, Queue: 4, Entries: 1}
	}
	b.Forwarder = &Forwarder{
		Rules:     func() Rules { return b.rules },
		KeyTrust:  func() time.Duration { return 4 * time.Second },
		RuleTrust: func() time.Duration { return 3 * time.Second },
		Admission: admit,
		Pool:      upstream.NewPool(),
		Budget: &Budget{Limits: func() Limits {
			return Limits{Ratio: 0.2, Window: 10 * time.Second, Fixed: 10}
		}},
		Now:      time.Now,
		Draining: new(atomic.Bool),
		Gone:     func(id string) { b.targets.Leave(id, time.Time{}) },
		Broke:    func(Break) {},

		Quarantine: quarantine.New("entry-1"),
		Ended: func(r Record) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.records = append(b.records, r)
		},
	}
	s := httptest.NewServer(b.Forwarder)
	t.Cleanup(s.Close)
	b.url = s.URL
	return b
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the body broke off
}

func (b *bench) do(ctx context.Context, method, path, key, body string) answer {
	r := standin.Call(method, b.url+path, "id-1", key, b.patienceMS, strings.NewReader(body)).WithContext(ctx)
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

func (b *bench) call(method, path string) answer {
	return b.do(b.t.Context(), method, path, "", "")
}

func requireRefused(t *testing.T, a answer, status int) {
	t.Helper()
	require.NoError(t, a.err)
	require.Equal(t, status, a.status)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.LessOrEqual(t, after, 0.51, "a third of the time left at most")
	require.False(t, standin.Stamped(a.header))
}

func requireServed(t *testing.T, a answer, body string) {
	t.Helper()
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, body, a.body)
	require.True(t, standin.Stamped(a.header))
}

func whole(body string) func(standin.Reply, standin.Request) {
	return func(w standin.Reply, _ standin.Request) { w.Whole(http.StatusOK, body) }
}

func refusing(w standin.Reply, _ standin.Request) { w.NotRun() }

func TestServed(t *testing.T) {
	s := standin.NewServer(t, whole("hello"))
	b := newBench(t, s)
	a := b.do(t.Context(), http.MethodPost, "/unsafe/x?y=1", "", "text")
	requireServed(t, a, "hello")
	got := s.Seen()[0]
	require.Equal(t, "id-1", got.ID)
	require.Equal(t, "/unsafe/x?y=1", got.URI)
	require.Equal(t, "text", got.Body)
	require.Equal(t, "i-0", got.Instance)
	left, err := strconv.Atoi(got.TimeoutMS)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 1500, "no more time than the caller has")
}

func TestWorkspaceReplacesKey(t *testing.T) {
	s := standin.NewServer(t, whole("hello"))
	b := newBench(t, s)
	requireServed(t, b.do(t.Context(), http.MethodGet, "/keyed/x", "k1", ""), "hello")
	require.Equal(t, "acme", s.Seen()[0].Workspace)
	require.Empty(t, s.Seen()[0].Key, "the key stays here")
}

func TestDenied(t *testing.T) {
	b := newBench(t, standin.NewServer(t, whole("hello")))
	require.Equal(t, http.StatusNotFound, b.call(http.MethodGet, "/none/x").status)
	require.Equal(t, http.StatusUnauthorized, b.do(t.Context(), http.MethodGet, "/keyed/x", "k2", "").status)
	require.Equal(t, http.StatusRequestEntityTooLarge, b.do(t.Context(), http.MethodPost, "/unsafe/x", "", strings.Repeat("x", 1<<17)).status)
}

// An entry was cut off from the store. A caller with a new key, on a new route, asks
// there. Told "unknown", it would not try again elsewhere; the rules are too old to
// prove that.
func TestOldRulesProveNothingUnknown(t *testing.T) {
	b := newBench(t, standin.NewServer(t, whole("hello")))
	b.rules.Age = 3500 * time.Millisecond
	requireRefused(t, b.call(http.MethodGet, "/none/x"), http.StatusServiceUnavailable)
	requireRefused(t, b.do(t.Context(), http.MethodGet, "/keyed/x", "k2", ""), http.StatusServiceUnavailable)
	requireServed(t, b.do(t.Context(), http.MethodGet, "/keyed/x", "k1", ""), "hello")
}

// A key was taken away while the entry was cut off or paused. Its holder still asks.
// Rules older than the bound prove no key, so nothing may run.
func TestOldRulesProveNoKey(t *testing.T) {
	s := standin.NewServer(t, whole("hello"))
	b := newBench(t, s)
	b.rules.Age = 4500 * time.Millisecond
	requireRefused(t, b.do(t.Context(), http.MethodGet, "/keyed/x", "k1", ""), http.StatusServiceUnavailable)
	require.Empty(t, s.Seen())
	requireServed(t, b.call(http.MethodGet, "/safe/x"), "hello")
}

// The store turns this entry away, and others have fresh rules. A caller that is told to
// come back in a second loses that second; the others would have served it at once.
func TestOldRulesAndOtherEntries(t *testing.T) {
	b := newBench(t, standin.NewServer(t, whole("hello")))
	b.rules.Age = 4500 * time.Millisecond
	const third = 500 * time.Millisecond // of the caller's time
	for elsewhere, want := range map[bool]time.Duration{true: elsewhereReturn, false: third} {
		b.Elsewhere = func() bool { return elsewhere }
		a := b.do(t.Context(), http.MethodGet, "/keyed/x", "k1", "")
		requireRefused(t, a, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, want.Seconds(), after, want.Seconds()/2)
	}
}

func TestNoRules(t *testing.T) {
	b := newBench(t)
	b.rules = Rules{}
	a := b.call(http.MethodGet, "/safe/x")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
}

func TestNoTarget(t *testing.T) {
	requireRefused(t, newBench(t).call(http.MethodGet, "/safe/x"), http.StatusServiceUnavailable)
}

// The first server says that it did not run the request. Another one may, also for
// a request that must not run twice.
func TestRefusedElsewhere(t *testing.T) {
	for _, refuse := range []func(standin.Reply, standin.Request){
		refusing,
		func(w standin.Reply, _ standin.Request) { w.Misdirected() },
	} {
		first, second := standin.NewServer(t, refuse), standin.NewServer(t, whole("hello"))
		b := newBench(t, first, second)
		for range 6 {
			requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
		}
		require.Len(t, second.Seen(), 6)
	}
}

// A server has ended, and another life of it answers at its address. Each further
// request that is sent there is one try less for its caller. Between requests passes
// more time than a server that refused one is left alone for.
func TestAddressOfAnother(t *testing.T) {
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Misdirected() })
	b := newBench(t, first, standin.NewServer(t, whole("hello")))
	var passed atomic.Int64
	b.Now = func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
	for range 20 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
		passed.Add(int64(2 * admission.AvoidRefused))
	}
	require.LessOrEqual(t, len(first.Seen()), 1)
}

// The host of a server is gone, and no connection opens. Nothing was sent, so a
// request that may be sent once only goes to another server.
func TestUnreachable(t *testing.T) {
	gone := &standin.Server{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	b := newBench(t, gone, standin.NewServer(t, whole("hello")))
	b.rules.Config.RouteFor(host, "/unsafe/x").MaxAttempts = 1
	for range 6 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
}

// All servers are full. The caller is told that nothing ran and when to come back.
func TestRefusedEverywhere(t *testing.T) {
	b := newBench(t, standin.NewServer(t, refusing), standin.NewServer(t, refusing))
	requireRefused(t, b.call(http.MethodPost, "/unsafe/x"), http.StatusServiceUnavailable)
}

// Three servers refuse a request whose route allows two tries. The third is not asked:
// while all are full, each try more would be load for nothing.
func TestTriesAreBounded(t *testing.T) {
	servers := []*standin.Server{
		standin.NewServer(t, refusing), standin.NewServer(t, refusing), standin.NewServer(t, refusing),
	}
	requireRefused(t, newBench(t, servers...).call(http.MethodPost, "/unsafe/x"), http.StatusServiceUnavailable)
	asked := 0
	for _, s := range servers {
		asked += len(s.Seen())
	}
	require.Equal(t, 2, asked)
}

// The connection breaks after the request was written. It may have run: one that
// must not run twice is not sent again, and the caller is not told that it didn't run.
func TestBrokenUnsafe(t *testing.T) {
	cut := func(w standin.Reply, _ standin.Request) { w.Cut() }
	first, second := standin.NewServer(t, cut), standin.NewServer(t, cut)
	a := newBench(t, first, second).call(http.MethodPost, "/unsafe/x")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, 1, len(first.Seen())+len(second.Seen()))
}

func TestBrokenSafe(t *testing.T) {
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Cut() })
	second := standin.NewServer(t, whole("hello"))
	b := newBench(t, first, second)
	for range 4 {
		requireServed(t, b.call(http.MethodGet, "/safe/x"), "hello")
	}
}

// The only server breaks the connection off, and no other is there for a second try.
// The request may have run: the caller must not be told that it did not.
func TestBrokenAndNoOther(t *testing.T) {
	s := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Cut() })
	a := newBench(t, s).call(http.MethodGet, "/safe/x")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Empty(t, a.header.Get("Retry-After"))
}

// A server is garbled: what it sends is not the whole answer to this request. The
// caller must not take it for one.
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
		"other request":      func(w standin.Reply, _ standin.Request) { w.Head(); w.OtherID(); w.Raw("bytes") },
		"failure of another": func(w standin.Reply, _ standin.Request) { w.OfAnother(http.StatusNotFound, "none") },
		"encoded": func(w standin.Reply, _ standin.Request) {
			w.Header("Content-Encoding", "gzip")
			w.Whole(http.StatusOK, "bytes")
		},
		"too short": func(w standin.Reply, _ standin.Request) { w.Bytes(w.Wire("Content-Length: 9\r\n", "bytes")) },
		"no answer": func(w standin.Reply, _ standin.Request) { w.Bytes("no answer\r\n\r\n") },
		"cut chunk": func(w standin.Reply, _ standin.Request) {
			w.Bytes(w.Wire("Transfer-Encoding: chunked\r\n", "5\r\nbytes\r\n"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			requireUnknown(t, newBench(t, standin.NewServer(t, garble)).call(http.MethodPost, "/unsafe/x"))
		})
	}
}

// Bytes follow a whole answer. They belong to no request: the next one on that
// connection would get them.
func TestExtraAnswer(t *testing.T) {
	s := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		w.Bytes(w.Wire("Content-Length: 5\r\n", "hello") + w.Wire("Content-Length: 5\r\n", "twice"))
	})
	b := newBench(t, s)
	for range 3 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
}

func TestUnframedAnswer(t *testing.T) {
	s := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Bytes(w.Wire("", "hello")) })
	requireServed(t, newBench(t, s).call(http.MethodPost, "/unsafe/x"), "hello")
}

// A server fails a request that may be repeated; so does the next. The caller gets
// the server's own failure with its proof.
func TestServerFails(t *testing.T) {
	fail := func(w standin.Reply, _ standin.Request) { w.Whole(http.StatusInternalServerError, "no") }
	t.Run("once", func(t *testing.T) {
		b := newBench(t, standin.NewServer(t, fail), standin.NewServer(t, whole("hello")))
		for range 4 {
			requireServed(t, b.call(http.MethodGet, "/safe/x"), "hello")
		}
	})
	t.Run("twice", func(t *testing.T) {
		a := newBench(t, standin.NewServer(t, fail), standin.NewServer(t, fail)).call(http.MethodGet, "/safe/x")
		require.Equal(t, http.StatusInternalServerError, a.status)
		require.True(t, standin.Stamped(a.header))
	})
	t.Run("unsafe", func(t *testing.T) {
		s := standin.NewServer(t, fail)
		a := newBench(t, s, standin.NewServer(t, fail)).call(http.MethodPost, "/unsafe/x")
		require.Equal(t, http.StatusInternalServerError, a.status)
	})
}

// The route gives up before the caller does. It gets its final answer then, not at
// its own time.
func TestRouteTimeout(t *testing.T) {
	s := standin.NewServer(t, func(_ standin.Reply, r standin.Request) { <-r.Done })
	begin := time.Now()
	a := newBench(t, s).call(http.MethodGet, "/short/x")
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Less(t, time.Since(begin), 1400*time.Millisecond, "before the caller's own time is up")
}

// The caller leaves while a server works. The server is told at once, or it would
// work for nobody.
func TestCallerLeaves(t *testing.T) {
	reached := make(chan struct{})
	told := make(chan struct{})
	s := standin.NewServer(t, func(_ standin.Reply, r standin.Request) {
		close(reached)
		<-r.Done
		close(told)
	})
	b := newBench(t, s)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-reached
		leave()
	}()
	require.Error(t, b.do(ctx, http.MethodPost, "/unsafe/x", "", "text").err)
	<-told
}

// All places are taken, and callers leave the full queue. Those who come next find it
// empty: they are neither refused for it nor wait behind requests that nobody wants.
func TestCallersLeaveTheQueue(t *testing.T) {
	release := make(chan struct{})
	server := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		<-release
		w.Whole(http.StatusOK, "hello")
	})
	b := newBench(t, server)
	const places = 4 // and as many may wait
	answers := make(chan answer, 2*places)
	begin := func(ctx context.Context) { answers <- b.do(ctx, http.MethodPost, "/unsafe/x", "", "") }
	requireWaiting := func(n int) {
		t.Helper()
		require.Eventually(t, func() bool { return b.Admission.Waiting("svc") == n }, 10*time.Second, time.Millisecond)
	}
	for range places {
		go begin(t.Context())
	}
	require.Eventually(t, func() bool { return len(server.Seen()) == places }, 10*time.Second, time.Millisecond)
	ctx, leave := context.WithCancel(t.Context())
	for range places {
		go begin(ctx)
	}
	requireWaiting(places)
	leave()
	for range places {
		require.Error(t, (<-answers).err)
	}
	requireWaiting(0)
	close(release)
	for range places {
		requireServed(t, <-answers, "hello")
	}
}

func TestDrainingClosesConnections(t *testing.T) {
	b := newBench(t, standin.NewServer(t, whole("hello")))
	b.Draining.Store(true)
	r := standin.Call(http.MethodGet, b.url+"/safe/x", "id-1", "", 1500, nil)
	r.Host = host
	w, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer w.Body.Close()
	require.True(t, w.Close, "the answer says that the connection ends")
}

func TestBudgetBoundsRepeats(t *testing.T) {
	b := &Budget{Limits: func() Limits { return Limits{Ratio: 0.2, Window: 10 * time.Second, Fixed: 2} }}
	now := time.Now()
	for range 12 {
		b.First(now, "svc")
	}
	n := 0
	for b.Repeat(now, "svc") {
		n++
	}
	require.Equal(t, 4, n, "two, and a fifth of twelve requests less a slice's margin")
	require.False(t, b.Repeat(now.Add(5*time.Second), "svc"))
	require.True(t, b.Repeat(now.Add(30*time.Second), "svc"), "the window has passed")
}
