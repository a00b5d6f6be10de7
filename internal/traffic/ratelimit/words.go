package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// Word is what somebody heard a target say of the rate that it takes.
type Word struct {
	Target string
	Said   Said // a rate, or nothing: it ceased to name one
	Age    time.Duration
}

// Words are the last words of targets, to be told to others. The zero value has none.
type Words struct {
	byTarget map[string]heard
}

type heard struct {
	said Said
	at   time.Time
}

// mostWords bounds the memory of words: as many targets are told of in half a minute.
const mostWords = 512

// Take notes a word, unless a later one of its target is known.
func (w *Words) Take(now time.Time, word Word) {
	at := now.Add(-max(word.Age, 0))
	if was, found := w.byTarget[word.Target]; found && !at.After(was.at) {
		return
	}
	if w.byTarget == nil {
		w.byTarget = make(map[string]heard)
	}
	w.byTarget[word.Target] = heard{said: word.Said, at: at}
	if len(w.byTarget) > mostWords {
		w.dropOldest()
	}
}

func (w *Words) dropOldest() {
	oldest := ""
	for target, h := range w.byTarget {
		if oldest == "" || h.at.Before(w.byTarget[oldest].at) {
			oldest = target
		}
	}
	delete(w.byTarget, oldest)
}

// Tell returns words that are not older than some time, and forgets those that are. If there
// are more than may be told at once, it is others at each turn.
func (w *Words) Tell(now time.Time, newer time.Duration, most int, turn uint64) []Word {
	for target, h := range w.byTarget {
		if now.Sub(h.at) > newer {
			delete(w.byTarget, target)
		}
	}
	n := len(w.byTarget)
	if n == 0 {
		return nil
	}
	targets := slices.Sorted(maps.Keys(w.byTarget))
	begin := 0
	if n > most {
		begin = int(turn % uint64(n) * uint64(most) % uint64(n))
	}
	list := make([]Word, 0, min(n, most))
	for i := range min(n, most) {
		target := targets[(begin+i)%n]
		h := w.byTarget[target]
		list = append(list, Word{Target: target, Said: h.said, Age: now.Sub(h.at)})
	}
	return list
}
