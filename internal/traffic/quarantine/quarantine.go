package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Incarnation identifies one incarnation of a target. A target may restart under the same ID.
type Incarnation struct {
	Target  string
	Started time.Time // start time; zero if the target doesn't report it
}

// Run is a request that was running at a target when the target crashed, or a part of its prompt.
type Run struct {
	Request Fingerprint
	Sent    time.Time
	Failed  time.Time // when the connection of the request failed
	Part    bool      // the fingerprint is that of a part
}

// Crash is a crash of a target during a request. Its times are by the clock of the entry that
// observed it.
type Crash struct {
	Run
	Incarnation Incarnation
}

// Record lists the crashes that one entry observed and has not yet forgotten, and the parts that
// it knows to be harmless although other entries suspect them.
type Record struct {
	Entry    string
	Written  time.Time // when the record was written, by the entry's clock
	Crashes  []Crash
	Answered []Answer
}

// Answer is a complete response to a request with a part in its prompt.
type Answer struct {
	Part Fingerprint
	At   time.Time
}

// firstQuarantine is the number of crashes after which a suspect is quarantined.
const firstQuarantine = 2

// crashesAtOnce is the number of targets that crash at once after which a part is quarantined like after
// firstQuarantine crashes one after the other. In a group each further crash would be as many again, of what
// waited for it to open.
const crashesAtOnce = 3

// quarantineTimes is how long a request is quarantined after its last crash, by the number of
// its crashes; the last time holds for more crashes too. After one crash it is not quarantined,
// since each request that ran at the target may be the cause. After two it is most likely the
// cause. A minute is longer than callers wait for a response, so a shorter quarantine would not
// help the callers of a harmless request, and would allow a third crash sooner. After three it
// is the cause, and each further probe may crash a target: there are three of these in the
// first two days. Probes continue since a later version of the servers may handle the request.
var quarantineTimes = []time.Duration{0, 0, time.Minute, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour}

const (
	// crashRetention is how long a crash still counts after the quarantine that it led to. Callers
	// that get an error retry within seconds; ten minutes include those that wait longer.
	crashRetention = 10 * time.Minute
	// maxRecordCrashes bounds the crashes in an entry's record, some 140 bytes each in the store.
	// It is the number of requests that run at 21 targets of 12 slots: a crash is forgotten
	// early only if all these targets crash within ten minutes and one entry observes them all.
	maxRecordCrashes = 256
	// maxVouched bounds the parts in an entry's record that others suspect.
	maxVouched = 64
	// maxPopularAnswers bounds those that are answered most often.
	maxPopularAnswers = 64
	// maxRunParts bounds the parts of one request that are suspected of a crash. With it all requests of a
	// target of 12 slots fit into a record, so that none can displace what another one had.
	maxRunParts = 16
	// vouchers is how many entries tell another one that a part is harmless. If all did, a crash that an
	// entry sees just after its start would cost a write of each.
	vouchers = 3
	// maxRecordAnswers bounds both, some 70 bytes each in the store.
	maxRecordAnswers = maxVouched + maxPopularAnswers
	// sameCrashWindow is the longest time between two observations of the same crash, for a
	// target that does not report its start time. Entries check a target within a quarter of a
	// second, and their clocks differ. A server takes longer than a second to restart.
	sameCrashWindow = time.Second
	// probeRetryDelay is when a caller should retry while another attempt of the same request
	// is running as a probe: most responses take less.
	probeRetryDelay = time.Second
)

// quarantineTime returns how long a request is quarantined after a number of crashes.
func quarantineTime(crashes int) time.Duration {
	return quarantineTimes[min(crashes, len(quarantineTimes)-1)]
}

// Quarantine holds the crashes that an entry knows of, its own and those of other entries'
// records, by suspect. It is safe for concurrent use.
type Quarantine struct {
	// Entry is the name of this entry's record.
	Entry string
	// OnChange, if not nil, is called when a suspect becomes quarantined, and when it is
	// no longer quarantined.
	OnChange func(State)
	// OnVouch, if not nil, is called when the own record is to tell others that a part is harmless.
	OnVouch func()
	// Turn returns how many entries may probe a suspect before this one; nil if there is no
	// other entry.
	Turn func(Fingerprint) int

	mu              sync.Mutex
	suspects        map[Fingerprint]*suspect
	judged          map[*suspect]judgement    // of those with enough crashes; nil after a change
	answered        answered                  // by own requests
	reported        answered                  // by other entries' records
	vouched         map[Fingerprint]time.Time // parts that other entries suspect, and when this one had them answered
	unsettled       []Unsettled               // responses that may prove to be complete
	nextQuarantined chan struct{}             // closed when a suspect becomes quarantined
	dirty           bool                      // the own record has changed since OwnRecord returned it
}

// State is the entry's view of a suspect.
type State struct {
	Request     Fingerprint
	Part        bool // the fingerprint is that of a part of prompts
	Crashes     int
	Quarantined time.Duration // remaining quarantine; 0 if the suspect is not quarantined
	Unsure      bool          // a request without another suspect may be a probe at once
	Source      string        // the entry whose observation or response caused the change
	Release     Release       // why the suspect is no longer quarantined; "" if it is
	Evidence    []Evidence    // the newest observations of its crashes, at most maxEvidence
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

// New returns an empty quarantine of an entry.
func New(entry string) *Quarantine {
	return &Quarantine{
		Entry: entry, suspects: make(map[Fingerprint]*suspect), answered: newAnswered(), reported: newAnswered(),
		vouched: make(map[Fingerprint]time.Time), nextQuarantined: make(chan struct{}),
	}
}

// Quarantined returns how many suspects are quarantined, or were and are not released.
func (q *Quarantine) Quarantined() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, s := range q.suspects {
		if s.announced > 0 {
			n++
		}
	}
	return n
}

// Empty reports whether nothing is suspected, so that no fingerprint is needed.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects) == 0
}

// NextQuarantined returns a channel that is closed when the next suspect becomes quarantined.
// Each request that waits for a target is then checked again, since a quarantined one need not
// wait.
func (q *Quarantine) NextQuarantined() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.nextQuarantined
}

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
	var judgements []judgement
	var fingerprints []Fingerprint
	for _, f := range of {
		s := q.suspects[f]
		if s == nil {
			continue
		}
		j := q.judge(s)
		v.Crashes = max(v.Crashes, j.crashes)
		if quarantineTime(j.crashes) > 0 {
			causes, judgements, fingerprints = append(causes, s), append(judgements, j), append(fingerprints, f)
		}
	}
	for i, s := range causes {
		left := q.timeLeft(now, fingerprints[i], s, judgements[i], len(causes) == 1)
		if left > v.After {
			v.Quarantined, v.After, v.Cause = true, left, fingerprints[i]
		}
	}
	return v, causes
}

// timeLeft returns the time until this entry may probe a suspect. While the crashes are no proof, a
// request in which nothing else is suspected may be a probe at once: if it is served the suspect is
// harmless.
func (q *Quarantine) timeLeft(now time.Time, f Fingerprint, s *suspect, j judgement, alone bool) time.Duration {
	left := quarantineTime(j.crashes) - now.Sub(j.last)
	if j.unsure && alone {
		left = -now.Sub(j.last)
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
	j := q.judge(s)
	if j.unsure {
		return probeRetryDelay
	}
	return quarantineTime(j.crashes)
}

// Answered notes that a target answered a request with some parts in its prompt completely. A part
// that crashes each target gets no response, so all its crashes had another cause, whoever observed
// them.
func (q *Quarantine) Answered(now time.Time, parts ...Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answer(now, parts)
}

// answer notes that parts were answered.
func (q *Quarantine) answer(now time.Time, parts []Fingerprint) {
	cleared := false
	if q.noAnswers() {
		q.judged = nil
	}
	for _, f := range parts {
		q.answered.note(now, f)
		if q.suspects[f] == nil {
			continue
		}
		q.remove(f, Answered, func(sighting) bool { return true })
		q.vouch(f)
		cleared = true
	}
	if cleared {
		q.announce(now, q.Entry)
	}
}

// Harmless reports whether all of some parts were answered lately.
func (q *Quarantine) Harmless(now time.Time, parts ...Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !slices.ContainsFunc(parts, func(f Fingerprint) bool { return !q.harmless(f, now) })
}

// Suspected reports whether a target crashed during a request with any of some parts.
func (q *Quarantine) Suspected(parts ...Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(parts, func(f Fingerprint) bool { return q.suspects[f] != nil })
}

// harmless reports whether a response proves that a part did not cause a crash at a moment.
func (q *Quarantine) harmless(f Fingerprint, crashed time.Time) bool {
	return q.answered.harmless(f, crashed) || q.reported.harmless(f, crashed)
}

// vouch has the own record state that a part is harmless, for other entries that suspect it, if an own
// request showed that.
func (q *Quarantine) vouch(f Fingerprint) {
	last, stated := q.answered.last(f), q.vouched[f]
	if last.Sub(stated) <= answerValidity/2 || stated.IsZero() && len(q.vouched) >= maxVouched {
		return
	}
	q.vouched[f] = last
	q.dirty = true
	if q.OnVouch != nil {
		q.OnVouch()
	}
}

// Crashed records that a target crashed while it ran some requests, each followed by the parts of its
// prompt.
func (q *Quarantine) Crashed(now time.Time, incarnation Incarnation, runs []Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	parts := 0 // of the newest request
	for _, r := range runs {
		switch {
		case !r.Part:
			parts = 0
		case !q.harmless(r.Request, r.Failed):
			parts++
		}
		if parts <= maxRunParts {
			q.add(sighting{entry: q.Entry, crash: Crash{Run: r, Incarnation: incarnation}, at: r.Failed})
		}
	}
	q.limitOwn()
	q.announce(now, q.Entry)
}

// add adds a sighting, unless it is of a part that is known to be harmless.
func (q *Quarantine) add(v sighting) {
	f := v.crash.Request
	if v.crash.Part && q.harmless(f, v.at) {
		if v.entry != q.Entry && (q.Turn == nil || q.Turn(f) < vouchers) {
			q.vouch(f)
		}
		return
	}
	s := q.suspects[f]
	if s == nil {
		s = &suspect{part: v.crash.Part}
		q.suspects[f] = s
	}
	known := func(o sighting) bool { return o.entry == v.entry && o.sameCrash(v) }
	if slices.ContainsFunc(s.sightings, known) {
		return
	}
	s.insert(v)
	q.judged = nil
	if v.entry == q.Entry {
		q.dirty = true
	}
}

// announce announces which suspects have become quarantined, have crashed one more target, or are no
// longer quarantined.
func (q *Quarantine) announce(now time.Time, source string) {
	for f, s := range q.suspects {
		if s.count < firstQuarantine && s.announced == 0 {
			continue
		}
		j := q.judge(s)
		left := quarantineTime(j.crashes) - now.Sub(j.last)
		switch {
		case j.crashes >= firstQuarantine && j.crashes > s.announced:
			s.announced = j.crashes
			if left > 0 {
				q.changed(State{
					Request: f, Part: s.part, Crashes: j.crashes, Quarantined: left, Unsure: j.unsure, Source: source,
					Evidence: s.evidence(now),
				})
			}
		case j.crashes < firstQuarantine && s.announced > 0:
			s.announced = 0
			q.changed(State{Request: f, Part: s.part, Crashes: j.crashes, Source: source, Release: s.released(j), Evidence: s.evidence(now)})
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

// remove removes some sightings of a suspect.
func (q *Quarantine) remove(f Fingerprint, why Release, which func(sighting) bool) {
	s := q.suspects[f]
	own := func(v sighting) bool { return v.entry == q.Entry && which(v) }
	q.dirty = q.dirty || slices.ContainsFunc(s.sightings, own)
	s.drop(which)
	s.release = why
	q.judged = nil
	if len(s.sightings) > 0 {
		return
	}
	delete(q.suspects, f)
	if s.announced > 0 {
		q.changed(State{Request: f, Part: s.part, Source: q.Entry, Release: why})
	}
}
