package sidecar

import (
	"context"
	"errors"
	"io"

	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// serveConn serves the streams of one connection until it ends.
func (s *Sidecar) serveConn(ctx context.Context, c *peer.Conn) {
	s.addConn(c)
	defer s.removeConn(c)
	ended := make(chan error)
	running := 0
	opened := make(chan *peer.Stream)
	failed := make(chan error, 1)
	acceptCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { failed <- acceptStreams(acceptCtx, c, opened) }()
	var number uint64
	for {
		select {
		case stream := <-opened:
			l := newEntryStream(s.peerOf(c, number), stream)
			number++
			running++
			go func() { ended <- s.serveStream(ctx, l) }()
		case <-ended:
			running--
		case <-failed:
			s.desk.putBook(ctx, book.Event{Kind: book.ConnectionClosed, Peer: s.peerOf(c, 0)})
			for ; running > 0; running-- {
				<-ended
			}
			return
		}
	}
}

func (s *Sidecar) peerOf(c *peer.Conn, stream uint64) book.Peer {
	return book.Peer{
		Entry:       c.Peer().Name,
		Incarnation: c.Peer().Incarnation,
		Conn:        request.Conn(c.Number()),
		Stream:      stream,
	}
}

func acceptStreams(ctx context.Context, c *peer.Conn, opened chan<- *peer.Stream) error {
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return err
		}
		select {
		case opened <- s:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// serveStream serves one stream until both of its directions have ended.
func (s *Sidecar) serveStream(ctx context.Context, l *entryStream) error {
	if !s.desk.put(ctx, deskEvent{kind: deskStreamOpened, stream: l}) {
		return context.Cause(ctx)
	}
	written := make(chan error, 1)
	go func() {
		err := s.guardStream(func() error { return l.write(ctx) })
		if err != nil {
			s.desk.put(ctx, deskEvent{kind: deskStreamFailed, stream: l})
		}
		written <- err
	}()
	err := s.guardStream(func() error { return l.read(ctx, s.desk) })
	s.desk.putBook(ctx, book.Event{Kind: book.StreamClosed, Peer: l.peer, Settled: err == io.EOF})
	<-written
	if err == io.EOF {
		return nil
	}
	return err
}

// guardStream serves a direction of a stream, which fails if it panics.
func (s *Sidecar) guardStream(serve func() error) error {
	err := task.Guard(serve)
	if p := new(task.PanicError); errors.As(err, &p) {
		task.Report(s.cfg.Log, "stream", err)
	}
	return err
}
