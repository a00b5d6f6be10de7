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
	start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	one   = roster.Target{ID: "t1", Service: "svc", Born: start.Add(-time.Hour), Beat: 70}
)

func requireLeaves(t *testing.T, b *Board, id string, want bool, msg ...any) {
	t.Helper()
	_, leaves := b.Leaves(id)
	require.Equal(t, want, leaves, msg...)
}

func requireRests(t *testing.T, b *Board, at time.Duration, want bool) {
	t.Helper()
	require.Equal(t, !want, b.Free(start.Add(at), one.ID, 0))
	_, resting := b.Resting(start.Add(at), one.ID)
	require.Equal(t, want, resting)
}

// resting returns a board whose target asked for three seconds.
func resting() *Board {
	b := &Board{}
	b.Rest(start, one, 3*time.Second, 1, 0)
	return b
}

// Guards against a rest that a later, shorter word of the target cuts short.
func TestLatestEndStands(t *testing.T) {
	b := resting()
	require.False(t, b.Rest(start.Add(time.Second), one, time.Second, 1, 0))
	requireRests(t, b, 2500*time.Millisecond, true)
	require.False(t, b.Rest(start.Add(time.Second), one, 3*time.Second, 1, 0), "the same again")
	requireRests(t, b, 3900*time.Millisecond, true)
	requireRests(t, b, 4*time.Second, false)
	require.True(t, b.Rest(start.Add(5*time.Second), one, 3*time.Second, 1, 0), "a new one")
}

// Guards against a rest that answers to earlier requests end.
func TestAnswersDuringARest(t *testing.T) {
	b := resting()
	for range 9 {
		b.Served(start.Add(time.Second), one.ID)
	}
	requireRests(t, b, 2900*time.Millisecond, true)
	require.False(t, b.Free(start.Add(3*time.Second), one.ID, 1), "they don't let more in after it either")
}

// Guards against a crowd that a target would have to turn away right after its rest.
func TestFewComeBackAfterARest(t *testing.T) {
	b := resting()
	at := start.Add(3 * time.Second)
	for allowed := 1; allowed <= mostReturning; allowed *= 2 {
		require.True(t, b.Free(at, one.ID, allowed-1))
		require.False(t, b.Free(at, one.ID, allowed))
		b.Served(at, one.ID)
	}
	require.True(t, b.Free(at, one.ID, 1000))
	b.Sweep(at, func(string) bool { return true })
	require.Empty(t, b.words)
}

// Guards against entries that were told together and come back together.
func TestReturnsAreSpread(t *testing.T) {
	const rest = 3 * time.Second
	for entries, most := range map[float64]time.Duration{5: 50 * time.Millisecond, 340: 3400 * time.Millisecond, 1e9: mostSpread} {
		b := &Board{}
		b.Rest(start, one, rest, entries, 1)
		requireRests(t, b, rest+most-time.Millisecond, true)
		requireRests(t, b, rest+most, false)
	}
}

// Guards against a target that has to turn all away again as its rest ends, or that is left alone.
func TestTargetIsUsedAgainAfterARest(t *testing.T) {
	const (
		slots   = 12
		room    = slots + 4 // more are turned away
		takes   = 50 * time.Millisecond
		rest    = 3 * time.Second
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
				boards[e].Rest(start, one, rest, float64(entries), r.Float64())
			}
			type run struct {
				entry int
				ends  time.Time
			}
			var runs []run // those that have a slot, then those that wait
			served, turned := 0, 0
			for now := start.Add(rest); now.Before(start.Add(rest + lasts)); now = now.Add(tick) {
				for len(runs) > 0 && !runs[0].ends.After(now) {
					inFlight[runs[0].entry]--
					boards[runs[0].entry].Served(now, one.ID)
					runs = runs[1:]
					served++
				}
				for due := perTick; r.Float64() < due; due-- {
					e := r.IntN(entries)
					if !boards[e].Free(now, one.ID, inFlight[e]) {
						continue // another target has it
					}
					if len(runs) >= room {
						turned++
						boards[e].Rest(now, one, rest, float64(entries), r.Float64())
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

// Guards against a word that outlives the life that gave it, or ends before that does.
func TestWordsAreOfALife(t *testing.T) {
	again := func(change func(*roster.Target)) roster.Target {
		t := one
		change(&t)
		return t
	}
	for name, c := range map[string]struct {
		next roster.Target
		ends bool
	}{
		"listed again":                       {again(func(t *roster.Target) { t.Beat++ }), false},
		"listed by another address":          {again(func(t *roster.Target) { t.DataCentre = "b" }), false},
		"listed without its birth":           {again(func(t *roster.Target) { t.Born = time.Time{}; t.Beat = 71 }), false},
		"born since":                         {again(func(t *roster.Target) { t.Born = start.Add(time.Second) }), true},
		"born long before, as clocks differ": {again(func(t *roster.Target) { t.Born = start.Add(-2 * time.Hour) }), true},
		"beats anew":                         {again(func(t *roster.Target) { t.Born = time.Time{}; t.Beat = 1 }), true},
		"born just before it asked":          {again(func(t *roster.Target) { t.Born = start.Add(-time.Second) }), false},
	} {
		t.Run(name, func(t *testing.T) {
			b := resting()
			b.Listed(start.Add(time.Second), c.next)
			requireRests(t, b, time.Second, !c.ends)
			b = &Board{}
			b.Leave(start, one)
			b.Listed(start.Add(time.Second), c.next)
			sameLife := one.SameLife(c.next)
			requireLeaves(t, b, one.ID, sameLife, "a life that has just begun has not said so")
		})
	}
}

// Guards against words that are forgotten while a list lacks their target.
func TestWordsOfTargetsThatAreNotListed(t *testing.T) {
	gone := func(string) bool { return false }
	b := &Board{}
	b.Leave(start, one)
	b.Sweep(start.Add(time.Minute), gone)
	requireLeaves(t, b, one.ID, true)
	b.Listed(start.Add(2*time.Minute), one)
	requireLeaves(t, b, one.ID, true)
	b.Sweep(start.Add(time.Hour), func(string) bool { return true })
	b.Sweep(start.Add(time.Hour+kept), gone)
	requireLeaves(t, b, one.ID, true, "it was listed until now")
	b.Sweep(start.Add(2*time.Hour), gone)
	requireLeaves(t, b, one.ID, false)
	require.Empty(t, b.words)
}

// Guards against memory that grows with each target that ever said something.
func TestWordsAreBounded(t *testing.T) {
	b := &Board{}
	for n := range mostWords + 100 {
		b.Leave(start.Add(time.Duration(n)), roster.Target{ID: fmt.Sprint(n)})
	}
	require.Len(t, b.words, mostWords)
	requireLeaves(t, b, fmt.Sprint(mostWords+99), true)
	requireLeaves(t, b, "0", false, "the oldest goes first")
}
