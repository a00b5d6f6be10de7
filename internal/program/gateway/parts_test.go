package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// callPrompt sends a request whose prompt has the given parts, and returns the status.
func (e *running) callPrompt(t *testing.T, id, path, body, parts string) int {
	t.Helper()
	r := standin.NewCall(http.MethodPost, "http://"+e.callers.String()+path, id, "k1", 4000, strings.NewReader(body))
	r.Host = callsHost
	r.Header.Set("Wagtailshelf-Prompt-Prefix", parts)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Do(r)
	require.NoError(t, err)
	defer w.Body.Close()
	if _, err := io.Copy(io.Discard, w.Body); err != nil {
		return 0 // the response was truncated
	}
	return w.StatusCode
}

// callSound sends a request without a part that crashes servers, and requires that it is served.
func (e *running) callSound(t *testing.T, n int) {
	t.Helper()
	status := e.callPrompt(t, fmt.Sprint("sound-", n), "/safe/x", fmt.Sprint("sound ", n), fmt.Sprintf("5c1e:40,%x:600", 1000+n))
	require.Equal(t, http.StatusOK, status, "%v", e.logged.of("request"))
}

// callFatal sends a request that no other is like, with the part bad in its prompt, and a part of sound requests.
func (e *running) callFatal(t *testing.T, n int) {
	t.Helper()
	status := e.callPrompt(t, fmt.Sprint("fatal-", n), "/safe/x", fmt.Sprint("fatal ", n), fmt.Sprintf("5c1e:40,bad:100,%x:600", 2000+n))
	require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, status)
}

// Guards against entries that remember whole requests only: requests that share a part of their prompts
// crash one server after another, as no two are alike.
func TestPartThatCrashesServersIsStopped(t *testing.T) {
	t.Parallel()
	servers, entries := startCrashSetup(t, standin.NewCrashing)
	afterFifth := 0 // requests that reached servers once five had crashed
	for n := range 24 {
		awaitServers(t, servers, entries)
		entries[(n+1)%2].callSound(t, n)
		crashes, reached := servers.Crashes(), len(servers.FatalBodies())
		entries[n%2].callFatal(t, n)
		if crashes >= 5 {
			afterFifth += len(servers.FatalBodies()) - reached
		}
	}
	t.Logf("%d crashes, %d requests reached a server", servers.Crashes(), len(servers.FatalBodies()))
	require.LessOrEqual(t, afterFifth, 3, "requests with the part that reached servers after the fifth crash")
	awaitServers(t, servers, entries)
	for n, e := range entries {
		e.callSound(t, 100+n)
	}
}

// Guards against an entry that sends a request to the next server before it knows that the first one
// crashed, and a part of the request's prompt may be why.
func TestRequestIsNotSentOnWhileItsPartIsSuspected(t *testing.T) {
	t.Parallel()
	servers, entries := startCrashSetup(t, standin.NewCrashing)
	awaitServers(t, servers, entries)
	for n := range 40 { // so that the retry budget allows a second attempt
		entries[0].callSound(t, n)
	}
	entries[0].callFatal(t, 0)
	require.Never(t, func() bool { return servers.Crashes() > 1 }, 100*time.Millisecond, time.Millisecond)
	require.Len(t, servers.FatalBodies(), 1)
}
