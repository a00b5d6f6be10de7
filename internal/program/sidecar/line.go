package sidecar

import (
	"context"
	"sync"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// maxWaitingMessages is the largest number of messages that wait for an entry that
// reads slowly: about twenty seconds of an answer at one token a step. The book keeps
// the answer itself, so a stream that overflows is reset, and the entry attaches again
// at the offset that it has reached.
const maxWaitingMessages = 4096

// entryStream is one stream of an entry. It carries the messages of one request.
type entryStream struct {
	peer   book.Peer
	stream *peer.Stream
	closed chan struct{}
	ready  chan struct{} // signals that waiting is not empty

	mu      sync.Mutex
	waiting []request.Message // grows as needed up to maxWaitingMessages
}

func newEntryStream(p book.Peer, s *peer.Stream) *entryStream {
	return &entryStream{peer: p, stream: s, closed: make(chan struct{}), ready: make(chan struct{}, 1)}
}

// put adds a message to send; false if too many are waiting.
func (l *entryStream) put(m request.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= maxWaitingMessages {
		return false
	}
	l.waiting = append(l.waiting, m)
	select {
	case l.ready <- struct{}{}:
	default:
	}
	return true
}

// takeAll returns all waiting messages, and uses the memory of spare for the next ones.
func (l *entryStream) takeAll(spare []request.Message) []request.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.waiting
	l.waiting = spare[:0]
	return taken
}

// send sends a message on a stream, if it is still open.
func (d *desk) send(p book.Peer, m request.Message) {
	l := d.streams[p]
	if l == nil {
		return
	}
	if !l.put(m) {
		d.counts.overflows.Inc()
		d.resetStream(p)
	}
}

// resetStream resets a stream; its reader then reports that it is closed.
func (d *desk) resetStream(p book.Peer) {
	if l := d.streams[p]; l != nil {
		l.stream.Abort()
		d.closeStream(p)
	}
}

func (d *desk) closeStream(p book.Peer) {
	if l := d.streams[p]; l != nil {
		delete(d.streams, p)
		close(l.closed)
	}
}

// checkSettled closes settled when a drained desk has no open stream left.
func (d *desk) checkSettled() {
	if d.isDrained && !d.isSettled && len(d.streams) == 0 {
		d.isSettled = true
		close(d.settled)
	}
}

// write sends the waiting messages until the desk closes the stream. The last message
// of an answer, or a refusal, ends it.
func (l *entryStream) write(ctx context.Context) error {
	var batch []request.Message
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.closed:
			return nil
		case <-l.ready:
		}
		batch = l.takeAll(batch)
		ended, err := l.writeBatch(batch)
		if err != nil || ended {
			return err
		}
	}
}

// writeBatch sends messages together and reports whether they end the stream.
func (l *entryStream) writeBatch(batch []request.Message) (ended bool, err error) {
	for _, m := range batch {
		if err := l.stream.Add(frame.KindRequest, m); err != nil {
			return false, err
		}
		if m.Kind.Last() {
			ended = true
			break
		}
	}
	if err := l.stream.Flush(); err != nil {
		return false, err
	}
	if ended {
		return true, l.stream.CloseWrite()
	}
	return false, nil
}

// read passes the entry's messages to the desk until the stream ends.
func (l *entryStream) read(ctx context.Context, d *desk) error {
	for {
		f, err := l.stream.Read()
		if err != nil {
			return err
		}
		m, err := decode(f)
		if err != nil {
			l.stream.Abort()
			return err
		}
		if !d.putBook(ctx, book.Event{Kind: book.Received, Peer: l.peer, Message: m}) {
			return context.Cause(ctx)
		}
	}
}

func decode(f frame.Frame) (request.Message, error) {
	var m request.Message
	if f.Kind != frame.KindRequest {
		return m, frame.ErrKind
	}
	if err := frame.Decode(f, &m); err != nil {
		return m, err
	}
	return m, m.Validate()
}
