package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that reports ready while no request can find its router.
func TestEntryDoesNotServeWhileItsRoutersAreLocked(t *testing.T) {
	e := newEntry(t)
	go func() { _ = e.server.Serve(e.callerListener) }()
	works := func() bool { return e.intake.Works(t.Context()) }
	require.Eventually(t, works, 20*time.Second, time.Millisecond)
	require.False(t, e.Serves(t.Context()), "it has read no documents yet")
	e.mu.Lock()
	require.False(t, works())
	e.mu.Unlock()
	require.Eventually(t, works, 20*time.Second, time.Millisecond)
}
