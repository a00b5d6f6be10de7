package sidecar

import (
	"context"
	"sync"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// maxWaitingMessages and maxWaitingBytes bound the messages that wait for an entry that
// reads slowly: about twenty seconds of an answer at one token a step, and more bytes
// than the book keeps of an answer. A stream that overflows is reset, and the entry
// attaches again at the offset that it has reached.
const (
	maxWaitingMessages = 4096
	maxWaitingBytes    = 2 << 20
)

// entryStream is one stream of an entry. It carries the messages of one request.
type entryStream struct {
	peer   book.Peer
	stream *peer.Stream
	closed chan struct{}
	ready  chan struct{} // signals that waiting is not empty

	mu      sync.Mutex
	waiting []waitingMessage // grows as needed up to maxWaitingMessages
	bytes   int              // of their data
}

// waitingMessage is a message with what counts its data; nil if nothing does.
type waitingMessage struct {
	request.Message
	flow *flow
}

func newEntryStream(p book.Peer, s *peer.Stream) *entryStream {
	return &entryStream{peer: p, stream: s, closed: make(chan struct{}), ready: make(chan struct{}, 1)}
}

// put adds a message to send; false if too many are waiting.
func (l *entryStream) put(m request.Message, f *flow) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= maxWaitingMessages || l.bytes+len(m.Data) > maxWaitingBytes {
		return false
	}
	l.waiting = append(l.waiting, waitingMessage{m, f})
	l.bytes += len(m.Data)
	f.add(len(m.Data))
	select {
	case l.ready <- struct{}{}:
	default:
	}
	return true
}

// takeAll returns all waiting messages, and uses the memory of spare for the next ones.
func (l *entryStream) takeAll(spare []waitingMessage) []waitingMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.waiting
	l.waiting, l.bytes = spare[:0], 0
	return taken
}

// discard drops the waiting messages.
func (l *entryStream) discard() { removeAll(l.takeAll(nil)) }

// removeAll removes messages that were sent or dropped from what counts their data.
func removeAll(messages []waitingMessage) {
	for _, m := range messages {
		m.flow.remove(len(m.Data))
	}
}

// send sends a message on a stream, if it is still open. The stream of the request itself slows the target
// down; those of others with the same key do not, as their entries must not make its caller wait.
func (d *desk) send(a book.Action) {
	l := d.streams[a.Peer]
	if l == nil {
		return
	}
	var f *flow
	if j := d.jobs[a.Message.ID]; j != nil && !a.Join {
		f = j.flow
	}
	if !l.put(a.Message, f) {
		d.counts.overflows.Inc()
		d.resetStream(a.Peer)
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
		l.discard()
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
	var batch []waitingMessage
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
		removeAll(batch)
		if err != nil || ended {
			return err
		}
	}
}

// writeBatch sends messages together and reports whether they end the stream.
func (l *entryStream) writeBatch(batch []waitingMessage) (ended bool, err error) {
	for _, m := range batch {
		if err := l.stream.Add(frame.KindRequest, m.Message); err != nil {
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
