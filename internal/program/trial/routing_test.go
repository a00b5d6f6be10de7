package trial_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/entry"
	"wagtailshelf.example/wagtailshelf/internal/program/trial"
	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

// newAgenda starts two targets of the scheduling app and then an entry, whose UDP
// sockets socket may wrap.
func newAgenda(t *testing.T, socket func(net.PacketConn) net.PacketConn) (*trial.Deployment, *service.Service) {
	t.Helper()
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	logbook := service.New()
	for _, name := range []string{"agenda-0", "agenda-1"} {
		_, err := d.AddService(name, "mtl-a", logbook)
		require.NoError(t, err)
	}
	require.NoError(t, d.Put(testContext(t), "agenda", trial.AgendaDocument(d.Targets, "")))
	e, err := d.AddEntry("mtl-a-entry-0", "mtl-a", socket)
	require.NoError(t, err)
	require.Eventually(t, e.Ready, testTimeout, 5*time.Millisecond)
	return d, logbook
}

// newLateAgenda starts the entry first and its two targets after it.
func newLateAgenda(t *testing.T) *trial.Deployment {
	t.Helper()
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	e, err := d.AddEntry("mtl-a-entry-0", "mtl-a", nil)
	require.NoError(t, err)
	logbook := service.New()
	for _, name := range []string{"agenda-0", "agenda-1"} {
		_, err := d.AddService(name, "mtl-a", logbook)
		require.NoError(t, err)
	}
	require.NoError(t, d.Put(testContext(t), "agenda", trial.AgendaDocument(d.Targets, "")))
	require.Eventually(t, e.Ready, testTimeout, 5*time.Millisecond)
	return d
}

// targetState returns the first entry's view of a target.
func targetState(t *testing.T, d *trial.Deployment, name string) entry.TargetState {
	t.Helper()
	return targetStateAt(t, d.Entries[0], name)
}

func targetStateAt(t *testing.T, e *trial.Entry, name string) entry.TargetState {
	t.Helper()
	state, err := e.State(testContext(t))
	require.NoError(t, err)
	for _, r := range state.Routers {
		for _, s := range r.Targets {
			if string(s.Name) == name {
				return s
			}
		}
	}
	return entry.TargetState{} // its document isn't active yet
}

func requireEligible(t *testing.T, d *trial.Deployment, name string, want bool) {
	t.Helper()
	require.Eventually(t, func() bool { return targetState(t, d, name).Eligible == want }, testTimeout, 10*time.Millisecond)
}

// A target leaves while callers go on calling, and the platform lists no hosts.
// The target's sidecar refuses new requests from that moment and reports this to
// the entry, which sends the calls to the other target. No call fails, and the
// sidecar has left when its last request has ended.
func TestTargetLeavesUnderLoad(t *testing.T) {
	d, _ := newAgenda(t, nil)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var calls, failures atomic.Int64
	for range 8 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				calls.Add(1)
				resp := callGet(t, d, "/agenda/lists/anne", trial.SmallKey)
				if resp.StatusCode != http.StatusOK {
					failures.Add(1)
				}
			}
		})
	}
	require.Eventually(t, func() bool { return calls.Load() > 100 }, testTimeout, time.Millisecond)
	require.NoError(t, d.Targets[0].Sidecar.Drain(context.Background()))
	requireEligible(t, d, "agenda-0", false)
	seen := calls.Load()
	require.Eventually(t, func() bool { return calls.Load() > seen+100 }, testTimeout, time.Millisecond)
	close(stop)
	wg.Wait()
	require.Zero(t, failures.Load(), "of %d calls", calls.Load())
	left := targetState(t, d, "agenda-0")
	require.True(t, left.Leaving.Left)
	require.Zero(t, left.InFlight)

	t.Run("and returns only in a new incarnation", func(t *testing.T) {
		d.KillSidecar(d.Targets[0])
		require.NoError(t, d.RestartSidecar(d.Targets[0]))
		requireEligible(t, d, "agenda-0", true)
	})
}

// callGet makes a GET call and reads the response. It may be called from any
// goroutine of a test.
func callGet(t *testing.T, d *trial.Deployment, path, key string) *http.Response {
	return call(t, d, http.MethodGet, path, key, "")
}

func call(t *testing.T, d *trial.Deployment, method, path, key, body string) *http.Response {
	r, err := http.NewRequest(method, "http://"+d.Entries[0].Addr().String()+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NoError(t, err)
	_ = resp.Body.Close()
	return resp
}

// The document marks a target as leaving. The entry and the sidecar both act on it.
// A later document without that mark doesn't make this incarnation eligible again:
// the target may already be shutting down.
func TestTargetLeavingInDocument(t *testing.T) {
	d := newLateAgenda(t)
	requireEligible(t, d, "agenda-0", true)
	require.NoError(t, d.Put(testContext(t), "agenda", trial.AgendaDocument(d.Targets, "agenda-0")))
	requireEligible(t, d, "agenda-0", false)
	require.Eventually(t, d.Targets[0].Sidecar.Leaving, testTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return targetState(t, d, "agenda-0").Leaving.Document }, testTimeout, 10*time.Millisecond)
	for range 10 {
		require.Equal(t, http.StatusOK, callGet(t, d, "/agenda/lists/anne", trial.SmallKey).StatusCode)
	}
	require.NoError(t, d.Put(testContext(t), "agenda", trial.AgendaDocument(d.Targets, "")))
	require.Eventually(t, func() bool { return !targetState(t, d, "agenda-0").Leaving.Document }, testTimeout, 10*time.Millisecond)
	require.False(t, targetState(t, d, "agenda-0").Eligible)
	d.KillSidecar(d.Targets[0])
	require.NoError(t, d.RestartSidecar(d.Targets[0]))
	requireEligible(t, d, "agenda-0", true)
}

// Only the platform's list of hosts marks a host as leaving; the document and the
// sidecar don't. The entry reads the list, reports it to the fleet, and sends the
// target no new request.
func TestHostLeavingInPlatformList(t *testing.T) {
	d := newLateAgenda(t)
	requireEligible(t, d, "agenda-0", true)
	// The callers' requests go to this target. On a busy machine the entry may have reached only
	// the other one by now: the first probe of this target failed, and the next is 3 s later.
	requireEligible(t, d, "agenda-1", true)
	d.Platform.SetHost(platform.Host{
		Name: string(d.Targets[0].Host), DataCentre: "mtl-a", Role: "sidecar",
		Address: d.Targets[0].Sidecar.Addr(), State: platform.Leaving,
	})
	requireEligible(t, d, "agenda-0", false)
	require.False(t, d.Targets[0].Sidecar.Leaving())
	require.Equal(t, http.StatusOK, callGet(t, d, "/agenda/lists/anne", trial.SmallKey).StatusCode)
}

// droppingSocket is a UDP socket that drops all received packets while dropping is set.
type droppingSocket struct {
	net.PacketConn
	udp      *net.UDPConn
	dropping *atomic.Bool
}

// ReadFrom receives a packet. It drops what arrives while dropping is set.
func (s *droppingSocket) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, addr, err := s.PacketConn.ReadFrom(b)
		if err != nil || !s.dropping.Load() {
			return n, addr, err
		}
	}
}

// SetReadBuffer sets the size of the receive buffer. QUIC calls it.
func (s *droppingSocket) SetReadBuffer(bytes int) error { return s.udp.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the send buffer. QUIC calls it.
func (s *droppingSocket) SetWriteBuffer(bytes int) error { return s.udp.SetWriteBuffer(bytes) }

// SyscallConn gives access to the socket's options.
func (s *droppingSocket) SyscallConn() (syscall.RawConn, error) { return s.udp.SyscallConn() }

// An entry's packets reach the sidecars, but theirs don't reach the entry, on old
// connections and on new ones. A sidecar that began to leave now couldn't report
// it to the entry. After three seconds without a message the entry sends requests
// to none of them: its callers are refused at once rather than at their deadline.
// When packets arrive again, the entry reconnects to the sidecars by its own probes.
func TestSidecarsOutOfReach(t *testing.T) {
	var dropping atomic.Bool
	d, _ := newAgenda(t, func(c net.PacketConn) net.PacketConn {
		udp, ok := c.(*net.UDPConn)
		if !ok {
			return c
		}
		return &droppingSocket{PacketConn: c, udp: udp, dropping: &dropping}
	})
	require.Equal(t, http.StatusOK, callGet(t, d, "/agenda/lists/anne", trial.SmallKey).StatusCode)
	dropping.Store(true)
	requireEligible(t, d, "agenda-0", false)
	requireEligible(t, d, "agenda-1", false)
	resp := post(t, d, "/agenda/outcomes", trial.SmallKey, `{"call":"c1","outcome":"reached"}`)
	requireOutcome(t, resp, http.StatusServiceUnavailable, "notRun")
	dropping.Store(false)
	requireEligible(t, d, "agenda-0", true)
	requireEligible(t, d, "agenda-1", true)
	require.Equal(t, http.StatusOK, callGet(t, d, "/agenda/lists/anne", trial.SmallKey).StatusCode)
}

// The limits in the trial's documents.
const (
	runsPerTarget   = 24
	queuedPerTarget = 96
)

// Six hundred drafts arrive at once at two engines that hold all drafts until as many
// calls are refused as the engines have no room for. Each caller promptly gets its
// complete draft, or a refusal as not run with a retry delay, and those that run are
// answered. Refused requests aren't retried again and again: retries stay within the
// retry budget.
func TestAllTargetsFull(t *testing.T) {
	d := newDeployment(t)
	engines := d.Targets[:2]
	for _, target := range engines {
		requireEligible(t, d, target.Name, true) // on a busy machine the first probe may have failed
		target.Engine.SetFaults(engine.Faults{Held: true})
	}
	const calls = 600
	running := len(engines) * runsPerTarget
	room := running + len(engines)*queuedPerTarget
	var answered, refused atomic.Int64
	var mu sync.Mutex
	reasons := make(map[string]int) // of refusals
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			resp := call(t, d, http.MethodPost, "/redaction/v1/draft", []string{trial.SmallKey, trial.LargeKey}[i%2], `{"prompt":"bonjour","maxTokens":8}`)
			switch resp.StatusCode {
			case http.StatusOK:
				assert.Equal(t, "answered", resp.Trailer.Get(caller.OutcomeHeader))
				answered.Add(1)
			default:
				reason := resp.Header.Get(caller.ReasonHeader)
				assert.Equal(t, "notRun", resp.Header.Get(caller.OutcomeHeader), reason)
				assert.NotEmpty(t, resp.Header.Get("Retry-After"))
				mu.Lock()
				reasons[reason]++
				mu.Unlock()
				refused.Add(1)
			}
		})
	}
	full := assert.Eventually(t, func() bool { return refused.Load() >= int64(calls-room) }, testTimeout, time.Millisecond)
	assert.Zero(t, answered.Load(), "a held draft is answered")
	for _, target := range engines {
		target.Engine.SetFaults(engine.Faults{})
	}
	wg.Wait()
	t.Logf("%d answered, refused: %v", answered.Load(), reasons)
	require.True(t, full, "%d refused", refused.Load())
	require.EqualValues(t, calls, answered.Load()+refused.Load())
	require.GreaterOrEqual(t, answered.Load(), int64(running))
	state, err := d.Entries[0].State(testContext(t))
	require.NoError(t, err)
	for _, r := range state.Routers {
		if r.Service == "redaction" {
			require.EqualValues(t, calls, r.Retries.First)
			for _, target := range r.Targets {
				require.Zero(t, target.Failures, "a refusal is no failure of %s", target.Name)
				require.Zero(t, target.InFlight, "%s", target.Name)
			}
			require.LessOrEqual(t, r.Retries.Retries, uint64(0.2*calls+retry.DefaultConfig().Burst))
			t.Logf("%d retries", r.Retries.Retries)
		}
	}
}
