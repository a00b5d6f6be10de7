package sidecar

import (
	"context"
	"sync"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// lineRing bounds the messages that wait for an entry that reads slowly: some
// twenty seconds of an answer at one token a step. The answer itself is kept by
// the book, so a line that overflows is dropped and the entry attaches again
// from where it is.
const lineRing = 4096

// line is one stream of an entry: the messages of one request.
type line struct {
	peer   book.Peer
	stream *peer.Stream
	closed chan struct{}
	ready  chan struct{} // has an element when waiting is not empty

	mu      sync.Mutex
	waiting []request.Message // grows as needed up to lineRing
}

func newLine(p book.Peer, s *peer.Stream) *line {
	return &line{peer: p, stream: s, closed: make(chan struct{}), ready: make(chan struct{}, 1)}
}

// put adds a message; false if too many wait.
func (l *line) put(m request.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= lineRing {
		return false
	}
	l.waiting = append(l.waiting, m)
	select {
	case l.ready <- struct{}{}:
	default:
	}
	return true
}

// take returns all messages that wait, and takes spare as the next place for them.
func (l *line) take(spare []request.Message) []request.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.waiting
	l.waiting = spare[:0]
	return taken
}

func (d *desk) send(p book.Peer, m request.Message) {
	l := d.lines[p]
	if l == nil {
		return
	}
	if !l.put(m) {
		d.counts.overflows.Inc()
		d.dropLine(p)
	}
}

// dropLine resets a stream; its reader then reports that it is closed.
func (d *desk) dropLine(p book.Peer) {
	if l := d.lines[p]; l != nil {
		l.stream.Abort()
		d.closeLine(p)
	}
}

func (d *desk) closeLine(p book.Peer) {
	if l := d.lines[p]; l != nil {
		delete(d.lines, p)
		close(l.closed)
	}
}

// checkSettled notes when a drained desk has no stream left.
func (d *desk) checkSettled() {
	if d.isDrained && !d.isSettled && len(d.lines) == 0 {
		d.isSettled = true
		close(d.settled)
	}
}

// write sends the line's messages until the desk closes it. The last message
// of an answer or a refusal ends the stream.
func (l *line) write(ctx context.Context) error {
	var batch []request.Message
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.closed:
			return nil
		case <-l.ready:
		}
		batch = l.take(batch)
		ended, err := l.writeBatch(batch)
		if err != nil || ended {
			return err
		}
	}
}

// writeBatch sends messages together and tells whether they end the stream.
func (l *line) writeBatch(batch []request.Message) (ended bool, err error) {
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

// read hands the entry's messages to the desk until the stream ends.
func (l *line) read(ctx context.Context, d *desk) error {
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
