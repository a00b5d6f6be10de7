package lease

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

const key object.Key = "leases/duty"

// init fixes the seed of the randomised run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // both flags are defined by the library
		}
	}
}

var epoch = time.Unix(1_700_000_000, 0)

// store is a stand-in for the platform's store that holds one object, the lease.
type store struct {
	object object.Object
	fences map[Fence]host.Name // the holder of each fence
}

func (s *store) do(t require.TestingT, c object.Call) object.Reply {
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done, Object: s.object}
	if c.Op == object.Get {
		if s.object.Version == 0 {
			r.Status = object.NotFound
		}
		return r
	}
	if c.Version != s.object.Version {
		r.Status = object.Conflict
		return r
	}
	rec, err := Decode(c.Value)
	require.NoError(t, err)
	if rec.Holder != "" {
		if other, ok := s.fences[rec.Fence]; ok {
			require.Equal(t, other, rec.Holder, "two holders of fence %d", rec.Fence)
		}
		s.fences[rec.Fence] = rec.Holder
	}
	s.object = object.Object{Key: key, Version: s.object.Version + 1, Value: c.Value}
	r.Object = s.object
	return r
}

// candidate is one process that seeks the lease.
type candidate struct {
	t     require.TestingT
	lease *Lease
	store *store
	out   []Action
}

func newCandidate(t require.TestingT, s *store, name host.Name) *candidate {
	cfg := Config{Key: key, Self: host.Identity{Name: name, Incarnation: 1}}
	return &candidate{t: t, lease: New(cfg, rand.New(rand.NewPCG(1, uint64(len(name))))), store: s}
}

func newStore() *store { return &store{fences: map[Fence]host.Name{}} }

// handle passes an event to the lease and records its actions, except calls, which it
// returns for the test to carry out.
func (p *candidate) handle(now time.Time, ev Event) []object.Call {
	var calls []object.Call
	for _, a := range p.lease.Handle(now, ev) {
		require.NotEqual(p.t, Violated, a.Kind, a.Violation)
		if a.Kind == Call {
			calls = append(calls, a.Call)
			continue
		}
		p.out = append(p.out, a)
	}
	return calls
}

// runCalls carries out calls and those that follow from their replies, until none is
// left.
func (p *candidate) runCalls(now time.Time, calls []object.Call) {
	for len(calls) > 0 {
		c := calls[0]
		calls = append(calls[1:], p.handle(now, Event{Kind: Replied, Reply: p.store.do(p.t, c)})...)
	}
}

// runUntil passes ticks to the lease at its deadlines, up to the given time.
func (p *candidate) runUntil(from, to time.Time) {
	for now := from; now.Before(to); {
		p.runCalls(now, p.handle(now, Event{Kind: Tick}))
		next := p.lease.Deadline()
		if next.IsZero() || !next.After(now) {
			next = now.Add(10 * time.Millisecond)
		}
		now = next
	}
}

func assertHolds(t *testing.T, p *candidate, now time.Time, want bool) {
	t.Helper()
	assert.Equal(t, want, p.lease.Holds(now))
}

func seek(p *candidate, now time.Time) { p.runCalls(now, p.handle(now, Event{Kind: Seek})) }

func TestLeaseIsTakenRenewedAndFreed(t *testing.T) {
	s := newStore()
	a, b := newCandidate(t, s, "a"), newCandidate(t, s, "bb")
	seek(a, epoch)
	assertHolds(t, a, epoch, true)
	seek(b, epoch)
	a.runUntil(epoch, epoch.Add(time.Minute))
	now := epoch.Add(time.Minute)
	assertHolds(t, a, now, true)
	assertHolds(t, b, now, false)
	a.runCalls(now, a.handle(now, Event{Kind: Resign}))
	assertHolds(t, a, now, false)
	b.runUntil(now, now.Add(DefaultLength))
	assertHolds(t, b, now.Add(DefaultLength), true)
	assert.Equal(t, Fence(2), b.lease.Fence())
}

// The holder's process is paused for longer than the lease's length and then continues
// as though nothing had happened. Another process holds the lease by then. The first
// finds out before it acts, and the renewal that it had already decided on fails.
func TestPausedHolder(t *testing.T) {
	s := newStore()
	a, b := newCandidate(t, s, "a"), newCandidate(t, s, "bb")
	seek(a, epoch)
	renewal := a.handle(epoch.Add(2*time.Second), Event{Kind: Tick})
	require.Len(t, renewal, 1)
	seek(b, epoch)
	b.runUntil(epoch, epoch.Add(10*time.Second))
	now := epoch.Add(10 * time.Second)
	assertHolds(t, a, now, false)
	assertHolds(t, b, now, true)
	a.runCalls(now, renewal)
	assertHolds(t, a, now, false)
	assert.Equal(t, Lost, a.out[len(a.out)-1].Kind)
	assert.Greater(t, b.lease.Fence(), a.lease.Fence())
}

// The write that takes the lease takes effect, and its reply is lost. The process reads
// the record back, finds its own attempt, and measures the lease's length from when that
// write was sent, not from when the record was read.
func TestAnswerIsLost(t *testing.T) {
	s := newStore()
	a := newCandidate(t, s, "a")
	calls := a.handle(epoch, Event{Kind: Seek})
	calls = a.handle(epoch, Event{Kind: Replied, Reply: s.do(t, calls[0])})
	put := s.do(t, calls[0])
	require.Equal(t, object.Done, put.Status)
	a.handle(epoch.Add(time.Second), Event{Kind: Replied, Reply: object.Reply{ID: put.ID, Op: put.Op, Status: object.Unknown}})
	assertHolds(t, a, epoch.Add(time.Second), false)
	now := a.lease.Deadline()
	calls = a.handle(now, Event{Kind: Tick})
	require.Equal(t, object.Get, calls[0].Op)
	a.handle(now, Event{Kind: Replied, Reply: s.do(t, calls[0])})
	assertHolds(t, a, now, true)
	assert.Equal(t, epoch.Add(DefaultLength), a.lease.Until())
}

// The record that another process wrote can't be decoded. No process may take the lease
// without knowing the last fence, so nobody holds it and the damage is reported.
func TestDamagedRecord(t *testing.T) {
	l := New(Config{Key: key}, rand.New(rand.NewPCG(1, 1)))
	c := l.Handle(epoch, Event{Kind: Seek})[0].Call
	out := l.Handle(epoch, Event{Kind: Replied, Reply: object.Reply{
		ID: c.ID, Op: c.Op, Status: object.Done, Object: object.Object{Version: 3, Value: []byte(`{"fence":"x"}`)},
	}})
	require.Len(t, out, 1)
	assert.Equal(t, Violated, out[0].Kind)
}

// TestAtMostOneHolder runs processes whose clocks run at different rates, which are paused
// and lose calls and replies. At no time do two of them hold the lease, and no fence has
// two holders.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newStore()
		candidates := []*candidate{newCandidate(rt, s, "a"), newCandidate(rt, s, "bb"), newCandidate(rt, s, "ccc")}
		rates := []float64{0.98, 1, 1.02}
		var delayed []func()
		for _, p := range candidates {
			p.handle(epoch, Event{Kind: Seek})
		}
		elapsed := time.Duration(0)
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			elapsed += time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond
			local := func(i int) time.Time { return epoch.Add(time.Duration(float64(elapsed) * rates[i])) }
			i := rapid.IntRange(0, len(candidates)-1).Draw(rt, "party")
			p := candidates[i]
			for _, c := range p.handle(local(i), Event{Kind: Tick}) {
				switch rapid.IntRange(0, 3).Draw(rt, "fate") {
				case 0:
					p.handle(local(i), Event{Kind: Replied, Reply: object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}})
					delayed = append(delayed, func() { s.do(rt, c) })
				case 1:
					s.do(rt, c)
				default:
					p.runCalls(local(i), []object.Call{c})
				}
			}
			if len(delayed) > 0 && rapid.Bool().Draw(rt, "arrives") {
				delayed[0]()
				delayed = delayed[1:]
			}
			holders := 0
			for j, q := range candidates {
				if q.lease.Holds(local(j)) {
					holders++
				}
			}
			if holders > 1 {
				rt.Fatalf("%d holders after %s", holders, elapsed)
			}
		}
	})
}
