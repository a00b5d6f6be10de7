package request_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
)

var t0 = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

var id = request.ID{7}

// life drives one request and keeps what it asked for.
type life struct {
	t   *testing.T
	r   *request.Request
	now time.Time
	all []request.Action
}

func newLife(t *testing.T, idempotent, claimed bool) *life {
	decide := func(_ time.Time, try retry.Try) retry.Decision {
		if try.Attempts >= 3 {
			return retry.Decision{Verdict: retry.TooMany}
		}
		return retry.Decision{Verdict: retry.Allowed}
	}
	spec := request.Spec{
		ID: id, Claimed: claimed, Deadline: t0.Add(10 * time.Second),
		Call: request.Call{Service: "agenda", Method: "POST", Path: "/calls", Idempotent: idempotent},
	}
	l := &life{t: t, now: t0, r: request.New(request.DefaultConfig(), spec, decide)}
	l.on(request.Event{Kind: request.Started})
	return l
}

func (l *life) on(ev request.Event) []request.Action {
	l.t.Helper()
	out := l.r.Handle(l.now, ev)
	for _, a := range out {
		require.NotEqual(l.t, request.Violated, a.Kind, "%v", a.Violation)
	}
	l.all = append(l.all, out...)
	return out
}

func (l *life) picked(target host.Name, c request.Conn) {
	l.on(request.Event{Kind: request.Picked, Target: target, Conn: c, Incarnation: 5})
}

func (l *life) says(c request.Conn, a request.Attempt, m request.Message) []request.Action {
	m.ID, m.Attempt = id, a
	return l.on(request.Event{Kind: request.Received, Conn: c, Message: m})
}

func (l *life) connected(target host.Name, c request.Conn, i host.Incarnation) {
	l.on(request.Event{Kind: request.Connected, Target: target, Conn: c, Incarnation: i})
}

func (l *life) tickAfter(d time.Duration) []request.Action {
	l.now = l.now.Add(d)
	return l.on(request.Event{Kind: request.Tick})
}

func (l *life) last(kind request.ActionKind) request.Action {
	l.t.Helper()
	for i := len(l.all) - 1; i >= 0; i-- {
		if l.all[i].Kind == kind {
			return l.all[i]
		}
	}
	require.Fail(l.t, "no such action", "kind %d", kind)
	return request.Action{}
}

func (l *life) ended(want request.Outcome, reason request.Reason) {
	l.t.Helper()
	res := l.last(request.Finish).Result
	require.Equal(l.t, want, res.Outcome, "%+v", res)
	require.Equal(l.t, reason, res.Reason)
	if want != request.Answered {
		require.Positive(l.t, res.RetryAfter)
	}
}

func (l *life) answer() string {
	var s string
	for _, a := range l.all {
		if a.Kind == request.Deliver {
			s += string(a.Message.Data)
		}
	}
	return s
}

func chunk(offset uint64, s string) request.Message {
	return request.Message{Kind: request.Chunk, Offset: offset, Data: []byte(s)}
}

var head = request.Message{Kind: request.Head, Status: 200}

func end(n uint64) request.Message {
	return request.Message{Kind: request.End, Offset: n}
}

func ExampleParseID() {
	id, err := request.ParseID("000102030405060708090a0b0c0d0e0f")
	fmt.Println(id, err)
	_, err = request.ParseID("00")
	fmt.Println(err)
	// Output:
	// 000102030405060708090a0b0c0d0e0f <nil>
	// request id is not 32 hexadecimal digits
}

func TestWholeAnswer(t *testing.T) {
	l := newLife(t, false, false)
	l.picked("mtl-a-1", 1)
	l.says(1, 1, request.Message{Kind: request.Seen})
	l.says(1, 1, head)
	l.says(1, 1, chunk(0, "bon"))
	l.says(1, 1, chunk(3, "jour"))
	l.says(1, 1, end(7))
	l.ended(request.Answered, request.NoReason)
	require.Equal(t, "bonjour", l.answer())
}

// The caller sees one whole answer. Its connection goes silent after "bon";
// the entry resolves on a new one from byte 3; the old connection then wakes
// and repeats what it carried, which must not be passed on twice.
func TestSilentMidAnswer(t *testing.T) {
	l := newLife(t, false, false)
	l.picked("mtl-a-1", 1)
	l.says(1, 1, head)
	l.says(1, 1, chunk(0, "bon"))
	l.on(request.Event{Kind: request.ConnectionSilent, Conn: 1})
	require.Equal(t, request.Conn(1), l.last(request.Connect).Conn)
	l.connected("mtl-a-1", 2, 5)
	resolve := l.last(request.Send).Message
	require.Equal(t, request.Resolve, resolve.Kind)
	require.Equal(t, uint64(3), resolve.Offset)
	l.says(1, 1, chunk(0, "bonj"))
	l.says(2, 1, head)
	l.says(2, 1, chunk(3, "jour"))
	l.says(2, 1, end(7))
	l.ended(request.Answered, request.NoReason)
	require.Equal(t, "bonjour", l.answer())
}

// The caller of a call that may not be repeated sees "unknown", or "not run",
// and never a second run. The connection goes silent before any reply, and what
// the sidecar says on the new connection decides.
func TestSilentBeforeReply(t *testing.T) {
	tests := []struct {
		name    string
		then    func(l *life)
		outcome request.Outcome
		reason  request.Reason
	}{
		{"never seen, again and again", func(l *life) {
			for lost := range request.Attempt(3) {
				c := request.Conn(lost) + 2
				l.connected("mtl-a-1", c, 5)
				l.says(c, lost+1, request.Message{Kind: request.Refused, Reason: request.NeverSeen})
				l.on(request.Event{Kind: request.ConnectionSilent, Conn: c})
			}
		}, request.NotRun, request.NeverSeen},
		{"sidecar restarted", func(l *life) {
			l.connected("mtl-a-1", 2, 6)
			l.says(2, 1, request.Message{Kind: request.UnknownOutcome, Reason: request.TargetRestarted})
		}, request.Unknown, request.TargetRestarted},
		{"no way back to it", func(l *life) {
			l.on(request.Event{Kind: request.ConnectFailed, Target: "mtl-a-1"})
			l.tickAfter(time.Second)
			l.on(request.Event{Kind: request.ConnectFailed, Target: "mtl-a-1"})
			l.tickAfter(10 * time.Second)
		}, request.Unknown, request.DeadlinePassed},
		{"the sidecar was paused for some seconds", func(l *life) {
			l.on(request.Event{Kind: request.ConnectFailed, Target: "mtl-a-1"})
			out := l.tickAfter(4 * time.Second)
			require.Equal(l.t, request.Connect, out[0].Kind)
			l.connected("mtl-a-1", 2, 5)
			l.says(2, 1, head)
			l.says(2, 1, end(0))
		}, request.Answered, request.NoReason},
		{"the body had not left", func(l *life) {
			l.on(request.Event{Kind: request.NotSent, Attempt: 1})
			l.tickAfter(10 * time.Second)
		}, request.NotRun, request.DeadlinePassed},
		{"caller leaves meanwhile", func(l *life) {
			l.on(request.Event{Kind: request.CallerLeft})
		}, request.Unknown, request.CallerGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLife(t, false, false)
			l.picked("mtl-a-1", 1)
			l.on(request.Event{Kind: request.ConnectionSilent, Conn: 1})
			tt.then(l)
			l.ended(tt.outcome, tt.reason)
		})
	}
}

// The caller of a call that may not be repeated sees its answer. Its open
// connection had gone silent, and the sidecar, asked on a fresh one, has never
// seen it: the call goes to the same target again, by the connection that has
// just been proved to work. Another target would not be any better, and where
// all connections went silent at once there would soon be none left to try.
func TestNeverSeenGoesAgainByTheFreshConnection(t *testing.T) {
	l := newLife(t, false, false)
	l.picked("mtl-a-1", 1)
	l.on(request.Event{Kind: request.ConnectionSilent, Conn: 1})
	l.connected("mtl-a-1", 2, 5)
	out := l.says(2, 1, request.Message{Kind: request.Refused, Reason: request.NeverSeen})
	require.Equal(t, request.Send, out[0].Kind)
	require.Equal(t, request.Open, out[0].Message.Kind)
	require.Equal(t, request.Attempt(2), out[0].Message.Attempt)
	require.Equal(t, request.Conn(2), out[0].Conn)
	l.says(2, 2, head)
	l.says(2, 2, chunk(0, "bonjour"))
	l.says(2, 2, end(7))
	l.ended(request.Answered, request.NoReason)
}

// The caller of an idempotent request sees the second target's answer only.
// The first target's host dies, the request moves on, and the first target's
// answer arrives late by the old connection: it is dropped and cancelled there.
func TestLateAnswerOfFirstTarget(t *testing.T) {
	l := newLife(t, true, false)
	l.picked("mtl-a-1", 1)
	l.on(request.Event{Kind: request.ConnectionSilent, Conn: 1})
	l.on(request.Event{Kind: request.ConnectFailed, Target: "mtl-a-1"})
	l.tickAfter(0)
	require.Equal(t, []host.Name{"mtl-a-1"}, l.last(request.Pick).Tried)
	l.picked("mtl-b-1", 2)
	out := l.says(1, 1, head)
	require.Equal(t, request.Cancel, out[0].Message.Kind)
	require.Equal(t, request.Conn(1), out[0].Conn)
	require.Empty(t, l.says(1, 1, chunk(0, "old")))
	l.says(2, 2, head)
	l.says(2, 2, chunk(0, "new"))
	l.says(2, 2, end(3))
	l.ended(request.Answered, request.NoReason)
	require.Equal(t, "new", l.answer())
}

// The caller sees its stream cut, not a shorter answer that looks whole. The
// engine ends after the first bytes; another target must not continue it.
func TestBrokenMidAnswer(t *testing.T) {
	l := newLife(t, true, false)
	l.picked("mtl-a-1", 1)
	l.says(1, 1, head)
	l.says(1, 1, chunk(0, "bon"))
	l.says(1, 1, request.Message{Kind: request.End, Offset: 3, Reason: request.EngineBroke})
	l.ended(request.Unknown, request.EngineBroke)
	require.True(t, l.last(request.Finish).Result.Truncated)
}

// The caller learns at once that all targets refuse, with the longest hint it
// was given, after as many attempts as the budget allows and no more.
func TestAllTargetsFull(t *testing.T) {
	l := newLife(t, false, false)
	for i := range request.Attempt(3) {
		l.picked(host.Name(fmt.Sprintf("mtl-a-%d", i)), request.Conn(i+1))
		l.says(request.Conn(i+1), i+1, request.Message{
			Kind: request.Refused, Reason: request.Overloaded, RetryAfter: time.Duration(i+1) * time.Second,
		})
		l.tickAfter(0)
	}
	l.ended(request.NotRun, request.Overloaded)
	require.Equal(t, 3*time.Second, l.last(request.Finish).Result.RetryAfter)
	require.Equal(t, t0, l.now)
}

// The caller repeats a call through another entry. The key belongs to the
// first request; this one carries the first one's answer, and where that
// cannot be had it says "unknown", since the call may have run.
func TestKeyClaimedBefore(t *testing.T) {
	prior := request.Prior{ID: request.ID{9}, Target: "mtl-b-1", Incarnation: 5}
	begin := func(t *testing.T) *life {
		l := newLife(t, false, true)
		l.picked("mtl-a-1", 1)
		l.on(request.Event{Kind: request.ClaimTaken, Prior: prior})
		return l
	}
	t.Run("joins the answer", func(t *testing.T) {
		l := begin(t)
		l.connected("mtl-b-1", 2, 5)
		require.True(t, l.last(request.Send).Message.Join)
		for _, m := range []request.Message{head, chunk(0, "ok"), end(2)} {
			m.ID, m.Attempt = prior.ID, 1
			l.on(request.Event{Kind: request.Received, Conn: 2, Message: m})
		}
		l.ended(request.Answered, request.NoReason)
	})
	t.Run("comes before it", func(t *testing.T) {
		l := begin(t)
		l.connected("mtl-b-1", 2, 5)
		for attempt := range request.Attempt(2) {
			m := request.Message{Kind: request.UnknownOutcome, ID: prior.ID, Attempt: attempt + 1, Reason: request.NeverSeen}
			l.on(request.Event{Kind: request.Received, Conn: 2, Message: m})
			out := l.tickAfter(20 * time.Millisecond << attempt)
			require.Equal(t, request.Claim, out[0].Kind)
			l.on(request.Event{Kind: request.ClaimTaken, Prior: prior})
			l.connected("mtl-b-1", 2, 5)
			require.Equal(t, request.Resolve, l.last(request.Send).Message.Kind)
		}
		l.tickAfter(3 * time.Second)
		l.ended(request.Unknown, request.KeyClaimed)
	})
	refused := func(t *testing.T) *life {
		l := begin(t)
		l.connected("mtl-b-1", 2, 5)
		m := request.Message{Kind: request.Refused, ID: prior.ID, Attempt: 1, Reason: request.Overloaded}
		l.on(request.Event{Kind: request.Received, Conn: 2, Message: m})
		l.tickAfter(20 * time.Millisecond)
		return l
	}
	t.Run("refusal there proves nothing", func(t *testing.T) {
		l := refused(t)
		l.on(request.Event{Kind: request.ClaimRefused, Reason: request.ClaimUnavailable})
		l.ended(request.Unknown, request.KeyClaimed)
	})
	t.Run("freed key proves that it was not run", func(t *testing.T) {
		l := refused(t)
		l.on(request.Event{Kind: request.ClaimGranted})
		l.on(request.Event{Kind: request.NothingPicked})
		l.ended(request.NotRun, request.NoTarget)
	})
	t.Run("for another request", func(t *testing.T) {
		l := newLife(t, false, true)
		l.picked("mtl-a-1", 1)
		l.on(request.Event{Kind: request.ClaimTaken, Prior: request.Prior{ID: request.ID{9}, Target: "mtl-b-1", Print: 1}})
		l.ended(request.NotRun, request.KeyReused)
	})
	t.Run("target is gone", func(t *testing.T) {
		l := begin(t)
		l.connected("mtl-b-1", 2, 6)
		l.ended(request.Unknown, request.KeyClaimed)
	})
}

// The caller repeats its call later, and gets the answer from where the first
// request ran. Its connection had gone silent while its key was claimed for
// another target, so it was sent elsewhere; the claim has to say so.
func TestSilentWhileClaiming(t *testing.T) {
	l := newLife(t, false, true)
	l.picked("mtl-a-1", 1)
	require.Equal(t, host.Name("mtl-a-1"), l.last(request.Claim).Prior.Target)
	l.on(request.Event{Kind: request.ConnectionSilent, Conn: 1})
	l.on(request.Event{Kind: request.ClaimGranted})
	l.picked("mtl-b-1", 2)
	require.Equal(t, host.Name("mtl-b-1"), l.last(request.Reclaim).Prior.Target)
}

// The caller is told "not run" while the claim's write is still under way. The
// claim is granted afterwards; the key must be freed, or a repeat by the
// caller would find it taken by a request that never ran.
func TestClaimGrantedTooLate(t *testing.T) {
	l := newLife(t, false, true)
	l.picked("mtl-a-1", 1)
	l.tickAfter(10 * time.Second)
	l.ended(request.NotRun, request.DeadlinePassed)
	out := l.on(request.Event{Kind: request.ClaimGranted})
	require.Len(t, out, 1)
	require.Equal(t, request.Unclaim, out[0].Kind)
}

func TestValidate(t *testing.T) {
	call := request.Call{Method: "GET", Path: "/", Remaining: time.Second}
	tests := []struct {
		name string
		m    request.Message
	}{
		{"unknown kind", request.Message{Kind: 99, Attempt: 1}},
		{"no attempt", request.Message{Kind: request.Seen}},
		{"too much data", request.Message{Kind: request.Chunk, Attempt: 1, Data: make([]byte, request.MaxDataBytes+1)}},
		{"negative hint", request.Message{Kind: request.Refused, Attempt: 1, RetryAfter: -1}},
		{"no call", request.Message{Kind: request.Open, Attempt: 1}},
		{"no time left", request.Message{Kind: request.Open, Attempt: 1, Call: &request.Call{Method: "GET", Path: "/"}}},
		{"bad status", request.Message{Kind: request.Head, Attempt: 1, Status: 7}},
		{"too many fields", request.Message{Kind: request.Open, Attempt: 1, Call: &call, Header: make([]request.Field, request.MaxFields+1)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.ErrorIs(t, tt.m.Validate(), request.ErrBadMessage)
		})
	}
	good := request.Message{Kind: request.Open, Attempt: 1, Call: &call}
	require.NoError(t, good.Validate())
}
