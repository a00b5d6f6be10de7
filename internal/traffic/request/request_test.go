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

// driver passes events to one request and records its actions.
type driver struct {
	t       *testing.T
	r       *request.Request
	now     time.Time
	actions []request.Action
}

func newDriver(t *testing.T, idempotent, claimed bool) *driver {
	decide := func(_ time.Time, try retry.Attempt) retry.Decision {
		if try.Attempts >= 3 {
			return retry.Decision{Verdict: retry.TooMany}
		}
		return retry.Decision{Verdict: retry.Allowed}
	}
	spec := request.Spec{
		ID: id, Claimed: claimed, Deadline: t0.Add(10 * time.Second),
		Call: request.Call{Service: "agenda", Method: "POST", Path: "/calls", Idempotent: idempotent},
	}
	d := &driver{t: t, now: t0, r: request.New(request.DefaultConfig(), spec, decide)}
	d.handle(request.Event{Kind: request.Started})
	return d
}

func (d *driver) handle(ev request.Event) []request.Action {
	d.t.Helper()
	out := d.r.Handle(d.now, ev)
	for _, a := range out {
		require.NotEqual(d.t, request.Violated, a.Kind, "%v", a.Violation)
	}
	d.actions = append(d.actions, out...)
	return out
}

func (d *driver) picked(target host.Name, c request.Conn) {
	d.handle(request.Event{Kind: request.Picked, Target: target, Conn: c, Incarnation: 5})
}

func (d *driver) receive(c request.Conn, a request.Attempt, m request.Message) []request.Action {
	m.ID, m.Attempt = id, a
	return d.handle(request.Event{Kind: request.Received, Conn: c, Message: m})
}

func (d *driver) connected(target host.Name, c request.Conn, i host.Incarnation) {
	d.handle(request.Event{Kind: request.Connected, Target: target, Conn: c, Incarnation: i})
}

func (d *driver) tickAfter(wait time.Duration) []request.Action {
	d.now = d.now.Add(wait)
	return d.handle(request.Event{Kind: request.Tick})
}

func (d *driver) lastAction(kind request.ActionKind) request.Action {
	d.t.Helper()
	for i := len(d.actions) - 1; i >= 0; i-- {
		if d.actions[i].Kind == kind {
			return d.actions[i]
		}
	}
	require.Fail(d.t, "no action of this kind", "kind %d", kind)
	return request.Action{}
}

func (d *driver) requireOutcome(want request.Outcome, reason request.Reason) {
	d.t.Helper()
	res := d.lastAction(request.Finish).Result
	require.Equal(d.t, want, res.Outcome, "%+v", res)
	require.Equal(d.t, reason, res.Reason)
	if want != request.Answered {
		require.Positive(d.t, res.RetryAfter)
	}
}

func (d *driver) delivered() string {
	var s string
	for _, a := range d.actions {
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
	d := newDriver(t, false, false)
	d.picked("mtl-a-1", 1)
	d.receive(1, 1, request.Message{Kind: request.Seen})
	d.receive(1, 1, head)
	d.receive(1, 1, chunk(0, "bon"))
	d.receive(1, 1, chunk(3, "jour"))
	d.receive(1, 1, end(7))
	d.requireOutcome(request.Answered, request.NoReason)
	require.Equal(t, "bonjour", d.delivered())
}

// The caller receives one complete response. The connection to the sidecar goes
// silent after "bon", and the entry resolves on a new one from byte 3. The old
// connection then resumes and repeats bytes, which must not be passed on twice.
func TestSilentMidAnswer(t *testing.T) {
	d := newDriver(t, false, false)
	d.picked("mtl-a-1", 1)
	d.receive(1, 1, head)
	d.receive(1, 1, chunk(0, "bon"))
	d.handle(request.Event{Kind: request.ConnectionSilent, Conn: 1})
	require.Equal(t, request.Conn(1), d.lastAction(request.Connect).Conn)
	d.connected("mtl-a-1", 2, 5)
	resolve := d.lastAction(request.Send).Message
	require.Equal(t, request.Resolve, resolve.Kind)
	require.Equal(t, uint64(3), resolve.Offset)
	require.Equal(t, request.Digest(0, []byte("bon")), resolve.Digest)
	d.receive(1, 1, chunk(0, "bonj"))
	d.receive(2, 1, head)
	d.receive(2, 1, chunk(3, "jour"))
	d.receive(2, 1, end(7))
	d.requireOutcome(request.Answered, request.NoReason)
	require.Equal(t, "bonjour", d.delivered())
}

// A call that must not be repeated ends as "unknown" or "not run" and never runs
// twice. The connection goes silent before any reply, and the outcome depends
// on the sidecar's reply on the new connection.
func TestSilentBeforeReply(t *testing.T) {
	tests := []struct {
		name    string
		steps   func(d *driver)
		outcome request.Outcome
		reason  request.Reason
	}{
		{"never seen, several times", func(d *driver) {
			for lost := range request.Attempt(3) {
				c := request.Conn(lost) + 2
				d.connected("mtl-a-1", c, 5)
				d.receive(c, lost+1, request.Message{Kind: request.Refused, Reason: request.NeverSeen})
				d.handle(request.Event{Kind: request.ConnectionSilent, Conn: c})
			}
		}, request.NotRun, request.NeverSeen},
		{"sidecar restarted", func(d *driver) {
			d.connected("mtl-a-1", 2, 6)
			d.receive(2, 1, request.Message{Kind: request.UnknownOutcome, Reason: request.TargetRestarted})
		}, request.Unknown, request.TargetRestarted},
		{"cannot reconnect", func(d *driver) {
			d.handle(request.Event{Kind: request.ConnectFailed, Target: "mtl-a-1"})
			d.tickAfter(time.Second)
			d.handle(request.Event{Kind: request.ConnectFailed, Target: "mtl-a-1"})
			d.tickAfter(10 * time.Second)
		}, request.Unknown, request.DeadlinePassed},
		{"the sidecar was paused for some seconds", func(d *driver) {
			d.handle(request.Event{Kind: request.ConnectFailed, Target: "mtl-a-1"})
			out := d.tickAfter(4 * time.Second)
			require.Equal(d.t, request.Connect, out[0].Kind)
			d.connected("mtl-a-1", 2, 5)
			d.receive(2, 1, head)
			d.receive(2, 1, end(0))
		}, request.Answered, request.NoReason},
		{"the body was not sent", func(d *driver) {
			d.handle(request.Event{Kind: request.BodyNotSent, Attempt: 1})
			d.tickAfter(10 * time.Second)
		}, request.NotRun, request.DeadlinePassed},
		{"caller leaves meanwhile", func(d *driver) {
			d.handle(request.Event{Kind: request.CallerLeft})
		}, request.Unknown, request.CallerGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDriver(t, false, false)
			d.picked("mtl-a-1", 1)
			d.handle(request.Event{Kind: request.ConnectionSilent, Conn: 1})
			tt.steps(d)
			d.requireOutcome(tt.outcome, tt.reason)
		})
	}
}

// The caller of a call that must not be repeated receives the response. The
// connection that the call was sent on had gone silent, and the sidecar reports
// on a new one that it has never seen the call. The call goes to the same target
// again, on the connection that has just been proved to work. Another target
// would be no better, and if all connections went silent at once there would
// soon be no target left to try.
func TestNeverSeenGoesAgainByTheFreshConnection(t *testing.T) {
	d := newDriver(t, false, false)
	d.picked("mtl-a-1", 1)
	d.handle(request.Event{Kind: request.ConnectionSilent, Conn: 1})
	d.connected("mtl-a-1", 2, 5)
	out := d.receive(2, 1, request.Message{Kind: request.Refused, Reason: request.NeverSeen})
	require.Equal(t, request.Send, out[0].Kind)
	require.Equal(t, request.Open, out[0].Message.Kind)
	require.Equal(t, request.Attempt(2), out[0].Message.Attempt)
	require.Equal(t, request.Conn(2), out[0].Conn)
	d.receive(2, 2, head)
	d.receive(2, 2, chunk(0, "bonjour"))
	d.receive(2, 2, end(7))
	d.requireOutcome(request.Answered, request.NoReason)
}

// The caller of an idempotent request receives only the second target's
// response. The first target's host fails, the request moves on, and the first
// target's response arrives late on the old connection: it is dropped, and its
// attempt is cancelled.
func TestLateAnswerOfFirstTarget(t *testing.T) {
	d := newDriver(t, true, false)
	d.picked("mtl-a-1", 1)
	d.handle(request.Event{Kind: request.ConnectionSilent, Conn: 1})
	d.handle(request.Event{Kind: request.ConnectFailed, Target: "mtl-a-1"})
	d.tickAfter(0)
	require.Equal(t, []host.Name{"mtl-a-1"}, d.lastAction(request.Pick).Tried)
	d.picked("mtl-b-1", 2)
	out := d.receive(1, 1, head)
	require.Equal(t, request.Cancel, out[0].Message.Kind)
	require.Equal(t, request.Conn(1), out[0].Conn)
	require.Empty(t, d.receive(1, 1, chunk(0, "old")))
	d.receive(2, 2, head)
	d.receive(2, 2, chunk(0, "new"))
	d.receive(2, 2, end(3))
	d.requireOutcome(request.Answered, request.NoReason)
	require.Equal(t, "new", d.delivered())
}

// The caller sees a truncated stream, not a shorter response that looks
// complete. The engine ends after the first bytes, and no other target may
// continue the response.
func TestBrokenMidAnswer(t *testing.T) {
	d := newDriver(t, true, false)
	d.picked("mtl-a-1", 1)
	d.receive(1, 1, head)
	d.receive(1, 1, chunk(0, "bon"))
	d.receive(1, 1, request.Message{Kind: request.End, Offset: 3, Reason: request.EngineTruncated})
	d.requireOutcome(request.Unknown, request.EngineTruncated)
	require.True(t, d.lastAction(request.Finish).Result.Truncated)
}

// The caller is refused at once when all targets refuse, with the longest of
// their retry delays, after as many attempts as the budget allows.
func TestAllTargetsFull(t *testing.T) {
	d := newDriver(t, false, false)
	for i := range request.Attempt(3) {
		d.picked(host.Name(fmt.Sprintf("mtl-a-%d", i)), request.Conn(i+1))
		d.receive(request.Conn(i+1), i+1, request.Message{
			Kind: request.Refused, Reason: request.Overloaded, RetryAfter: time.Duration(i+1) * time.Second,
		})
		d.tickAfter(0)
	}
	d.requireOutcome(request.NotRun, request.Overloaded)
	require.Equal(t, 3*time.Second, d.lastAction(request.Finish).Result.RetryAfter)
	require.Equal(t, t0, d.now)
}

// The caller repeats a call through another entry. The first request owns the
// key. The repeat passes on the first request's response, or, if that is not
// available, ends as "unknown", since the call may have run.
func TestKeyClaimedBefore(t *testing.T) {
	prior := request.Prior{ID: request.ID{9}, Target: "mtl-b-1", Incarnation: 5}
	begin := func(t *testing.T) *driver {
		d := newDriver(t, false, true)
		d.picked("mtl-a-1", 1)
		d.handle(request.Event{Kind: request.ClaimTaken, Prior: prior})
		return d
	}
	t.Run("passes on the response", func(t *testing.T) {
		d := begin(t)
		d.connected("mtl-b-1", 2, 5)
		require.True(t, d.lastAction(request.Send).Message.Join)
		for _, m := range []request.Message{head, chunk(0, "ok"), end(2)} {
			m.ID, m.Attempt = prior.ID, 1
			d.handle(request.Event{Kind: request.Received, Conn: 2, Message: m})
		}
		d.requireOutcome(request.Answered, request.NoReason)
	})
	t.Run("repeat arrives at the target first", func(t *testing.T) {
		d := begin(t)
		d.connected("mtl-b-1", 2, 5)
		for attempt := range request.Attempt(2) {
			m := request.Message{Kind: request.UnknownOutcome, ID: prior.ID, Attempt: attempt + 1, Reason: request.NeverSeen}
			d.handle(request.Event{Kind: request.Received, Conn: 2, Message: m})
			out := d.tickAfter(20 * time.Millisecond << attempt)
			require.Equal(t, request.Claim, out[0].Kind)
			d.handle(request.Event{Kind: request.ClaimTaken, Prior: prior})
			d.connected("mtl-b-1", 2, 5)
			require.Equal(t, request.Resolve, d.lastAction(request.Send).Message.Kind)
		}
		d.tickAfter(3 * time.Second)
		d.requireOutcome(request.Unknown, request.KeyClaimed)
	})
	refused := func(t *testing.T) *driver {
		d := begin(t)
		d.connected("mtl-b-1", 2, 5)
		m := request.Message{Kind: request.Refused, ID: prior.ID, Attempt: 1, Reason: request.Overloaded}
		d.handle(request.Event{Kind: request.Received, Conn: 2, Message: m})
		d.tickAfter(20 * time.Millisecond)
		return d
	}
	t.Run("refusal by that target proves nothing", func(t *testing.T) {
		d := refused(t)
		d.handle(request.Event{Kind: request.ClaimRefused, Reason: request.ClaimUnavailable})
		d.requireOutcome(request.Unknown, request.KeyClaimed)
	})
	t.Run("freed key proves that the first request was not run", func(t *testing.T) {
		d := refused(t)
		d.handle(request.Event{Kind: request.ClaimGranted})
		d.handle(request.Event{Kind: request.NothingPicked})
		d.requireOutcome(request.NotRun, request.NoTarget)
	})
	t.Run("key was used for a different request", func(t *testing.T) {
		d := newDriver(t, false, true)
		d.picked("mtl-a-1", 1)
		d.handle(request.Event{Kind: request.ClaimTaken, Prior: request.Prior{ID: request.ID{9}, Target: "mtl-b-1", Fingerprint: 1}})
		d.requireOutcome(request.NotRun, request.KeyReused)
	})
	t.Run("target restarted", func(t *testing.T) {
		d := begin(t)
		d.connected("mtl-b-1", 2, 6)
		d.requireOutcome(request.Unknown, request.KeyClaimed)
	})
}

// The caller repeats its call later and receives the response from the target
// where the first request ran. The connection to the target that was picked
// first had gone silent during the claim, so the request was sent to another
// target, and the claim has to name that one.
func TestSilentWhileClaiming(t *testing.T) {
	d := newDriver(t, false, true)
	d.picked("mtl-a-1", 1)
	require.Equal(t, host.Name("mtl-a-1"), d.lastAction(request.Claim).Prior.Target)
	d.handle(request.Event{Kind: request.ConnectionSilent, Conn: 1})
	d.handle(request.Event{Kind: request.ClaimGranted})
	d.picked("mtl-b-1", 2)
	require.Equal(t, host.Name("mtl-b-1"), d.lastAction(request.MoveClaim).Prior.Target)
}

// The request ends as "not run" while the claim is still being written. When
// the claim is granted afterwards, the key must be freed: otherwise a repeat by
// the caller would find the key taken by a request that never ran.
func TestClaimGrantedTooLate(t *testing.T) {
	d := newDriver(t, false, true)
	d.picked("mtl-a-1", 1)
	d.tickAfter(10 * time.Second)
	d.requireOutcome(request.NotRun, request.DeadlinePassed)
	out := d.handle(request.Event{Kind: request.ClaimGranted})
	require.Len(t, out, 1)
	require.Equal(t, request.ReleaseClaim, out[0].Kind)
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
		{"negative retry delay", request.Message{Kind: request.Refused, Attempt: 1, RetryAfter: -1}},
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
