package quarantine

import "time"

// Verdict says whether an attempt of a request may be sent.
type Verdict struct {
	Quarantined bool          // the request is quarantined
	After       time.Duration // when the caller should retry, if the request is quarantined
	Crashes     int           // crashes of targets that ran the request, or another one with its part
	Probe       bool          // the quarantine is over, and this attempt is its only probe
	Cause       Fingerprint   // the suspect that is quarantined for the longest time; zero if there is none
}

// Check returns whether a request is quarantined now, given its own fingerprint and those of the
// shared parts of its prompt.
func (q *Quarantine) Check(now time.Time, of ...Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	v, _ := q.check(now, of)
	return v
}

// check also returns the suspects that have been quarantined, or are.
func (q *Quarantine) check(now time.Time, of []Fingerprint) (v Verdict, causes []*suspect) {
	var assessments []assessment
	var fingerprints []Fingerprint
	for _, f := range of {
		s := q.suspects[f]
		if s == nil {
			continue
		}
		a := q.assess(s)
		v.Crashes = max(v.Crashes, a.crashes)
		if quarantineTime(a.crashes) > 0 {
			causes, assessments, fingerprints = append(causes, s), append(assessments, a), append(fingerprints, f)
		}
	}
	for i, s := range causes {
		left := q.timeLeft(now, fingerprints[i], s, assessments[i], len(causes) == 1)
		if left > v.After {
			v.Quarantined, v.After, v.Cause = true, left, fingerprints[i]
		}
	}
	return v, causes
}

// timeLeft returns the time until this entry may probe a suspect. While the crashes are no proof, a
// request in which nothing else is suspected may be a probe at once: if it is served the suspect is
// harmless.
func (q *Quarantine) timeLeft(now time.Time, f Fingerprint, s *suspect, a assessment, alone bool) time.Duration {
	left := quarantineTime(a.crashes) - now.Sub(a.last)
	if a.inconclusive && alone {
		left = probeDelays[a.crashes] - now.Sub(a.last)
	}
	if q.Turn != nil {
		left += time.Duration(q.Turn(f)) * probeTurn
	}
	left = max(left, s.nextProbe.Sub(now))
	if left <= 0 && s.probing {
		return probeRetryDelay
	}
	return left
}

// Begin returns whether a request may be sent to a target. After a quarantine only one attempt
// at a time is allowed, as a probe: if the request still crashes targets, that costs one target
// and not one for each caller. End must follow, unless the request is quarantined.
func (q *Quarantine) Begin(now time.Time, of ...Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	v, causes := q.check(now, of)
	if v.Quarantined || len(causes) == 0 {
		return v
	}
	v.Probe = true
	for _, s := range causes {
		s.probing = true
	}
	return v
}

// Result is how an attempt of a request ended.
type Result uint8

// The results of attempts.
const (
	NotSent Result = iota // nothing of the request reached a target
	Failed                // the attempt reached a target, and proves nothing
	Served                // a target answered the request completely
	Ended                 // the response ended with its connection, see EndedWithConnection
)

// End ends an attempt of a request that Begin allowed, given the same fingerprints. A complete
// response removes this entry's sightings of the request, since a request that crashes each target
// gets no response. Other entries keep their own sightings until they have served the request too.
func (q *Quarantine) End(now time.Time, v Verdict, r Result, of ...Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	cleared := false
	for _, f := range of {
		s := q.suspects[f]
		if s == nil {
			continue
		}
		if v.Probe {
			s.probing = false
		}
		if v.Probe && r == Failed {
			s.nextProbe = now.Add(q.probePause(s))
		}
		if r == Served && !s.part {
			q.remove(f, Answered, func(v sighting) bool { return v.entry == q.Entry })
			cleared = true
		}
	}
	if cleared {
		q.announce(now, q.Entry)
	}
}

// probePause returns how long this entry waits after a probe that proved nothing. Each probe may crash
// a target without the entry noticing, as when the caller leaves before the crash.
func (q *Quarantine) probePause(s *suspect) time.Duration {
	a := q.assess(s)
	if a.inconclusive {
		return probeRetryDelay
	}
	return quarantineTime(a.crashes)
}
