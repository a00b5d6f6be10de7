package notice

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

const (
	// returnGap is the mean time between the first requests of entries that come back after a
	// rest. All that were told in the same moment would come back in the same moment, and be
	// turned away again.
	returnGap = 10 * time.Millisecond
	// mostSpread bounds the time over which they come back.
	mostSpread = 10 * time.Second
	// mostReturning is the number of requests at the same time from which a target that has
	// rested is bounded no more than others.
	mostReturning = 16
	// kept is how long the word of a target is remembered that nobody lists, or that has had
	// its rest. A list may lack a target for some time and have it back in the same life.
	kept = 10 * time.Minute
	// mostWords bounds the memory of words: of three times the targets of a large deployment.
	mostWords = 4096
	// bornBefore is how long before an answer a life may have begun that the list tells of only
	// after it. The answer was its own then.
	bornBefore = 10 * time.Second
)

// Board is what an entry remembers of its targets' words. The zero value has none.
type Board struct {
	words map[string]*word
}

// word is that of one life of a target.
type word struct {
	life   roster.Target
	heard  time.Time     // when it asked for rest last
	asked  time.Duration // the rest that it asked for last
	until  time.Time     // end of its rest; zero if it asked for none
	back   time.Time     // when it gets the first request after that
	allow  int           // requests at the same time until it has served some; 0 for no such bound
	leaves time.Time     // since when it says that it leaves; zero if it doesn't
	known  time.Time     // when it was heard or listed last
}

// Rest takes the word of a target that it wants no request for some time. Of several the latest
// end counts: each of them stands for itself. The first request after that goes out at a moment
// that phase, from 0 to 1, draws from a time which all entries share. Rest tells whether the word
// is news.
func (b *Board) Rest(now time.Time, t roster.Target, rest time.Duration, entries, phase float64) bool {
	w := b.of(now, t)
	w.heard = now
	end := now.Add(rest)
	if !end.After(w.until) {
		return false
	}
	news := !now.Before(w.until) || rest != w.asked
	w.until, w.asked, w.allow = end, rest, 1
	w.back = end.Add(time.Duration(phase * float64(Spread(entries))))
	return news
}

// Spread is the time over which a number of entries come back to a target after its rest.
func Spread(entries float64) time.Duration {
	return time.Duration(min(entries*float64(returnGap), float64(mostSpread)))
}

// Leave takes the word of a target that it is about to end, which holds for its life. It tells
// whether that is news.
func (b *Board) Leave(now time.Time, t roster.Target) bool {
	w := b.of(now, t)
	if !w.leaves.IsZero() {
		return false
	}
	w.leaves = now
	return true
}

// of returns the word of a target, a new one if there is none.
func (b *Board) of(now time.Time, t roster.Target) *word {
	if b.words == nil {
		b.words = make(map[string]*word)
	}
	w := b.words[t.ID]
	if w == nil {
		if len(b.words) >= mostWords {
			b.dropOldest()
		}
		w = &word{life: t}
		b.words[t.ID] = w
	}
	w.known = now
	return w
}

func (b *Board) dropOldest() {
	oldest := ""
	for id, w := range b.words {
		if oldest == "" || w.known.Before(b.words[oldest].known) {
			oldest = id
		}
	}
	delete(b.words, oldest)
}

// Listed takes the word of the store that a target is in some life. What an earlier one asked
// for ends with it. A rest that was heard right after this life had begun is its own: the list
// tells of a new life later than its first answer.
func (b *Board) Listed(now time.Time, t roster.Target) {
	w := b.words[t.ID]
	if w == nil {
		return
	}
	if !w.life.SameLife(t) {
		begun := w.heard.Sub(t.Born)
		if t.Born.IsZero() || begun < 0 || begun > bornBefore {
			delete(b.words, t.ID)
			return
		}
		w.leaves = time.Time{}
	}
	w.life, w.known = t, now
}

// Leaves tells whether a target has said that it is about to end, and since when.
func (b *Board) Leaves(id string) (since time.Time, leaves bool) {
	w := b.words[id]
	if w == nil {
		return time.Time{}, false
	}
	return w.leaves, !w.leaves.IsZero()
}

// Resting tells whether a target wants no request now, and until when.
func (b *Board) Resting(now time.Time, id string) (until time.Time, resting bool) {
	w := b.words[id]
	if w == nil || !now.Before(w.back) {
		return time.Time{}, false
	}
	return w.back, true
}

// Free tells whether a target's own word allows one more request, beside those in flight. After
// a rest it gets one at a time until it has served one, then twice as many with each: if all that
// waited went in at the same moment it would have to turn them away again.
func (b *Board) Free(now time.Time, id string, inFlight int) bool {
	w := b.words[id]
	if w == nil {
		return true
	}
	return !now.Before(w.back) && (w.allow == 0 || inFlight < w.allow)
}

// Served takes note that a target has begun an answer to a request.
func (b *Board) Served(now time.Time, id string) {
	w := b.words[id]
	if w == nil || w.allow == 0 || now.Before(w.back) {
		return // during a rest it serves what it had accepted before
	}
	w.allow *= 2
	if w.allow > mostReturning {
		w.allow = 0
	}
}

// Sweep forgets what nobody will ask for any more.
func (b *Board) Sweep(now time.Time, listed func(id string) bool) {
	for id, w := range b.words {
		if !w.leaves.IsZero() && listed(id) {
			w.known = now
		}
		if now.Before(w.back) {
			continue
		}
		if w.leaves.IsZero() && w.allow == 0 || now.Sub(w.known) > kept {
			delete(b.words, id)
		}
	}
}
