// Package feed follows the objects of one kind in the platform's store: it lists
// them once, then watches for changes, and lists them anew when a watch can't go
// on.
//
// A watch may be silent for good, cut, or end without what happened meanwhile.
// Each is therefore asked with a bound, and after each loss of history the whole
// list is compared with what was known. The store may come back from a copy; then the
// list is of a new era, and says so.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

// ErrHistoryGone reports that the store can't tell what happened since a
// revision.
var ErrHistoryGone = merry.New("the store no longer has that part of its history")

const (
	// Waits after a call that failed or told nothing new at once. The first is short, as
	// most failures are single lost answers; the last keeps twenty processes under a
	// twentieth of the store's rate while it is away.
	firstPause = 50 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// callInterval is the least time between the beginnings of two calls. A store that
	// answers at once, whatever it is asked, would else get all that a process can ask.
	callInterval = 20 * time.Millisecond
	// eraSpread is the longest wait before all is read in a new era. Hundreds of processes
	// see it at the same moment, and their lists have dozens of pages.
	eraSpread = 2 * time.Second
)

// Change is one object that was written, or removed.
type Change[T any] struct {
	Name    string
	Object  T
	Removed bool
	// Unreadable tells that the object is there and can't be read. Object is empty.
	Unreadable bool
}

// Page is what the store told: the whole list, or the changes since a revision.
type Page[T any] struct {
	Changes  []Change[T]
	Revision int64
	Era      position.Era
	// Renewed tells that a list is the first one of an era, and not the first at all. What
	// was known and is not in it may have been lost by the store, and be written again.
	Renewed bool
}

// Feed follows one kind of objects.
type Feed[T any] struct {
	// List reads all objects.
	List func(context.Context) (Page[T], error)
	// Watch waits for changes after a revision, at most for its own bound.
	Watch func(ctx context.Context, after int64) (Page[T], error)
	// Listed takes the whole list. Asked is when the call began: what it tells is
	// not older than that.
	Listed func(asked time.Time, p Page[T])
	// Changed takes changes, maybe none.
	Changed func(asked time.Time, p Page[T])
	// Settle is a pause after changes, so that those that follow come together. When
	// hundreds of objects are written one after the other, as at a start, each follower
	// would otherwise call once for each of them.
	Settle time.Duration
	// Eras are those of the store, which all feeds of a process share; nil if there is one
	// feed alone.
	Eras *position.Eras
	// Failed hears of each failed call, and of the first success after one as nil.
	Failed func(error)
}

// Run follows until the context ends.
func (f *Feed[T]) Run(ctx context.Context, now func() time.Time) {
	if f.Eras == nil {
		f.Eras = &position.Eras{}
	}
	s := state[T]{Feed: f, pause: firstPause}
	for ctx.Err() == nil {
		if s.over() {
			s.listed = false
			sleep(ctx, rand.N(eraSpread))
		}
		asked := now()
		page, err := s.ask(ctx)
		if ctx.Err() != nil {
			return
		}
		took := now().Sub(asked)
		switch {
		case err != nil && s.over():
			// The watch ended with its era, and did not fail.
		case err != nil:
			s.fail(ctx, err)
		case s.take(now(), asked, page):
			s.pause = firstPause
			sleep(ctx, max(callInterval-took, s.settle(page)))
		default: // nothing new
			s.rest(ctx, took)
		}
	}
}

// state is what a feed knows while it runs.
type state[T any] struct {
	*Feed[T]
	at      position.Position // of what was told last
	listed  bool              // watches go on from there
	known   bool              // there was a list
	failing bool
	pause   time.Duration
}

// over tells whether the era of what was told last is.
func (s *state[T]) over() bool { return s.listed && s.at.Era != s.Eras.Era() }

// ask lists or watches. A watch ends when an era does: it may wait for a revision that the
// store comes to in some hours.
func (s *state[T]) ask(ctx context.Context) (Page[T], error) {
	if !s.listed {
		return s.List(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	news := s.Eras.Next()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-news:
			cancel()
		case <-ended:
		}
	}()
	return s.Watch(ctx, s.at.Revision)
}

// fail takes note of a call that failed, and waits.
func (s *state[T]) fail(ctx context.Context, err error) {
	if errors.Is(err, ErrHistoryGone) {
		s.listed = false
	}
	s.failing = true
	s.Failed(err)
	s.back(ctx)
}

// back waits longer each time.
func (s *state[T]) back(ctx context.Context) {
	sleep(ctx, s.pause/2+rand.N(s.pause))
	s.pause = min(2*s.pause, lastPause)
}

// rest waits after a call that told nothing new, unless it was itself a wait.
func (s *state[T]) rest(ctx context.Context, took time.Duration) {
	if took >= firstPause {
		s.pause = firstPause
		return
	}
	s.back(ctx)
}

// take hands a page over, and tells whether it had anything new.
func (s *state[T]) take(now, asked time.Time, p Page[T]) bool {
	if s.failing {
		s.failing = false
		s.Failed(nil)
	}
	if s.listed {
		return s.takeChanges(asked, p)
	}
	// What is read now is no older than what was read before, unless the store has come
	// back from a copy and doesn't say so.
	if s.known && p.Era == s.at.Era && p.Revision < s.at.Revision {
		s.Eras.RevisionFell(now, p.Era)
		p.Era = s.Eras.Era()
	}
	p.Renewed = s.known && p.Era != s.at.Era
	s.at = position.Position{Era: p.Era, Revision: p.Revision}
	s.listed, s.known = true, true
	s.Listed(asked, p)
	return true
}

func (s *state[T]) takeChanges(asked time.Time, p Page[T]) bool {
	// A watch that answers from an older state must not take the process back; a list
	// tells whether that is all there is.
	if p.Era != s.at.Era || p.Revision < s.at.Revision {
		s.listed = false
		return false
	}
	s.at.Revision = p.Revision
	s.Changed(asked, p)
	return len(p.Changes) > 0
}

// settle is the pause after changes.
func (s *state[T]) settle(p Page[T]) time.Duration {
	if len(p.Changes) == 0 {
		return 0
	}
	return s.Settle
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
