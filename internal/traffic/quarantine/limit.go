package quarantine

import (
	"slices"
	"time"
)

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
		own = append(own, candidate{f, s.count, s.last})
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
		q.remove(c.f, Dropped, func(v sighting) bool {
			if v.entry == q.Entry {
				noted--
				return true
			}
			return false
		})
	}
}

// Sweep forgets suspects whose last crash no longer counts, and responses that prove nothing any more.
func (q *Quarantine) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.confirmProvisional(now)
	for f, s := range q.suspects {
		if now.Sub(s.last) > quarantineTime(s.count)+crashRetention && !s.probing {
			q.remove(f, Expired, func(sighting) bool { return true })
		}
	}
	for f, at := range q.reports {
		if now.Sub(at) > answerValidity+crashRetention {
			delete(q.reports, f)
			q.dirty = true
		}
	}
	q.announce(now, q.Entry)
}
