package quarantine

import (
	"slices"
	"sync"
	"time"
)

// firstQuarantine is the number of crashes after which a suspect is quarantined.
const firstQuarantine = 2

// crashesAtOnce is the number of targets that must crash at once for a part to be quarantined, as after
// firstQuarantine crashes one after the other. When a group opens again, the requests that waited for it
// would otherwise crash as many targets once more.
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
	// maxRunParts bounds the parts of one request that are suspected of a crash. With it all requests of a
	// target of 12 slots fit into a record, so that none can displace what another one had.
	maxRunParts = 16
	// maxReports bounds the harmless parts in an entry's record that others suspect.
	maxReports = 64
	// maxPopularAnswers bounds the harmless parts in it that are answered most often.
	maxPopularAnswers = 64
	// maxRecordAnswers bounds both, some 70 bytes each in the store.
	maxRecordAnswers = maxReports + maxPopularAnswers
	// reporters is how many entries report a harmless part that another one suspects. If all did, a crash
	// that an entry sees just after its start would cost a write of each.
	reporters = 3
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
	// OnProbe, if not nil, is called when a request is allowed as a probe.
	OnProbe func(Probe)
	// OnReport, if not nil, is called when the own record is to tell others that a part is harmless.
	OnReport func()
	// Turn returns how many entries may probe a suspect before this one; nil if there is no
	// other entry.
	Turn func(Fingerprint) int

	mu                sync.Mutex
	suspects          map[Fingerprint]*suspect
	assessed          map[*suspect]assessment   // of those with enough crashes; nil after a change
	repeated          []*suspect                // those that are assessed
	peers             map[*suspect]peers        // of those that were asked for since
	answered          answered                  // by own requests
	answeredElsewhere answered                  // by other entries' records
	reports           map[Fingerprint]time.Time // parts that other entries suspect, and when this one had them answered
	provisional       []Provisional             // responses that may prove to be complete
	nextQuarantined   chan struct{}             // closed when a suspect becomes quarantined
	dirty             bool                      // the own record has changed since OwnRecord returned it
}

// New returns an empty quarantine of an entry.
func New(entry string) *Quarantine {
	return &Quarantine{
		Entry: entry, suspects: make(map[Fingerprint]*suspect), answered: newAnswered(), answeredElsewhere: newAnswered(),
		reports: make(map[Fingerprint]time.Time), nextQuarantined: make(chan struct{}),
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
	for _, f := range parts {
		if !q.answered.anyOf(f.scope(), now) {
			q.assessed = nil
		}
		q.answered.note(now, f)
		if q.suspects[f] == nil {
			continue
		}
		q.remove(f, Answered, func(sighting) bool { return true })
		q.reportHarmless(f)
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
	return q.answered.harmless(f, crashed) || q.answeredElsewhere.harmless(f, crashed)
}

// reportHarmless has the own record state that a part is harmless, for other entries that suspect it, if an own
// request showed that.
func (q *Quarantine) reportHarmless(f Fingerprint) {
	last, stated := q.answered.last(f), q.reports[f]
	if last.Sub(stated) <= answerValidity/2 || stated.IsZero() && len(q.reports) >= maxReports {
		return
	}
	q.reports[f] = last
	q.dirty = true
	if q.OnReport != nil {
		q.OnReport()
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
		if v.entry != q.Entry && (q.Turn == nil || q.Turn(f) < reporters) {
			q.reportHarmless(f)
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
	q.assessed = nil
	if v.entry == q.Entry {
		q.dirty = true
	}
}

// remove removes some sightings of a suspect.
func (q *Quarantine) remove(f Fingerprint, why Release, which func(sighting) bool) {
	s := q.suspects[f]
	own := func(v sighting) bool { return v.entry == q.Entry && which(v) }
	q.dirty = q.dirty || slices.ContainsFunc(s.sightings, own)
	s.drop(which)
	s.release = why
	q.assessed = nil
	if len(s.sightings) > 0 {
		return
	}
	delete(q.suspects, f)
	if s.announced > 0 {
		q.changed(State{Request: f, Part: s.part, Source: q.Entry, Release: why})
	}
}
