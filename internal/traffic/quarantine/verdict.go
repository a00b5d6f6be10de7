package quarantine

import "time"

// Verdict says whether an attempt of a request may be sent.
type Verdict struct {
	Quarantined bool          // the request is quarantined
	After       time.Duration // when the caller should retry, if the request is quarantined
	Crashes     int           // crashes of targets that ran the request, or another one with its part
	Probe       bool          // this attempt is the only probe of its suspects
	Why         Reason        // why it may be one
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
		left, why := q.timeLeft(now, s, assessments[i], of, len(causes))
		if left > v.After {
			v.Quarantined, v.After, v.Cause = true, left, fingerprints[i]
		}
		if v.Why == "" || v.Why == HoldOver {
			v.Why = why
		}
	}
	return v, causes
}

// timeLeft returns the time until this entry may send a request as a probe of one of its suspects, and why. While
// the crashes are no proof, that may be before the quarantine is over.
func (q *Quarantine) timeLeft(now time.Time, s *suspect, a assessment, of []Fingerprint, suspects int) (time.Duration, Reason) {
	turn := q.turn(s)
	left := max(quarantineTime(a.crashes)-now.Sub(a.last)+turn, s.nextProbe.Sub(now))
	why := HoldOver
	if delay, reason, ok := q.trialDelay(s, a, of, suspects); ok {
		if trial := max(delay-now.Sub(a.last)+turn, s.nextTrial.Sub(now)); left > 0 && trial < left {
			left, why = trial, reason
		}
	}
	if left <= 0 && s.probing {
		left = probeRetryDelay
	}
	return left, why
}

// turn returns how much later than others this entry may probe a suspect. All parts of the same crashes have the
// same turns, so that one request at a time is a probe of any of them.
func (q *Quarantine) turn(s *suspect) time.Duration {
	if q.Turn == nil {
		return 0
	}
	return time.Duration(q.Turn(q.peersOf(s).lead)) * probeTurn
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
	if q.OnProbe != nil {
		q.OnProbe(q.probe(v, of, causes))
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
			q.pauseProbes(now, s, v.Why)
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

// pauseProbes has this entry wait after a probe that proved nothing. Each may crash a target without the entry
// noticing, as when the caller leaves before the crash.
func (q *Quarantine) pauseProbes(now time.Time, s *suspect, why Reason) {
	hold := quarantineTime(q.assess(s).crashes)
	trial := min(probeRetryDelay<<min(s.unproven, maxUnproven), max(hold, probeRetryDelay))
	s.unproven++
	s.nextTrial = now.Add(trial)
	if why != HoldOver {
		hold = trial
	}
	s.nextProbe = later(s.nextProbe, now.Add(hold))
}
