package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// lateUpload is a request whose head is sent before an entry is asked to stop, and whose body ends later.
type lateUpload struct {
	id     string
	status int // 0 if the connection ended without a complete response
}

// beginUpload sends a request but for the last byte of its body.
func beginUpload(t *testing.T, e *running, path, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", e.callers.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer k1\r\nWagtailshelf-Request-Id: %s\r\n"+
		"Wagtailshelf-Request-Timeout-Ms: 20000\r\nContent-Length: 10\r\n\r\nabcdefghi", path, callsHost, id)
	require.NoError(t, err)
	return c
}

// finish sends the last byte and returns the status of the response; 0 if there is no complete one.
func finish(c net.Conn) int {
	_, _ = io.WriteString(c, "j") // fails if the entry has refused the request already
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer w.Body.Close()
	if _, err := io.Copy(io.Discard, w.Body); err != nil {
		return 0
	}
	if w.StatusCode == http.StatusServiceUnavailable && w.Header.Get("Retry-After") == "" {
		return 0
	}
	return w.StatusCode
}

// Guards against requests that come late in the grace, as uploads that end then do, are passed on, and cut with no
// answer when the process has to end.
func TestLateRequestsAreNotCut(t *testing.T) {
	const count, step = 38, 200 * time.Millisecond
	for _, takes := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
		for _, kind := range []string{"safe", "unsafe"} {
			t.Run(kind+" "+takes.String(), func(t *testing.T) {
				t.Parallel()
				store := standin.NewStore(t)
				require.NoError(t, store.PutConfig(standin.Config{
					Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
					Routes: []standin.Route{{Name: "r", Kind: kind, Service: "app"}},
				}))
				var servers []*standin.Server
				for n := range 6 {
					s := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
						time.Sleep(takes)
						w.Complete(http.StatusOK, "hello")
					})
					servers = append(servers, s)
					store.PutServer(fmt.Sprint("s-", n), "app", s.Address)
				}
				e := start(t, "entry-1", store.Address)
				e.call(t, "before", "/r/x", "x") // the entry learns how long they take; its caller may leave before

				var sent [count]lateUpload
				var conns [count]net.Conn
				for n := range sent {
					sent[n].id = fmt.Sprint("late-", n)
					conns[n] = beginUpload(t, e, "/r/x", sent[n].id)
				}
				stopped := make(chan struct{})
				begin := time.Now()
				go func() {
					defer close(stopped)
					e.stop()
				}()
				var ends sync.WaitGroup
				for n := range sent {
					ends.Go(func() {
						time.Sleep(time.Until(begin.Add(time.Duration(n) * step)))
						sent[n].status = finish(conns[n])
					})
				}
				ends.Wait()
				<-stopped
				requireNoneCut(t, servers, sent[:])
				require.Equal(t, http.StatusOK, sent[0].status, "what comes while callers are sent here is served")
			})
		}
	}
}

// requireNoneCut checks that each request that reached a server has its answer.
func requireNoneCut(t *testing.T, servers []*standin.Server, sent []lateUpload) {
	t.Helper()
	ran := make(map[string]bool)
	for _, s := range servers {
		for _, r := range s.Seen() {
			ran[r.ID] = true
		}
	}
	served, refused, cut := 0, 0, errors.New("none")
	for n, u := range sent {
		switch {
		case ran[u.id] && u.status != http.StatusOK:
			cut = fmt.Errorf("request %d reached a server and got status %d", n, u.status)
		case u.status == http.StatusOK:
			served++
		default:
			refused++
		}
	}
	t.Logf("%d served, %d refused", served, refused)
	require.EqualError(t, cut, "none")
}
