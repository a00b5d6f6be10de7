package trial

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const silentCalls = 8

// All connections of an entry go silent at once, and its only target is well.
// Each caller waits once, until the silence is found, and has its answer: the
// sidecar, asked on a fresh connection, has never seen the request, which goes
// there again. The end of that question's stream is not taken for silence; if it
// were, each request would close the connection under all others.
func TestCallersOfSilentConnectionsAreAnswered(t *testing.T) {
	d, err := NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	engine, err := d.AddEngine("redaction-0", "mtl-a")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	require.NoError(t, d.Put(ctx, "redaction", RedactionDocument([]*Target{engine}, "")))
	s := &session{Deployment: d, callers: newCallers(), holes: &holes{}}
	t.Cleanup(s.callers.close)
	_, err = d.AddEntry("mtl-a-entry-0", "mtl-a", s.holes.wrap)
	require.NoError(t, err)
	require.NoError(t, s.awaitReady(ctx))

	require.Equal(t, outcomeAnswered, s.drafts(ctx, 1)[0].outcome)
	s.holes.shutOpen()
	for _, r := range s.drafts(ctx, silentCalls) {
		require.Equal(t, outcomeAnswered, r.outcome, r.reason)
	}
}
