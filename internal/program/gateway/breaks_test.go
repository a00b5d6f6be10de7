package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
)

// logLines collects the lines that a process logs.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// WriteEntry stores a line.
func (l *logLines) WriteEntry(e *log.Entry) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(e.Value())
}

// of returns the lines of an event.
func (l *logLines) of(event string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []map[string]any
	for text := range bytes.Lines(l.buf.Bytes()) {
		var line map[string]any
		if json.Unmarshal(text, &line) == nil && line["event"] == event {
			list = append(list, line)
		}
	}
	return list
}

// Two callers' streams fail at the same moment at one target, and a third at another. The first
// target's process has ended, and its host refuses connections; the other target is live and ended
// its stream because a rank of its group was lost. Only requests of the first target may be
// suspected of having crashed a server.
func TestCrashIsDistinguishedFromALostConnection(t *testing.T) {
	alive, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer alive.Close()
	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	g := newGateway()
	logged := new(logLines)
	g.log = &log.Logger{Writer: logged}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.followFailures(ctx) }()
	target := func(id string, l net.Listener) roster.Target {
		return roster.Target{ID: id, Address: netip.MustParseAddrPort(l.Addr().String())}
	}
	var examined []chan presence.Presence
	failed := func(request quarantine.Fingerprint, target roster.Target) {
		done := make(chan presence.Presence, 1)
		examined = append(examined, done)
		g.connectionFailed(forward.ConnectionFailure{Run: quarantine.Run{Request: request}, Target: target, Examined: done})
	}
	failed(quarantine.Fingerprint{1}, target("gone", gone))
	failed(quarantine.Fingerprint{2}, target("alive", alive))
	failed(quarantine.Fingerprint{3}, target("gone", gone))
	for i, want := range []presence.Presence{presence.Absent, presence.Listening, presence.Absent} {
		require.Equal(t, want, <-examined[i])
		_, open := <-examined[i]
		require.False(t, open)
	}
	require.Len(t, logged.of("targetBroke"), 2)
	stop()
	require.NoError(t, <-ended)
	for _, line := range logged.of("targetBroke") {
		if line["target"] == "alive" {
			require.Equal(t, "listening", line["presence"])
			continue
		}
		require.Equal(t, "absent", line["presence"])
		require.Equal(t, []any{quarantine.Fingerprint{1}.String(), quarantine.Fingerprint{3}.String()}, line["fingerprints"])
	}
}
