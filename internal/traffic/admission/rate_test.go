package admission

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// onlyEntry is the only entry: it may send one request in 1.4 s to a target that takes one a
// second.
var onlyEntry = ratelimit.Senders{Count: 1, Index: 1}

// namedRate is the statement of a target that it takes the given rate.
func namedRate(rate ratelimit.Rate) ratelimit.Statement {
	return ratelimit.Statement{Kind: ratelimit.Named, Rate: rate}
}

var noRate = ratelimit.Statement{}

// newLimited returns a controller whose targets all named a rate, in responses to requests that
// have ended.
func newLimited(targets int, rate ratelimit.Rate) *Controller {
	c := newController(targets, Limits{PerTarget: 9, Queue: 9, Entries: 1, Senders: onlyEntry})
	var tickets []*Ticket
	for range targets {
		t := ticket()
		c.Arrive(start, t)
		c.ApplyRate(start, t, namedRate(rate), true)
		tickets = append(tickets, t)
	}
	for _, t := range tickets {
		c.Done(start, t, End{})
	}
	return c
}

// patient returns a request that may wait for some time.
func patient(d time.Duration) *Ticket {
	t := ticket()
	t.Patience = d
	return t
}

// A server in need is cut off from the store for some seconds, and its entry expires. Guards against a limit that is
// forgotten then: the server would get as many requests as one without a limit.
func TestLimitOutlivesAnExpiredEntry(t *testing.T) {
	again := start.Add(5 * time.Second)
	for name, c := range map[string]struct {
		change  func(*roster.Target)
		at      time.Time
		limited bool
	}{
		"the same incarnation":   {func(*roster.Target) {}, again, true},
		"a later incarnation":    {func(t *roster.Target) { t.Started = start.Add(time.Second) }, again, false},
		"at another address":     {func(t *roster.Target) { t.Address = netip.MustParseAddrPort("10.9.9.9:9") }, again, false},
		"after a very long time": {func(*roster.Target) {}, start.Add(limitKeptFor + time.Hour), false},
	} {
		t.Run(name, func(t *testing.T) {
			a := newLimited(1, 0.1)
			target := a.Targets("svc")[0]
			target.Started = start.Add(-time.Minute)
			a.Forget(start.Add(time.Second), target)
			require.Empty(t, a.targets)
			c.change(&target)
			a.Returned(c.at, target)
			got := a.Arrive(c.at, ticket())
			require.Equal(t, c.limited, got == Limited, "verdict %v", got)
			// What another entry received before is of this incarnation too.
			a.ApplyRates(c.at, []ratelimit.Report{{Target: target.ID, Statement: namedRate(0.2), Age: time.Second}})
			if c.limited {
				require.EqualValues(t, 0.2, a.targets[target.ID].limit.Rate())
			}
		})
	}
}

// A server's entry expires while it runs a request. Guards against a limit that is dropped when the request ends, though
// the server is listed again.
func TestLimitOutlivesARequestInFlight(t *testing.T) {
	a := newController(1, Limits{PerTarget: 9, Queue: 9, Entries: 1, Senders: onlyEntry})
	k := ticket()
	require.Equal(t, Admitted, a.Arrive(start, k))
	a.ApplyRate(start, k, namedRate(0.1), true)
	target := k.Target()
	a.Forget(start, target)
	a.Returned(start.Add(time.Second), target)
	a.Done(start.Add(2*time.Second), k, End{})
	require.Equal(t, Limited, a.Arrive(start.Add(3*time.Second), ticket()))
}

// One of three targets names a rate. The others take what it doesn't, and no request waits.
func TestOthersTakeWhatARateLimitedTargetDoesNot(t *testing.T) {
	c := newController(3, Limits{PerTarget: 9, Queue: 9, Entries: 1, Senders: onlyEntry})
	first := ticket()
	c.Arrive(start, first)
	c.ApplyRate(start, first, namedRate(1), true)
	limited := 0
	for n := range 20 {
		k := ticket()
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		require.Equal(t, Admitted, c.Arrive(now, k))
		if k.Target() == first.Target() {
			limited++
		}
		c.Done(now, k, End{})
	}
	require.LessOrEqual(t, limited, 2, "two seconds, one request in 1.4")
}

// All targets name a rate, and the turn of a request would come after its caller has gone. The
// request is refused at once, with the time at which its turn would come.
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
	require.Greater(t, late.RetryAfter, 2*time.Second)
	require.Less(t, late.RetryAfter, 5*time.Second)
	c.Tick(start.Add(1500 * time.Millisecond))
	requireGranted(t, k, true)
}

// As before, and an urgent request arrives. It gets the next turn, and the others wait on.
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

// Other entries send to the only target, and none of this one's requests is served. Their callers
// are asked to come back, which is through another entry.
func TestOtherEntriesSend(t *testing.T) {
	c := newLimited(1, 1)
	for index := range 16 {
		c.RulesFor = func(string) Limits {
			return Limits{PerTarget: 9, Queue: 9, Entries: 16, Senders: ratelimit.Senders{Count: 16, Index: index + 1}}
		}
		k := ticket()
		require.Equal(t, Limited, c.Arrive(start.Add(time.Millisecond), k))
		require.Positive(t, k.RetryAfter)
		require.LessOrEqual(t, k.RetryAfter, 3*time.Second)
	}
}

// The target ceases to name its rate. Requests that wait for a turn go at once.
func TestTargetIsRateLimitedNoMore(t *testing.T) {
	c := newLimited(1, 1)
	later := start.Add(1500 * time.Millisecond)
	k, waiting := patient(time.Minute), patient(time.Minute)
	c.Arrive(later, k)
	c.Arrive(later, waiting)
	requireGranted(t, waiting, false)
	c.ApplyRate(later, k, noRate, false)
	requireGranted(t, waiting, false)
	c.ApplyRate(later, k, noRate, true)
	requireGranted(t, waiting, true)
}

// Two responses overtake each other: the later one comes first and names a rate, the other is to a
// request that was sent before. The target is still rate-limited.
func TestAnswersOvertakeEachOther(t *testing.T) {
	c := newController(1, Limits{PerTarget: 9, Queue: 9, Entries: 1, Senders: onlyEntry})
	before, after := ticket(), ticket()
	c.Arrive(start, before)
	c.Arrive(start.Add(time.Millisecond), after)
	c.ApplyRate(start.Add(9*time.Millisecond), after, namedRate(1), true)
	c.ApplyRate(start.Add(10*time.Millisecond), before, noRate, true)
	require.Equal(t, Limited, c.Arrive(start.Add(11*time.Millisecond), ticket()))
}

// A server starts again under its id. The new incarnation has named no rate yet.
func TestRateEndsWithTheIncarnation(t *testing.T) {
	c := newLimited(1, 1)
	require.Equal(t, Limited, c.Arrive(start, ticket()))
	c.Restarted(start, roster.Target{ID: "t0", Service: "svc"})
	require.Equal(t, Admitted, c.Arrive(start, ticket()))
}

// Guards against a limit that is forgotten after a pause of requests: what a target named last holds until it names none.
func TestLimitOutlastsSilence(t *testing.T) {
	c := newLimited(1, 1)
	for at := start; at.Before(start.Add(5 * time.Minute)); at = at.Add(10 * time.Second) {
		c.Tick(at)
	}
	later := start.Add(5 * time.Minute)
	require.Equal(t, Admitted, c.Arrive(later, ticket()), "its turn has come")
	require.Equal(t, Limited, c.Arrive(later, ticket()))
}

// A text that can't be read as a rate changes nothing: it neither ends a rate limit nor begins one.
func TestUnreadableRate(t *testing.T) {
	broken := ratelimit.Statement{Kind: ratelimit.Unreadable}
	c := newLimited(1, 1)
	later := start.Add(1500 * time.Millisecond)
	k := ticket()
	require.Equal(t, Admitted, c.Arrive(later, k))
	c.ApplyRate(later, k, broken, true)
	require.Equal(t, Limited, c.Arrive(later, ticket()))
	c = newController(1, Limits{PerTarget: 9, Queue: 9, Entries: 1, Senders: onlyEntry})
	c.Arrive(start, k)
	c.ApplyRate(start, k, broken, true)
	require.Equal(t, Admitted, c.Arrive(start, ticket()))
}

// Each change of the view of a rate is reported once.
func TestRateChangesAreReportedOnce(t *testing.T) {
	c := newController(1, Limits{PerTarget: 9, Queue: 9, Entries: 1, Senders: onlyEntry})
	var reported []RateView
	c.OnRateChange = func(v RateView) { reported = append(reported, v) }
	k := ticket()
	c.Arrive(start, k)
	c.ApplyRate(start, k, namedRate(1), true)
	c.ApplyRate(start.Add(time.Second), k, namedRate(1), true)
	c.ApplyRate(start.Add(2*time.Second), k, namedRate(3), true)
	c.Tick(start.Add(time.Hour)) // silence says nothing
	require.Equal(t, []RateView{
		{Target: "t0", Active: true, Rate: 1, Source: "answer"},
		{Target: "t0", Active: true, Rate: 3, Source: "answer"},
	}, reported)
}
