package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// chunkOf returns an action that sends a part of an answer.
func chunkOf(id request.ID, p book.Peer, size int, join bool) book.Action {
	return book.Action{Kind: book.Send, Peer: p, Join: join, Message: request.Message{Kind: request.Chunk, ID: id, Data: make([]byte, size)}}
}

// waits reports whether more of an answer would have to wait.
func waits(f *flow) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	f.await(ctx)
	return ctx.Err() != nil
}

// Guards against a target that sends faster than the entry reads, and whose answer fills the memory of the sidecar.
func TestAnswerWaitsForItsEntry(t *testing.T) {
	id, owner, other := request.ID{1}, book.Peer{Stream: 1}, book.Peer{Stream: 2}
	newDesk := func() (*desk, *flow, *entryStream) {
		f, s := newFlow(), newEntryStream(owner, nil)
		return &desk{
			counts: &counts{}, streams: map[book.Peer]*entryStream{owner: s, other: newEntryStream(other, nil)},
			jobs: map[request.ID]*job{id: {id: id, flow: f}},
		}, f, s
	}
	t.Run("until it has been sent", func(t *testing.T) {
		d, f, s := newDesk()
		require.False(t, waits(f))
		d.send(chunkOf(id, owner, maxOnTheWay, false))
		require.True(t, waits(f))
		removeAll(s.takeAll(nil))
		require.False(t, waits(f))
	})
	t.Run("until its stream is closed", func(t *testing.T) {
		d, f, _ := newDesk()
		d.send(chunkOf(id, owner, maxOnTheWay, false))
		require.True(t, waits(f))
		d.closeStream(owner)
		require.False(t, waits(f))
	})
	t.Run("but not for others with the same key", func(t *testing.T) {
		d, f, _ := newDesk()
		d.send(chunkOf(id, other, maxOnTheWay, true))
		require.False(t, waits(f))
	})
	t.Run("in the queue of the desk", func(t *testing.T) {
		d, f, _ := newDesk()
		d.ring = make(chan deskEvent, deskRing)
		j := job{id: id, flow: f}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		parts := 0
		for ; ctx.Err() == nil; parts++ {
			d.putData(t.Context(), ctx, j, make([]byte, readBytes))
		}
		require.LessOrEqual(t, parts, maxOnTheWay/readBytes+1)
	})
}

// Guards against a stream whose waiting messages fill the memory of the sidecar, as its entry reads nothing.
func TestWaitingBytesAreBounded(t *testing.T) {
	s := newEntryStream(book.Peer{}, nil)
	sent := 0
	for s.put(request.Message{Kind: request.Chunk, Data: make([]byte, readBytes)}, nil) {
		sent += readBytes
	}
	require.Equal(t, maxWaitingBytes, sent)
}
