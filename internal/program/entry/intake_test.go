package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that says ready while no request gets its router.
func TestEntryDoesNotServeWhileItsRoutersAreLocked(t *testing.T) {
	e := newEntry(t)
	go func() { _ = e.server.Serve(e.socket) }()
	works := func() bool { return e.intake.Works(t.Context()) }
	require.Eventually(t, works, 20*time.Second, time.Millisecond)
	require.False(t, e.Serves(t.Context()), "it has learnt nothing yet")
	e.mu.Lock()
	require.False(t, works())
	e.mu.Unlock()
	require.Eventually(t, works, 20*time.Second, time.Millisecond)
}
