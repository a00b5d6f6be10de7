package intake

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shutListener takes connections only once it is opened, as a process without processor time.
type shutListener struct {
	net.Listener
	opened chan struct{}
}

func (l shutListener) Accept() (net.Conn, error) {
	<-l.opened
	return l.Listener.Accept()
}

// told are the beliefs that a check told.
type told struct {
	mu   sync.Mutex
	list []bool
}

func (b *told) hear(works bool, _ time.Duration, _ error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, works)
}

func newCheck(t *testing.T, listen string) (*Check, net.Listener, *told) {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	b := &told{}
	return &Check{
		Address: netip.MustParseAddrPort(l.Addr().String()), Turn: func() {},
		Took: func(time.Duration, error) {}, Believes: b.hear,
	}, l, b
}

func serve(c *Check, l net.Listener) {
	go func() { _ = http.Serve(l, c.Before(http.NotFoundHandler())) }()
}

// Guards against a process that says ready and takes no connection.
func TestConnectionIsNotTaken(t *testing.T) {
	c, l, b := newCheck(t, "127.0.0.1:0")
	opened := make(chan struct{})
	serve(c, shutListener{Listener: l, opened: opened})
	require.False(t, c.Works(t.Context()))
	require.False(t, c.Works(t.Context()))
	close(opened)
	require.Eventually(t, func() bool { return c.Works(t.Context()) }, 20*time.Second, time.Millisecond)
	require.Equal(t, []bool{false, true}, b.list, "each change once")
}

// Guards against a process that says ready while no request gets its turn.
func TestRequestDoesNotGetItsTurn(t *testing.T) {
	c, l, _ := newCheck(t, "127.0.0.1:0")
	var mu sync.Mutex
	c.Turn = func() {
		mu.Lock()
		defer mu.Unlock()
	}
	serve(c, l)
	mu.Lock()
	require.False(t, c.Works(t.Context()))
	mu.Unlock()
	require.Eventually(t, func() bool { return c.Works(t.Context()) }, 20*time.Second, time.Millisecond)
}

// Guards against an answer of whatever else listens at the address, taken for the process's own.
func TestAnotherAnswers(t *testing.T) {
	c, l, _ := newCheck(t, "127.0.0.1:0")
	go func() { _ = http.Serve(l, http.NotFoundHandler()) }()
	require.False(t, c.Works(t.Context()))
}

// Guards against a process that listens everywhere and does not reach itself.
func TestUnspecifiedAddress(t *testing.T) {
	c, l, _ := newCheck(t, "0.0.0.0:0")
	c.Address = netip.AddrPortFrom(netip.IPv4Unspecified(), c.Address.Port())
	serve(c, l)
	require.Eventually(t, func() bool { return c.Works(t.Context()) }, 20*time.Second, time.Millisecond)
	require.False(t, c.own.IsValid(), "nothing is expected after it")
}

// Guards against callers who get the answer that is the process's own.
func TestCallerIsNotTakenForTheCheck(t *testing.T) {
	c, l, _ := newCheck(t, "127.0.0.1:0")
	serve(c, l)
	require.Eventually(t, func() bool { return c.Works(t.Context()) }, 20*time.Second, time.Millisecond)
	w, err := http.Get("http://" + l.Addr().String() + "/")
	require.NoError(t, err)
	require.NoError(t, w.Body.Close())
	require.Equal(t, http.StatusNotFound, w.StatusCode)
}
