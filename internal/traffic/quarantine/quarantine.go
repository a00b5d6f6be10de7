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

// Run is a request that was running at a target when the target crashed.
type Run struct {
	Request Fingerprint
	Sent    time.Time
	Failed  time.Time // when the connection of the request failed
}

// Crash is a crash of a target during a request. Its times are by the clock of the entry that
// observed it.
type Crash struct {
	Run
	Incarnation Incarnation
}

// Record lists the crashes that one entry observed and has not yet forgotten.
type Record struct {
	Entry   string
	Written time.Time // when the record was written, by the entry's clock
	Crashes []Crash
}

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
// records, by request. It is safe for concurrent use.
type Quarantine struct {
	// Entry is the name of this entry's record.
	Entry string
	// OnChange, if not nil, is called when a request becomes quarantined, and when it is
	// no longer quarantined.
	OnChange func(State)
	// Turn returns how many entries may probe a request before this one; nil if there is no
	// other entry.
	Turn func(Fingerprint) int

	mu              sync.Mutex
	suspects        map[Fingerprint]*suspect
	nextQuarantined chan struct{} // closed when a request becomes quarantined
	dirty           bool          // the own record has changed since OwnRecord returned it
}

// State is the entry's view of a request.
type State struct {
	Request     Fingerprint
	Crashes     int
	Quarantined time.Duration // remaining quarantine; 0 if the request is not quarantined
	Source      string        // the entry whose observation caused the change
}

// suspect is a request that was running when a target crashed.
type suspect struct {
	sightings []sighting // by time
	probing   bool       // this entry is running a probe of the request
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

// crashes returns the number of crashes of the request and the time of the last one. A crash
// counts only if the request was sent after the crash counted before. So targets that crash
// together, as in a power loss of a rack, count once: all their requests were sent before.
// If each of them counted, a harmless request that many callers send would be quarantined
// after one power loss.
func (s *suspect) crashes() (n int, last time.Time) {
	var counted []sighting
	for _, v := range s.sightings {
		last = v.at
		if n > 0 && v.crash.Sent.Before(counted[n-1].at) {
			continue
		}
		if slices.ContainsFunc(counted, v.sameCrash) {
			continue // another entry observed the same crash
		}
		counted = append(counted, v)
		n++
	}
	return n, last
}

// New returns an empty quarantine of an entry.
func New(entry string) *Quarantine {
	return &Quarantine{Entry: entry, suspects: make(map[Fingerprint]*suspect), nextQuarantined: make(chan struct{})}
}

// Empty reports whether no request is suspected, so that no fingerprint is needed.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects) == 0
}

// NextQuarantined returns a channel that is closed when the next request becomes quarantined.
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
	Crashes     int           // crashes of targets that ran the request
	Probe       bool          // the quarantine is over, and this attempt is its only probe
}

// Check returns whether a request is quarantined now.
func (q *Quarantine) Check(now time.Time, f Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.check(now, f)
}

func (q *Quarantine) check(now time.Time, f Fingerprint) Verdict {
	s := q.suspects[f]
	if s == nil {
		return Verdict{}
	}
	n, last := s.crashes()
	v := Verdict{Crashes: n}
	left := quarantineTime(n) - now.Sub(last)
	if q.Turn != nil {
		left += time.Duration(q.Turn(f)) * probeTurn
	}
	switch {
	case quarantineTime(n) == 0:
	case left > 0:
		v.Quarantined, v.After = true, left
	case s.probing:
		v.Quarantined, v.After = true, probeRetryDelay
	}
	return v
}

// Begin returns whether a request may be sent to a target. After a quarantine only one attempt
// at a time is allowed, as a probe: if the request still crashes targets, that costs one target
// and not one for each caller. End must follow, unless the request is quarantined.
func (q *Quarantine) Begin(now time.Time, f Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.check(now, f)
	if !v.Quarantined && quarantineTime(v.Crashes) > 0 {
		v.Probe = true
		q.suspects[f].probing = true
	}
	return v
}

// End ends an attempt that Begin allowed. A complete response removes this entry's sightings of
// the request, since a request that crashes each target gets no response. Other entries keep
// their own sightings until they have served the request too.
func (q *Quarantine) End(f Fingerprint, v Verdict, served bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[f]
	if s == nil {
		return
	}
	if v.Probe {
		s.probing = false
	}
	if served {
		q.remove(f, func(v sighting) bool { return v.entry == q.Entry })
	}
}

// Crashed records that a target crashed while it ran some requests.
func (q *Quarantine) Crashed(now time.Time, incarnation Incarnation, runs []Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range runs {
		q.add(now, sighting{entry: q.Entry, crash: Crash{Run: r, Incarnation: incarnation}, at: r.Failed})
	}
	q.limitOwn()
}

// add adds a sighting, and announces the request if that quarantines it.
func (q *Quarantine) add(now time.Time, v sighting) {
	f := v.crash.Request
	s := q.suspects[f]
	if s == nil {
		s = &suspect{}
		q.suspects[f] = s
	}
	known := func(o sighting) bool { return o.entry == v.entry && o.sameCrash(v) }
	if slices.ContainsFunc(s.sightings, known) {
		return
	}
	before, _ := s.crashes()
	at, _ := slices.BinarySearchFunc(s.sightings, v, func(a, b sighting) int { return a.at.Compare(b.at) })
	s.sightings = slices.Insert(s.sightings, at, v)
	if v.entry == q.Entry {
		q.dirty = true
	}
	if n, last := s.crashes(); n > before {
		q.announce(f, n, quarantineTime(n)-now.Sub(last), v.entry)
	}
}

// announce announces that a request is quarantined for some time from now on.
func (q *Quarantine) announce(f Fingerprint, crashes int, held time.Duration, source string) {
	if held <= 0 {
		return // the request is not quarantined, or no longer
	}
	close(q.nextQuarantined)
	q.nextQuarantined = make(chan struct{})
	if q.OnChange != nil {
		q.OnChange(State{Request: f, Crashes: crashes, Quarantined: held, Source: source})
	}
}

// remove removes some sightings of a request.
func (q *Quarantine) remove(f Fingerprint, which func(sighting) bool) {
	s := q.suspects[f]
	before, _ := s.crashes()
	own := func(v sighting) bool { return v.entry == q.Entry && which(v) }
	q.dirty = q.dirty || slices.ContainsFunc(s.sightings, own)
	s.sightings = slices.DeleteFunc(s.sightings, which)
	if len(s.sightings) == 0 {
		delete(q.suspects, f)
	}
	if after, _ := s.crashes(); quarantineTime(before) > 0 && quarantineTime(after) == 0 && q.OnChange != nil {
		q.OnChange(State{Request: f, Crashes: after, Source: q.Entry})
	}
}

// limitOwn removes own sightings until they fit into a record. It begins with the requests that have
// the fewest crashes, and among these with the oldest last crash, so that a caller that sends a
// new request each time can't displace one that did crash several targets.
func (q *Quarantine) limitOwn() {
	type candidate struct {
		f    Fingerprint
		n    int
		last time.Time
	}
	var own []candidate
	noted := 0
	for f, s := range q.suspects {
		mine := 0
		for _, v := range s.sightings {
			if v.entry == q.Entry {
				mine++
			}
		}
		if mine == 0 {
			continue
		}
		noted += mine
		n, last := s.crashes()
		own = append(own, candidate{f, n, last})
	}
	if noted <= maxRecordCrashes {
		return
	}
	slices.SortFunc(own, func(a, b candidate) int {
		if a.n != b.n {
			return a.n - b.n
		}
		return a.last.Compare(b.last)
	})
	for _, c := range own {
		if noted <= maxRecordCrashes {
			return
		}
		q.remove(c.f, func(v sighting) bool {
			if v.entry == q.Entry {
				noted--
				return true
			}
			return false
		})
	}
}

// Sweep forgets requests whose last crash no longer counts.
func (q *Quarantine) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, s := range q.suspects {
		if n, last := s.crashes(); now.Sub(last) > quarantineTime(n)+crashRetention && !s.probing {
			q.remove(f, func(sighting) bool { return true })
		}
	}
}
