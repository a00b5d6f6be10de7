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
			panic(err) // the flags are those of the library
		}
	}
}

var epoch = time.Unix(1_700_000_000, 0)

// shelf is the platform with one object.
type shelf struct {
	object object.Object
	fences map[Fence]host.Name // who took each fence
}

func (s *shelf) do(t require.TestingT, c object.Call) object.Reply {
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

// party is one process that seeks the lease.
type party struct {
	t     require.TestingT
	lease *Lease
	shelf *shelf
	out   []Action
}

func newParty(t require.TestingT, s *shelf, name host.Name) *party {
	cfg := Config{Key: key, Self: host.Identity{Name: name, Incarnation: 1}}
	return &party{t: t, lease: New(cfg, rand.New(rand.NewPCG(1, uint64(len(name))))), shelf: s}
}

func newShelf() *shelf { return &shelf{fences: map[Fence]host.Name{}} }

// feed hands an event over and keeps the actions; calls are left to the test.
func (p *party) feed(now time.Time, ev Event) []object.Call {
	var calls []object.Call
	for _, a := range p.lease.Handle(now, ev) {
		require.NotEqual(p.t, Violate, a.Kind, a.Violation)
		if a.Kind == Call {
			calls = append(calls, a.Call)
			continue
		}
		p.out = append(p.out, a)
	}
	return calls
}

// settle carries out all calls at once, until none is left.
func (p *party) settle(now time.Time, calls []object.Call) {
	for len(calls) > 0 {
		c := calls[0]
		calls = append(calls[1:], p.feed(now, Event{Kind: Answer, Reply: p.shelf.do(p.t, c)})...)
	}
}

// until ticks the lease up to the given time.
func (p *party) until(from, to time.Time) {
	for now := from; now.Before(to); {
		p.settle(now, p.feed(now, Event{Kind: Tick}))
		next := p.lease.Deadline()
		if next.IsZero() || !next.After(now) {
			next = now.Add(10 * time.Millisecond)
		}
		now = next
	}
}

func assertHolds(t *testing.T, p *party, now time.Time, want bool) {
	t.Helper()
	assert.Equal(t, want, p.lease.Holds(now))
}

func seek(p *party, now time.Time) { p.settle(now, p.feed(now, Event{Kind: Seek})) }

func TestLeaseIsTakenRenewedAndFreed(t *testing.T) {
	s := newShelf()
	a, b := newParty(t, s, "a"), newParty(t, s, "bb")
	seek(a, epoch)
	assertHolds(t, a, epoch, true)
	seek(b, epoch)
	a.until(epoch, epoch.Add(time.Minute))
	now := epoch.Add(time.Minute)
	assertHolds(t, a, now, true)
	assertHolds(t, b, now, false)
	a.settle(now, a.feed(now, Event{Kind: Resign}))
	assertHolds(t, a, now, false)
	b.until(now, now.Add(DefaultLength))
	assertHolds(t, b, now.Add(DefaultLength), true)
	assert.Equal(t, Fence(2), b.lease.Fence())
}

// The holder's process is paused for longer than the lease and goes on as though
// nothing had happened. Another one holds it by then: the first finds out before
// it acts, and its renewal, already decided, fails.
func TestPausedHolder(t *testing.T) {
	s := newShelf()
	a, b := newParty(t, s, "a"), newParty(t, s, "bb")
	seek(a, epoch)
	renewal := a.feed(epoch.Add(2*time.Second), Event{Kind: Tick})
	require.Len(t, renewal, 1)
	seek(b, epoch)
	b.until(epoch, epoch.Add(10*time.Second))
	now := epoch.Add(10 * time.Second)
	assertHolds(t, a, now, false)
	assertHolds(t, b, now, true)
	a.settle(now, renewal)
	assertHolds(t, a, now, false)
	assert.Equal(t, Lost, a.out[len(a.out)-1].Kind)
	assert.Greater(t, b.lease.Fence(), a.lease.Fence())
}

// The write that takes the lease takes effect, and its answer is lost. The process
// reads the record back, finds its own attempt, and holds the lease from before
// that write was sent, not from when it read.
func TestAnswerIsLost(t *testing.T) {
	s := newShelf()
	a := newParty(t, s, "a")
	calls := a.feed(epoch, Event{Kind: Seek})
	calls = a.feed(epoch, Event{Kind: Answer, Reply: s.do(t, calls[0])})
	put := s.do(t, calls[0])
	require.Equal(t, object.Done, put.Status)
	a.feed(epoch.Add(time.Second), Event{Kind: Answer, Reply: object.Reply{ID: put.ID, Op: put.Op, Status: object.Unknown}})
	assertHolds(t, a, epoch.Add(time.Second), false)
	now := a.lease.Deadline()
	calls = a.feed(now, Event{Kind: Tick})
	require.Equal(t, object.Get, calls[0].Op)
	a.feed(now, Event{Kind: Answer, Reply: s.do(t, calls[0])})
	assertHolds(t, a, now, true)
	assert.Equal(t, epoch.Add(DefaultLength), a.lease.Until())
}

// The record that another process left cannot be read. Nobody may take a fence
// that it does not know, so the lease stays free and the damage is reported.
func TestDamagedRecord(t *testing.T) {
	l := New(Config{Key: key}, rand.New(rand.NewPCG(1, 1)))
	c := l.Handle(epoch, Event{Kind: Seek})[0].Call
	out := l.Handle(epoch, Event{Kind: Answer, Reply: object.Reply{
		ID: c.ID, Op: c.Op, Status: object.Done, Object: object.Object{Version: 3, Value: []byte(`{"fence":"x"}`)},
	}})
	require.Len(t, out, 1)
	assert.Equal(t, Violate, out[0].Kind)
}

// TestAtMostOneHolder lets processes with clocks that run at different rates be
// paused and lose calls and answers: never do two hold the lease at once, and no
// fence has two holders.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newShelf()
		parties := []*party{newParty(rt, s, "a"), newParty(rt, s, "bb"), newParty(rt, s, "ccc")}
		rates := []float64{0.98, 1, 1.02}
		var late []func()
		for _, p := range parties {
			p.feed(epoch, Event{Kind: Seek})
		}
		elapsed := time.Duration(0)
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			elapsed += time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond
			local := func(i int) time.Time { return epoch.Add(time.Duration(float64(elapsed) * rates[i])) }
			i := rapid.IntRange(0, len(parties)-1).Draw(rt, "party")
			p := parties[i]
			for _, c := range p.feed(local(i), Event{Kind: Tick}) {
				switch rapid.IntRange(0, 3).Draw(rt, "fate") {
				case 0:
					p.feed(local(i), Event{Kind: Answer, Reply: object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}})
					late = append(late, func() { s.do(rt, c) })
				case 1:
					s.do(rt, c)
				default:
					p.settle(local(i), []object.Call{c})
				}
			}
			if len(late) > 0 && rapid.Bool().Draw(rt, "arrives") {
				late[0]()
				late = late[1:]
			}
			holders := 0
			for j, q := range parties {
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
