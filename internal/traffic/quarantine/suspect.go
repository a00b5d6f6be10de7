package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// suspect is what may have crashed a target: a request that was running there, or a part of its prompt.
type suspect struct {
	part      bool
	sightings []sighting // by time
	count     int        // crashes, by crashesIn
	last      time.Time  // time of the last crash
	since     time.Time  // time of the crash that made it quarantined; zero if there is none
	probing   bool       // this entry is running a probe
	nextProbe time.Time  // after a probe that proved nothing, when this entry may run the next one
	nextTrial time.Time  // the same for a probe before the quarantine is over
	unproven  int        // trials that proved nothing
	announced int        // crashes when OnChange was last called; 0 if it is not quarantined
	release   Release    // why sightings were last removed
}

// sighting is an entry's observation of a crash.
type sighting struct {
	entry string
	crash Crash
	at    time.Time // time of the crash; not in the future
}

// sameCrash reports whether two sightings are of the same crash. A server that does not report its
// start time may have restarted under its ID, so its incarnations are distinguished by time.
func (v sighting) sameCrash(o sighting) bool {
	if v.crash.Incarnation != o.crash.Incarnation {
		return false
	}
	return !v.crash.Incarnation.Started.IsZero() || v.at.Sub(o.at).Abs() < sameCrashWindow
}

// insert adds a sighting.
func (s *suspect) insert(v sighting) {
	at, _ := slices.BinarySearchFunc(s.sightings, v, func(a, b sighting) int { return a.at.Compare(b.at) })
	s.sightings = slices.Insert(s.sightings, at, v)
	s.recount()
}

// drop removes some sightings.
func (s *suspect) drop(which func(sighting) bool) {
	s.sightings = slices.DeleteFunc(s.sightings, which)
	s.recount()
}

func (s *suspect) recount() {
	s.count, s.last, s.since = s.crashesIn(s.sightings)
}

// crashesIn returns the number of crashes in sightings, which are by time, the time of the last one, and
// when the suspect became quarantined; zero if it did not. A later crash changes neither that moment nor that the
// crashes until then are at least firstQuarantine.
func (s *suspect) crashesIn(sightings []sighting) (n int, last, since time.Time) {
	counted, last := sequentialCrashes(sightings)
	n = len(counted)
	if at, many := manyAtOnce(sightings); many && s.part {
		before := 0
		for before < n && !counted[before].at.After(at) {
			before++
		}
		if before < firstQuarantine { // the targets that crashed at once count as the rest
			return n + firstQuarantine - before, last, at
		}
	}
	if n >= firstQuarantine {
		return n, last, counted[firstQuarantine-1].at
	}
	return n, last, time.Time{}
}

// manyAtOnce reports whether a suspect was at crashes of so many targets at once that it is their cause, and
// when. That holds only for a part that no target has answered: a harmless one is at many targets only if
// it is in many requests, and then it has been answered.
func manyAtOnce(sightings []sighting) (at time.Time, many bool) {
	var crashes []sighting
	for _, v := range sightings {
		if slices.ContainsFunc(crashes, v.sameCrash) {
			continue
		}
		crashes = append(crashes, v)
		if len(crashes) == crashesAtOnce {
			return v.at, true
		}
	}
	return time.Time{}, false
}

// sequentialCrashes returns one sighting of each crash in sightings, which are by time, and the time of the
// last crash. A crash counts only if the request was sent after the crash counted before. So targets that
// crash together, as in a power loss of a rack, count once: all their requests were sent before.
// If each of them counted, a harmless request that many callers send would be quarantined after
// one power loss.
func sequentialCrashes(sightings []sighting) (counted []sighting, last time.Time) {
	for _, v := range sightings {
		last = v.at
		if n := len(counted); n > 0 && v.crash.Sent.Before(counted[n-1].at) {
			continue
		}
		if slices.ContainsFunc(counted, v.sameCrash) {
			continue // another entry observed the same crash
		}
		counted = append(counted, v)
	}
	return counted, last
}

// released returns why a suspect is no longer quarantined, by its newest assessment.
func (s *suspect) released(a assessment) Release {
	if s.count > a.crashes {
		return Explained
	}
	return s.release
}

// evidence returns the newest observations of a suspect's crashes, as they are logged.
func (s *suspect) evidence(now time.Time) []Evidence {
	var list []Evidence
	for _, v := range s.sightings[max(0, len(s.sightings)-maxEvidence):] {
		list = append(list, Evidence{Target: v.crash.Incarnation.Target, Entry: v.entry, Age: now.Sub(v.at)})
	}
	return list
}

// assessment is what the known crashes prove about a suspect.
type assessment struct {
	crashes   int       // those that no stronger suspect explains
	last      time.Time // time of the last of them
	noAnswers bool      // no part of its service was known to be harmless, as after a start of all entries
}

// repeatedTrialDelay is how long after its last crash a part may be tried again that crashed targets while
// it was quarantined.
const repeatedTrialDelay = 5 * time.Second

// probeDelays is how long after its last crash a part may be probed while no part of its service is known to be
// harmless, by its crashes. What all requests have is then a suspect like any other, and while it is held nothing is
// served. After more crashes the part is the cause, whatever else was there.
var probeDelays = []time.Duration{0, 0, 0, repeatedTrialDelay, 30 * time.Second}

// assess returns what the crashes prove about a suspect. A crash at which a stronger suspect was present
// is explained by that: parts that many requests have are present at most crashes of the part that
// causes them.
func (q *Quarantine) assess(s *suspect) assessment {
	if quarantineTime(s.count) == 0 {
		return assessment{crashes: s.count, last: s.last}
	}
	if q.assessed == nil {
		q.assessAll()
	}
	return q.assessed[s]
}

// assessAll assesses all suspects that were at enough crashes to be quarantined, the strongest first. Only
// a part that is quarantined in the end explains the crashes of others: a request that is sent on after
// one crash may be at the next by chance.
func (q *Quarantine) assessAll() {
	q.assessed, q.peers = make(map[*suspect]assessment), make(map[*suspect]peers)
	var list []*suspect
	for _, s := range q.suspects {
		if s.count >= firstQuarantine {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, compareStrength)
	q.repeated = list
	var proven []*suspect
	for _, s := range list {
		unexplained := s.sightings
		for _, o := range proven {
			if o.strongerThan(s) {
				unexplained = without(unexplained, o.sightings)
			}
		}
		n, last, _ := s.crashesIn(unexplained)
		a := assessment{crashes: n, last: last}
		if s.part && a.crashes >= firstQuarantine {
			proven = append(proven, s)
			a.noAnswers = a.crashes < len(probeDelays) && q.noAnswers(s)
		}
		q.assessed[s] = a
	}
}

// compareStrength orders suspects: first those that became quarantined first, of these those with more
// crashes.
func compareStrength(a, b *suspect) int {
	return cmp.Or(a.since.Compare(b.since), b.count-a.count)
}

// strongerThan reports whether a suspect became quarantined before another one, or at the same time and
// was at more crashes since.
func (s *suspect) strongerThan(o *suspect) bool {
	if s.since.Sub(o.since).Abs() < sameCrashWindow {
		return s.count > o.count
	}
	return s.since.Before(o.since)
}

// without returns the sightings whose crash is not among others.
func without(sightings, others []sighting) []sighting {
	var left []sighting
	for _, v := range sightings {
		if !slices.ContainsFunc(others, v.sameCrash) {
			left = append(left, v)
		}
	}
	return left
}

// noAnswers reports whether no part of a suspect's service was known to be harmless at its last crash.
func (q *Quarantine) noAnswers(s *suspect) bool {
	service := s.sightings[0].crash.Request.scope()
	return !q.answered.anyOf(service, s.last) && !q.answeredElsewhere.anyOf(service, s.last)
}
