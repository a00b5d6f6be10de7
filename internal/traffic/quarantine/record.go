package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Own returns this entry's record, and whether it has changed since it was asked for last.
func (q *Quarantine) Own(now time.Time) (r Record, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.Entry, r.Told = q.Entry, now
	for _, s := range q.suspects {
		for _, v := range s.seen {
			if v.entry == q.Entry {
				r.Crashes = append(r.Crashes, v.crash)
			}
		}
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		if c := a.Broke.Compare(b.Broke); c != 0 {
			return c
		}
		return cmp.Compare(a.Request.String(), b.Request.String())
	})
	changed, q.dirty = q.dirty, false
	return r, changed
}

// Noted tells whether this entry saw any crash that it still remembers.
func (q *Quarantine) Noted() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.suspects {
		if slices.ContainsFunc(s.seen, func(v sighting) bool { return v.entry == q.Entry }) {
			return true
		}
	}
	return false
}

// NotKept says that the record that was taken last was not kept: it counts as changed.
func (q *Quarantine) NotKept() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dirty = true
}

// Take replaces what another entry, or an earlier life of this one, has told by its newest
// record. Clocks of hosts differ: what lies in the future counts as now, so that none can
// lengthen a hold.
func (q *Quarantine) Take(now time.Time, r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Entry != q.Entry {
		q.forget(r.Entry, func(f Fingerprint, v sighting) bool {
			listed := func(c Crash) bool {
				return c.Request == f && c.Life == v.crash.Life && c.Broke.Equal(v.crash.Broke)
			}
			return !slices.ContainsFunc(r.Crashes, listed)
		})
	}
	for _, c := range r.Crashes[:min(len(r.Crashes), mostNoted)] {
		at := c.Broke
		if at.After(now) {
			at = now
		}
		q.add(now, sighting{entry: r.Entry, crash: c, at: at})
	}
	q.bound()
}

// Removed forgets what a record told that is no longer there.
func (q *Quarantine) Removed(entry string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(entry, func(Fingerprint, sighting) bool { return true })
}

// forget drops some of an entry's sightings.
func (q *Quarantine) forget(entry string, which func(Fingerprint, sighting) bool) {
	for f, s := range q.suspects {
		gone := func(v sighting) bool { return v.entry == entry && which(f, v) }
		if slices.ContainsFunc(s.seen, gone) {
			q.drop(f, gone)
		}
	}
}

// Spent tells whether all that a record tells is over, so that it may be removed: its entry
// is gone, or has nothing to tell.
func (r Record) Spent(now time.Time) bool {
	return now.Sub(r.Told) > holds[len(holds)-1]+remembered
}
