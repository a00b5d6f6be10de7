package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// All request slots are taken, and callers leave the full queue. Later callers find it empty: they
// are neither refused because of it nor queued behind abandoned requests.
func TestCallersLeaveTheQueue(t *testing.T) {
	release := make(chan struct{})
	server := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		<-release
		w.Complete(http.StatusOK, "hello")
	})
	b := newTestbed(t, server)
	const slots = 4 // as many requests may be queued
	answers := make(chan answer, 2*slots)
	begin := func(ctx context.Context) { answers <- b.do(ctx, http.MethodPost, "/unsafe/x", "", "") }
	requireWaiting := func(n int) {
		t.Helper()
		require.Eventually(t, func() bool { return b.Admission.Waiting("svc") == n }, 10*time.Second, time.Millisecond)
	}
	for range slots {
		go begin(t.Context())
	}
	require.Eventually(t, func() bool { return len(server.Seen()) == slots }, 10*time.Second, time.Millisecond)
	ctx, leave := context.WithCancel(t.Context())
	for range slots {
		go begin(ctx)
	}
	requireWaiting(slots)
	leave()
	for range slots {
		require.Error(t, (<-answers).err)
	}
	requireWaiting(0)
	close(release)
	for range slots {
		requireServed(t, <-answers, "hello")
	}
}
