package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// A hundred callers waited for a group and are refused at the same moment. If all received the
// same Retry-After, they would retry together, and most of them would be refused once more.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	b := newTestbed(t)
	now := time.Now()
	c := &call{f: b.Forwarder, deadline: now.Add(6 * time.Second)}
	b.Now = func() time.Time { return now }
	longest := c.retryDelay()
	require.Equal(t, 2*time.Second, longest)
	early, late := 0, 0
	for range 200 {
		after := c.retryDelaySpread()
		require.GreaterOrEqual(t, after, time.Duration(minRetryShare*float64(longest)))
		require.LessOrEqual(t, after, longest)
		if after < longest*6/10 {
			early++
		}
		if after > longest*8/10 {
			late++
		}
	}
	require.Greater(t, early, 20)
	require.Greater(t, late, 20)
}

// After the last workspace was removed, neither its key nor any other is served or passed on.
func TestNoKeyIsServedWithoutWorkspaces(t *testing.T) {
	s := standin.NewServer(t, complete("hello"))
	b := newTestbed(t, s)
	next := *testConfig()
	next.Workspaces, next.Keyed = nil, true
	b.configuration.Config = routing.New(next)
	for _, key := range []string{"k1", "never", ""} {
		require.Equal(t, http.StatusUnauthorized, b.do(t.Context(), http.MethodGet, "/keyed/x", key, "").status)
	}
	requireServed(t, b.do(t.Context(), http.MethodGet, "/safe/x", "k1", ""), "hello")
	require.Len(t, s.Seen(), 1)
	require.Empty(t, s.Seen()[0].Key, "the key is not sent to targets")
}
