package trial_test

import (
	"fmt"
	"net/http"
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
		return post(t, d, "/agenda/outcomes", trial.SmallKey, body).StatusCode == http.StatusCreated
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
	const backoff = 3 * time.Second
	d := newDeployment(t)
	agenda := d.Targets[2].Service
	agenda.SetFaults(service.Faults{Refuse: true, Backoff: backoff, Slowness: 300 * time.Millisecond})
	var calls sync.WaitGroup
	for n := range 160 {
		calls.Go(func() { post(t, d, "/agenda/outcomes", trial.SmallKey, fmt.Sprint("call ", n)) })
	}
	calls.Wait()
	refusals := agenda.RefusedAt()
	require.NotEmpty(t, refusals)
	require.Less(t, len(refusals), 160, "some requests were queued at the sidecar")
	for _, at := range refusals {
		require.Less(t, at.Sub(refusals[0]), 300*time.Millisecond, "%d requests were refused by the target", len(refusals))
	}
}
