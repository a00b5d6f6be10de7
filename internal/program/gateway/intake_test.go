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

// readyGateway returns an entry that knows all it needs, with its listener.
func readyGateway(t *testing.T) (*Gateway, net.Listener) {
	t.Helper()
	g := newGateway()
	g.installRules(deployed.Elapsed(), version(7))
	g.targets.Store(true)
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

// Guards against an entry that says ready while nothing takes connections, or reads requests on them.
func TestNotReadyWhileNoRequestIsRead(t *testing.T) {
	g, l := readyGateway(t)
	require.Equal(t, http.StatusServiceUnavailable, askReady(g), "the connection waits in the kernel's queue")
	go func() { _ = g.serveOn(t.Context(), l) }()
	require.Eventually(t, func() bool { return askReady(g) == http.StatusOK }, 20*time.Second, time.Millisecond)
}

// Guards against an entry that says ready while its admission gives no request its turn.
func TestNotReadyWhileAdmissionIsHeldUp(t *testing.T) {
	g, l := readyGateway(t)
	held, release := make(chan struct{}), make(chan struct{})
	rules := g.admit.RulesFor
	g.admit.RulesFor = func(service string) admission.Rules {
		close(held)
		<-release
		return rules(service)
	}
	go func() { _ = g.serveOn(t.Context(), l) }()
	require.Eventually(t, func() bool { return askReady(g) == http.StatusOK }, 20*time.Second, time.Millisecond)
	go g.admit.Arrive(time.Now(), &admission.Ticket{Service: "svc"})
	<-held
	require.Equal(t, http.StatusServiceUnavailable, askReady(g))
	close(release)
	require.Eventually(t, func() bool { return askReady(g) == http.StatusOK }, 20*time.Second, time.Millisecond)
}

// Guards against a failure that no log tells: an entry without processor time, or with its lock held.
func TestLateTurnsAreTold(t *testing.T) {
	now := time.Now()
	var p pulse
	turn := func(after time.Duration) (time.Duration, bool) {
		now = now.Add(after)
		return p.turn(now)
	}
	_, tell := turn(0)
	require.False(t, tell, "the first has none before it")
	_, tell = turn(tickInterval + lateTurn - time.Millisecond)
	require.False(t, tell)
	worst, tell := turn(tickInterval + lateTurn)
	require.True(t, tell)
	require.Equal(t, lateTurn, worst)
	_, tell = turn(tickInterval + lateTurn + time.Millisecond)
	require.False(t, tell, "one line a second")
	worst, tell = turn(tellTurns)
	require.True(t, tell)
	require.Equal(t, tellTurns-tickInterval, worst)
}
