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

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// unframedServers is a set of servers whose responses state no length and end with their connection.
type unframedServers struct {
	cut, whole string // bodies of the response of the server that crashes, and of all others
	rest       string // body of the response to a request that resumes a stream
	back       bool   // whether the server that crashes listens again at once
	armed      atomic.Bool
}

// incarnation is a process that runs at the address of a server.
type incarnation struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

// end closes all that the process has open, as its end does.
func (i *incarnation) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns {
		_ = c.Close() // it may be closed already
	}
	_ = i.listener.Close() // the server has only this listener
}

func (i *incarnation) add(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.conns = append(i.conns, c)
}

// start starts a server. It crashes once it has responded to the first request after the set was armed, if
// that reached it.
func (u *unframedServers) start(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	at := netip.MustParseAddrPort(l.Addr().String())
	u.listen(t, at, l)
	return at
}

// listen serves the connections of a listener until it is closed.
func (u *unframedServers) listen(t *testing.T, at netip.AddrPort, l net.Listener) {
	t.Cleanup(func() { _ = l.Close() }) // closed already if the server has crashed
	i := &incarnation{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				break
			}
			i.add(conn)
			go u.serve(conn, i)
		}
		if !u.back || t.Context().Err() != nil {
			return
		}
		if again, err := net.Listen("tcp4", at.String()); err == nil {
			u.listen(t, at, again)
		}
	}()
}

func (u *unframedServers) serve(conn net.Conn, i *incarnation) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body := u.whole
	if r.Header.Get("Last-Event-Id") != "" {
		body = u.rest
	}
	crashes := u.armed.CompareAndSwap(true, false)
	if crashes {
		body = u.cut
	}
	// The test checks what arrives.
	_, _ = io.WriteString(conn, standin.Wire(standin.RequestID(r), "", body))
	if crashes {
		i.end()
	}
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
