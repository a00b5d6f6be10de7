package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	fatal = Request{Workspace: "acme", Method: "POST", URI: "/x", Body: []byte("fatal")}.Fingerprint()
	other = Request{Workspace: "acme", Method: "POST", URI: "/x", Body: []byte("other")}.Fingerprint()
)

// at is a moment after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// life names a life of a server that says when it was born.
func life(id string) Life { return Life{Target: id, Born: start} }

// crash has a target crash under requests that were sent a moment before.
func crash(q *Quarantine, now time.Time, l Life, requests ...Fingerprint) {
	runs := make([]Run, 0, len(requests))
	for _, f := range requests {
		runs = append(runs, Run{Request: f, Sent: now.Add(-100 * time.Millisecond), Broke: time.UnixMilli(now.UnixMilli())})
	}
	q.Crashed(now, l, runs)
}

func requireFree(t *testing.T, q *Quarantine, now time.Time, f Fingerprint) {
	t.Helper()
	require.False(t, q.Look(now, f).Held)
}

func requireHeld(t *testing.T, q *Quarantine, now time.Time, f Fingerprint, after time.Duration) {
	t.Helper()
	v := q.Look(now, f)
	require.True(t, v.Held)
	require.Equal(t, after, v.After)
}

// A request crashes a server, is sent again and crashes the next. The third waits, the fourth
// waits for longer: each hold ends with one trial, so that a request that no longer does harm
// gets through, and one that does costs a server in ever longer times.
func TestHoldsGrow(t *testing.T) {
	q := New("a")
	now := start
	for n, hold := range []time.Duration{0, time.Minute, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour, 24 * time.Hour} {
		t.Run(fmt.Sprint(n+1), func(t *testing.T) {
			crash(q, now, life(fmt.Sprint("i-", n)), fatal)
			if hold == 0 {
				requireFree(t, q, now, fatal)
				now = now.Add(time.Second)
				return
			}
			requireHeld(t, q, now, fatal, hold)
			requireHeld(t, q, now.Add(hold-time.Millisecond), fatal, time.Millisecond)
			requireFree(t, q, now, other)
			now = now.Add(hold)
			requireFree(t, q, now, fatal)
		})
	}
}

// A hold is over, and callers come with the request through the same entry at the same time.
// If all were let in, each would crash a server.
func TestOneTrialAtATime(t *testing.T) {
	q := New("a")
	crash(q, at(-time.Second), life("i-1"), fatal)
	crash(q, start, life("i-2"), fatal)
	now := at(time.Minute)
	v := q.Begin(now, fatal)
	require.True(t, v.Trial)
	require.Equal(t, 2, v.Crashes)
	requireHeld(t, q, now, fatal, trialAgain)
	require.True(t, q.Begin(now, fatal).Held)
	q.End(fatal, Verdict{}, false) // of an attempt that was let in before
	requireHeld(t, q, now, fatal, trialAgain)
	q.End(fatal, v, false)
	requireFree(t, q, now, fatal)
}

// Up to all slots of a server are in use as it crashes. Whoever did nothing gets an answer the
// next time, and its later crashes count from none.
func TestAnswerClears(t *testing.T) {
	q := New("a")
	crash(q, at(-time.Second), life("i-1"), fatal, other)
	q.End(other, q.Begin(start, other), true)
	crash(q, start, life("i-2"), fatal, other)
	requireHeld(t, q, start, fatal, time.Minute)
	requireFree(t, q, start, other)
	require.False(t, q.Empty())
}

// Entries see one crash each. What two entries saw of one server is one crash, which an
// innocent request must not be held back for.
func TestCrashesOfOtherEntries(t *testing.T) {
	a, b := New("a"), New("b")
	crash(a, at(-time.Second), life("i-1"), fatal, other)
	crash(b, at(-time.Second), life("i-1"), other)
	share(start, a, b)
	requireFree(t, a, start, other)
	requireFree(t, b, start, other)
	crash(b, at(time.Second), life("i-2"), fatal)
	share(at(time.Second), a, b)
	requireHeld(t, a, at(time.Second), fatal, time.Minute)
	requireHeld(t, b, at(time.Second), fatal, time.Minute)
}

// share has entries take each other's records.
func share(now time.Time, list ...*Quarantine) {
	for _, from := range list {
		r, _ := from.Own(now)
		for _, to := range list {
			if to != from {
				to.Take(now, r)
			}
		}
	}
}

// A server starts again under the id that it had, and crashes once more under the same
// request. Taken for the crash that is known, it would never be held back.
func TestServerCrashesTwiceUnderItsID(t *testing.T) {
	t.Run("born is told", func(t *testing.T) {
		q := New("a")
		crash(q, start, Life{"i-1", start}, fatal)
		crash(q, at(time.Millisecond), Life{"i-1", start}, fatal)
		require.Equal(t, 1, q.Look(start, fatal).Crashes, "the same life")
		crash(q, at(5*time.Second), Life{"i-1", at(3 * time.Second)}, fatal)
		require.Equal(t, 2, q.Look(start, fatal).Crashes)
	})
	t.Run("born is not told", func(t *testing.T) {
		q, b := New("a"), New("b")
		crash(q, start, Life{Target: "i-1"}, fatal)
		crash(b, at(30*time.Millisecond), Life{Target: "i-1"}, fatal)
		share(start, q, b)
		require.Equal(t, 1, q.Look(start, fatal).Crashes, "two entries saw one crash")
		crash(q, at(5*time.Second), Life{Target: "i-1"}, fatal)
		require.Equal(t, 2, q.Look(start, fatal).Crashes)
	})
}

// An entry's record gets shorter as callers are served, or is removed by an operator. What it
// no longer tells must not hold anything back at the others.
func TestRecordsAreReplaced(t *testing.T) {
	for name, drop := range map[string]func(a, b *Quarantine){
		"shorter": func(a, b *Quarantine) {
			a.End(fatal, Verdict{}, true)
			share(start, a, b)
		},
		"removed": func(_, b *Quarantine) { b.Removed("a") },
	} {
		t.Run(name, func(t *testing.T) {
			a, b := New("a"), New("b")
			crash(a, at(-time.Second), life("i-1"), fatal)
			crash(a, start, life("i-2"), fatal)
			share(start, a, b)
			requireHeld(t, b, start, fatal, time.Minute)
			share(start, a, b)
			require.Equal(t, 2, b.Look(start, fatal).Crashes, "the same word twice is one")
			drop(a, b)
			requireFree(t, b, start, fatal)
			require.True(t, b.Empty())
		})
	}
}

// An entry starts anew while a request is held back. It must not send what its earlier life
// knew to crash servers, and must not wipe that from its record either.
func TestEarlierLifeOfAnEntry(t *testing.T) {
	q := New("a")
	crash(q, at(-time.Second), life("i-1"), fatal)
	crash(q, start, life("i-2"), fatal)
	r, changed := q.Own(start)
	require.True(t, changed)
	next := New("a")
	crash(next, start, life("i-3"), other) // before it has read its record
	next.Take(at(time.Second), r)
	requireHeld(t, next, at(time.Second), fatal, 59*time.Second)
	again, _ := next.Own(start)
	require.Len(t, again.Crashes, 3)
}

// The clock of an entry's host is an hour ahead, or its record was made up. A request that is
// on trial after a minute elsewhere must not be held back for an hour.
func TestTimesInTheFuture(t *testing.T) {
	q := New("a")
	late := at(time.Hour)
	q.Take(start, Record{Entry: "b", Told: late, Crashes: []Crash{
		{Run{fatal, late, late}, life("i-1")}, {Run{fatal, late.Add(time.Second), late.Add(time.Second)}, life("i-2")},
	}})
	requireHeld(t, q, start, fatal, time.Minute)
	requireFree(t, q, at(time.Minute), fatal)
}

// Nothing is remembered for ever, so that a request is not held back for what its servers did
// long ago, and memory does not grow.
func TestForgottenInTheEnd(t *testing.T) {
	q := New("a")
	var told []Belief
	q.Believes = func(b Belief) { told = append(told, b) }
	crash(q, at(-time.Second), life("i-1"), fatal)
	crash(q, start, life("i-2"), fatal, other)
	q.Sweep(at(remembered))
	require.Equal(t, 1, q.Look(at(remembered), other).Crashes)
	q.Sweep(at(remembered + time.Millisecond))
	require.Zero(t, q.Look(at(remembered), other).Crashes)
	require.Equal(t, 2, q.Look(at(remembered), fatal).Crashes)
	q.Sweep(at(remembered + time.Minute + time.Millisecond))
	require.True(t, q.Empty())
	require.Equal(t, []Belief{
		{Request: fatal, Crashes: 2, Held: time.Minute, Source: "a"},
		{Request: fatal, Source: "a"},
	}, told)
}

// A caller sends a new body each time, all of which run at servers that crash. The record
// stays within its bound, and what crashed several servers is the last to go.
func TestRecordIsBounded(t *testing.T) {
	q := New("a")
	crash(q, at(-time.Second), life("i-1"), fatal)
	crash(q, start, life("i-2"), fatal)
	for n := range 3 * mostNoted {
		now := at(time.Duration(n) * time.Millisecond)
		crash(q, now, life("i-3"), Fingerprint{1, byte(n), byte(n >> 8)})
	}
	r, _ := q.Own(start)
	require.Len(t, r.Crashes, mostNoted)
	requireHeld(t, q, start, fatal, time.Minute)
	n := 3*mostNoted - 1
	last := Fingerprint{1, byte(n), byte(n >> 8)}
	require.Equal(t, 1, q.Look(start, last).Crashes, "the newest is kept")
}

// A record that another writer has put there names more than an entry may. The rest is not
// taken, so that memory stays bounded.
func TestForeignRecordIsBounded(t *testing.T) {
	q := New("a")
	r := Record{Entry: "b", Told: start}
	for n := range 3 * mostNoted {
		r.Crashes = append(r.Crashes, Crash{Run: Run{Request: Fingerprint{byte(n), byte(n >> 8)}, Sent: start, Broke: start}, Life: life("i")})
	}
	q.Take(start, r)
	require.Len(t, q.suspects, mostNoted)
}

func TestSpentRecord(t *testing.T) {
	r := Record{Entry: "a", Told: start}
	require.False(t, r.Spent(at(24*time.Hour)))
	require.True(t, r.Spent(at(25*time.Hour)))
}

func BenchmarkLookWithoutSuspects(b *testing.B) {
	q := New("a")
	for b.Loop() {
		q.Empty()
	}
}

func BenchmarkLookAmongSuspects(b *testing.B) {
	q := New("a")
	for n := range mostNoted {
		crash(q, start, life("i"), Fingerprint{byte(n), byte(n >> 8)})
	}
	for b.Loop() {
		q.Look(start, Fingerprint{1})
	}
}

// A request is sent anew after a crash, and its next target crashes too: that is a second one,
// also if the first target's end was seen by another entry a moment later.
func TestSentAnewAfterACrash(t *testing.T) {
	q := New("a")
	run := func(sent, broke time.Duration) []Run { return []Run{{fatal, at(sent), at(broke)}} }
	q.Crashed(start, life("i-2"), run(20*time.Millisecond, 30*time.Millisecond))
	q.Crashed(start, life("i-1"), run(0, 10*time.Millisecond))
	require.Equal(t, 2, q.Look(start, fatal).Crashes)
	q.Crashed(start, life("i-3"), run(9*time.Millisecond, 25*time.Millisecond))
	require.Equal(t, 2, q.Look(start, fatal).Crashes, "it ran beside the others")
}

// A rack of servers ends at the same moment. The same harmless request, which many callers ask
// for, runs at several of them, and was counted once for each server: it was held back for ten
// minutes for all its callers, though all that had happened to it was one loss of power.
func TestServersThatEndTogetherAreOneCrash(t *testing.T) {
	q := New("a")
	for n := range 5 {
		crash(q, at(time.Duration(n)*time.Millisecond), life(fmt.Sprint("i-", n)), fatal)
	}
	require.Equal(t, 1, q.Look(at(time.Second), fatal).Crashes)
	requireFree(t, q, at(time.Second), fatal)
}

// A hold ends for all entries at the same moment, and callers bring the request back through
// each of them. Each let in a trial of its own, so that as many servers crashed as there are
// entries; they take turns, and hear of a crash before the next one's.
func TestOneTrialAmongEntries(t *testing.T) {
	const entries = 5
	list := make([]*Quarantine, entries)
	for i := range list {
		list[i] = New(fmt.Sprint("entry-", i))
		list[i].Turn = func(f Fingerprint) int { return Turn(f, i+1, entries) }
	}
	crash(list[0], at(-time.Second), life("i-1"), fatal)
	crash(list[0], start, life("i-2"), fatal)
	share(start, list...)
	trials := func(now time.Time) (n int) {
		for _, q := range list {
			if q.Begin(now, fatal).Trial {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1, trials(at(time.Minute)), "one of five")
	require.Equal(t, 0, trials(at(time.Minute)), "it runs yet")
	require.Equal(t, 1, trials(at(time.Minute+trialTurn)), "the first one may have had no caller, or ended")
	require.Equal(t, entries-2, trials(at(time.Minute+entries*trialTurn)))
}

// Entries that don't know each other take turns by their names; few of them have the same.
func TestTurnsByName(t *testing.T) {
	turns := make(map[int]int)
	for i := range 32 {
		turns[TurnByName(fmt.Sprint("front-", i), fatal)]++
	}
	require.Greater(t, len(turns), unknownTurns/2)
	for turn := range turns {
		require.Less(t, turn, unknownTurns)
	}
}
