package claim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/claim"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

func prior(n byte) request.Prior {
	return request.Prior{ID: request.ID{n}, Target: "agenda-1", Incarnation: 3}
}

var key = claim.NewKey("agenda", "north", "call-17")

// process is the shard of one process, with its store. Platform calls wait until
// serve or loseReply ends them.
type process struct {
	t       *testing.T
	shard   *claim.Shard
	store   *store
	now     time.Time
	calls   []object.Call
	actions []claim.Action
}

func newProcess(t *testing.T, s *store) *process {
	return &process{t: t, shard: claim.New(claim.DefaultConfig("agenda", 0), rand.New(rand.NewPCG(1, 1))), store: s, now: t0}
}

func (p *process) handle(ev claim.Event) {
	p.t.Helper()
	for _, a := range p.shard.Handle(p.now, ev) {
		require.NotEqual(p.t, claim.Violated, a.Kind, "%v", a.Violation)
		if a.Kind == claim.Call {
			p.calls = append(p.calls, a.Call)
			continue
		}
		if a.Kind != claim.Wake {
			p.actions = append(p.actions, a)
		}
	}
}

func (p *process) ask(n byte, memoryOnly bool) {
	p.handle(claim.Event{Kind: claim.ClaimRequested, Key: key, Owner: prior(n), MemoryOnly: memoryOnly})
}

// serve lets the platform reply until no call is pending.
func (p *process) serve() {
	for len(p.calls) > 0 {
		c := p.calls[0]
		p.calls = p.calls[1:]
		p.handle(claim.Event{Kind: claim.Replied, Reply: p.store.do(c)})
	}
}

// loseReply ends the next call as Unknown. The call takes effect if landed is true.
func (p *process) loseReply(landed bool) {
	c := p.calls[0]
	p.calls = p.calls[1:]
	if landed {
		p.store.do(c)
	}
	p.handle(claim.Event{Kind: claim.Replied, Reply: object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}})
}

func (p *process) advance(d time.Duration) {
	p.now = p.now.Add(d)
	p.handle(claim.Event{Kind: claim.Tick})
}

func (p *process) requireActions(want ...claim.ActionKind) {
	p.t.Helper()
	var got []claim.ActionKind
	for _, a := range p.actions {
		got = append(got, a.Kind)
	}
	require.Equal(p.t, want, got)
}

// The caller repeats its call through a second entry while the first entry's
// claim is being written. Both write the same object and expect the same
// version. The second write conflicts, and the second entry finds the key taken.
func TestTwoEntriesAtOnce(t *testing.T) {
	s := newStore()
	a, b := newProcess(t, s), newProcess(t, s)
	a.ask(1, false)
	b.ask(2, false)
	for _, p := range []*process{a, b} {
		list := p.calls[0]
		p.calls = nil
		p.handle(claim.Event{Kind: claim.Replied, Reply: s.do(list)})
		require.Equal(t, object.Put, p.calls[0].Op)
	}
	a.serve()
	b.serve()
	a.requireActions(claim.Granted)
	b.requireActions(claim.Taken)
	require.Equal(t, prior(1), b.actions[0].Owner)
}

// The reply to a write is lost. The object is read again before the claim is
// granted, whether the write took effect or not; the caller waits a little
// longer.
func TestWriteAnswerLost(t *testing.T) {
	for _, landed := range []bool{true, false} {
		p := newProcess(t, newStore())
		p.ask(1, false)
		list := p.calls[0]
		p.calls = nil
		p.handle(claim.Event{Kind: claim.Replied, Reply: p.store.do(list)})
		p.loseReply(landed)
		p.requireActions()
		p.advance(200 * time.Millisecond)
		require.Equal(t, object.Get, p.calls[0].Op)
		p.serve()
		p.requireActions(claim.Granted)
	}
}

// The caller is refused with "not run", because the platform does not reply in
// time. Its claim is recorded nevertheless, and the key is then freed, so that a
// repeat can run.
func TestGivenUpClaimIsFreed(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	list := p.calls[0]
	p.calls = nil
	p.handle(claim.Event{Kind: claim.Replied, Reply: p.store.do(list)})
	p.loseReply(true)
	p.calls = nil
	p.advance(time.Second)
	p.requireActions(claim.Refused)
	for range 5 {
		p.serve()
		p.advance(200 * time.Millisecond)
	}
	p.ask(2, false)
	p.serve()
	p.requireActions(claim.Refused, claim.Granted)
}

// During an outage of the platform the document determines whether the caller is
// refused with "not run", or its call runs on a claim that only this process
// knows. A repeat through this process is still recognised then, and the claim
// is recorded when the platform is available again.
func TestPlatformOut(t *testing.T) {
	t.Run("refuse", func(t *testing.T) {
		p := newProcess(t, newStore())
		p.ask(1, false)
		p.loseReply(false)
		p.advance(time.Second)
		p.requireActions(claim.Refused)
		require.Equal(t, request.ClaimUnavailable, p.actions[0].Reason)
		require.Positive(t, p.actions[0].RetryAfter)
	})
	t.Run("memory only", func(t *testing.T) {
		p := newProcess(t, newStore())
		p.ask(1, true)
		p.loseReply(false)
		p.advance(time.Second)
		p.ask(2, true)
		p.requireActions(claim.Granted, claim.Taken)
		p.serve()
		q := newProcess(t, p.store)
		q.ask(3, false)
		q.serve()
		q.requireActions(claim.Taken)
	})
	t.Run("memory only in two processes", func(t *testing.T) {
		s := newStore()
		p, q := newProcess(t, s), newProcess(t, s)
		for i, x := range []*process{p, q} {
			x.ask(byte(i+1), true)
			x.loseReply(false)
			x.advance(time.Second)
			x.serve()
		}
		p.requireActions(claim.Granted)
		q.requireActions(claim.Granted, claim.Overlap)
	})
}

// During a long outage of the platform, callers are refused without a wait. One
// claim after each backoff still calls the platform, and so detects that it is
// available again.
func TestPlatformOutForLong(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	for range 2 {
		p.loseReply(false)
		p.advance(100 * time.Millisecond)
	}
	p.loseReply(false)
	p.ask(2, false)
	p.requireActions(claim.Refused)
	p.advance(100 * time.Millisecond)
	p.serve()
	p.ask(3, false)
	p.requireActions(claim.Refused, claim.Granted, claim.Taken)
}

// The caller repeats a call whose request has moved to another target since its
// claim. The repeat gets the current target.
func TestMovedClaim(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	p.serve()
	moved := prior(1)
	moved.Target = "agenda-2"
	p.handle(claim.Event{Kind: claim.Moved, Key: key, Owner: moved})
	p.advance(time.Second)
	p.serve()
	q := newProcess(t, p.store)
	q.ask(2, false)
	q.serve()
	q.requireActions(claim.Taken)
	require.Equal(t, moved, q.actions[0].Owner)

	// A move after the release of its claim does not take the key again.
	for _, kind := range []claim.EventKind{claim.Released, claim.Moved} {
		p.handle(claim.Event{Kind: kind, Key: key, Owner: moved})
		p.advance(time.Second)
		p.serve()
	}
	q = newProcess(t, p.store)
	q.ask(3, false)
	q.serve()
	q.requireActions(claim.Granted)
}

// A key is free again when its retention is over, not before.
func TestRetention(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	p.serve()
	p.advance(10*time.Minute - time.Millisecond)
	p.ask(2, false)
	p.serve()
	p.advance(time.Millisecond)
	p.ask(3, false)
	p.serve()
	p.requireActions(claim.Granted, claim.Taken, claim.Granted)
}

// The caller repeats a refused call through another entry, and the repeat must
// run. The first entry claimed the key and then freed it, since its request had
// not run. The second entry has read the claim but not its release. It has to
// read the platform again: otherwise the repeat would wait for a response that
// never comes.
func TestRepeatAfterAnotherProcessFreedTheKey(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	p.serve()
	q := newProcess(t, p.store)
	q.ask(2, false)
	q.serve()
	q.requireActions(claim.Taken)
	p.handle(claim.Event{Kind: claim.Released, Key: key, Owner: prior(1)})
	p.advance(time.Second)
	p.serve()

	q.advance(2 * time.Second)
	q.ask(3, false)
	q.serve()
	q.advance(time.Second)
	q.serve()
	q.requireActions(claim.Taken, claim.Granted)
}

// The same as above, but the segment with the claim has been sealed and several
// segments were written since. All of them are read before the repeat is decided.
func TestRepeatAfterSegmentsWereSealed(t *testing.T) {
	small := claim.DefaultConfig("agenda", 0)
	small.SegmentBytes = 1
	s := newStore()
	p, q := newProcess(t, s), newProcess(t, s)
	p.shard, q.shard = claim.New(small, rand.New(rand.NewPCG(1, 1))), claim.New(small, rand.New(rand.NewPCG(1, 1)))
	p.ask(1, false)
	p.serve()
	q.ask(2, false)
	q.serve()
	for n := range byte(3) {
		p.handle(claim.Event{Kind: claim.ClaimRequested, Key: claim.NewKey("agenda", "north", string(n)), Owner: prior(10 + n)})
		p.advance(time.Second)
		p.serve()
	}
	p.handle(claim.Event{Kind: claim.Released, Key: key, Owner: prior(1)})
	p.serve()
	q.advance(10 * time.Second)
	q.ask(3, false)
	q.serve()
	q.requireActions(claim.Taken, claim.Granted)
}

// During an outage of the platform, a caller repeats a call whose request has
// run. The entry decides by the view that it has: a refusal with "not run"
// would be wrong.
func TestRepeatDuringOutage(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	p.serve()
	p.advance(time.Second)
	p.ask(2, false)
	p.loseReply(false)
	p.advance(time.Second)
	p.requireActions(claim.Granted, claim.Taken)
}

// The shard's object contains something other than a segment. Claims are refused
// after their wait, and none is granted.
func TestCorruptSegment(t *testing.T) {
	s := newStore()
	s.do(object.Call{Op: object.Put, Key: "claims/agenda-000-001", Value: []byte("x")})
	p := newProcess(t, s)
	p.ask(1, false)
	p.serve()
	p.advance(time.Second)
	p.requireActions(claim.Corrupt, claim.Refused)
	require.ErrorIs(t, p.actions[0].Err, claim.ErrBadSegment)
}
