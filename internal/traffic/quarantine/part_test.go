package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	bad      = PartFingerprint("svc", "bad")
	preamble = PartFingerprint("svc", "preamble")
	topic    = PartFingerprint("svc", "topic")
)

// crashParts records a crash of a target during one request, which no other is like, with parts in its prompt.
func crashParts(q *Quarantine, now time.Time, target string, parts ...Fingerprint) {
	sent, failed := now.Add(-100*time.Millisecond), time.UnixMilli(now.UnixMilli())
	runs := []Run{{Request: Request{Body: []byte(target)}.Fingerprint(), Sent: sent, Failed: failed}}
	for _, f := range parts {
		runs = append(runs, Run{Request: f, Part: true, Sent: sent, Failed: failed})
	}
	q.Crashed(now, incarnation(target), runs)
}

// Guards against a part that crashes servers under requests of which no two are alike.
func TestPartIsQuarantined(t *testing.T) {
	a, b := New("a"), New("b")
	a.Answered(at(-time.Minute), preamble)
	b.Answered(at(-time.Minute), preamble)
	crashParts(a, at(-5*time.Second), "i-1", preamble, bad)
	share(start, a, b)
	requireNotHeld(t, b, start, bad)
	crashParts(b, start, "i-2", preamble, bad)
	share(start, a, b)
	for _, q := range []*Quarantine{a, b} {
		requireHeld(t, q, start, bad, time.Minute)
		requireNotHeld(t, q, start, preamble)
		require.Equal(t, bad, q.Check(start, Fingerprint{9}, preamble, bad).Cause)
	}
}

// Guards against sound requests that are refused because the part that all of them have was at crashes too.
func TestAnsweredPartIsNotSuspected(t *testing.T) {
	t.Run("before the crashes", func(t *testing.T) {
		q := New("a")
		q.Answered(at(-answerValidity), preamble)
		for n := range 5 {
			crashParts(q, at(time.Duration(n-5)*time.Second), fmt.Sprint("i-", n), preamble)
		}
		requireNotHeld(t, q, start, preamble)
	})
	t.Run("after the crashes", func(t *testing.T) {
		q := New("a")
		crashParts(q, at(-time.Second), "i-1", preamble)
		crashParts(q, start, "i-2", preamble)
		require.True(t, q.Check(at(-time.Millisecond), preamble, bad).Quarantined)
		q.Answered(start, preamble)
		requireNotHeld(t, q, start, preamble)
	})
	t.Run("too long before", func(t *testing.T) {
		q := New("a")
		q.Answered(start, preamble)
		q.Answered(at(answerValidity), topic)
		crashParts(q, at(answerValidity+time.Second), "i-1", preamble)
		crashParts(q, at(answerValidity+2*time.Second), "i-2", preamble)
		requireHeld(t, q, at(answerValidity+2*time.Second), preamble, time.Minute)
	})
}

// Guards against an entry that has just started, and suspects what all others know to be harmless.
func TestPartAnsweredByAnotherEntry(t *testing.T) {
	old, fresh, third := New("old"), New("fresh"), New("third")
	old.Answered(at(-time.Second), preamble, topic)
	crashParts(fresh, at(-time.Second), "i-1", preamble, bad)
	crashParts(fresh, start, "i-2", preamble, bad)
	third.Answered(start, topic)
	share(start, fresh, old, third)
	for _, q := range []*Quarantine{old, fresh, third} {
		requireNotHeld(t, q, start, preamble)
		requireHeld(t, q, start, bad, time.Minute)
	}
	r, _ := old.OwnRecord(start)
	require.Equal(t, []Answer{{Part: preamble, At: at(-time.Second)}}, r.Answered, "only what others suspect")
	crashParts(fresh, at(time.Second), "i-3", preamble)
	requireNotHeld(t, fresh, at(time.Second), preamble)
	old.Sweep(at(answerValidity + crashRetention + time.Second))
	r, _ = old.OwnRecord(start)
	require.Empty(t, r.Answered)
}

// Guards against a part that was at two crashes of another one by chance, and is held with it.
func TestCrashesAreExplainedByAStrongerSuspect(t *testing.T) {
	q := New("a")
	q.Answered(at(-time.Minute), preamble)
	crashParts(q, at(-10*time.Second), "i-1", bad)
	crashParts(q, at(-5*time.Second), "i-2", bad, topic)
	var freed []Fingerprint
	q.OnChange = func(s State) {
		if s.Quarantined == 0 {
			freed = append(freed, s.Request)
		}
	}
	crashParts(q, start, "i-3", bad, topic)
	requireHeld(t, q, start, bad, 10*time.Minute)
	requireNotHeld(t, q, start, topic)
	crashParts(q, at(time.Second), "i-4", topic)
	requireNotHeld(t, q, at(time.Second), topic)
	crashParts(q, at(2*time.Second), "i-5", topic)
	requireHeld(t, q, at(2*time.Second), topic, time.Minute)
	require.Empty(t, freed)
}

// Guards against a preamble that is held for a minute because all requests with it so far had a part that
// crashes servers, as after a start of all entries.
func TestPartsThatWereAtTheSameCrashes(t *testing.T) {
	q := New("a")
	q.Answered(start, topic)
	other := New("b")
	crashParts(other, at(-5*time.Second), "i-1", preamble)
	crashParts(q, at(-5*time.Second), "i-1", preamble, bad)
	crashParts(q, start, "i-2", preamble, bad)
	share(start, q, other)
	require.True(t, q.Check(start, preamble, bad).Quarantined, "it may hold the one that crashes servers")
	require.True(t, q.Check(start, bad).Quarantined, "the preamble was also there without it")
	v := q.Begin(start, Fingerprint{9}, preamble)
	require.True(t, v.Probe)
	requireHeld(t, q, start, preamble, probeRetryDelay)
	q.End(at(time.Second), v, Served, Fingerprint{9}, preamble)
	q.Answered(at(time.Second), preamble)
	requireNotHeld(t, q, at(time.Second), preamble)
	requireHeld(t, q, at(time.Second), bad, 59*time.Second)
}

// Guards against a probe that crashes one more server because an unrelated part was at both crashes.
func TestPartsOfOtherRequestsAtTheSameCrashes(t *testing.T) {
	a, b := New("a"), New("b")
	a.Answered(start, preamble)
	for n := range 2 {
		crashParts(a, at(time.Duration(n-1)*5*time.Second), fmt.Sprint("i-", n), preamble, bad)
		crashParts(b, at(time.Duration(n-1)*5*time.Second), fmt.Sprint("i-", n), topic)
	}
	share(start, a, b)
	requireHeld(t, a, start, bad, time.Minute)
	requireHeld(t, a, start, topic, time.Minute)
}

// Guards against a service that refuses all requests for minutes: after a start of all entries some of its
// servers ended, by chance or under other requests, before any part of its prompts was answered.
func TestOnlyPartAfterAStart(t *testing.T) {
	for name, prepare := range map[string]func(*Quarantine){
		"nothing answered":         func(*Quarantine) {},
		"another service answered": func(q *Quarantine) { q.Answered(start, PartFingerprint("other", "topic")) },
		"answered long ago":        func(q *Quarantine) { q.Answered(at(-answerValidity-6*time.Second), topic) },
	} {
		t.Run(name, func(t *testing.T) {
			q := New("a")
			prepare(q)
			crashParts(q, at(-5*time.Second), "i-1", preamble)
			crashParts(q, start, "i-2", preamble)
			v := q.Begin(start, preamble)
			require.True(t, v.Probe)
			q.End(start, v, Failed, preamble)
			requireHeld(t, q, start, preamble, probeRetryDelay)
			require.True(t, q.Begin(at(probeRetryDelay), preamble).Probe)
			now := at(2 * time.Second)
			for n, hold := range []time.Duration{5 * time.Second, 30 * time.Second, 24 * time.Hour} {
				q.End(now, Verdict{Probe: true}, NotSent, preamble)
				crashParts(q, now, fmt.Sprint("i-", 3+n), preamble)
				requireHeld(t, q, now, preamble, hold)
				now = now.Add(hold)
			}
			q.Answered(now, preamble)
			requireNotHeld(t, q, now, preamble)
		})
	}
}

// Guards against a part that is probed at once, and crashes one more server, although others of its service are
// answered by now.
func TestCrashesAreConclusiveOnceOthersAreAnswered(t *testing.T) {
	q := New("a")
	crashParts(q, at(-5*time.Second), "i-1", bad)
	crashParts(q, start, "i-2", bad)
	requireNotHeld(t, q, start, bad)
	q.Answered(start, preamble)
	requireHeld(t, q, start, bad, time.Minute)
}

// Guards against a probe that tells nothing: a request with two parts, each of which may be at fault.
func TestProbeHasOneSuspect(t *testing.T) {
	q := New("a")
	crashParts(q, at(-5*time.Second), "i-1", preamble, bad)
	crashParts(q, start, "i-2", preamble, bad)
	require.True(t, q.Check(start, preamble, bad).Quarantined)
	require.True(t, q.Begin(start, preamble).Probe)
}

// Guards against probes that crash servers one after the other unnoticed: their callers leave before
// the crash, or the server refuses them as it ends.
func TestProbeThatProvesNothing(t *testing.T) {
	q := New("a")
	q.Answered(start, topic)
	crashParts(q, at(-5*time.Second), "i-1", bad)
	crashParts(q, start, "i-2", bad)
	now := at(time.Minute)
	q.End(now, q.Begin(now, bad), NotSent, bad)
	q.End(now, q.Begin(now, bad), Failed, bad)
	requireHeld(t, q, now, bad, time.Minute)
}

// Guards against a part that is never suspected because the memory of answers is full.
func TestAnsweredIsBounded(t *testing.T) {
	q := New("a")
	q.Answered(start, preamble)
	for n := range 3 * maxAnswered {
		q.Answered(start, Fingerprint{1, byte(n), byte(n >> 8), byte(n >> 16)})
	}
	require.LessOrEqual(t, len(q.answered.young)+len(q.answered.old), 2*maxAnswered)
	require.True(t, q.answered.last(preamble).IsZero(), "the oldest goes first")
	b := New("b")
	r := Record{Entry: "b", Written: start}
	for n := range 3 * maxRecordAnswers {
		r.Answered = append(r.Answered, Answer{Part: Fingerprint{byte(n), byte(n >> 8)}, At: at(time.Hour)})
	}
	b.Merge(start, Record{Entry: "c", Answered: r.Answered})
	require.Len(t, b.answeredElsewhere.young, maxRecordAnswers)
	require.Equal(t, start, b.answeredElsewhere.last(Fingerprint{1}), "its time is not in the future")
}

// Guards against a crash that is taken for the end of a response which has no length, and clears the part
// that caused it; and against parts that are never cleared as all responses have no length.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	ended := func(target string, at time.Time) Provisional {
		run := Run{Request: Fingerprint{9}, Sent: at.Add(-100 * time.Millisecond), Failed: at}
		return Provisional{Incarnation: incarnation(target), Run: run, Parts: []Fingerprint{preamble, bad}}
	}
	t.Run("the target lives", func(t *testing.T) {
		q := New("a")
		q.EndedWithConnection(ended("i-1", start))
		q.Sweep(at(confirmDelay - time.Millisecond))
		require.False(t, q.Harmless(start, bad))
		q.Sweep(at(confirmDelay))
		require.True(t, q.Harmless(at(confirmDelay), preamble, bad))
	})
	t.Run("the target crashed", func(t *testing.T) {
		q := New("a")
		q.Answered(start, preamble)
		for n := range 2 {
			now := at(time.Duration(n) * 5 * time.Second)
			q.EndedWithConnection(ended(fmt.Sprint("i-", n), now))
			crash(q, now, incarnation(fmt.Sprint("i-", n)), other)
			q.Sweep(now.Add(confirmDelay))
		}
		requireHeld(t, q, at(6*time.Second), bad, 59*time.Second)
		requireNotHeld(t, q, at(6*time.Second), preamble)
	})
	t.Run("too many", func(t *testing.T) {
		q := New("a")
		for range 2 * maxProvisional {
			q.EndedWithConnection(ended("i-1", start))
		}
		require.Len(t, q.provisional, maxProvisional)
	})
}

// Guards against all entries that start at once while a part crashes servers, and suspect what all requests
// have: nothing is answered between the crashes.
func TestPopularPartsAreKnownAfterAStart(t *testing.T) {
	old, next := New("a"), New("a")
	for n := range 2 * maxPopularAnswers {
		old.Answered(start, PartFingerprint("svc", fmt.Sprint("rare ", n)))
	}
	popular := []Fingerprint{preamble, topic}
	for n := range 10 {
		popular = append(popular, PartFingerprint("svc", fmt.Sprint("popular ", n)))
	}
	old.Answered(start, popular...)
	old.Answered(at(time.Second), popular...)
	crashParts(old, at(2*time.Second), "i-1", preamble, bad)
	r, _ := old.OwnRecord(at(2 * time.Second))
	require.Len(t, r.Answered, maxPopularAnswers)
	for _, f := range popular {
		require.Contains(t, r.Answered, Answer{Part: f, At: at(time.Second)})
	}
	next.Merge(at(3*time.Second), r)
	crashParts(next, at(6*time.Second), "i-2", preamble, bad)
	requireNotHeld(t, next, at(6*time.Second), preamble)
	requireHeld(t, next, at(6*time.Second), bad, time.Minute)
}

// Guards against a part that crashes servers and is not held, because one that is harmless was at its crashes
// and at one of another part.
func TestOnlyQuarantinedSuspectsExplainCrashes(t *testing.T) {
	q := New("a")
	first := PartFingerprint("svc", "first")
	q.Answered(at(-time.Minute), preamble)
	crashParts(q, at(-20*time.Second), "i-1", first)
	crashParts(q, at(-15*time.Second), "i-2", first, topic)
	crashParts(q, at(-10*time.Second), "i-3", bad, topic)
	crashParts(q, at(-5*time.Second), "i-4", bad)
	requireHeld(t, q, start, bad, 55*time.Second)
	requireHeld(t, q, start, first, 45*time.Second)
	requireNotHeld(t, q, start, topic)
}

// Guards against a part that is not held because a harmless request was sent on after its first crash, and was
// at the next one by chance.
func TestRequestsDontExplainCrashes(t *testing.T) {
	q := New("a")
	q.Answered(start, preamble)
	crashParts(q, at(-5*time.Second), "i-1", preamble, bad)
	crash(q, at(-5*time.Second), incarnation("i-1"), other)
	crash(q, at(-4900*time.Millisecond), incarnation("i-2"), other)
	crashParts(q, start, "i-3", preamble, bad)
	requireHeld(t, q, start, bad, time.Minute)
	requireHeld(t, q, start, other, 55100*time.Millisecond)
}

// Guards against entries that learn seconds late that a part is harmless, as its record is not written.
func TestHarmlessPartIsReportedAtOnce(t *testing.T) {
	q, reports := New("a"), 0
	q.OnReport = func() { reports++ }
	crashParts(q, start, "i-1", topic)
	q.Answered(at(time.Second), topic)
	q.Answered(at(2*time.Second), topic)
	require.Equal(t, 1, reports)
}

// Guards against a part that is not held when its requests crash several targets of a group before any entry
// knows of the first: what waits crashes as many again when the group opens.
func TestPartAtSeveralCrashesAtOnce(t *testing.T) {
	q, whole := New("a"), New("b")
	q.Answered(start, preamble)
	for n := range crashesAtOnce {
		now := at(time.Duration(n) * time.Millisecond)
		requireNotHeld(t, q, now, bad)
		crashParts(q, now, fmt.Sprint("i-", n), preamble, bad)
		crash(whole, now, incarnation(fmt.Sprint("i-", n)), fatal)
	}
	requireHeld(t, q, at(2*time.Millisecond), bad, time.Minute)
	requireNotHeld(t, q, at(2*time.Millisecond), preamble)
	requireNotHeld(t, whole, at(2*time.Millisecond), fatal)
}

// Guards against a caller that hides a part which crashes targets among many that nobody else has.
func TestManyPartsInOnePrompt(t *testing.T) {
	q := New("a")
	q.Answered(start, preamble)
	const slots = 12
	for n := range 2 {
		now := at(time.Duration(n-1) * 5 * time.Second)
		var runs []Run
		for slot := range slots {
			runs = append(runs, Run{Request: Fingerprint{8, byte(n), byte(slot)}, Sent: now, Failed: now})
			for part := range 64 {
				runs = append(runs, Run{Request: Fingerprint{7, byte(n), byte(slot), byte(part)}, Part: true, Sent: now, Failed: now})
			}
		}
		runs[1].Request = bad
		q.Crashed(now, incarnation(fmt.Sprint("i-", n)), runs)
	}
	requireHeld(t, q, start, bad, time.Minute)
	r, _ := q.OwnRecord(start)
	require.LessOrEqual(t, len(r.Crashes), maxRecordCrashes)
}

// Guards against a crash that costs a write of each entry, as all of them know a part that another suspects.
func TestFewEntriesReportAHarmlessPart(t *testing.T) {
	fresh := New("fresh")
	crashParts(fresh, start, "i-1", preamble)
	record, _ := fresh.OwnRecord(start)
	writes := 0
	for i := range 100 {
		q := New(fmt.Sprint("entry-", i))
		q.Turn = func(f Fingerprint) int { return Turn(f, i+1, 100) }
		q.OnReport = func() { writes++ }
		q.Answered(start, preamble)
		q.Merge(start, record)
		require.False(t, q.Suspected(preamble))
	}
	require.Equal(t, reporters, writes)
}

func BenchmarkAnswered(b *testing.B) {
	q := New("a")
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		q.Answered(now, preamble, topic)
	}
}

func BenchmarkPartFingerprint(b *testing.B) {
	for b.Loop() {
		PartFingerprint("svc", "5c1e07a2")
	}
}

// The check of a request with a quarantined part, among as many suspects as 340 entries' records can hold.
func BenchmarkCheckAmongManySuspects(b *testing.B) {
	q := New("a")
	for e := range 340 {
		r := Record{Entry: fmt.Sprint("e", e)}
		for n := range maxRecordCrashes {
			run := Run{Request: Fingerprint{byte(e), byte(e >> 8), byte(n)}, Part: true, Sent: start, Failed: start}
			r.Crashes = append(r.Crashes, Crash{Run: run, Incarnation: incarnation("i")})
		}
		q.Merge(start, r)
	}
	crashParts(q, start, "i-1", bad)
	crashParts(q, at(time.Second), "i-2", bad)
	for b.Loop() {
		q.Check(at(time.Second), bad)
	}
}
