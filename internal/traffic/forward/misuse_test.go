package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// unread sends a request and does not read the response.
func (b *testbed) unread(path string) {
	at := netip.MustParseAddrPort(strings.TrimPrefix(b.url, "http://"))
	c, err := standin.DialMisuse(b.t.Context(), at, time.Minute)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = c.Close() }) // the server may have closed it
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host)
	require.NoError(b.t, err)
}

// Callers don't read long responses. Guards against slots of a target that they hold until their time is over, though the
// target has ended their requests.
func TestUnreadResponsesHoldNoSlot(t *testing.T) {
	s := standin.NewServer(t, func(w standin.Reply, r standin.Request) {
		if strings.HasSuffix(r.URI, "/long") {
			w.Complete(http.StatusOK, strings.Repeat("0", maxAnswerBytes-1))
			return
		}
		w.Complete(http.StatusOK, "hello")
	})
	b := newTestbed(t, s)
	for i := range b.configuration.Config.Routes {
		b.configuration.Config.Routes[i].Timeout = time.Minute
	}
	for range slots {
		b.unread("/safe/long")
	}
	require.Eventually(t, func() bool { return len(s.Seen()) == slots }, time.Minute, time.Millisecond)
	calls := 0
	require.Eventually(t, func() bool {
		calls++
		return b.call(http.MethodPost, "/safe/short").status == http.StatusOK
	}, 20*time.Second, time.Millisecond)
	require.Len(t, b.ended(), calls, "the long responses are still being written")
}

// Guards against a caller that does not read, and whose request is held for ever.
func TestUnreadResponseIsAbortedAfterItsTime(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, complete(strings.Repeat("0", maxAnswerBytes-1))))
	b.unread("/short/x")
	require.Eventually(t, func() bool { return len(b.ended()) == 1 }, time.Minute, time.Millisecond)
}

// Guards against a caller that sends the rest of its body for ever: what comes after the request's time can't be served.
func TestBodyIsRefusedAfterItsTime(t *testing.T) {
	s := standin.NewServer(t, complete("hello"))
	b := newTestbed(t, s)
	for _, size := range []int{10, 40 << 10} {
		u := b.beginUpload("/short/x", size)
		require.NoError(t, u.conn.SetReadDeadline(time.Now().Add(20*time.Second)))
		w, err := http.ReadResponse(u.r, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, w.StatusCode, "it has not run")
		require.True(t, w.Close)
	}
	require.Empty(t, s.Seen())
}

// Bodies that stand still take all the space. Guards against those that keep it from a sound one.
func TestStalledUploadsYield(t *testing.T) {
	const size = 256 << 10
	b := newSpaceTestbed(t, standin.NewServer(t, complete("hello")))
	for i := range b.configuration.Config.Routes {
		b.configuration.Config.Routes[i].Timeout = time.Minute
	}
	for range spaceBytes / size {
		b.beginUpload("/unsafe/x", size)
	}
	sound := strings.Repeat("0", size)
	require.Eventually(t, func() bool {
		a := b.do(t.Context(), http.MethodPost, "/unsafe/x", "", sound)
		return a.err == nil && a.status == http.StatusOK
	}, 20*time.Second, 10*time.Millisecond)
	require.Greater(t, b.Space.Used(), int64(spaceBytes/4), "the others are not refused without need")
}

// Guards against a header inside its limit that is refused, as a space after a colon is counted that is not there.
func TestLongestHeaderIsServed(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, complete("hello")))
	limit := b.configuration.Config.Limits.HeaderBytes
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /unsafe/x HTTP/1.1\r\nHost:%s\r\n", host)
	for n := 0; head.Len()+len("10000:\r\n\r\n") <= limit; n++ {
		fmt.Fprintf(&head, "%05d:\r\n", n)
	}
	head.WriteString("\r\n")
	c, err := net.Dial("tcp4", strings.TrimPrefix(b.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write(head.Bytes())
	require.NoError(t, err)
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, w.StatusCode)
}
