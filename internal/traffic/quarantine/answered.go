package quarantine

import "time"

const (
	// answerValidity is how long a complete response proves that the parts of its prompt are harmless.
	// Crashes can follow each other for half a minute without any complete response in a group; a later
	// version of the servers may crash on a part that earlier ones have answered.
	answerValidity = 2 * time.Minute
	// maxAnswered bounds the parts in each of the two generations that are remembered, some 80 bytes each.
	maxAnswered = 16384
)

// answered remembers when parts were last in the prompt of a request that a target answered completely.
// It holds two generations: when the younger is full, it replaces the older.
type answered struct {
	young, old map[Fingerprint]time.Time
}

func newAnswered() answered { return answered{young: make(map[Fingerprint]time.Time)} }

// note notes that a part was answered.
func (a *answered) note(at time.Time, f Fingerprint) {
	if _, known := a.young[f]; !known && len(a.young) >= maxAnswered {
		a.old, a.young = a.young, make(map[Fingerprint]time.Time)
	}
	if at.After(a.young[f]) {
		a.young[f] = at
	}
}

// last returns when a part was last answered; zero if that is not known.
func (a *answered) last(f Fingerprint) time.Time {
	if at, known := a.young[f]; known {
		return at
	}
	return a.old[f]
}

// harmless reports whether a response proves that a part did not cause a crash at a moment.
func (a *answered) harmless(f Fingerprint, crashed time.Time) bool {
	last := a.last(f)
	return !last.IsZero() && crashed.Sub(last) <= answerValidity
}

// empty reports whether no part is known to have been answered.
func (a *answered) empty() bool { return len(a.young)+len(a.old) == 0 }
