package quarantine

import "time"

const (
	// confirmDelay is how long after the end of a response that has no length it counts as complete, if its
	// target is not known to have crashed: an entry that sees the crash records it within that time.
	confirmDelay = time.Second
	// maxProvisional bounds the responses that wait for that. More prove nothing.
	maxProvisional = 4096
)

// Provisional is a response that ended with its connection, and stated no length. If its target crashed,
// the connection ended in the same way.
type Provisional struct {
	Incarnation Incarnation
	Run         Run
	Parts       []Fingerprint
}

// EndedWithConnection notes a response that proves only later that the request and the parts of its
// prompt are harmless.
func (q *Quarantine) EndedWithConnection(p Provisional) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.provisional) < maxProvisional {
		q.provisional = append(q.provisional, p)
	}
}

// confirmProvisional decides about the responses that ended some time ago.
func (q *Quarantine) confirmProvisional(now time.Time) {
	if len(q.provisional) == 0 {
		return
	}
	crashed := make(map[Incarnation]time.Time)
	for _, s := range q.suspects {
		for _, v := range s.sightings {
			crashed[v.crash.Incarnation] = v.at
		}
	}
	var left []Provisional
	for _, p := range q.provisional {
		at, known := crashed[p.Incarnation]
		switch {
		case known && !at.Before(p.Run.Sent):
			q.addProvisional(p)
		case now.Sub(p.Run.Failed) < confirmDelay:
			left = append(left, p)
		default:
			if q.suspects[p.Run.Request] != nil {
				q.remove(p.Run.Request, Answered, func(v sighting) bool { return v.entry == q.Entry })
			}
			q.answer(now, p.Parts)
		}
	}
	q.provisional = left
}

// addProvisional adds the sightings of a request whose response ended as its target crashed.
func (q *Quarantine) addProvisional(p Provisional) {
	own := func(r Run) {
		q.add(sighting{entry: q.Entry, crash: Crash{Run: r, Incarnation: p.Incarnation}, at: r.Failed})
	}
	own(p.Run)
	for _, f := range p.Parts {
		own(Run{Request: f, Part: true, Sent: p.Run.Sent, Failed: p.Run.Failed})
	}
}
