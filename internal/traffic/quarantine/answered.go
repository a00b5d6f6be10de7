package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// answerValidity is how long a complete response proves that the parts of its prompt are harmless.
	// Crashes can follow each other for half a minute without any complete response in a group; a later
	// version of the servers may crash on a part that earlier ones have answered.
	answerValidity = 2 * time.Minute
	// maxAnswered bounds the parts in each of the two generations that are remembered, some 80 bytes each.
	maxAnswered = 16384
)

// answered remembers which parts were in the prompts of requests that targets answered completely. It
// holds two generations: when the younger is full, it replaces the older.
type answered struct {
	young, old map[Fingerprint]responses
	scopes     map[scope]time.Time // when any part of a service was last answered
}

// responses counts the complete responses to requests with a part.
type responses struct {
	last  time.Time
	count int
}

func newAnswered() answered {
	return answered{young: make(map[Fingerprint]responses), scopes: make(map[scope]time.Time)}
}

// note notes that a part was answered.
func (a *answered) note(at time.Time, f Fingerprint) {
	r, known := a.young[f]
	if !known && len(a.young) >= maxAnswered {
		a.old, a.young = a.young, make(map[Fingerprint]responses)
	}
	r.count++
	if at.After(r.last) {
		r.last = at
	}
	a.young[f] = r
	if at.After(a.scopes[f.scope()]) {
		a.scopes[f.scope()] = at
	}
}

// anyOf reports whether any part of a service counts as harmless at a moment.
func (a *answered) anyOf(service scope, at time.Time) bool {
	last := a.scopes[service]
	return !last.IsZero() && at.Sub(last) <= answerValidity
}

// last returns when a part was last answered; zero if that is not known.
func (a *answered) last(f Fingerprint) time.Time {
	if r, known := a.young[f]; known {
		return r.last
	}
	return a.old[f].last
}

// most returns at most n parts that were answered since a time, those that were answered most often.
func (a *answered) most(since time.Time, n int) []Answer {
	var list []Answer
	for f, r := range a.young {
		if !r.last.Before(since) {
			list = append(list, Answer{Part: f, At: r.last})
		}
	}
	slices.SortFunc(list, func(x, y Answer) int {
		return cmp.Or(a.young[y.Part].count-a.young[x.Part].count, cmp.Compare(x.Part.String(), y.Part.String()))
	})
	return list[:min(len(list), n)]
}

// harmless reports whether a response proves that a part did not cause a crash at a moment.
func (a *answered) harmless(f Fingerprint, crashed time.Time) bool {
	last := a.last(f)
	return !last.IsZero() && crashed.Sub(last) <= answerValidity
}
