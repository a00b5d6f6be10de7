package quarantine

import "time"

// State is the entry's view of a suspect.
type State struct {
	Request      Fingerprint
	Part         bool // the fingerprint is that of a part of prompts
	Crashes      int
	Quarantined  time.Duration // remaining quarantine; 0 if the suspect is not quarantined
	Inconclusive bool          // a request without some other suspect may be a probe at once
	Source       string        // the entry whose observation or response caused the change
	Release      Release       // why the suspect is no longer quarantined; "" if it is
	Evidence     []Evidence    // the newest observations of its crashes, at most maxEvidence
}

// Release is why a suspect is no longer quarantined.
type Release string

// The reasons for a release.
const (
	Answered  Release = "answered"      // a request with it was answered completely
	Reported  Release = "reported"      // another entry had it answered
	Explained Release = "explained"     // another suspect was at its crashes
	Expired   Release = "expired"       // its crashes were too long ago
	Dropped   Release = "dropped"       // the own record was full
	Withdrawn Release = "recordChanged" // a record no longer lists its crashes, or was removed
)

// Evidence is an observation of a crash, as it is logged.
type Evidence struct {
	Target string
	Entry  string // the entry that observed the crash
	Age    time.Duration
}

// maxEvidence bounds the observations in a State.
const maxEvidence = 6

// announce announces which suspects have become quarantined, have crashed one more target, or are no
// longer quarantined.
func (q *Quarantine) announce(now time.Time, source string) {
	for f, s := range q.suspects {
		if s.count < firstQuarantine && s.announced == 0 {
			continue
		}
		a := q.assess(s)
		left := quarantineTime(a.crashes) - now.Sub(a.last)
		switch {
		case a.crashes >= firstQuarantine && a.crashes > s.announced:
			s.announced = a.crashes
			if left > 0 {
				q.changed(State{
					Request: f, Part: s.part, Crashes: a.crashes, Quarantined: left, Inconclusive: q.inconclusive(s, a), Source: source,
					Evidence: s.evidence(now),
				})
			}
		case a.crashes < firstQuarantine && s.announced > 0:
			s.announced = 0
			q.changed(State{Request: f, Part: s.part, Crashes: a.crashes, Source: source, Release: s.released(a), Evidence: s.evidence(now)})
		}
	}
}

// changed reports a change of state, and wakes the requests that wait if something is quarantined.
func (q *Quarantine) changed(s State) {
	if s.Quarantined > 0 {
		close(q.nextQuarantined)
		q.nextQuarantined = make(chan struct{})
	}
	if q.OnChange != nil {
		q.OnChange(s)
	}
}
