package trial

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const silentCalls = 8

// All connections of an entry stop passing packets at once, while its only target
// is healthy. Each caller waits until the silence is detected, only once, and then
// gets its answer: over a new connection the sidecar reports that it has never
// received the request, and the entry sends it there again. The end of the stream
// that carries this query must not be taken for silence; otherwise each request
// would close the connection that all others use.
func TestCallersOfSilentConnectionsAreAnswered(t *testing.T) {
	d, err := NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	engine, err := d.AddEngine("redaction-0", "mtl-a")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	require.NoError(t, d.Put(ctx, "redaction", RedactionDocument([]*Target{engine}, "")))
	s := &session{Deployment: d, callers: newCallers(), blackholes: &blackholes{}}
	t.Cleanup(s.callers.close)
	_, err = d.AddEntry("mtl-a-entry-0", "mtl-a", s.blackholes.wrap)
	require.NoError(t, err)
	require.NoError(t, s.awaitReady(ctx))

	require.Equal(t, outcomeAnswered, s.drafts(ctx, 1)[0].outcome)
	s.blackholes.dropPackets()
	for _, r := range s.drafts(ctx, silentCalls) {
		require.Equal(t, outcomeAnswered, r.outcome, r.reason)
	}
}
