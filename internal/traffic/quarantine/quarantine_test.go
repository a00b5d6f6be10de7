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

// at returns a time after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// incarnation returns an incarnation of a server that reports its start time.
func incarnation(id string) Incarnation { return Incarnation{Target: id, Started: start} }

// crash records a crash of a target during requests that were sent 100 ms before.
func crash(q *Quarantine, now time.Time, l Incarnation, requests ...Fingerprint) {
	runs := make([]Run, 0, len(requests))
	for _, f := range requests {
		runs = append(runs, Run{Request: f, Sent: now.Add(-100 * time.Millisecond), Failed: time.UnixMilli(now.UnixMilli())})
	}
	q.Crashed(now, l, runs)
}

func requireNotHeld(t *testing.T, q *Quarantine, now time.Time, f Fingerprint) {
	t.Helper()
	require.False(t, q.Check(now, f).Quarantined)
}

func requireHeld(t *testing.T, q *Quarantine, now time.Time, f Fingerprint, after time.Duration) {
	t.Helper()
	v := q.Check(now, f)
	require.True(t, v.Quarantined)
	require.Equal(t, after, v.After)
}

// A request crashes one server after another. From the second crash on it is quarantined, for longer
// each time. A probe follows each quarantine, so that a request that is no longer harmful is served,
// and one that is crashes servers ever more rarely.
func TestQuarantineTimesGrow(t *testing.T) {
	q := New("a")
	now := start
	for n, hold := range []time.Duration{0, time.Minute, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour, 24 * time.Hour} {
		t.Run(fmt.Sprint(n+1), func(t *testing.T) {
			crash(q, now, incarnation(fmt.Sprint("i-", n)), fatal)
			if hold == 0 {
				requireNotHeld(t, q, now, fatal)
				now = now.Add(time.Second)
				return
			}
			requireHeld(t, q, now, fatal, hold)
			requireHeld(t, q, now.Add(hold-time.Millisecond), fatal, time.Millisecond)
			requireNotHeld(t, q, now, other)
			now = now.Add(hold)
			requireNotHeld(t, q, now, fatal)
		})
	}
}

// A quarantine is over, and several callers send the request to the same entry at the same time. If
// all were allowed, each would crash a server.
func TestOneProbeAtATime(t *testing.T) {
	q := New("a")
	crash(q, at(-time.Second), incarnation("i-1"), fatal)
	crash(q, start, incarnation("i-2"), fatal)
	now := at(time.Minute)
	v := q.Begin(now, fatal)
	require.True(t, v.Probe)
	require.Equal(t, 2, v.Crashes)
	requireHeld(t, q, now, fatal, probeRetryDelay)
	require.True(t, q.Begin(now, fatal).Quarantined)
	q.End(now, Verdict{}, Failed, fatal) // of an attempt that was allowed before
	requireHeld(t, q, now, fatal, probeRetryDelay)
	q.End(now, v, NotSent, fatal)
	requireNotHeld(t, q, now, fatal)
}

// When a server crashes, its other slots may be in use by harmless requests. Such a request is served
// at the next attempt, and its crashes then count from zero again.
func TestCompleteResponseClearsARequest(t *testing.T) {
	q := New("a")
	crash(q, at(-time.Second), incarnation("i-1"), fatal, other)
	q.End(start, q.Begin(start, other), Served, other)
	crash(q, start, incarnation("i-2"), fatal, other)
	requireHeld(t, q, start, fatal, time.Minute)
	requireNotHeld(t, q, start, other)
	require.False(t, q.Empty())
}

// Crashes that different entries observed are added up. But what two entries observed of one server
// is one crash, for which a harmless request must not be quarantined.
func TestCrashesOfOtherEntries(t *testing.T) {
	a, b := New("a"), New("b")
	crash(a, at(-time.Second), incarnation("i-1"), fatal, other)
	crash(b, at(-time.Second), incarnation("i-1"), other)
	share(start, a, b)
	requireNotHeld(t, a, start, other)
	requireNotHeld(t, b, start, other)
	crash(b, at(time.Second), incarnation("i-2"), fatal)
	share(at(time.Second), a, b)
	requireHeld(t, a, at(time.Second), fatal, time.Minute)
	requireHeld(t, b, at(time.Second), fatal, time.Minute)
}

// share passes each entry's record to all others.
func share(now time.Time, list ...*Quarantine) {
	for _, from := range list {
		r, _ := from.OwnRecord(now)
		for _, to := range list {
			if to != from {
				to.Merge(now, r)
			}
		}
	}
}

// A server restarts under its ID, and crashes again during the same request. If that counted as the
// crash that is known already, the request would never be quarantined.
func TestServerCrashesTwiceUnderItsID(t *testing.T) {
	t.Run("start time is reported", func(t *testing.T) {
		q := New("a")
		crash(q, start, Incarnation{"i-1", start}, fatal)
		crash(q, at(time.Millisecond), Incarnation{"i-1", start}, fatal)
		require.Equal(t, 1, q.Check(start, fatal).Crashes, "the same incarnation")
		crash(q, at(5*time.Second), Incarnation{"i-1", at(3 * time.Second)}, fatal)
		require.Equal(t, 2, q.Check(start, fatal).Crashes)
	})
	t.Run("start time is not reported", func(t *testing.T) {
		q, b := New("a"), New("b")
		crash(q, start, Incarnation{Target: "i-1"}, fatal)
		crash(b, at(30*time.Millisecond), Incarnation{Target: "i-1"}, fatal)
		share(start, q, b)
		require.Equal(t, 1, q.Check(start, fatal).Crashes, "two entries observed one crash")
		crash(q, at(5*time.Second), Incarnation{Target: "i-1"}, fatal)
		require.Equal(t, 2, q.Check(start, fatal).Crashes)
	})
}

// An entry's record becomes shorter when callers are served, or an operator removes it. A crash that
// it no longer lists must not quarantine a request at the other entries.
func TestRecordsAreReplaced(t *testing.T) {
	for name, drop := range map[string]func(a, b *Quarantine){
		"shorter": func(a, b *Quarantine) {
			a.End(start, Verdict{}, Served, fatal)
			share(start, a, b)
		},
		"removed": func(_, b *Quarantine) { b.ForgetEntry(start, "a") },
	} {
		t.Run(name, func(t *testing.T) {
			a, b := New("a"), New("b")
			crash(a, at(-time.Second), incarnation("i-1"), fatal)
			crash(a, start, incarnation("i-2"), fatal)
			share(start, a, b)
			requireHeld(t, b, start, fatal, time.Minute)
			share(start, a, b)
			require.Equal(t, 2, b.Check(start, fatal).Crashes, "a record that is received twice counts once")
			drop(a, b)
			requireNotHeld(t, b, start, fatal)
			require.True(t, b.Empty())
		})
	}
}

// An entry restarts while a request is quarantined. It must neither send a request that its earlier
// incarnation knew to crash servers, nor remove that request from its record.
func TestEarlierIncarnationOfAnEntry(t *testing.T) {
	q := New("a")
	crash(q, at(-time.Second), incarnation("i-1"), fatal)
	crash(q, start, incarnation("i-2"), fatal)
	r, changed := q.OwnRecord(start)
	require.True(t, changed)
	next := New("a")
	crash(next, start, incarnation("i-3"), other) // before the entry has read its record
	next.Merge(at(time.Second), r)
	requireHeld(t, next, at(time.Second), fatal, 59*time.Second)
	again, _ := next.OwnRecord(start)
	require.Len(t, again.Crashes, 3)
}

// The clock of an entry's host is an hour ahead, or its record is forged. A request that other
// entries probe after a minute must not be quarantined for an hour.
func TestTimesInTheFuture(t *testing.T) {
	q := New("a")
	late := at(time.Hour)
	q.Merge(start, Record{Entry: "b", Written: late, Crashes: []Crash{
		{Run{Request: fatal, Sent: late, Failed: late}, incarnation("i-1")},
		{Run{Request: fatal, Sent: late.Add(time.Second), Failed: late.Add(time.Second)}, incarnation("i-2")},
	}})
	requireHeld(t, q, start, fatal, time.Minute)
	requireNotHeld(t, q, at(time.Minute), fatal)
}

// All crashes are forgotten in the end, so that a request is not quarantined because of crashes of
// long ago, and memory does not grow.
func TestCrashesAreForgotten(t *testing.T) {
	q := New("a")
	var states []State
	q.OnChange = func(s State) { states = append(states, s) }
	crash(q, at(-time.Second), incarnation("i-1"), fatal)
	crash(q, start, incarnation("i-2"), fatal, other)
	q.Sweep(at(crashRetention))
	require.Equal(t, 1, q.Check(at(crashRetention), other).Crashes)
	q.Sweep(at(crashRetention + time.Millisecond))
	require.Zero(t, q.Check(at(crashRetention), other).Crashes)
	require.Equal(t, 2, q.Check(at(crashRetention), fatal).Crashes)
	q.Sweep(at(crashRetention + time.Minute + time.Millisecond))
	require.True(t, q.Empty())
	require.Equal(t, []State{
		{Request: fatal, Crashes: 2, Quarantined: time.Minute, Source: "a", Evidence: []Evidence{
			{Target: "i-1", Entry: "a", Age: time.Second}, {Target: "i-2", Entry: "a"},
		}},
		{Request: fatal, Source: "a", Release: Expired},
	}, states)
}

// A caller sends a new body each time, and all of these requests run at servers that crash. The
// record stays within its bound, and a request that crashed several servers is removed last.
func TestRecordIsBounded(t *testing.T) {
	q := New("a")
	crash(q, at(-time.Second), incarnation("i-1"), fatal)
	crash(q, start, incarnation("i-2"), fatal)
	for n := range 3 * maxRecordCrashes {
		now := at(time.Duration(n) * time.Millisecond)
		crash(q, now, incarnation("i-3"), Fingerprint{1, byte(n), byte(n >> 8)})
	}
	r, _ := q.OwnRecord(start)
	require.Len(t, r.Crashes, maxRecordCrashes)
	requireHeld(t, q, start, fatal, time.Minute)
	n := 3*maxRecordCrashes - 1
	last := Fingerprint{1, byte(n), byte(n >> 8)}
	require.Equal(t, 1, q.Check(start, last).Crashes, "the newest is kept")
}

// A record from another writer lists more crashes than the bound. The rest is ignored, so that
// memory stays bounded.
func TestForeignRecordIsBounded(t *testing.T) {
	q := New("a")
	r := Record{Entry: "b", Written: start}
	for n := range 3 * maxRecordCrashes {
		r.Crashes = append(r.Crashes, Crash{Run: Run{Request: Fingerprint{byte(n), byte(n >> 8)}, Sent: start, Failed: start}, Incarnation: incarnation("i")})
	}
	q.Merge(start, r)
	require.Len(t, q.suspects, maxRecordCrashes)
}

func TestSpentRecord(t *testing.T) {
	r := Record{Entry: "a", Written: start}
	require.False(t, r.Expired(at(24*time.Hour)))
	require.True(t, r.Expired(at(25*time.Hour)))
}

func BenchmarkCheckWithoutSuspects(b *testing.B) {
	q := New("a")
	for b.Loop() {
		q.Empty()
	}
}

func BenchmarkCheckAmongSuspects(b *testing.B) {
	q := New("a")
	for n := range maxRecordCrashes {
		crash(q, start, incarnation("i"), Fingerprint{byte(n), byte(n >> 8)})
	}
	for b.Loop() {
		q.Check(start, Fingerprint{1})
	}
}

// A request is sent again after a crash, and its next target crashes too. That counts as a second
// crash, even if the first one is recorded later.
func TestSentAgainAfterACrash(t *testing.T) {
	q := New("a")
	run := func(sent, failed time.Duration) []Run {
		return []Run{{Request: fatal, Sent: at(sent), Failed: at(failed)}}
	}
	q.Crashed(start, incarnation("i-2"), run(20*time.Millisecond, 30*time.Millisecond))
	q.Crashed(start, incarnation("i-1"), run(0, 10*time.Millisecond))
	require.Equal(t, 2, q.Check(start, fatal).Crashes)
	q.Crashed(start, incarnation("i-3"), run(9*time.Millisecond, 25*time.Millisecond))
	require.Equal(t, 2, q.Check(start, fatal).Crashes, "the request was sent to i-3 before the first crash")
}

// A rack of servers loses its power. The same harmless request, which many callers send, runs at
// several of them. When each server counted as a crash, the request was quarantined for ten minutes
// for all its callers because of one power loss.
func TestServersThatCrashTogetherCountOnce(t *testing.T) {
	q := New("a")
	for n := range 5 {
		crash(q, at(time.Duration(n)*time.Millisecond), incarnation(fmt.Sprint("i-", n)), fatal)
	}
	require.Equal(t, 1, q.Check(at(time.Second), fatal).Crashes)
	requireNotHeld(t, q, at(time.Second), fatal)
}

// A quarantine ends for all entries at the same moment, and callers send the request to each of them.
// When each entry allowed a probe of its own, as many servers crashed as there are entries. So they
// take turns, and each receives the record of a crash before its own turn.
func TestOneProbeAmongEntries(t *testing.T) {
	const entries = 5
	list := make([]*Quarantine, entries)
	for i := range list {
		list[i] = New(fmt.Sprint("entry-", i))
		list[i].Turn = func(f Fingerprint) int { return Turn(f, i+1, entries) }
	}
	crash(list[0], at(-time.Second), incarnation("i-1"), fatal)
	crash(list[0], start, incarnation("i-2"), fatal)
	share(start, list...)
	probes := func(now time.Time) (n int) {
		for _, q := range list {
			if q.Begin(now, fatal).Probe {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1, probes(at(time.Minute)), "one of five")
	require.Equal(t, 0, probes(at(time.Minute)), "the first probe is still running")
	require.Equal(t, 1, probes(at(time.Minute+probeTurn)), "the first entry may have had no caller, or have ended")
	require.Equal(t, entries-2, probes(at(time.Minute+entries*probeTurn)))
}

// Entries that don't know each other take turns by their names; few of them have the same turn.
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
