package intake

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// blockedListener accepts connections only once opened is closed, like a process that gets no
// processor time.
type blockedListener struct {
	net.Listener
	opened chan struct{}
}

func (l blockedListener) Accept() (net.Conn, error) {
	<-l.opened
	return l.Listener.Accept()
}

// results records the calls of Check.OnChange.
type results struct {
	mu   sync.Mutex
	list []bool
}

func (r *results) add(works bool, _ time.Duration, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, works)
}

func newCheck(t *testing.T, listen string) (*Check, net.Listener, *results) {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := &results{}
	return &Check{
		Address: netip.MustParseAddrPort(l.Addr().String()), WaitTurn: func() {},
		OnCheck: func(time.Duration, error) {}, OnChange: r.add,
	}, l, r
}

func serve(c *Check, l net.Listener) {
	go func() { _ = http.Serve(l, c.Wrap(http.NotFoundHandler())) }()
}

// Guards against a process that reports that it is ready and accepts no connection.
func TestConnectionIsNotAccepted(t *testing.T) {
	c, l, r := newCheck(t, "127.0.0.1:0")
	opened := make(chan struct{})
	serve(c, blockedListener{Listener: l, opened: opened})
	require.False(t, c.Works(t.Context()))
	require.False(t, c.Works(t.Context()))
	close(opened)
	require.Eventually(t, func() bool { return c.Works(t.Context()) }, 20*time.Second, time.Millisecond)
	require.Equal(t, []bool{false, true}, r.list, "each change once")
}

// Guards against a process that reports that it is ready while its requests wait for a lock.
func TestRequestWaitsForItsTurn(t *testing.T) {
	c, l, _ := newCheck(t, "127.0.0.1:0")
	var mu sync.Mutex
	c.WaitTurn = func() {
		mu.Lock()
		defer mu.Unlock()
	}
	serve(c, l)
	mu.Lock()
	require.False(t, c.Works(t.Context()))
	mu.Unlock()
	require.Eventually(t, func() bool { return c.Works(t.Context()) }, 20*time.Second, time.Millisecond)
}

// Guards against a check that accepts the response of another process that listens at the address.
func TestResponseOfAnotherProcess(t *testing.T) {
	c, l, _ := newCheck(t, "127.0.0.1:0")
	go func() { _ = http.Serve(l, http.NotFoundHandler()) }()
	require.False(t, c.Works(t.Context()))
}

// Guards against a check that fails because the process listens at the unspecified address.
func TestUnspecifiedAddress(t *testing.T) {
	c, l, _ := newCheck(t, "0.0.0.0:0")
	c.Address = netip.AddrPortFrom(netip.IPv4Unspecified(), c.Address.Port())
	serve(c, l)
	require.Eventually(t, func() bool { return c.Works(t.Context()) }, 20*time.Second, time.Millisecond)
	require.False(t, c.own.IsValid(), "no check is running")
}

// Guards against a caller that gets the response meant for the check.
func TestCallerIsNotMistakenForTheCheck(t *testing.T) {
	c, l, _ := newCheck(t, "127.0.0.1:0")
	serve(c, l)
	require.Eventually(t, func() bool { return c.Works(t.Context()) }, 20*time.Second, time.Millisecond)
	w, err := http.Get("http://" + l.Addr().String() + "/")
	require.NoError(t, err)
	require.NoError(t, w.Body.Close())
	require.Equal(t, http.StatusNotFound, w.StatusCode)
}

// Something else has the process's address, and its head has no end.
func TestHeadWithoutEnd(t *testing.T) {
	standin.RequireHeadsBounded(t, func(s *standin.Server) error {
		c := &Check{Address: s.Address}
		return c.run(t.Context())
	})
}
