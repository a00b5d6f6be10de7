package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Life is one life of a server. A server may start again under its id.
type Life struct {
	Target string
	Born   time.Time // zero if the server doesn't say
}

// Run is a request that was under way at a target as that crashed.
type Run struct {
	Request Fingerprint
	Sent    time.Time
	Broke   time.Time // when its connection did
}

// Crash is the end of a target under a request, with times by the clock of the entry that saw
// it.
type Crash struct {
	Run
	Life Life
}

// Record is what one entry saw and still remembers.
type Record struct {
	Entry   string
	Told    time.Time // when it was written, by the entry's clock
	Crashes []Crash
}

// holds are how long a request is held back after so many crashes; beyond the last, as
// long as that. After one it is not: all that ran at the target look alike. After two it is
// most likely to blame; a minute is longer than callers wait for an answer, so that a
// shorter hold would spare none of them that is innocent, and let a third crash follow
// sooner. After three it is to blame, and each further trial may cost a target: there are
// three in the first two days. A later version of the servers may bear it.
var holds = []time.Duration{0, 0, time.Minute, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour}

const (
	// remembered is how long a crash counts beyond the hold that it led to. Callers who
	// get an error come again within seconds; ten minutes see the patient ones as well.
	remembered = 10 * time.Minute
	// mostNoted bounds the crashes of an entry's record, some 140 bytes each in the store.
	// As many requests run at 21 targets of 12 slots; they must all crash in ten minutes,
	// and all be seen by one entry, before one is forgotten early.
	mostNoted = 256
	// sameCrash is how far apart two entries may see the end of one life that doesn't say
	// when it was born: they probe within a quarter of a second, and their clocks differ.
	// A server takes longer than that to start again.
	sameCrash = time.Second
	// trialAgain is when a caller should come back while another attempt of the same
	// request is on trial: most answers take less.
	trialAgain = time.Second
)

func hold(crashes int) time.Duration { return holds[min(crashes, len(holds)-1)] }

// Quarantine is what an entry knows of requests under which targets crashed. It is safe
// for concurrent use.
type Quarantine struct {
	// Entry is the name of this entry's record.
	Entry string
	// Believes hears when a request begins to be held back, or no longer is; nil if
	// nobody does.
	Believes func(Belief)
	// Turn tells how many entries may let a request in for a trial before this one; nil if
	// there is no other entry.
	Turn func(Fingerprint) int

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	news     chan struct{} // closed when a request begins to be held back
	dirty    bool          // the own record has changed since it was taken
}

// Belief is what the entry takes a request for.
type Belief struct {
	Request Fingerprint
	Crashes int
	Held    time.Duration // 0 if it is not held back
	Source  string        // the entry whose word decided it
}

// suspect is a request under which targets crashed.
type suspect struct {
	seen  []sighting
	trial bool // an attempt runs here after a hold
}

// sighting is an entry's word for a crash.
type sighting struct {
	entry string
	crash Crash
	at    time.Time // when it was; not in the future
}

// same tells whether two sightings are of one crash. A server that doesn't say when it was
// born may have started again under its id, so time tells its lives apart.
func (v sighting) same(o sighting) bool {
	if v.crash.Life != o.crash.Life {
		return false
	}
	return !v.crash.Life.Born.IsZero() || v.at.Sub(o.at).Abs() < sameCrash
}

// crashes is how often targets crashed after the request was sent to them anew, and when the
// last one did. Targets that end together, as a rack loses its power, do so once: the runs
// there were all sent before. When each was counted, a harmless request that many callers ask
// for was held back after one loss of power.
func (s *suspect) crashes() (n int, last time.Time) {
	var counted []sighting
	for _, v := range s.seen { // in the order of their times
		last = v.at
		if n > 0 && v.crash.Sent.Before(counted[n-1].at) {
			continue
		}
		if slices.ContainsFunc(counted, v.same) {
			continue // another entry saw it too
		}
		counted = append(counted, v)
		n++
	}
	return n, last
}

// New returns a quarantine without requests.
func New(entry string) *Quarantine {
	return &Quarantine{Entry: entry, suspects: make(map[Fingerprint]*suspect), news: make(chan struct{})}
}

// Empty tells whether no request is suspected, and no fingerprint needs to be made.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects) == 0
}

// News returns a channel that is closed when a further request begins to be held back. Who
// waits for a target looks again then: one that is held back has nothing to wait for.
func (q *Quarantine) News() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.news
}

// Verdict is what becomes of an attempt.
type Verdict struct {
	Held    bool
	After   time.Duration // when the caller should come back, if it is held back
	Crashes int           // of targets that ran the request
	Trial   bool          // its hold is over, and it is the one attempt that is let in
}

// Look tells whether a request is held back now.
func (q *Quarantine) Look(now time.Time, f Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.look(now, f)
}

func (q *Quarantine) look(now time.Time, f Fingerprint) Verdict {
	s := q.suspects[f]
	if s == nil {
		return Verdict{}
	}
	n, last := s.crashes()
	v := Verdict{Crashes: n}
	left := hold(n) - now.Sub(last)
	if q.Turn != nil {
		left += time.Duration(q.Turn(f)) * trialTurn
	}
	switch {
	case hold(n) == 0:
	case left > 0:
		v.Held, v.After = true, left
	case s.trial:
		v.Held, v.After = true, trialAgain
	}
	return v
}

// Begin asks to send a request to a target. Once a hold is over one attempt at a time is
// let in; if the request is still what it was, that costs one target and not as many as
// there are callers. End must follow, unless it is held back.
func (q *Quarantine) Begin(now time.Time, f Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.look(now, f)
	if !v.Held && hold(v.Crashes) > 0 {
		v.Trial = true
		q.suspects[f].trial = true
	}
	return v
}

// End ends an attempt that had a verdict. A whole answer clears the request: what crashes
// each target that runs it gets none. Other entries go by what they saw themselves until
// they have served it too.
func (q *Quarantine) End(f Fingerprint, v Verdict, served bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[f]
	if s == nil {
		return
	}
	if v.Trial {
		s.trial = false
	}
	if served {
		q.drop(f, func(v sighting) bool { return v.entry == q.Entry })
	}
}

// Crashed notes that a target crashed while it ran some requests.
func (q *Quarantine) Crashed(now time.Time, life Life, runs []Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range runs {
		q.add(now, sighting{entry: q.Entry, crash: Crash{Run: r, Life: life}, at: r.Broke})
	}
	q.bound()
}

// add notes a sighting and tells if the request is held back for it.
func (q *Quarantine) add(now time.Time, v sighting) {
	f := v.crash.Request
	s := q.suspects[f]
	if s == nil {
		s = &suspect{}
		q.suspects[f] = s
	}
	known := func(o sighting) bool { return o.entry == v.entry && o.same(v) }
	if slices.ContainsFunc(s.seen, known) {
		return
	}
	before, _ := s.crashes()
	at, _ := slices.BinarySearchFunc(s.seen, v, func(a, b sighting) int { return a.at.Compare(b.at) })
	s.seen = slices.Insert(s.seen, at, v)
	if v.entry == q.Entry {
		q.dirty = true
	}
	if n, last := s.crashes(); n > before {
		q.believe(f, n, hold(n)-now.Sub(last), v.entry)
	}
}

// believe tells that a request is held back for some time from now on.
func (q *Quarantine) believe(f Fingerprint, crashes int, held time.Duration, source string) {
	if held <= 0 {
		return // it may be sent again, or its hold is over by now
	}
	close(q.news)
	q.news = make(chan struct{})
	if q.Believes != nil {
		q.Believes(Belief{Request: f, Crashes: crashes, Held: held, Source: source})
	}
}

// drop forgets sightings of a request.
func (q *Quarantine) drop(f Fingerprint, which func(sighting) bool) {
	s := q.suspects[f]
	before, _ := s.crashes()
	own := func(v sighting) bool { return v.entry == q.Entry && which(v) }
	q.dirty = q.dirty || slices.ContainsFunc(s.seen, own)
	s.seen = slices.DeleteFunc(s.seen, which)
	if len(s.seen) == 0 {
		delete(q.suspects, f)
	}
	if after, _ := s.crashes(); hold(before) > 0 && hold(after) == 0 && q.Believes != nil {
		q.Believes(Belief{Request: f, Crashes: after, Source: q.Entry})
	}
}

// bound forgets own sightings beyond what a record holds: of the requests with the fewest
// crashes the one whose last is longest ago. A caller who sends something new each time
// must not push out what did crash several targets.
func (q *Quarantine) bound() {
	type candidate struct {
		f    Fingerprint
		n    int
		last time.Time
	}
	var own []candidate
	noted := 0
	for f, s := range q.suspects {
		mine := 0
		for _, v := range s.seen {
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
	if noted <= mostNoted {
		return
	}
	slices.SortFunc(own, func(a, b candidate) int {
		if a.n != b.n {
			return a.n - b.n
		}
		return a.last.Compare(b.last)
	})
	for _, c := range own {
		if noted <= mostNoted {
			return
		}
		q.drop(c.f, func(v sighting) bool {
			if v.entry == q.Entry {
				noted--
				return true
			}
			return false
		})
	}
}

// Sweep forgets requests whose time is over.
func (q *Quarantine) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, s := range q.suspects {
		if n, last := s.crashes(); now.Sub(last) > hold(n)+remembered && !s.trial {
			q.drop(f, func(sighting) bool { return true })
		}
	}
}
