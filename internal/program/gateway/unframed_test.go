package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// unframedServers is a set of servers whose responses state no length and end with their connection.
type unframedServers struct {
	cut, whole string // bodies of the response of the server that crashes, and of all others
	rest       string // body of the response to a request that resumes a stream
	back       bool   // whether the server that crashes runs again at once
	armed      atomic.Bool
}

// start starts a server. It crashes once it has responded to the first request after the set was armed, if
// that reached it.
func (u *unframedServers) start(t *testing.T) netip.AddrPort {
	var p *rawserver.Process
	p = rawserver.StartProcess(t, func(c *net.TCPConn, r *bufio.Reader) {
		if u.answer(c, r) {
			p.End()
			if u.back {
				assert.NoError(t, p.Run())
			}
		}
	})
	return p.Address
}

// answer answers the request of a connection, and reports whether the server crashes then.
func (u *unframedServers) answer(c net.Conn, r *bufio.Reader) (crashes bool) {
	defer c.Close()
	q, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	body := u.whole
	if q.Header.Get("Last-Event-Id") != "" {
		body = u.rest
	}
	if crashes = u.armed.CompareAndSwap(true, false); crashes {
		body = u.cut
	}
	_, _ = io.WriteString(c, standin.Wire(standin.RequestID(q), "", body)) // the test checks what arrives
	return crashes
}

// Guards against a response without a length that looks complete although its target crashed.
func TestUnframedResponseOfACrashedTarget(t *testing.T) {
	t.Parallel()
	const firstTwo, lastTwo = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	for name, want := range map[string]struct {
		cut, whole, body string
		status           int
	}{
		"stream": {firstTwo, firstTwo + lastTwo, firstTwo + lastTwo, http.StatusOK},
		"once":   {firstTwo, firstTwo + lastTwo, "", 0},
		"safe":   {"hel", "hello", "hello", http.StatusOK},
		"unsafe": {"hel", "hello", "", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore(t)
			require.NoError(t, store.PutConfig(standin.Config{
				Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
				Routes: []standin.Route{
					{Name: "stream", Kind: "streaming", Service: "app", Resumable: true}, {Name: "once", Kind: "streaming", Service: "app"},
					{Name: "safe", Kind: "safe", Service: "app"}, {Name: "unsafe", Kind: "unsafe", Service: "app"},
				},
			}))
			u := &unframedServers{cut: want.cut, whole: want.whole, rest: lastTwo}
			for _, id := range []string{"i-0", "i-1"} {
				store.PutServerStarted(id, "app", u.start(t), time.Now())
			}
			e := start(t, "entry-1", store.Address)
			for n := range 20 { // they earn a repeat in the retry budget
				status, body, _ := e.call(t, fmt.Sprint("id-", n), "/"+name+"/x", "")
				require.Equal(t, http.StatusOK, status, "%v", e.logged.of("request"))
				require.Equal(t, want.whole, body)
			}
			u.armed.Store(true)
			status, body, _ := e.call(t, "id-last", "/"+name+"/x", "")
			require.Equal(t, want.status, status, "%v", e.logged.of("request"))
			require.Equal(t, want.body, body)
		})
	}
}

// Guards against a truncated response that looks complete because its target is back before the entry asks whether it
// runs, as after a moment in which the entry did not run.
func TestUnframedResponseOfATargetThatIsBack(t *testing.T) {
	t.Parallel()
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{
		Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
		Routes: []standin.Route{{Name: "unsafe", Kind: "unsafe", Service: "app"}},
	}))
	u := &unframedServers{cut: "hel", whole: "hello", back: true}
	store.PutServerStarted("i-0", "app", u.start(t), time.Now())
	e := start(t, "entry-1", store.Address)
	status, body, _ := e.call(t, "id-0", "/unsafe/x", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, u.whole, body)
	u.armed.Store(true)
	status, body, _ = e.call(t, "id-1", "/unsafe/x", "")
	require.Equal(t, http.StatusBadGateway, status, "%q: %v", body, e.logged.of("request"))
}

// Guards against sound responses without a length that count as truncated since their server closes the connections on
// which no request comes.
func TestUnframedResponsesOfAServerThatClosesIdleConnections(t *testing.T) {
	t.Parallel()
	const idle, run, callers = 500 * time.Millisecond, 20 * time.Millisecond, 4
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{
		Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
		Routes: []standin.Route{{Name: "unsafe", Kind: "unsafe", Service: "app"}},
	}))
	store.PutServer("i-0", "app", rawserver.Start(t, func(c *net.TCPConn, r *bufio.Reader) {
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(idle)) // fails only if it is closed
		if q, err := http.ReadRequest(r); err == nil && standin.RequestID(q) != "" {
			wait := run
			if q.URL.Path == "/unsafe/long" {
				wait = 2 * idle
			}
			_, _ = io.WriteString(c, standin.Wire(standin.RequestID(q), "", "hel")) // what arrives is checked
			time.Sleep(wait)
			_, _ = io.WriteString(c, "lo")
		}
	}))
	e := start(t, "entry-1", store.Address)
	var cut atomic.Int64
	var g sync.WaitGroup
	for n := range callers {
		g.Go(func() {
			for k := range 100 {
				if status, body, _ := e.call(t, fmt.Sprint("id-", n, "-", k), "/unsafe/x", ""); status != http.StatusOK || body != "hello" {
					cut.Add(1)
				}
			}
		})
	}
	g.Wait()
	require.LessOrEqual(t, cut.Load(), int64(callers), "once, until the entry knows when the server closes them: %v", e.logged.of("request"))
	status, body, _ := e.call(t, "id-long", "/unsafe/long", "")
	require.Equal(t, http.StatusOK, status, "%v", e.logged.of("request"))
	require.Equal(t, "hello", body)
}
