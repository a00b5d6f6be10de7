package sidecar

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
)

// Guards against a gap in the middle of a stream: when the sidecar ends while a stream is
// sent, an event was dropped and a later one still accepted.
func TestNoEventIsTakenAfterOneWasDropped(t *testing.T) {
	d := &desk{ring: make(chan deskEvent, deskRing)}
	ctx, end := context.WithCancel(t.Context())
	require.True(t, d.putBook(ctx, book.Event{Kind: book.EngineData}))
	end()
	for range 100 {
		require.False(t, d.putBook(ctx, book.Event{Kind: book.EngineData}))
	}
	require.Len(t, d.ring, 1)
}
