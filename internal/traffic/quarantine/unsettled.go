package quarantine

import "time"

const (
	// settleTime is how long after the end of a response that has no length it counts as complete, if its
	// target is not known to have crashed: an entry that sees the crash records it within that time.
	settleTime = time.Second
	// maxUnsettled bounds the responses that wait for that. More prove nothing.
	maxUnsettled = 4096
)

// Unsettled is a response that ended with its connection, and stated no length. If its target crashed,
// the connection ended in the same way.
type Unsettled struct {
	Incarnation Incarnation
	Run         Run
	Parts       []Fingerprint
}

// EndedWithConnection notes a response that proves only later that the request and the parts of its
// prompt are harmless.
func (q *Quarantine) EndedWithConnection(u Unsettled) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.unsettled) < maxUnsettled {
		q.unsettled = append(q.unsettled, u)
	}
}

// settle decides about the responses that ended some time ago.
func (q *Quarantine) settle(now time.Time) {
	if len(q.unsettled) == 0 {
		return
	}
	crashed := make(map[Incarnation]time.Time)
	for _, s := range q.suspects {
		for _, v := range s.sightings {
			crashed[v.crash.Incarnation] = v.at
		}
	}
	var left []Unsettled
	for _, u := range q.unsettled {
		at, known := crashed[u.Incarnation]
		switch {
		case known && !at.Before(u.Run.Sent):
			q.addUnsettled(u)
		case now.Sub(u.Run.Failed) < settleTime:
			left = append(left, u)
		default:
			if q.suspects[u.Run.Request] != nil {
				q.remove(u.Run.Request, Answered, func(v sighting) bool { return v.entry == q.Entry })
			}
			q.answer(now, u.Parts)
		}
	}
	q.unsettled = left
}

// addUnsettled adds the sightings of a request whose response ended as its target crashed.
func (q *Quarantine) addUnsettled(u Unsettled) {
	own := func(r Run) {
		q.add(sighting{entry: q.Entry, crash: Crash{Run: r, Incarnation: u.Incarnation}, at: r.Failed})
	}
	own(u.Run)
	for _, f := range u.Parts {
		own(Run{Request: f, Part: true, Sent: u.Run.Sent, Failed: u.Run.Failed})
	}
}
