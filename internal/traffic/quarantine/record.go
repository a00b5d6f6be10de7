package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// OwnRecord returns this entry's record, and whether it has changed since the last call.
func (q *Quarantine) OwnRecord(now time.Time) (r Record, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.Entry, r.Written = q.Entry, now
	for _, s := range q.suspects {
		for _, v := range s.sightings {
			if v.entry == q.Entry {
				r.Crashes = append(r.Crashes, v.crash)
			}
		}
	}
	r.Answered = q.ownAnswers(now, len(r.Crashes) > 0)
	slices.SortFunc(r.Answered, func(a, b Answer) int { return cmp.Compare(a.Part.String(), b.Part.String()) })
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		if c := a.Failed.Compare(b.Failed); c != 0 {
			return c
		}
		return cmp.Compare(a.Request.String(), b.Request.String())
	})
	changed, q.dirty = q.dirty, false
	return r, changed
}

// ownAnswers returns the parts that the own record lists as harmless: those that others suspect, and, beside
// crashes, those that are answered most often. An entry that starts later, when nothing has been answered
// for a while, does not suspect what all requests have.
func (q *Quarantine) ownAnswers(now time.Time, crashes bool) []Answer {
	var list []Answer
	if crashes {
		list = q.answered.most(now.Add(-answerValidity), maxPopularAnswers)
	}
	for f, at := range q.reports {
		known := func(a Answer) bool { return a.Part == f }
		if !slices.ContainsFunc(list, known) {
			list = append(list, Answer{Part: f, At: at})
		}
	}
	return list
}

// HasOwnCrashes reports whether this entry's own record has any crash.
func (q *Quarantine) HasOwnCrashes() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.suspects {
		if slices.ContainsFunc(s.sightings, func(v sighting) bool { return v.entry == q.Entry }) {
			return true
		}
	}
	return false
}

// MarkChanged marks the record as changed, because the one that OwnRecord returned last was not stored.
func (q *Quarantine) MarkChanged() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dirty = true
}

// Merge replaces another entry's sightings by those of its newest record. From a record of an
// earlier incarnation of this entry it only adds sightings. The clocks of hosts differ: a crash
// in the future counts as one of now, so that it can't lengthen a quarantine.
func (q *Quarantine) Merge(now time.Time, r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Entry != q.Entry {
		q.forget(r.Entry, func(f Fingerprint, v sighting) bool {
			listed := func(c Crash) bool {
				return c.Request == f && c.Incarnation == v.crash.Incarnation && c.Failed.Equal(v.crash.Failed)
			}
			return !slices.ContainsFunc(r.Crashes, listed)
		})
	}
	for _, c := range r.Crashes[:min(len(r.Crashes), maxRecordCrashes)] {
		q.add(sighting{entry: r.Entry, crash: c, at: earlier(c.Failed, now)})
	}
	for _, a := range r.Answered[:min(len(r.Answered), maxRecordAnswers)] {
		q.mergeAnswer(now, a)
	}
	q.limitOwn()
	q.announce(now, r.Entry)
}

// mergeAnswer notes that another entry knows a part to be harmless.
func (q *Quarantine) mergeAnswer(now time.Time, a Answer) {
	q.assessed = nil
	q.answeredElsewhere.note(earlier(a.At, now), a.Part)
	harmless := func(v sighting) bool { return v.crash.Part && q.answeredElsewhere.harmless(a.Part, v.at) }
	if s := q.suspects[a.Part]; s != nil && slices.ContainsFunc(s.sightings, harmless) {
		q.remove(a.Part, Reported, harmless)
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ForgetEntry forgets the sightings of an entry whose record was removed.
func (q *Quarantine) ForgetEntry(now time.Time, entry string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(entry, func(Fingerprint, sighting) bool { return true })
	q.announce(now, entry)
}

// forget removes some of an entry's sightings.
func (q *Quarantine) forget(entry string, which func(Fingerprint, sighting) bool) {
	for f, s := range q.suspects {
		gone := func(v sighting) bool { return v.entry == entry && which(f, v) }
		if slices.ContainsFunc(s.sightings, gone) {
			q.remove(f, Withdrawn, gone)
		}
	}
}

// Expired reports whether no crash of a record can still count, so that the record may be removed:
// its entry is gone, or has no crashes to report.
func (r Record) Expired(now time.Time) bool {
	return now.Sub(r.Written) > quarantineTimes[len(quarantineTimes)-1]+crashRetention
}
