package trial_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/trial"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

// Guards against a request that crashes each target that runs it, and that the caller sends
// again to another entry after each error. When neither the entries nor the sidecars, which see
// their targets crash, remembered the request, each attempt crashed up to three more targets, as
// many as the document allows attempts.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	t.Parallel()
	requireStopped(t, 40*time.Millisecond, 6, "three crashes, and three retries that were already in flight")
}

// The targets take longer to restart than an entry takes to report a crash to the other entries.
// The other entry then doesn't let the request crash any further target.
func TestCrashesAreReportedToOtherEntries(t *testing.T) {
	t.Parallel()
	requireStopped(t, 400*time.Millisecond, 3, "three crashes")
}

// requireStopped sends a request that crashes targets again and again, and requires that it
// crashes no more targets after the first attempts, and at most a given number in all. A target
// stays down for the given time after each crash.
func requireStopped(t *testing.T, down time.Duration, most int, why string) {
	t.Helper()
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	crashing := trial.NewCrashingTargets(service.New(), "/fatal", down)
	for n := range 4 {
		_, err := d.AddCrashingTarget(fmt.Sprint("agenda-", n), "mtl-a", crashing)
		require.NoError(t, err)
	}
	require.NoError(t, d.Put(testContext(t), "agenda", trial.AgendaDocument(d.Targets, "")))
	for n := range 2 {
		e, err := d.AddEntry(host.Name(fmt.Sprint("mtl-a-entry-", n)), "mtl-a", nil)
		require.NoError(t, err)
		require.Eventually(t, e.Ready, testTimeout, 5*time.Millisecond)
	}
	get := func(entry int, path string) int {
		r, err := http.NewRequestWithContext(testContext(t), http.MethodGet, "http://"+d.Entries[entry].Addr().String()+path, nil)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+trial.LargeKey)
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		defer w.Body.Close()
		return w.StatusCode
	}
	served := func(entry int) func() bool {
		return func() bool { return crashing.Up() && get(entry, "/agenda/lists/others") == http.StatusOK }
	}
	const attempts = 16
	before := 0 // crashes when the last eight attempts began
	for n := range attempts {
		require.Eventually(t, served(n%2), testTimeout, 5*time.Millisecond)
		if n == attempts/2 {
			before = crashing.Crashes()
		}
		status := get(n%2, "/agenda/lists/fatal")
		require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, status)
	}
	t.Logf("%d crashes", crashing.Crashes())
	require.Equal(t, before, crashing.Crashes(), "no attempt reaches a target once the request is known to crash targets")
	require.LessOrEqual(t, before, most, why)
	require.Eventually(t, served(0), testTimeout, 5*time.Millisecond)
	require.Eventually(t, served(1), testTimeout, 5*time.Millisecond)
	require.Empty(t, d.Violations())
}

// Guards against requests of which no two are alike, and that share a leading part which crashes each target.
func TestLeadingPartThatCrashesTargetsIsStopped(t *testing.T) {
	t.Parallel()
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	crashing := trial.NewCrashingTargets(service.New(), "/fatal", 40*time.Millisecond)
	crashing.FatalBody = strings.Repeat("bad ", 16)
	for n := range 4 {
		_, err := d.AddCrashingTarget(fmt.Sprint("agenda-", n), "mtl-a", crashing)
		require.NoError(t, err)
	}
	settings := trial.AgendaDocument(d.Targets, "") + "affinity: {blockBytes: 64B, blocks: 8}\n"
	require.NoError(t, d.Put(testContext(t), "agenda", settings))
	for n := range 2 {
		e, err := d.AddEntry(host.Name(fmt.Sprint("mtl-a-entry-", n)), "mtl-a", nil)
		require.NoError(t, err)
		require.Eventually(t, e.Ready, testTimeout, 5*time.Millisecond)
	}
	preamble := strings.Repeat("hello ", 32) // three blocks
	get := func(n int, prompt string) int {
		body := strings.NewReader(preamble + prompt + fmt.Sprint(" question ", n, strings.Repeat(" more", 20)))
		r, err := http.NewRequestWithContext(testContext(t), http.MethodGet, "http://"+d.Entries[n%2].Addr().String()+"/agenda/lists/others", body)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+trial.LargeKey)
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		defer w.Body.Close()
		return w.StatusCode
	}
	before := 0 // crashes when the last eight attempts began
	for n := range 16 {
		require.Eventually(t, func() bool { return crashing.Up() && get(n, "") == http.StatusOK }, testTimeout, 5*time.Millisecond)
		if n == 8 {
			before = crashing.Crashes()
		}
		crashes := crashing.Crashes()
		require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, get(n, crashing.FatalBody))
		require.LessOrEqual(t, crashing.Crashes(), crashes+1, "it is not sent on after a crash")
	}
	t.Logf("%d crashes", crashing.Crashes())
	require.LessOrEqual(t, crashing.Crashes(), 5)
	require.Equal(t, before, crashing.Crashes(), "no attempt reaches a target once the part is known to crash targets")
	require.Empty(t, d.Violations())
}
