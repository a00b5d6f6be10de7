package trial_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/trial"
	standinplatform "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

// postKeyed logs an outcome through one of the entries, with an Idempotency-Key.
func postKeyed(t *testing.T, d *trial.Deployment, entry int, key, body string) *http.Response {
	t.Helper()
	url := "http://" + d.Entries[entry].Addr().String() + "/agenda/outcomes"
	r, err := http.NewRequestWithContext(testContext(t), http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+trial.SmallKey)
	r.Header.Set(caller.KeyHeader, key)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// A caller sends a request with an Idempotency-Key and, as it can't know whether
// that arrived, sends it again through another entry. The request runs once, and
// both calls get its response. During an outage of the platform such a request is
// refused as not run.
func TestKeyedCallsThroughTwoEntries(t *testing.T) {
	d := newDeployment(t)
	second, err := d.AddEntry("mtl-a-entry-1", "mtl-a", nil)
	require.NoError(t, err)
	require.Eventually(t, second.Ready, testTimeout, 5*time.Millisecond)
	// A ready entry has the documents, but may not have reached the target yet.
	require.Eventually(t, func() bool { return targetStateAt(t, second, "agenda-0").Eligible }, testTimeout, 10*time.Millisecond)
	logbook := d.Targets[2].Service
	const body = `{"call":"c7","outcome":"reached"}`
	requireRuns := func(t *testing.T, want int) {
		t.Helper()
		runs := 0
		for _, l := range logbook.Logged() {
			runs += l.Count
		}
		require.Equal(t, want, runs)
	}

	t.Run("one after the other", func(t *testing.T) {
		first := requireOutcome(t, postKeyed(t, d, 0, "k1", body), http.StatusCreated, "answered")
		again := requireOutcome(t, postKeyed(t, d, 1, "k1", body), http.StatusCreated, "answered")
		require.Equal(t, first, again)
		requireRuns(t, 1)
	})
	t.Run("at once", func(t *testing.T) {
		var wg sync.WaitGroup
		responses := make([]*http.Response, 8)
		for i := range responses {
			wg.Go(func() { responses[i] = postKeyed(t, d, i%2, "k2", body) })
		}
		wg.Wait()
		answered := 0
		for _, r := range responses {
			if r.StatusCode == http.StatusCreated {
				answered++
			} else {
				requireOutcome(t, r, http.StatusConflict, "unknown")
			}
		}
		require.Positive(t, answered)
		requireRuns(t, 2)
	})
	t.Run("for another call", func(t *testing.T) {
		requireOutcome(t, postKeyed(t, d, 1, "k1", `{"call":"c8"}`), http.StatusUnprocessableEntity, "notRun")
	})
	t.Run("while the platform is out", func(t *testing.T) {
		d.Platform.SetFaults(standinplatform.Faults{Outage: true})
		defer d.Platform.SetFaults(standinplatform.Faults{})
		requireOutcome(t, postKeyed(t, d, 0, "k3", body), http.StatusServiceUnavailable, "notRun")
		requireRuns(t, 2)
	})
}

// The sidecar of a streaming request is killed in the middle of the stream and
// restarts. The stream must continue at the byte that the caller has, from the
// same run of the engine: the engine starts only one run.
func TestSidecarDiesWithinAStream(t *testing.T) {
	d := newDeployment(t)
	resp := post(t, d, "/redaction/v1/draft", trial.LargeKey, `{"prompt":"bonjour","maxTokens":120}`)
	first := make([]byte, 64)
	_, err := io.ReadFull(resp.Body, first)
	require.NoError(t, err)
	id := resp.Header.Get(caller.RequestIDHeader)
	for _, target := range d.Targets[:2] {
		if target.Engine.Runs(id).Starts > 0 {
			d.KillSidecar(target)
			require.NoError(t, d.RestartSidecar(target))
		}
	}
	rest := requireOutcome(t, resp, http.StatusOK, "answered")
	events := strings.Split(strings.TrimSuffix(string(first)+string(rest), "\n\n"), "\n\n")
	require.Len(t, events, 121)
	for i, event := range events[:120] {
		require.Contains(t, event, fmt.Sprintf(`"index":%d,`, i))
	}
	starts := 0
	for _, target := range d.Targets[:2] {
		starts += target.Engine.Runs(id).Starts
	}
	require.Equal(t, 1, starts)
}

// loadOf returns the load that a target's engine reports.
func loadOf(target *trial.Target) string {
	w := httptest.NewRecorder()
	target.Engine.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/load", nil))
	return w.Body.String()
}

// Guards against a stream in place of the answer that a caller asked for: the sidecar of a request for a whole answer
// is killed before that comes, and its next incarnation asks the engine for the run.
func TestWholeAnswerDoesNotBecomeAStream(t *testing.T) {
	d := newDeployment(t)
	for name, padding := range map[string]int{"short": 0, "longer than a message": 70 << 10} {
		t.Run(name, func(t *testing.T) {
			answer := make(chan *http.Response, 1)
			go func() {
				body := `{"prompt":"bonjour ` + strings.Repeat("a", padding) + `","maxTokens":120,"stream":false}`
				answer <- post(t, d, "/redaction/v1/draft", trial.LargeKey, body)
			}()
			killed := false
			require.Eventually(t, func() bool {
				for _, target := range d.Targets[:2] {
					if !killed && strings.Contains(loadOf(target), `"running":1`) {
						d.KillSidecar(target)
						require.NoError(t, d.RestartSidecar(target))
						killed = true
					}
				}
				return killed
			}, testTimeout, time.Millisecond)
			resp := <-answer
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			if resp.StatusCode == http.StatusOK {
				require.Contains(t, resp.Header.Get("Content-Type"), "application/json", "%.300s", body)
				require.Contains(t, string(body), `"tokens":120`)
			}
			t.Logf("status %d, %.100s", resp.StatusCode, body)
		})
	}
}
