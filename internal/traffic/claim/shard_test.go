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

// process is one process's shard before a store; calls wait until they are served.
type process struct {
	t     *testing.T
	s     *claim.Shard
	store *store
	now   time.Time
	calls []object.Call
	all   []claim.Action
}

func newProcess(t *testing.T, s *store) *process {
	return &process{t: t, s: claim.New(claim.DefaultConfig("agenda", 0), rand.New(rand.NewPCG(1, 1))), store: s, now: t0}
}

func (p *process) on(ev claim.Event) {
	p.t.Helper()
	for _, a := range p.s.Handle(p.now, ev) {
		require.NotEqual(p.t, claim.Violated, a.Kind, "%v", a.Violation)
		if a.Kind == claim.Call {
			p.calls = append(p.calls, a.Call)
			continue
		}
		if a.Kind != claim.Wake {
			p.all = append(p.all, a)
		}
	}
}

func (p *process) ask(n byte, memoryOnly bool) {
	p.on(claim.Event{Kind: claim.Asked, Key: key, Owner: prior(n), MemoryOnly: memoryOnly})
}

// serve lets the platform answer until no call is under way.
func (p *process) serve() {
	for len(p.calls) > 0 {
		c := p.calls[0]
		p.calls = p.calls[1:]
		p.on(claim.Event{Kind: claim.Replied, Reply: p.store.do(c)})
	}
}

// lose ends the next call without an answer, after it took effect or before.
func (p *process) lose(landed bool) {
	c := p.calls[0]
	p.calls = p.calls[1:]
	if landed {
		p.store.do(c)
	}
	p.on(claim.Event{Kind: claim.Replied, Reply: object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}})
}

func (p *process) after(d time.Duration) {
	p.now = p.now.Add(d)
	p.on(claim.Event{Kind: claim.Tick})
}

func (p *process) answers(want ...claim.ActionKind) {
	p.t.Helper()
	var got []claim.ActionKind
	for _, a := range p.all {
		got = append(got, a.Kind)
	}
	require.Equal(p.t, want, got)
}

// The caller repeats its call through a second entry while the first one's
// claim is being written. Both write the same object expecting the same
// version; the second conflicts, reads, and finds the key taken.
func TestTwoEntriesAtOnce(t *testing.T) {
	s := newStore()
	a, b := newProcess(t, s), newProcess(t, s)
	a.ask(1, false)
	b.ask(2, false)
	for _, p := range []*process{a, b} {
		list := p.calls[0]
		p.calls = nil
		p.on(claim.Event{Kind: claim.Replied, Reply: s.do(list)})
		require.Equal(t, object.Put, p.calls[0].Op)
	}
	a.serve()
	b.serve()
	a.answers(claim.Granted)
	b.answers(claim.Taken)
	require.Equal(t, prior(1), b.all[0].Owner)
}

// The caller waits a little longer. The write's answer is lost; the write is
// read back before anyone is told, whether it had landed or not.
func TestWriteAnswerLost(t *testing.T) {
	for _, landed := range []bool{true, false} {
		p := newProcess(t, newStore())
		p.ask(1, false)
		list := p.calls[0]
		p.calls = nil
		p.on(claim.Event{Kind: claim.Replied, Reply: p.store.do(list)})
		p.lose(landed)
		p.answers()
		p.after(200 * time.Millisecond)
		require.Equal(t, object.Get, p.calls[0].Op)
		p.serve()
		p.answers(claim.Granted)
	}
}

// The caller is told "not run" because the platform does not answer in time.
// Its claim lands all the same; the key is freed, so that a repeat can run.
func TestGivenUpClaimIsFreed(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	list := p.calls[0]
	p.calls = nil
	p.on(claim.Event{Kind: claim.Replied, Reply: p.store.do(list)})
	p.lose(true)
	p.calls = nil
	p.after(time.Second)
	p.answers(claim.Refuse)
	for range 5 {
		p.serve()
		p.after(200 * time.Millisecond)
	}
	p.ask(2, false)
	p.serve()
	p.answers(claim.Refuse, claim.Granted)
}

// While the platform is out the document decides: the caller is refused as
// "not run", or its call runs on a claim that only this process knows. A repeat
// here is still recognised, and the claim is recorded when the platform is back.
func TestPlatformOut(t *testing.T) {
	t.Run("refuse", func(t *testing.T) {
		p := newProcess(t, newStore())
		p.ask(1, false)
		p.lose(false)
		p.after(time.Second)
		p.answers(claim.Refuse)
		require.Equal(t, request.ClaimUnavailable, p.all[0].Reason)
		require.Positive(t, p.all[0].RetryAfter)
	})
	t.Run("memory only", func(t *testing.T) {
		p := newProcess(t, newStore())
		p.ask(1, true)
		p.lose(false)
		p.after(time.Second)
		p.ask(2, true)
		p.answers(claim.Granted, claim.Taken)
		p.serve()
		q := newProcess(t, p.store)
		q.ask(3, false)
		q.serve()
		q.answers(claim.Taken)
	})
	t.Run("memory only in two processes", func(t *testing.T) {
		s := newStore()
		p, q := newProcess(t, s), newProcess(t, s)
		for i, x := range []*process{p, q} {
			x.ask(byte(i+1), true)
			x.lose(false)
			x.after(time.Second)
			x.serve()
		}
		p.answers(claim.Granted)
		q.answers(claim.Granted, claim.Overlap)
	})
}

// While the platform is out for long, callers need not wait to be refused. One
// ask in each backoff goes to the platform, and finds it when it is back.
func TestPlatformOutForLong(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	for range 2 {
		p.lose(false)
		p.after(100 * time.Millisecond)
	}
	p.lose(false)
	p.ask(2, false)
	p.answers(claim.Refuse)
	p.after(100 * time.Millisecond)
	p.serve()
	p.ask(3, false)
	p.answers(claim.Refuse, claim.Granted, claim.Taken)
}

// The caller repeats a call whose request has gone to another target since it
// was claimed; the repeat learns where it is now.
func TestMovedClaim(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	p.serve()
	moved := prior(1)
	moved.Target = "agenda-2"
	p.on(claim.Event{Kind: claim.Moved, Key: key, Owner: moved})
	p.after(time.Second)
	p.serve()
	q := newProcess(t, p.store)
	q.ask(2, false)
	q.serve()
	q.answers(claim.Taken)
	require.Equal(t, moved, q.all[0].Owner)

	// A move that comes after the end of its claim takes the key from nobody.
	for _, kind := range []claim.EventKind{claim.Released, claim.Moved} {
		p.on(claim.Event{Kind: kind, Key: key, Owner: moved})
		p.after(time.Second)
		p.serve()
	}
	q = newProcess(t, p.store)
	q.ask(3, false)
	q.serve()
	q.answers(claim.Granted)
}

// The caller's key is free again after the retention, not before.
func TestRetention(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	p.serve()
	p.after(10*time.Minute - time.Millisecond)
	p.ask(2, false)
	p.serve()
	p.after(time.Millisecond)
	p.ask(3, false)
	p.serve()
	p.answers(claim.Granted, claim.Taken, claim.Granted)
}

// The caller repeats a refused call through another entry and wants it run. The
// first entry claimed the key, then freed it, since its request had not run. The
// second entry has read the claim and not its end: it reads the platform before
// it sends the repeat to wait for an answer that will never come.
func TestRepeatAfterAnotherProcessFreedTheKey(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	p.serve()
	q := newProcess(t, p.store)
	q.ask(2, false)
	q.serve()
	q.answers(claim.Taken)
	p.on(claim.Event{Kind: claim.Released, Key: key, Owner: prior(1)})
	p.after(time.Second)
	p.serve()

	q.after(2 * time.Second)
	q.ask(3, false)
	q.serve()
	q.after(time.Second)
	q.serve()
	q.answers(claim.Taken, claim.Granted)
}

// The same, while the segment that has the claim has been sealed and more than
// one was written since: all that follow are read before the answer.
func TestRepeatAfterSegmentsWereSealed(t *testing.T) {
	small := claim.DefaultConfig("agenda", 0)
	small.SegmentBytes = 1
	s := newStore()
	p, q := newProcess(t, s), newProcess(t, s)
	p.s, q.s = claim.New(small, rand.New(rand.NewPCG(1, 1))), claim.New(small, rand.New(rand.NewPCG(1, 1)))
	p.ask(1, false)
	p.serve()
	q.ask(2, false)
	q.serve()
	for n := range byte(3) {
		p.on(claim.Event{Kind: claim.Asked, Key: claim.NewKey("agenda", "north", string(n)), Owner: prior(10 + n)})
		p.after(time.Second)
		p.serve()
	}
	p.on(claim.Event{Kind: claim.Released, Key: key, Owner: prior(1)})
	p.serve()
	q.after(10 * time.Second)
	q.ask(3, false)
	q.serve()
	q.answers(claim.Taken, claim.Granted)
}

// The platform is out, and a caller repeats a call whose request has run. What
// the entry read before is all there is: saying "not run" would be untrue.
func TestRepeatDuringOutage(t *testing.T) {
	p := newProcess(t, newStore())
	p.ask(1, false)
	p.serve()
	p.after(time.Second)
	p.ask(2, false)
	p.lose(false)
	p.after(time.Second)
	p.answers(claim.Granted, claim.Taken)
}

// Somebody has written something else into the shard's object. Claims are
// refused after their wait; nothing is granted on a guess.
func TestCorruptSegment(t *testing.T) {
	s := newStore()
	s.do(object.Call{Op: object.Put, Key: "claims/agenda-000-001", Value: []byte("x")})
	p := newProcess(t, s)
	p.ask(1, false)
	p.serve()
	p.after(time.Second)
	p.answers(claim.Corrupt, claim.Refuse)
	require.ErrorIs(t, p.all[0].Err, claim.ErrBadSegment)
}
