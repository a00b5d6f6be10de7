package trial_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/trial"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

// A caller's request crashes each target that runs it. It gets an error and sends it again, to
// another entry. Neither the entries nor the sidecars, which see their targets end, remembered
// it: each attempt crashed up to three more targets, as many as its document allows.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	t.Parallel()
	requireStopped(t, 40*time.Millisecond, 6, "three crashes, and three repeats that were under way")
}

// The same, with targets that take longer to start again than it takes an entry to tell the
// others what it saw. The other entry lets the request crash no target of its own.
func TestOtherEntriesHearOfCrashes(t *testing.T) {
	t.Parallel()
	requireStopped(t, 400*time.Millisecond, 3, "three crashes")
}

// requireStopped sends a request that crashes targets, which are down for a time after each
// crash, and requires that it stops with a number of crashes.
func requireStopped(t *testing.T, down time.Duration, most int, why string) {
	t.Helper()
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	crashing := trial.NewCrashing(service.New(), "/fatal", down)
	for n := range 4 {
		_, err := d.AddCrashing(fmt.Sprint("agenda-", n), "mtl-a", crashing)
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
	require.Equal(t, before, crashing.Crashes(), "once it is known no attempt reaches a target")
	require.LessOrEqual(t, before, most, why)
	require.Eventually(t, served(0), testTimeout, 5*time.Millisecond)
	require.Eventually(t, served(1), testTimeout, 5*time.Millisecond)
	require.Empty(t, d.Violations())
}
