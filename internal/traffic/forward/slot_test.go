package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

const (
	// slots is how many requests the testbed sends to a target at the same time.
	slots = 4
	// avoided is longer than a target is avoided after some failures.
	avoided = 5 * time.Second
)

// requireSlotsFree sends as many requests that fail as the server has slots, and requires that a
// sound one gets a slot after them.
func requireSlotsFree(t *testing.T, b *testbed, s *standin.Server) {
	t.Helper()
	require.Eventually(t, func() bool {
		_ = b.call(http.MethodPost, "/unsafe/bad") // how it fails is checked elsewhere
		return len(s.Seen()) == slots
	}, slots*avoided, time.Millisecond)
	require.Eventually(t, func() bool {
		return b.call(http.MethodPost, "/unsafe/good").status == http.StatusOK
	}, avoided, time.Millisecond)
}

// whenBad returns a handler that answers the requests of requireSlotsFree that fail by calling bad.
func whenBad(bad func(standin.Reply)) func(standin.Reply, standin.Request) {
	return func(w standin.Reply, r standin.Request) {
		if strings.HasSuffix(r.URI, "/bad") {
			bad(w)
			return
		}
		w.Complete(http.StatusOK, "hello")
	}
}

// A server's response has a status that can't be passed on. The entry must answer its callers, and
// the slots at the server must not be lost.
func TestImpossibleStatusKeepsNoSlot(t *testing.T) {
	s := standin.NewServer(t, whenBad(func(w standin.Reply) {
		w.Bytes(strings.Replace(w.Wire("Content-Length: 0\r\n", ""), "200", "020", 1))
	}))
	b := newTestbed(t, s)
	a := b.call(http.MethodPost, "/unsafe/bad")
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status)
	requireSlotsFree(t, b, s)
}

// A fault of the entry ends a request by a panic while it holds a slot.
func TestPanicKeepsNoSlot(t *testing.T) {
	s := standin.NewServer(t, whenBad(func(w standin.Reply) { w.Misdirected() }))
	b := newTestbed(t, s)
	b.OnMisdirected = func(roster.Target, string) { panic(http.ErrAbortHandler) }
	requireSlotsFree(t, b, s)
	require.Equal(t, Unknown, b.firstEnded().Outcome)
	require.Equal(t, reasonPanic, b.firstEnded().Reason)
}

// A fault of the entry ends the probe of a request that crashes targets by a panic. If the probe never
// ended, the request would never be sent again.
func TestPanicEndsItsProbe(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Misdirected() }))
	b.OnMisdirected = func(roster.Target, string) { panic(http.ErrAbortHandler) }
	f := b.crashTwoTargets(http.MethodPost, "/safe/x", "fatal")
	probeDue := time.Now().Add(5 * time.Minute)
	b.Now = func() time.Time { return probeDue }
	require.Error(t, b.do(t.Context(), http.MethodPost, "/safe/x", "", "fatal").err)
	require.True(t, b.firstEnded().Probe)
	require.True(t, b.Quarantine.Begin(probeDue.Add(24*time.Hour), f).Probe, "the next one")
}
