package trial_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/trial"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

// Guards against requests that a sidecar forwards to its target during a back-off that the target
// asked for.
func TestSidecarRespectsTargetBackoff(t *testing.T) {
	const (
		backoff   = 3 * time.Second
		inTransit = 500 * time.Millisecond
	)
	d := newDeployment(t)
	second, err := d.AddService("agenda-1", "mtl-a", service.New())
	require.NoError(t, err)
	require.NoError(t, d.Put(testContext(t), "agenda", trial.AgendaDocument(d.Targets[2:], "")))
	serves := func(body string) bool {
		resp := post(t, d, "/agenda/outcomes", trial.SmallKey, body)
		if resp.StatusCode == http.StatusCreated {
			return true
		}
		text, err := io.ReadAll(resp.Body)
		t.Logf("%s: status %d, %s, error %v", body, resp.StatusCode, text, err)
		return false
	}
	require.Eventually(t, func() bool {
		return serves("warm") && len(second.Service.Logged()) > 0
	}, testTimeout, 10*time.Millisecond, "both targets get requests")
	second.Service.SetFaults(service.Faults{Refuse: true, Backoff: backoff})
	require.Eventually(t, func() bool { serves("first"); return len(second.Service.RefusedAt()) > 0 }, testTimeout, time.Millisecond)
	refused := 0
	for n := 0; time.Since(second.Service.RefusedAt()[0]) < backoff; n++ {
		if !serves(fmt.Sprint("call ", n)) {
			refused++
		}
		time.Sleep(20 * time.Millisecond)
	}
	refusals := second.Service.RefusedAt()
	late := 0
	for _, at := range refusals {
		if after := at.Sub(refusals[0]); after > inTransit && after < backoff {
			late++
		}
	}
	t.Logf("%d requests reached the target during its back-off, %d callers were not served", late, refused)
	require.LessOrEqual(t, late, 2)
	require.Zero(t, refused, "the other target serves")
}

// Guards against requests that are queued at a sidecar and sent to its target although the target
// has asked for back-off meanwhile.
func TestWhatWaitsAtASidecarIsNotSentIntoARest(t *testing.T) {
	const calls = 160
	d := newDeployment(t)
	agenda := d.Targets[2].Service
	gate := make(chan struct{})
	agenda.SetFaults(service.Faults{Refuse: true, Backoff: testTimeout, Hold: gate})
	var ended sync.WaitGroup
	for n := range calls {
		ended.Go(func() { post(t, d, "/agenda/outcomes", trial.SmallKey, fmt.Sprint("call ", n)) })
	}
	arrived := 0
	require.Eventually(t, func() bool { // the sidecar sends no more, as the target is full
		before := arrived
		arrived = agenda.Held()
		return arrived > 0 && before == arrived
	}, testTimeout, 200*time.Millisecond)
	gate <- struct{}{} // one response asks for back-off, all other requests are still at the target
	require.Eventually(t, func() bool { return len(agenda.RefusedAt()) == 1 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		resp := post(t, d, "/agenda/outcomes", trial.SmallKey, "probe")
		body, err := io.ReadAll(resp.Body)
		known := strings.Contains(string(body), "targetRests") || strings.Contains(string(body), "noTarget")
		return err == nil && known // the sidecar says so, or the entry, which heard it from the sidecar
	}, testTimeout, time.Millisecond)
	close(gate)
	ended.Wait()
	require.Less(t, arrived, calls, "some requests were queued at the sidecar")
	require.Equal(t, arrived, len(agenda.RefusedAt()), "none was sent once the sidecar knew")
}
