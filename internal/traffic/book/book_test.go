package book_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

const life host.Incarnation = 5

var id = request.ID{7}

// ledger drives one book.
type ledger struct {
	t   *testing.T
	b   *book.Book
	now time.Time
}

func newLedger(t *testing.T, change func(*book.Config)) *ledger {
	cfg := book.DefaultConfig(life)
	if change != nil {
		change(&cfg)
	}
	return &ledger{t: t, b: book.New(cfg), now: t0}
}

func from(c request.Conn, stream uint64) book.Peer {
	return book.Peer{Entry: "mtl-a-entry-1", Incarnation: 2, Conn: c, Stream: stream}
}

func (l *ledger) on(ev book.Event) []book.Action {
	var out []book.Action
	for _, a := range l.b.Handle(l.now, ev) {
		if a.Kind != book.Wake {
			out = append(out, a)
		}
	}
	return out
}

func (l *ledger) says(p book.Peer, m request.Message) []book.Action {
	m.ID, m.Attempt = id, 1
	if m.Incarnation == 0 {
		m.Incarnation = life
	}
	return l.on(book.Event{Kind: book.Received, Peer: p, Message: m})
}

func (l *ledger) open(p book.Peer, idempotent bool) []book.Action {
	call := request.Call{Method: "POST", Path: "/", Idempotent: idempotent, Remaining: 10 * time.Second}
	return l.says(p, request.Message{Kind: request.Open, Call: &call})
}

// running brings the request to the engine.
func (l *ledger) running(idempotent bool) {
	l.open(from(1, 0), idempotent)
	l.says(from(1, 0), request.Message{Kind: request.BodyEnd})
	out := l.on(book.Event{Kind: book.Admitted, ID: id})
	require.Equal(l.t, book.Run, out[0].Kind)
}

func (l *ledger) replies(out []book.Action, reason request.Reason, want ...request.Kind) {
	l.t.Helper()
	var got []request.Kind
	for _, a := range out {
		if a.Kind == book.Send {
			got = append(got, a.Message.Kind)
			require.Equal(l.t, reason, a.Message.Reason)
		}
	}
	require.Equal(l.t, want, got)
}

var resolveFromStart = request.Message{Kind: request.Resolve}

// The caller is told "not run" after its entry resolved by a new connection.
// The original arrives afterwards by the old one, and must not run.
func TestOriginalAfterResolve(t *testing.T) {
	l := newLedger(t, nil)
	l.replies(l.says(from(2, 0), resolveFromStart), request.NeverSeen, request.Refused)
	out := l.open(from(1, 0), false)
	require.Equal(t, []book.Action{{Kind: book.CloseStream, Peer: from(1, 0)}}, out)
	l.replies(l.says(from(2, 1), resolveFromStart), request.NeverSeen, request.Refused)
}

// What the sidecar says of a request that it may have run in an earlier life,
// or is asked to run for one.
func TestEarlierLife(t *testing.T) {
	l := newLedger(t, nil)
	out := l.says(from(1, 0), request.Message{Kind: request.Resolve, Incarnation: life - 1})
	l.replies(out, request.TargetRestarted, request.UnknownOutcome)
	out = l.says(from(1, 1), request.Message{Kind: request.Open, Incarnation: life - 1, Call: &request.Call{}})
	l.replies(out, request.WrongIncarnation, request.Refused)
}

// The caller's answer goes on by the new connection, from the byte it lacks.
func TestReattach(t *testing.T) {
	l := newLedger(t, nil)
	l.running(false)
	l.on(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
	l.on(book.Event{Kind: book.EngineData, ID: id, Data: []byte("bonjour")})
	out := l.says(from(2, 0), request.Message{Kind: request.Resolve, Offset: 3})
	l.replies(out, request.NoReason, request.Seen, request.Head, request.Chunk)
	require.Equal(t, "jour", string(out[2].Message.Data))
	out = l.on(book.Event{Kind: book.EngineEnd, ID: id})
	l.replies(out, request.NoReason, request.End)
	require.Equal(t, from(2, 0), out[len(out)-1].Peer)
}

// The caller has 3 bytes of an answer when the sidecar dies. Its next life asks
// the engine for the run. The caller gets the bytes that follow; or its entry
// learns that nothing can be told, also when it asks for more than came again.
func TestRecover(t *testing.T) {
	call := request.Call{Method: "POST", Path: "/", Remaining: 10 * time.Second}
	earlier := request.Message{Kind: request.Resolve, Incarnation: life - 1, Offset: 3, Call: &call}
	begin := func(t *testing.T) *ledger {
		l := newLedger(t, func(c *book.Config) { c.Recovers = true })
		out := l.says(from(1, 0), earlier)
		require.Equal(t, book.Recover, out[0].Kind)
		return l
	}
	t.Run("the engine has the run", func(t *testing.T) {
		l := begin(t)
		l.on(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
		l.replies(l.on(book.Event{Kind: book.EngineData, ID: id, Data: []byte("bo")}), request.NoReason)
		out := l.on(book.Event{Kind: book.EngineData, ID: id, Data: []byte("njour")})
		require.Equal(t, "jour", string(out[0].Message.Data))
		require.Equal(t, uint64(3), out[0].Message.Offset)
	})
	t.Run("it has not", func(t *testing.T) {
		l := begin(t)
		l.replies(l.on(book.Event{Kind: book.EngineNotReached, ID: id}), request.TargetRestarted, request.UnknownOutcome)
	})
	t.Run("it breaks off earlier", func(t *testing.T) {
		l := begin(t)
		l.on(book.Event{Kind: book.EngineEnd, ID: id, Reason: request.EngineBroke})
		out := l.says(from(2, 0), earlier)
		require.Equal(t, request.End, out[len(out)-1].Message.Kind)
		require.Equal(t, request.EngineBroke, out[len(out)-1].Message.Reason)
	})
}

// The caller left. An idempotent request's engine stream is cancelled; one
// that may not be repeated runs to its end, and its place is given back then.
func TestCancelRunning(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		l := newLedger(t, nil)
		l.running(idempotent)
		out := l.says(from(1, 0), request.Message{Kind: request.Cancel})
		require.Equal(t, idempotent, len(out) > 0 && out[0].Kind == book.CancelEngine)
		out = l.on(book.Event{Kind: book.EngineEnd, ID: id, Reason: request.EngineBroke})
		require.Equal(t, book.Release, out[0].Kind)
	}
}

// The engine's adapter claims that nothing reached the engine, after the
// answer has begun. Nothing may be said on such a proof.
func TestContradictoryEngine(t *testing.T) {
	l := newLedger(t, nil)
	l.running(false)
	l.on(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
	out := l.on(book.Event{Kind: book.EngineNotReached, ID: id})
	require.Len(t, out, 1)
	require.Equal(t, request.NotRunIsProved, out[0].Violation.Rule)
}

// Admission answers twice. The engine runs the request once.
func TestAdmittedTwice(t *testing.T) {
	l := newLedger(t, nil)
	l.running(false)
	require.Empty(t, l.on(book.Event{Kind: book.Admitted, ID: id}))
}

// The target leaves: new work is refused at once, what waits is refused after
// the grace, what runs is finished, and then the sidecar may go.
func TestDrain(t *testing.T) {
	l := newLedger(t, nil)
	l.running(false)
	require.Empty(t, l.on(book.Event{Kind: book.Drain}))
	other := request.Message{Kind: request.Open, ID: request.ID{8}, Attempt: 1, Incarnation: life, Call: &request.Call{}}
	out := l.on(book.Event{Kind: book.Received, Peer: from(1, 1), Message: other})
	l.replies(out, request.Draining, request.Refused)
	out = l.on(book.Event{Kind: book.EngineEnd, ID: id, Reason: request.EngineBroke})
	require.Equal(t, book.Drained, out[len(out)-1].Kind)
}

// Memory is bounded: a request over a bound is refused, and says so.
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
			l := newLedger(t, tt.change)
			l.open(from(1, 0), false)
			l.replies(l.says(from(1, 0), body), tt.reason, request.Refused)
		})
	}
	l := newLedger(t, func(c *book.Config) { c.MaxRequests = 0 })
	l.replies(l.open(from(1, 0), false), request.BookFull, request.Refused)
}
