package notice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

var (
	start  = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	target = roster.Target{ID: "t1", Service: "svc", Started: start.Add(-time.Hour), Heartbeats: 70}
)

func requireLeaves(t *testing.T, b *Board, id string, want bool, msg ...any) {
	t.Helper()
	_, leaves := b.Leaving(id)
	require.Equal(t, want, leaves, msg...)
}

func requireBackOff(t *testing.T, b *Board, at time.Duration, want bool) {
	t.Helper()
	require.Equal(t, !want, b.Free(start.Add(at), target.ID, 0))
	_, inBackOff := b.InBackOff(start.Add(at), target.ID)
	require.Equal(t, want, inBackOff)
}

// backedOff returns a board whose target asked for a back-off of three seconds.
func backedOff() *Board {
	b := &Board{}
	b.BackOff(start, target, 3*time.Second, 1, 0)
	return b
}

// Guards against a back-off that a later, shorter one of the same target cuts short.
func TestLatestEndOfABackOffCounts(t *testing.T) {
	b := backedOff()
	require.False(t, b.BackOff(start.Add(time.Second), target, time.Second, 1, 0))
	requireBackOff(t, b, 2500*time.Millisecond, true)
	require.False(t, b.BackOff(start.Add(time.Second), target, 3*time.Second, 1, 0), "the same back-off again")
	requireBackOff(t, b, 3900*time.Millisecond, true)
	requireBackOff(t, b, 4*time.Second, false)
	require.True(t, b.BackOff(start.Add(5*time.Second), target, 3*time.Second, 1, 0), "a new back-off")
}

// Guards against a back-off that ends by responses to earlier requests.
func TestResponsesDuringABackOff(t *testing.T) {
	b := backedOff()
	for range 9 {
		b.Served(start.Add(time.Second), target.ID)
	}
	requireBackOff(t, b, 2900*time.Millisecond, true)
	require.False(t, b.Free(start.Add(3*time.Second), target.ID, 1), "nor do they raise the bound after the back-off")
}

// Guards against a burst of requests that a target would have to turn away right after its
// back-off.
func TestFewRequestsReturnAfterABackOff(t *testing.T) {
	b := backedOff()
	at := start.Add(3 * time.Second)
	for allowed := 1; allowed <= maxReturning; allowed *= 2 {
		require.True(t, b.Free(at, target.ID, allowed-1))
		require.False(t, b.Free(at, target.ID, allowed))
		b.Served(at, target.ID)
	}
	require.True(t, b.Free(at, target.ID, 1000))
	b.Sweep(at, func(string) bool { return true })
	require.Empty(t, b.notices)
}

// Guards against entries that received a back-off together and return together.
func TestReturnsAreSpread(t *testing.T) {
	const backOff = 3 * time.Second
	for entries, most := range map[float64]time.Duration{5: 50 * time.Millisecond, 340: 3400 * time.Millisecond, 1e9: maxSpread} {
		b := &Board{}
		b.BackOff(start, target, backOff, entries, 1)
		requireBackOff(t, b, backOff+most-time.Millisecond, true)
		requireBackOff(t, b, backOff+most, false)
	}
}

// Guards against a rush of requests that overloads a target again when its back-off ends, and
// against a target that stays unused after its back-off.
func TestTargetIsUsedAgainAfterABackOff(t *testing.T) {
	const (
		slots   = 12
		room    = slots + 4 // more are turned away
		takes   = 50 * time.Millisecond
		backOff = 3 * time.Second
		demand  = 0.9 // of what the target serves
		lasts   = 7 * time.Second
		tick    = time.Millisecond
		perTick = demand * slots * float64(tick) / float64(takes)
	)
	for _, entries := range []int{5, 16, 340} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, uint64(entries)))
			boards, inFlight := make([]*Board, entries), make([]int, entries)
			for e := range boards {
				boards[e] = &Board{}
				boards[e].BackOff(start, target, backOff, float64(entries), r.Float64())
			}
			type run struct {
				entry int
				ends  time.Time
			}
			var runs []run // those that have a slot, then those that wait
			served, turned := 0, 0
			for now := start.Add(backOff); now.Before(start.Add(backOff + lasts)); now = now.Add(tick) {
				for len(runs) > 0 && !runs[0].ends.After(now) {
					inFlight[runs[0].entry]--
					boards[runs[0].entry].Served(now, target.ID)
					runs = runs[1:]
					served++
				}
				for due := perTick; r.Float64() < due; due-- {
					e := r.IntN(entries)
					if !boards[e].Free(now, target.ID, inFlight[e]) {
						continue // another target has it
					}
					if len(runs) >= room {
						turned++
						boards[e].BackOff(now, target, backOff, float64(entries), r.Float64())
						continue
					}
					begins := now
					if len(runs) >= slots {
						begins = runs[len(runs)-slots].ends
					}
					inFlight[e]++
					runs = append(runs, run{e, begins.Add(takes)})
				}
			}
			possible := perTick * float64(lasts/tick)
			t.Logf("%d entries: %d served, %d turned away, of %.0f", entries, served, turned, possible)
			require.Less(t, float64(turned), 0.05*float64(served))
			require.Greater(t, float64(served), 0.5*possible)
		})
	}
}

// Guards against a notice that outlives its target's incarnation, or ends before it.
func TestNoticesEndWithTheIncarnation(t *testing.T) {
	again := func(change func(*roster.Target)) roster.Target {
		t := target
		change(&t)
		return t
	}
	for name, c := range map[string]struct {
		next roster.Target
		ends bool
	}{
		"listed again":                       {again(func(t *roster.Target) { t.Heartbeats++ }), false},
		"listed with another data centre":    {again(func(t *roster.Target) { t.DataCentre = "b" }), false},
		"listed without its birth":           {again(func(t *roster.Target) { t.Started = time.Time{}; t.Heartbeats = 71 }), false},
		"born since":                         {again(func(t *roster.Target) { t.Started = start.Add(time.Second) }), true},
		"born long before, as clocks differ": {again(func(t *roster.Target) { t.Started = start.Add(-2 * time.Hour) }), true},
		"heartbeats start again":             {again(func(t *roster.Target) { t.Started = time.Time{}; t.Heartbeats = 1 }), true},
		"born just before it asked":          {again(func(t *roster.Target) { t.Started = start.Add(-time.Second) }), false},
	} {
		t.Run(name, func(t *testing.T) {
			b := backedOff()
			b.Listed(start.Add(time.Second), c.next)
			requireBackOff(t, b, time.Second, !c.ends)
			b = &Board{}
			b.SetLeaving(start, target)
			b.Listed(start.Add(time.Second), c.next)
			sameIncarnation := target.SameIncarnation(c.next)
			requireLeaves(t, b, target.ID, sameIncarnation, "an incarnation that has just begun has not announced it")
		})
	}
}

// Guards against notices that are forgotten while a list lacks their target.
func TestNoticesOfUnlistedTargets(t *testing.T) {
	gone := func(string) bool { return false }
	b := &Board{}
	b.SetLeaving(start, target)
	b.Sweep(start.Add(time.Minute), gone)
	requireLeaves(t, b, target.ID, true)
	b.Listed(start.Add(2*time.Minute), target)
	requireLeaves(t, b, target.ID, true)
	b.Sweep(start.Add(time.Hour), func(string) bool { return true })
	b.Sweep(start.Add(time.Hour+keptFor), gone)
	requireLeaves(t, b, target.ID, true, "it was listed until now")
	b.Sweep(start.Add(2*time.Hour), gone)
	requireLeaves(t, b, target.ID, false)
	require.Empty(t, b.notices)
}

// Guards against memory that grows with each target that ever gave a notice.
func TestNoticesAreBounded(t *testing.T) {
	b := &Board{}
	for n := range maxNotices + 100 {
		b.SetLeaving(start.Add(time.Duration(n)), roster.Target{ID: fmt.Sprint(n)})
	}
	require.Len(t, b.notices, maxNotices)
	requireLeaves(t, b, fmt.Sprint(maxNotices+99), true)
	requireLeaves(t, b, "0", false, "the oldest goes first")
}
