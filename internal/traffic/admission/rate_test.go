package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// only is the one entry that there is: it may send one request in 1.4 s to a target that
// takes one a second.
var only = ratelimit.Senders{Count: 1, Place: 1}

// named is the word of a target for the rate that it takes.
func named(rate ratelimit.Rate) ratelimit.Said {
	return ratelimit.Said{Kind: ratelimit.Named, Rate: rate}
}

var none = ratelimit.Said{}

// newLimited returns a controller whose targets all named a rate, in answers to requests that
// have ended.
func newLimited(targets int, rate ratelimit.Rate) *Controller {
	c := newController(targets, Rules{PerTarget: 9, Queue: 9, Entries: 1, Senders: only})
	var tickets []*Ticket
	for range targets {
		t := ticket()
		c.Arrive(start, t)
		c.Heard(start, t, named(rate), true)
		tickets = append(tickets, t)
	}
	for _, t := range tickets {
		c.Done(start, t, End{})
	}
	return c
}

// patient is a request that may wait for some time.
func patient(d time.Duration) *Ticket {
	t := ticket()
	t.Patience = d
	return t
}

// One of three targets names a rate. The others take what it doesn't, and nobody waits.
func TestOthersTakeWhatATargetInNeedDoesNot(t *testing.T) {
	c := newController(3, Rules{PerTarget: 9, Queue: 9, Entries: 1, Senders: only})
	first := ticket()
	c.Arrive(start, first)
	c.Heard(start, first, named(1), true)
	limited := 0
	for n := range 20 {
		k := ticket()
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		require.Equal(t, Go, c.Arrive(now, k))
		if k.Target() == first.Target() {
			limited++
		}
		c.Done(now, k, End{})
	}
	require.LessOrEqual(t, limited, 2, "two seconds, one request in 1.4")
}

// All targets name a rate, and the turn of a request would come after its caller has gone. It
// is told at once, and when its turn would be.
func TestLimitedByAllTargets(t *testing.T) {
	c := newLimited(2, 1)
	now := start.Add(time.Millisecond)
	k := patient(2 * time.Second)
	require.Equal(t, Wait, c.Arrive(now, k), "within 1.4 s")
	for range 2 {
		require.Equal(t, Wait, c.Arrive(now, patient(4*time.Second)))
	}
	late := patient(2 * time.Second)
	require.Equal(t, Limited, c.Arrive(now, late))
	require.Greater(t, late.After, 2*time.Second)
	require.Less(t, late.After, 5*time.Second)
	c.Tick(start.Add(1500 * time.Millisecond))
	requireGranted(t, k, true)
}

// The same, and an urgent request comes. It gets the next turn, and the others wait on.
func TestUrgentRequestsGetTheTurnsFirst(t *testing.T) {
	c := newLimited(1, 1)
	later := patient(20 * time.Second)
	later.Priority = 2
	urgent := patient(20 * time.Second)
	urgent.Priority = 1
	c.Arrive(start, later)
	require.Equal(t, Wait, c.Arrive(start, urgent))
	c.Tick(start.Add(1500 * time.Millisecond))
	requireGranted(t, urgent, true)
	requireGranted(t, later, false)
	c.Tick(start.Add(3 * time.Second))
	requireGranted(t, later, true)
}

// Other entries send to the only target, and none of this one's callers is served. They are
// told to come back, which is through another entry.
func TestOtherEntriesSend(t *testing.T) {
	c := newLimited(1, 1)
	for place := range 16 {
		c.RulesFor = func(string) Rules {
			return Rules{PerTarget: 9, Queue: 9, Entries: 16, Senders: ratelimit.Senders{Count: 16, Place: place + 1}}
		}
		k := ticket()
		require.Equal(t, Limited, c.Arrive(start.Add(time.Millisecond), k))
		require.Positive(t, k.After)
		require.LessOrEqual(t, k.After, 3*time.Second)
	}
}

// The target ceases to name its rate. Those that wait for a turn go at once.
func TestTargetIsInNeedNoMore(t *testing.T) {
	c := newLimited(1, 1)
	later := start.Add(1500 * time.Millisecond)
	k, waiting := patient(time.Minute), patient(time.Minute)
	c.Arrive(later, k)
	c.Arrive(later, waiting)
	requireGranted(t, waiting, false)
	c.Heard(later, k, none, false)
	requireGranted(t, waiting, false)
	c.Heard(later, k, none, true)
	requireGranted(t, waiting, true)
}

// Two answers overtake each other: the later one comes first and names a rate, the other is to
// a request that was sent before. The target is in need still.
func TestAnswersOvertakeEachOther(t *testing.T) {
	c := newController(1, Rules{PerTarget: 9, Queue: 9, Entries: 1, Senders: only})
	before, after := ticket(), ticket()
	c.Arrive(start, before)
	c.Arrive(start.Add(time.Millisecond), after)
	c.Heard(start.Add(9*time.Millisecond), after, named(1), true)
	c.Heard(start.Add(10*time.Millisecond), before, none, true)
	require.Equal(t, Limited, c.Arrive(start.Add(11*time.Millisecond), ticket()))
}

// A server starts again under its id. It has said nothing of a rate yet.
func TestRateEndsWithALife(t *testing.T) {
	c := newLimited(1, 1)
	require.Equal(t, Limited, c.Arrive(start, ticket()))
	c.StartedAgain(start, roster.Target{ID: "t0", Service: "svc"})
	require.Equal(t, Go, c.Arrive(start, ticket()))
}

// What can't be read as a rate changes nothing: neither does it free a target in need, nor
// does it limit one that is sound.
func TestUnreadableRate(t *testing.T) {
	broken := ratelimit.Said{Kind: ratelimit.Unreadable}
	c := newLimited(1, 1)
	later := start.Add(1500 * time.Millisecond)
	k := ticket()
	require.Equal(t, Go, c.Arrive(later, k))
	c.Heard(later, k, broken, true)
	require.Equal(t, Limited, c.Arrive(later, ticket()))
	c = newController(1, Rules{PerTarget: 9, Queue: 9, Entries: 1, Senders: only})
	c.Arrive(start, k)
	c.Heard(start, k, broken, true)
	require.Equal(t, Go, c.Arrive(start, ticket()))
}

// Each change of what is believed is told once.
func TestRateBeliefs(t *testing.T) {
	c := newController(1, Rules{PerTarget: 9, Queue: 9, Entries: 1, Senders: only})
	var told []RateBelief
	c.BelievesRate = func(b RateBelief) { told = append(told, b) }
	k := ticket()
	c.Arrive(start, k)
	c.Heard(start, k, named(1), true)
	c.Heard(start.Add(time.Second), k, named(1), true)
	c.Heard(start.Add(2*time.Second), k, named(3), true)
	c.Tick(start.Add(5 * time.Minute))
	require.Equal(t, []RateBelief{
		{Target: "t0", Active: true, Rate: 1, Source: "answer"},
		{Target: "t0", Active: true, Rate: 3, Source: "answer"},
		{Target: "t0", Rate: 3, Source: "silence", Age: 5*time.Minute - 2*time.Second},
	}, told)
}
