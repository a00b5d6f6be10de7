package book_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

const incarnation host.Incarnation = 5

var id = request.ID{7}

// harness sends events to one book at a fixed time.
type harness struct {
	t   *testing.T
	b   *book.Book
	now time.Time
}

func newHarness(t *testing.T, change func(*book.Config)) *harness {
	cfg := book.DefaultConfig(incarnation)
	if change != nil {
		change(&cfg)
	}
	return &harness{t: t, b: book.New(cfg), now: t0}
}

func from(c request.Conn, stream uint64) book.Peer {
	return book.Peer{Entry: "mtl-a-entry-1", Incarnation: 2, Conn: c, Stream: stream}
}

// handle sends an event to the book and returns its actions without Wake.
func (h *harness) handle(ev book.Event) []book.Action {
	var out []book.Action
	for _, a := range h.b.Handle(h.now, ev) {
		if a.Kind != book.Wake {
			out = append(out, a)
		}
	}
	return out
}

// receive sends a message of the request to the book.
func (h *harness) receive(p book.Peer, m request.Message) []book.Action {
	m.ID, m.Attempt = id, 1
	if m.Incarnation == 0 {
		m.Incarnation = incarnation
	}
	return h.handle(book.Event{Kind: book.Received, Peer: p, Message: m})
}

func (h *harness) open(p book.Peer, idempotent bool) []book.Action {
	call := request.Call{Method: "POST", Path: "/", Idempotent: idempotent, Remaining: 10 * time.Second}
	return h.receive(p, request.Message{Kind: request.Open, Call: &call})
}

// runRequest opens the request and has it admitted, so that it runs at the engine.
func (h *harness) runRequest(idempotent bool) {
	h.open(from(1, 0), idempotent)
	h.receive(from(1, 0), request.Message{Kind: request.BodyEnd})
	out := h.handle(book.Event{Kind: book.Admitted, ID: id})
	require.Equal(h.t, book.Run, out[0].Kind)
}

// requireReplies requires that the messages sent have these kinds and this reason.
func (h *harness) requireReplies(out []book.Action, reason request.Reason, want ...request.MessageKind) {
	h.t.Helper()
	var got []request.MessageKind
	for _, a := range out {
		if a.Kind == book.Send {
			got = append(got, a.Message.Kind)
			require.Equal(h.t, reason, a.Message.Reason)
		}
	}
	require.Equal(h.t, want, got)
}

var resolveFromStart = request.Message{Kind: request.Resolve}

// An entry resolves a request on a new connection and reports "not run" to its
// caller. The original request then arrives on the old connection, and must not run.
func TestOriginalAfterResolve(t *testing.T) {
	h := newHarness(t, nil)
	h.requireReplies(h.receive(from(2, 0), resolveFromStart), request.NeverSeen, request.Refused)
	out := h.open(from(1, 0), false)
	require.Equal(t, []book.Action{{Kind: book.CloseStream, Peer: from(1, 0)}}, out)
	h.requireReplies(h.receive(from(2, 1), resolveFromStart), request.NeverSeen, request.Refused)
}

// A Resolve or an Open that names an earlier incarnation of the sidecar: the outcome
// of the first is unknown, and the second is refused.
func TestEarlierIncarnation(t *testing.T) {
	h := newHarness(t, nil)
	out := h.receive(from(1, 0), request.Message{Kind: request.Resolve, Incarnation: incarnation - 1})
	h.requireReplies(out, request.TargetRestarted, request.UnknownOutcome)
	out = h.receive(from(1, 1), request.Message{Kind: request.Open, Incarnation: incarnation - 1, Call: &request.Call{}})
	h.requireReplies(out, request.WrongIncarnation, request.Refused)
}

// The answer continues on the entry's new connection, from the first byte that the
// caller lacks.
func TestReattach(t *testing.T) {
	h := newHarness(t, nil)
	h.runRequest(false)
	h.handle(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
	h.handle(book.Event{Kind: book.EngineData, ID: id, Data: []byte("bonjour")})
	out := h.receive(from(2, 0), request.Message{Kind: request.Resolve, Offset: 3})
	h.requireReplies(out, request.NoReason, request.Seen, request.Head, request.Chunk)
	require.Equal(t, "jour", string(out[2].Message.Data))
	out = h.handle(book.Event{Kind: book.EngineEnd, ID: id})
	h.requireReplies(out, request.NoReason, request.End)
	require.Equal(t, from(2, 0), out[len(out)-1].Peer)
}

// The caller has 3 bytes of an answer when the sidecar dies. The next incarnation
// asks the engine for the run. The caller gets the bytes that follow, or its entry
// learns that the outcome is unknown or that the answer broke off, also when the
// entry has more bytes than the engine sent again.
func TestRecover(t *testing.T) {
	call := request.Call{Method: "POST", Path: "/", Remaining: 10 * time.Second}
	earlier := request.Message{Kind: request.Resolve, Incarnation: incarnation - 1, Offset: 3, Call: &call}
	begin := func(t *testing.T) *harness {
		h := newHarness(t, func(c *book.Config) { c.Recovers = true })
		out := h.receive(from(1, 0), earlier)
		require.Equal(t, book.Recover, out[0].Kind)
		return h
	}
	t.Run("the engine has the run", func(t *testing.T) {
		h := begin(t)
		h.handle(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
		h.requireReplies(h.handle(book.Event{Kind: book.EngineData, ID: id, Data: []byte("bo")}), request.NoReason)
		out := h.handle(book.Event{Kind: book.EngineData, ID: id, Data: []byte("njour")})
		require.Equal(t, "jour", string(out[0].Message.Data))
		require.Equal(t, uint64(3), out[0].Message.Offset)
	})
	const bon = "bon"
	earlier.Digest = request.Digest(0, []byte(bon))
	for name, parts := range map[string][]string{"in one part": {"soirbonne"}, "in small parts": {"b", "o", "ssoir"}} {
		// Guards against bytes of one run that are joined to those of another.
		t.Run("the engine has another run "+name, func(t *testing.T) {
			h := begin(t)
			h.handle(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
			var out []book.Action
			for _, part := range parts {
				out = h.handle(book.Event{Kind: book.EngineData, ID: id, Data: []byte(part)})
			}
			require.Equal(t, book.CancelEngine, out[0].Kind)
			h.requireReplies(out, request.EngineTruncated, request.End)
		})
	}
	t.Run("the engine has the same run in small parts", func(t *testing.T) {
		h := begin(t)
		h.handle(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
		var got string
		for _, part := range []string{"b", "on", "j", "our"} {
			for _, a := range h.handle(book.Event{Kind: book.EngineData, ID: id, Data: []byte(part)}) {
				got += string(a.Message.Data)
			}
		}
		require.Equal(t, "jour", got)
	})
	// Guards against a whole answer shorter than what the entry has of it.
	t.Run("the engine's run is shorter", func(t *testing.T) {
		h := begin(t)
		h.handle(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
		h.handle(book.Event{Kind: book.EngineData, ID: id, Data: []byte(bon[:2])})
		h.requireReplies(h.handle(book.Event{Kind: book.EngineEnd, ID: id}), request.EngineTruncated, request.End)
	})
	t.Run("the engine has no such run", func(t *testing.T) {
		h := begin(t)
		h.requireReplies(h.handle(book.Event{Kind: book.EngineNotReached, ID: id}), request.TargetRestarted, request.UnknownOutcome)
	})
	t.Run("the answer breaks off earlier", func(t *testing.T) {
		h := begin(t)
		h.handle(book.Event{Kind: book.EngineEnd, ID: id, Reason: request.EngineTruncated})
		out := h.receive(from(2, 0), earlier)
		require.Equal(t, request.End, out[len(out)-1].Message.Kind)
		require.Equal(t, request.EngineTruncated, out[len(out)-1].Message.Reason)
	})
}

// The caller has left. The engine stream of an idempotent request is cancelled; a
// request that is not idempotent runs to its end. Either way the request slot is
// released when the engine ends.
func TestCancelRunning(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t, nil)
		h.runRequest(idempotent)
		out := h.receive(from(1, 0), request.Message{Kind: request.Cancel})
		require.Equal(t, idempotent, len(out) > 0 && out[0].Kind == book.CancelEngine)
		out = h.handle(book.Event{Kind: book.EngineEnd, ID: id, Reason: request.EngineTruncated})
		require.Equal(t, book.Release, out[0].Kind)
	}
}

// The engine's adapter reports that nothing reached the engine after the answer has
// begun. The book must not report an outcome on this contradiction.
func TestContradictoryEngine(t *testing.T) {
	h := newHarness(t, nil)
	h.runRequest(false)
	h.handle(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
	out := h.handle(book.Event{Kind: book.EngineNotReached, ID: id})
	require.Len(t, out, 1)
	require.Equal(t, request.NotRunIsProved, out[0].Violation.Invariant)
}

// Admission admits a request twice. The engine runs it once.
func TestAdmittedTwice(t *testing.T) {
	h := newHarness(t, nil)
	h.runRequest(false)
	require.Empty(t, h.handle(book.Event{Kind: book.Admitted, ID: id}))
}

// The target is leaving: new requests are refused at once, running requests finish,
// and then the sidecar may end.
func TestDrain(t *testing.T) {
	h := newHarness(t, nil)
	h.runRequest(false)
	require.Empty(t, h.handle(book.Event{Kind: book.Drain}))
	other := request.Message{Kind: request.Open, ID: request.ID{8}, Attempt: 1, Incarnation: incarnation, Call: &request.Call{}}
	out := h.handle(book.Event{Kind: book.Received, Peer: from(1, 1), Message: other})
	h.requireReplies(out, request.Draining, request.Refused)
	out = h.handle(book.Event{Kind: book.EngineEnd, ID: id, Reason: request.EngineTruncated})
	require.Equal(t, book.Drained, out[len(out)-1].Kind)
}

// Memory is bounded: a request over a bound is refused with the reason for it.
func TestBounds(t *testing.T) {
	body := request.Message{Kind: request.Body, Data: make([]byte, 11)}
	tests := []struct {
		name   string
		change func(*book.Config)
		reason request.Reason
	}{
		{"one body", func(c *book.Config) { c.MaxBodyBytes = 10 }, request.BodyTooLarge},
		{"all bodies", func(c *book.Config) { c.MaxBytes = 10 }, request.BookFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, tt.change)
			h.open(from(1, 0), false)
			h.requireReplies(h.receive(from(1, 0), body), tt.reason, request.Refused)
		})
	}
	h := newHarness(t, func(c *book.Config) { c.MaxRequests = 0 })
	h.requireReplies(h.open(from(1, 0), false), request.BookFull, request.Refused)
}
