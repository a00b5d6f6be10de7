package quarantine

import (
	"bytes"
	"slices"
	"time"
)

const (
	// maxTrials bounds the trials that crash a target, for each part and all entries together: with each of
	// them one more request with a part that crashes targets was sent.
	maxTrials = 2
	// trialSizeDelay is how much later a request may be a trial for each further suspect in it: the fewer
	// there are, the more a crash tells. The delays of 16 parts end before the turn of the next entry.
	trialSizeDelay = 250 * time.Millisecond
	// doubtfulTrialDelay is how long after its last crash a part may be tried whose trial crashed its target. Most
	// likely the part did that, but the target may have ended for another reason.
	doubtfulTrialDelay = 30 * time.Second
	// maxUnproven is after how many trials that prove nothing the pause between them grows no more. It doubles with each.
	maxUnproven = 10
	// hearingTime is the time until all entries know that a part is quarantined. What is sent until then is
	// no trial.
	hearingTime = time.Second
)

// Reason is why a request with quarantined suspects may be sent as a probe.
type Reason string

// The reasons for a probe.
const (
	HoldOver     Reason = "holdOver"     // the quarantine is over
	Subset       Reason = "subset"       // it lacks a part that may as well have caused the crashes
	NoneAnswered Reason = "noneAnswered" // no part of its service is known to be harmless
)

// Probe is a request that was allowed as a probe, as it is logged.
type Probe struct {
	Why     Reason
	Request Fingerprint   // the first of the request's fingerprints
	Tests   []Fingerprint // the suspects in it: harmless if it is served
	Without []Fingerprint // parts that it lacks and that explain the crashes as well, at most maxEvidence
	Crashes int           // the most crashes of any of its suspects
	Trials  int           // how many trials of any of them have crashed targets before
}

// peers are the parts that were at the crashes of a suspect.
type peers struct {
	lead   Fingerprint // the least of all parts at these crashes: entries take turns by it
	beside []*suspect  // parts that explain the crashes as well
	almost []*suspect  // parts that explain them but for one, of a trial
	trials int         // crashes of requests that were sent as trials of the suspect
}

// peersOf returns the peers of a suspect that was at enough crashes to be quarantined.
func (q *Quarantine) peersOf(s *suspect) peers {
	if q.assessed == nil {
		q.assessAll()
	}
	p, known := q.peers[s]
	if known {
		return p
	}
	p.lead = s.fingerprint()
	var companions []*suspect
	for _, o := range q.repeated {
		if !s.part || !o.part || o == s || !s.sharesCrash(o) {
			continue
		}
		if f := o.fingerprint(); s.since.Sub(o.since).Abs() < sameCrashWindow && bytes.Compare(f[:], p.lead[:]) < 0 {
			p.lead = f
		}
		if before, after := s.crashesWithout(o); before == 0 && !o.withoutAtCrashOf(s) {
			companions = append(companions, o)
			switch after {
			case 0:
				p.beside = append(p.beside, o)
			case 1:
				p.almost = append(p.almost, o)
			}
		}
	}
	p.trials = s.trialsWithout(companions)
	q.peers[s] = p
	return p
}

// crashesWithout counts the crashes of requests that had this suspect, but not another one: of those that were sent
// before it was quarantined, and of later ones. A later one may have had a cause of its own.
func (s *suspect) crashesWithout(o *suspect) (before, after int) {
	var crashes []sighting
	for _, v := range s.sightings {
		together := func(w sighting) bool { return w.sameCrash(v) && o.seenWith(w) }
		if slices.ContainsFunc(crashes, v.sameCrash) || slices.ContainsFunc(s.sightings, together) {
			continue
		}
		crashes = append(crashes, v)
		if v.crash.Sent.After(s.since) {
			after++
		} else {
			before++
		}
	}
	return before, after
}

// withoutAtCrashOf reports whether another entry saw this suspect at a crash of the other one, and the other one
// not. What several requests of a target have is more likely popular than the cause.
func (s *suspect) withoutAtCrashOf(o *suspect) bool {
	return slices.ContainsFunc(s.sightings, func(v sighting) bool {
		return !o.seenWith(v) && slices.ContainsFunc(o.sightings, v.sameCrash)
	})
}

// trialsWithout counts the crashes of requests without some other part that were sent after all entries knew
// that this one is quarantined.
func (s *suspect) trialsWithout(companions []*suspect) (n int) {
	counted, _ := sequentialCrashes(s.sightings)
	for _, v := range counted {
		absent := func(o *suspect) bool { return !slices.ContainsFunc(o.sightings, v.sameCrash) }
		if v.crash.Sent.After(s.since.Add(hearingTime)) && slices.ContainsFunc(companions, absent) {
			n++
		}
	}
	return n
}

// missing returns those of some parts that a request lacks. If they explain the crashes of its suspects as well,
// these are harmless if it is served, and else one of them is the cause. Of parts of different requests at the same
// targets either may have crashed them, so neither is tried.
func missing(parts []*suspect, of []Fingerprint) []*suspect {
	var list []*suspect
	for _, o := range parts {
		if !slices.Contains(of, o.fingerprint()) {
			list = append(list, o)
		}
	}
	return list
}

// trialDelay returns how long after the last crash of a suspect a request may be a trial of its suspects,
// and why; false if the crashes are proof enough, or the request has all that was there.
func (q *Quarantine) trialDelay(s *suspect, a assessment, of []Fingerprint, suspects int) (time.Duration, Reason, bool) {
	if a.noAnswers && suspects == 1 {
		return probeDelays[a.crashes], NoneAnswered, true
	}
	p := q.peersOf(s)
	delay := time.Duration(suspects-1) * trialSizeDelay
	switch {
	case p.trials >= maxTrials:
	case len(missing(p.beside, of)) > 0 && a.crashes <= firstQuarantine:
		return delay, Subset, true
	case len(missing(p.beside, of)) > 0:
		return delay + repeatedTrialDelay, Subset, true
	case len(missing(p.almost, of)) > 0:
		return delay + doubtfulTrialDelay, Subset, true
	}
	return 0, "", false
}

// inconclusive reports whether the crashes are no proof yet: another part was in the same prompts each time, or
// no part of the service is known to be harmless, as after a start of all entries.
func (q *Quarantine) inconclusive(s *suspect, a assessment) bool {
	if a.crashes < firstQuarantine || !s.part {
		return false
	}
	p := q.peersOf(s)
	return a.noAnswers || len(p.beside)+len(p.almost) > 0 && p.trials < maxTrials
}

// probe describes a request that is allowed as a probe of some suspects.
func (q *Quarantine) probe(v Verdict, of []Fingerprint, causes []*suspect) Probe {
	r := Probe{Why: v.Why, Request: of[0], Crashes: v.Crashes}
	for _, s := range causes {
		p := q.peersOf(s)
		r.Tests = append(r.Tests, s.fingerprint())
		r.Trials = max(r.Trials, p.trials)
		for _, o := range append(missing(p.beside, of), missing(p.almost, of)...) {
			if f := o.fingerprint(); len(r.Without) < maxEvidence && !slices.Contains(r.Without, f) {
				r.Without = append(r.Without, f)
			}
		}
	}
	return r
}

// fingerprint returns the suspect's fingerprint.
func (s *suspect) fingerprint() Fingerprint { return s.sightings[0].crash.Request }

// sharesCrash reports whether two suspects were at the same crash.
func (s *suspect) sharesCrash(o *suspect) bool {
	return slices.ContainsFunc(o.sightings, func(v sighting) bool { return slices.ContainsFunc(s.sightings, v.sameCrash) })
}

// seenWith reports whether the entry that made a sighting saw this suspect at the same crash.
func (s *suspect) seenWith(v sighting) bool {
	return slices.ContainsFunc(s.sightings, func(w sighting) bool { return w.entry == v.entry && w.sameCrash(v) })
}
