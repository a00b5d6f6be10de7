package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
)

// readyGateway returns an entry that has its configuration, targets and records of crashes, with its listener.
func readyGateway(t *testing.T) (*Gateway, net.Listener) {
	t.Helper()
	g := newGateway()
	g.installConfig(deployed.Elapsed(), version(7))
	g.targetsListed.Store(true)
	g.crashes.MarkLoaded()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	g.intake.Address = netip.MustParseAddrPort(l.Addr().String())
	return g, l
}

func askReady(g *Gateway) int {
	w := httptest.NewRecorder()
	g.readiness().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
	return w.Code
}

// Guards against an entry that reports ready while nothing accepts connections or reads requests.
func TestNotReadyWhileNoRequestIsRead(t *testing.T) {
	g, l := readyGateway(t)
	require.Equal(t, http.StatusServiceUnavailable, askReady(g), "the connection waits in the kernel's queue")
	go func() { _ = g.serveOn(t.Context(), l) }()
	require.Eventually(t, func() bool { return askReady(g) == http.StatusOK }, 20*time.Second, time.Millisecond)
}

// Guards against an entry that reports ready while its admission handles no request.
func TestNotReadyWhileAdmissionIsBlocked(t *testing.T) {
	g, l := readyGateway(t)
	blocked, release := make(chan struct{}), make(chan struct{})
	limitsFor := g.admit.RulesFor
	g.admit.RulesFor = func(service string) admission.Limits {
		close(blocked)
		<-release
		return limitsFor(service)
	}
	go func() { _ = g.serveOn(t.Context(), l) }()
	require.Eventually(t, func() bool { return askReady(g) == http.StatusOK }, 20*time.Second, time.Millisecond)
	go g.admit.Arrive(time.Now(), &admission.Ticket{Service: "svc"})
	<-blocked
	require.Equal(t, http.StatusServiceUnavailable, askReady(g))
	close(release)
	require.Eventually(t, func() bool { return askReady(g) == http.StatusOK }, 20*time.Second, time.Millisecond)
}

// Guards against a failure that no log shows: an entry without processor time, or with its lock held.
func TestLateTicksAreLogged(t *testing.T) {
	now := time.Now()
	var lag tickLag
	tick := func(after time.Duration) (time.Duration, bool) {
		now = now.Add(after)
		return lag.tick(now)
	}
	_, report := tick(0)
	require.False(t, report, "the first tick has no predecessor")
	_, report = tick(tickInterval + lateTick - time.Millisecond)
	require.False(t, report)
	worst, report := tick(tickInterval + lateTick)
	require.True(t, report)
	require.Equal(t, lateTick, worst)
	_, report = tick(tickInterval + lateTick + time.Millisecond)
	require.False(t, report, "one line a second")
	worst, report = tick(lateTickLogInterval)
	require.True(t, report)
	require.Equal(t, lateTickLogInterval-tickInterval, worst)
}
