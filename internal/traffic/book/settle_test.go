package book_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// finish opens a request on a stream, runs it and completes its answer.
func finish(b *book.Book, now time.Time, p book.Peer, id request.ID, idempotent bool) {
	call := request.Call{Method: "GET", Path: "/", Remaining: time.Minute, Idempotent: idempotent}
	message := request.Message{Kind: request.Open, ID: id, Attempt: 1, Incarnation: 1, Call: &call}
	b.Handle(now, book.Event{Kind: book.Received, Peer: p, Message: message})
	message.Kind = request.BodyEnd
	b.Handle(now, book.Event{Kind: book.Received, Peer: p, Message: message})
	b.Handle(now, book.Event{Kind: book.Admitted, ID: id})
	b.Handle(now, book.Event{Kind: book.EngineHead, ID: id, Status: 200})
	b.Handle(now, book.Event{Kind: book.EngineData, ID: id, Data: []byte("answer")})
	b.Handle(now, book.Event{Kind: book.EngineEnd, ID: id})
}

// resolve sends a Resolve of a request on a newer connection, and returns the kind of
// the first reply.
func resolve(b *book.Book, now time.Time, p book.Peer, id request.ID) request.MessageKind {
	p.Conn++
	message := request.Message{Kind: request.Resolve, ID: id, Attempt: 1, Incarnation: 1}
	for _, a := range b.Handle(now, book.Event{Kind: book.Received, Peer: p, Message: message}) {
		if a.Kind == book.Send {
			return a.Message.Kind
		}
	}
	return 0
}

// A target serves many small calls. Their entry closes each stream in good order
// once the caller has the answer, and does not ask for it again: the book must forget
// the request at once, or it fills up within the retention time. A broken stream does
// not show that the caller has the answer, so the answer must stay for a Resolve.
func TestSettledRequestsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name       string
		idempotent bool
		settled    bool
		want       request.MessageKind
	}{
		{"settled", true, true, request.Refused},
		{"stream broke", true, false, request.Seen},
		{"not idempotent, its key may be joined", false, true, request.Seen},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := book.New(book.DefaultConfig(1))
			p := book.Peer{Entry: "mtl-a-entry-0", Incarnation: 1, Conn: 1}
			id := request.ID{7}
			finish(b, now, p, id, test.idempotent)
			b.Handle(now, book.Event{Kind: book.StreamClosed, Peer: p, Settled: test.settled})
			require.Equal(t, test.want, resolve(b, now, p, id))
		})
	}
	t.Run("more calls than the book has room for", func(t *testing.T) {
		cfg := book.DefaultConfig(1)
		cfg.MaxRequests = 3
		b := book.New(cfg)
		for n := range 100 {
			p := book.Peer{Entry: "mtl-a-entry-0", Incarnation: 1, Conn: 1, Stream: uint64(n)}
			finish(b, now, p, request.ID{byte(n + 1)}, true)
			b.Handle(now, book.Event{Kind: book.StreamClosed, Peer: p, Settled: true})
		}
		p := book.Peer{Entry: "mtl-a-entry-0", Incarnation: 1, Conn: 1, Stream: 100}
		finish(b, now, p, request.ID{200}, true)
		require.Equal(t, request.Seen, resolve(b, now, p, request.ID{200}))
	})
}
