package crashes

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
)

// Guards against a line of a probe that names suspects without a bound, or not why it was allowed.
func TestProbeIsLogged(t *testing.T) {
	var text bytes.Buffer
	many := make([]quarantine.Fingerprint, 3*maxLoggedSuspects)
	LogProbe(&log.Logger{Writer: &log.IOWriter{Writer: &text}}, quarantine.Probe{
		Why: quarantine.Subset, Request: fatal, Tests: many, Without: many, Crashes: 2, Trials: 1,
	})
	var line struct {
		Event, Why, Fingerprint string
		Tests, Without          []string
		Crashes, Trials         int
	}
	require.NoError(t, json.Unmarshal(text.Bytes(), &line))
	require.Len(t, line.Tests, maxLoggedSuspects)
	require.Len(t, line.Without, maxLoggedSuspects)
	line.Tests, line.Without = nil, nil
	require.Equal(t, "probeAllowed subset "+fatal.String(), line.Event+" "+line.Why+" "+line.Fingerprint)
	require.Equal(t, []int{2, 1}, []int{line.Crashes, line.Trials})
}
