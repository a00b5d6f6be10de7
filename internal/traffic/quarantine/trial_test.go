package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	examples = PartFingerprint("svc", "examples")
	tools    = PartFingerprint("svc", "tools")
)

// newTemplate returns a quarantine that knows a popular part, and saw two crashes of requests with the others. The
// second was at start.
func newTemplate(parts ...Fingerprint) *Quarantine {
	q := New("a")
	q.Answered(at(-time.Minute), preamble)
	for n := range firstQuarantine {
		crashParts(q, at(time.Duration(n-1)*5*time.Second), fmt.Sprint("i-", n), append(parts, preamble)...)
	}
	return q
}

// own puts the fingerprint of a request that no other is like before its parts.
func own(parts ...Fingerprint) []Fingerprint { return append([]Fingerprint{{9}}, parts...) }

// serve sends a request with some parts, which must be allowed as a probe, and has it answered.
func serve(t *testing.T, q *Quarantine, now time.Time, parts ...Fingerprint) {
	t.Helper()
	v := q.Begin(now, own(parts...)...)
	require.True(t, v.Probe)
	q.End(now, v, Served, own(parts...)...)
	q.Answered(now, parts...)
	require.False(t, q.Check(now, own(parts...)...).Quarantined)
}

// crashTrial sends a request with some parts, which must be allowed as a probe, and has its target crash.
func crashTrial(t *testing.T, q *Quarantine, now time.Time, target string, parts ...Fingerprint) {
	t.Helper()
	v := q.Begin(now.Add(-100*time.Millisecond), own(parts...)...)
	require.True(t, v.Probe)
	q.End(now, v, Failed, own(parts...)...)
	crashParts(q, now, target, parts...)
}

// Guards against sound requests that are refused for a minute, as several of their parts always come together and were
// at the crashes of another one.
func TestPartsThatAlwaysComeTogether(t *testing.T) {
	for n := 1; n <= maxRunParts-1; n += 2 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			var shared []Fingerprint
			for i := range n {
				shared = append(shared, PartFingerprint("svc", fmt.Sprint("shared ", i)))
			}
			q := newTemplate(append([]Fingerprint{bad}, shared...)...)
			require.True(t, q.Check(start, append(own(bad), shared...)...).Quarantined, "it has all that was there")
			serve(t, q, at(5*time.Second), append(shared, preamble)...)
			requireHeld(t, q, at(5*time.Second), bad, 55*time.Second)
		})
	}
}

// Guards against a part that is taken for harmless, or others that are taken for the cause, once a trial of some of
// them has crashed its target.
func TestTrialThatCrashes(t *testing.T) {
	q := newTemplate(bad, topic, examples)
	crashTrial(t, q, at(2*time.Second), "i-3", bad, topic)
	require.True(t, q.Check(at(2*time.Second), own(bad)...).Quarantined)
	require.True(t, q.Check(at(2*time.Second), own(topic)...).Quarantined)
	requireNotHeld(t, q, at(2*time.Second), examples)
	serve(t, q, at(7*time.Second), topic)
	require.False(t, q.Check(at(7*time.Second), own(topic, examples)...).Quarantined)
	requireHeld(t, q, at(7*time.Second), bad, 25*time.Second)
	crashTrial(t, q, at(33*time.Second), "i-4", bad)
	requireHeld(t, q, at(33*time.Second), bad, 2*time.Hour)
}

// Guards against sound requests that are refused for ten minutes because another cause crashed the target of their
// trial.
func TestTrialAtACrashOfAnotherCause(t *testing.T) {
	q := newTemplate(bad, topic, examples)
	crashTrial(t, q, at(2*time.Second), "i-3", topic, examples)
	require.True(t, q.Check(at(2*time.Second), own(topic, examples)...).Quarantined)
	require.True(t, q.Check(at(33*time.Second), own(topic, examples, bad)...).Quarantined, "it may hold the cause")
	serve(t, q, at(33*time.Second), topic, examples)
	require.True(t, q.Check(at(33*time.Second), own(bad)...).Quarantined)
}

// Guards against trials that crash target after target, each without another part.
func TestTrialsAreBounded(t *testing.T) {
	q := newTemplate(bad, topic, examples, tools)
	now, sent := start, 0
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		for _, parts := range [][]Fingerprint{{bad, topic, examples}, {bad, topic, tools}, {bad, topic}, {bad, examples}, {bad}} {
			v := q.Begin(now, own(parts...)...)
			if v.Quarantined {
				continue
			}
			sent++
			now = now.Add(100 * time.Millisecond)
			q.End(now, v, Failed, own(parts...)...)
			crashParts(q, now, fmt.Sprint("i-x", sent), parts...)
		}
	}
	require.LessOrEqual(t, sent, 3, "of BUDGET")
	require.Positive(t, sent)
}

// Guards against trials that crash targets one after the other unnoticed, as their callers leave before the crash.
func TestTrialsThatProveNothing(t *testing.T) {
	q := newTemplate(bad, topic)
	sent := 0
	for now := start; now.Before(at(50 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if v := q.Begin(now, own(topic)...); v.Probe {
			q.End(now, v, Failed, own(topic)...)
			sent++
		}
	}
	require.LessOrEqual(t, sent, 7, "the pause doubles")
	require.Greater(t, sent, 1, "it goes on")
}

// Guards against a trial that tells less than another which was sent a moment later.
func TestSmallerTrialsGoFirst(t *testing.T) {
	q := newTemplate(bad, topic, examples)
	require.True(t, q.Check(start, own(topic, examples)...).Quarantined)
	require.False(t, q.Check(start, own(topic)...).Quarantined)
	require.False(t, q.Check(start, own(examples)...).Quarantined)
}

// Guards against entries that each try another set of the same parts at the same time, and crash a target each.
func TestTrialsOfAllEntriesTakeTurns(t *testing.T) {
	const entries = 5
	first := newTemplate(bad, topic, examples, tools)
	r, _ := first.OwnRecord(start)
	var list []*Quarantine
	for i := range entries {
		q := New(fmt.Sprint("entry-", i))
		q.Turn = func(f Fingerprint) int { return Turn(f, i+1, entries) }
		q.Answered(at(-time.Minute), preamble)
		q.Merge(start, r)
		list = append(list, q)
	}
	sets := [][]Fingerprint{{bad}, {topic}, {examples}, {tools}, {topic, bad}, {topic, examples}, {topic, tools}, {bad, examples, tools}}
	for turn := range entries {
		now := at(time.Duration(turn+1)*probeTurn - time.Millisecond)
		allowed := make(map[string]bool)
		for _, q := range list {
			for _, parts := range sets {
				if !q.Check(now, own(parts...)...).Quarantined {
					allowed[q.Entry] = true
				}
			}
		}
		require.Len(t, allowed, turn+1)
	}
}

// Guards against parts that are held because a rack lost its power under them: all requests have them.
func TestPopularPartsOfARackWithoutPower(t *testing.T) {
	q := New("a")
	q.Answered(at(-time.Minute), preamble, topic, examples)
	for n := range 2 * crashesAtOnce {
		crashParts(q, at(time.Duration(n)*time.Millisecond), fmt.Sprint("i-", n), preamble, topic, examples, tools)
		crashParts(q, at(time.Duration(n)*time.Millisecond), fmt.Sprint("j-", n), preamble, topic, examples)
	}
	now := at(time.Second)
	require.False(t, q.Check(now, own(preamble, topic, examples)...).Quarantined)
	require.True(t, q.Check(now, own(preamble, topic, examples, tools)...).Quarantined)
}

// Guards against sound requests that are refused because the part that crashed their targets was at one more crash,
// so that it is no more suspect than theirs.
func TestPartAtOneMoreCrash(t *testing.T) {
	q := New("a")
	q.Answered(at(-time.Minute), preamble)
	crashParts(q, at(-5*time.Second), "i-0", bad)
	for n := range crashesAtOnce {
		crashParts(q, at(time.Duration(n-crashesAtOnce)*time.Millisecond), fmt.Sprint("i-", 1+n), bad, topic, examples)
	}
	require.True(t, q.Check(start, own(bad)...).Quarantined)
	require.True(t, q.Check(at(5*time.Second), own(bad)...).Quarantined)
	serve(t, q, at(time.Second), topic, examples)
}

// Guards against a part that crashes targets and is tried because an unrelated one was at its crashes in prompts of
// other requests, or at one more crash before.
func TestOthersThatExplainNothing(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		q := New("a")
		q.Answered(start, preamble)
		crashParts(q, at(-10*time.Second), "i-0", bad)
		crashParts(q, at(-5*time.Second), "i-1", bad, topic)
		crashParts(q, start, "i-2", bad, topic)
		requireHeld(t, q, start, bad, 10*time.Minute)
	})
	t.Run("of one crash each", func(t *testing.T) {
		q := New("a")
		q.Answered(start, preamble)
		crashParts(q, at(-5*time.Second), "i-1", bad, topic)
		crashParts(q, start, "i-2", bad, examples)
		requireHeld(t, q, start, bad, time.Minute)
	})
}

// Guards against logs that don't say which probe was allowed, and why.
func TestProbesAreTold(t *testing.T) {
	q := newTemplate(bad, topic, examples)
	var probes []Probe
	q.OnProbe = func(p Probe) { probes = append(probes, p) }
	require.True(t, q.Begin(at(-time.Millisecond), own(topic, examples)...).Quarantined)
	serve(t, q, at(time.Second), topic, examples)
	require.Equal(t, []Probe{{
		Why: Subset, Request: Fingerprint{9}, Tests: []Fingerprint{topic, examples}, Without: []Fingerprint{bad}, Crashes: 2,
	}}, probes)
	q.Begin(at(time.Minute), own(bad)...)
	require.Len(t, probes, 2)
	require.Equal(t, HoldOver, probes[1].Why)
}
