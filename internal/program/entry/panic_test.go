package entry

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// Guards against one request that ends the entry, and all others with it.
func TestPanicInAPartOfARequest(t *testing.T) {
	x := &exchange{
		entry: &Entry{log: &log.Logger{Level: log.PanicLevel}}, events: make(chan request.Event, 1), ends: make(chan error, 1),
	}
	lost := request.Event{Kind: request.ConnectionSilent, Conn: 3}
	x.async(t.Context(), "stream", lost, func() error { return x.read(t.Context(), nil, nil, 3) })
	select {
	case ev := <-x.events:
		require.Equal(t, lost, ev)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the request waits for its stream")
	}
	require.Error(t, <-x.ends)
	require.Equal(t, 1, x.running)
}
