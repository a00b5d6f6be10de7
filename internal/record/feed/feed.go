// Package feed follows the objects of one kind in the platform's store: it lists
// them once, then watches for changes, and lists them again when a watch can't go
// on.
//
// A watch may stay silent forever, lose its connection, or end without reporting
// changes that have happened. Each watch is therefore bounded in time, and whenever
// the store no longer has the history that a watch needs, the objects are listed again
// for comparison with what was known. The store may be restored from a backup; the
// next list then belongs to a new era, and its page is marked as [Page.FirstOfEra].
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

// ErrHistoryGone reports that the store no longer has the changes since a
// revision.
var ErrHistoryGone = merry.New("the store no longer has that part of its history")

const (
	// Bounds of the pause after a call that failed, or that returned at once with nothing
	// new. The first pause is short, as most failures are single lost responses. The longest
	// one keeps twenty processes under a twentieth of the store's rate during an outage.
	firstPause = 50 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// probeWait is how long a watch waits that follows a failed call.
	probeWait = 100 * time.Millisecond
	// callInterval is the minimum time between the beginnings of two calls. Otherwise a store
	// that responds to every call at once would get as many calls as a process can make.
	callInterval = 20 * time.Millisecond
	// eraSpread is the longest random delay before the objects are listed in a new era.
	// Hundreds of processes see it at the same moment, and their lists have dozens of pages.
	eraSpread = 2 * time.Second
)

// Change is one object that was written or removed.
type Change[T any] struct {
	Name    string
	Object  T
	Removed bool
	// Unreadable reports that the object exists but can't be decoded. Object is empty then.
	Unreadable bool
}

// Page is the result of one call to the store: all objects, or the changes since a revision.
type Page[T any] struct {
	Changes  []Change[T]
	Revision int64
	Era      position.Era
	// FirstOfEra reports that a list is the first one of a new era, and not the first one of
	// the process. Known objects that are not in it may have been lost by the store, and may
	// be written again.
	FirstOfEra bool
}

// Feed follows one kind of objects.
type Feed[T any] struct {
	// List reads all objects.
	List func(context.Context) (Page[T], error)
	// Watch waits for changes after a revision, at most for the time wait.
	Watch func(ctx context.Context, after int64, wait time.Duration) (Page[T], error)
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// Listed receives the list of all objects. The call began at the time began: the list
	// is not older than that.
	Listed func(began time.Time, p Page[T])
	// Changed receives the changes of a watch that began at the time began. There may be
	// none.
	Changed func(began time.Time, p Page[T])
	// PauseAfterChanges is the pause after changes, so that the changes that follow arrive together.
	// When hundreds of objects are written one after the other, as they are when the
	// processes start, each feed would otherwise call once for each of them.
	PauseAfterChanges time.Duration
	// Eras tracks the eras of the store. All feeds of a process share it; it may be nil if
	// there is only one feed.
	Eras *position.Eras
	// Failed is called with the error of each failed call and with the time at which the call
	// began, and with nil at the first success after a failure.
	Failed func(began time.Time, err error)
}

// Run follows the objects until the context ends.
func (f *Feed[T]) Run(ctx context.Context, now func() time.Time) {
	if f.Eras == nil {
		f.Eras = &position.Eras{}
	}
	s := state[T]{Feed: f, pause: firstPause}
	for ctx.Err() == nil {
		if s.eraOver() {
			s.listed = false
			sleep(ctx, rand.N(eraSpread))
		}
		began := now()
		page, err := s.call(ctx)
		if ctx.Err() != nil {
			return
		}
		elapsed := now().Sub(began)
		switch {
		case err != nil && s.eraOver():
			// The watch was cancelled because its era ended; this is no failure.
		case err != nil:
			s.handleFailure(ctx, began, err)
		case s.accept(now(), began, page):
			s.pause = firstPause
			sleep(ctx, max(callInterval-elapsed, s.settlePause(page)))
		default: // nothing new
			s.pauseAfterNothingNew(ctx, elapsed)
		}
	}
}

// state is the state of a running feed.
type state[T any] struct {
	*Feed[T]
	last       position.Position // of the last page
	listed     bool              // watches can continue from last
	listedOnce bool              // a list has succeeded before
	failing    bool
	pause      time.Duration
}

// eraOver reports whether the era of the last page is over.
func (s *state[T]) eraOver() bool { return s.listed && s.last.Era != s.Eras.Era() }

// call lists or watches. It cancels a watch when the next era begins: the watch may wait for
// a revision that the restored store reaches only hours later.
func (s *state[T]) call(ctx context.Context) (Page[T], error) {
	if !s.listed {
		return s.List(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nextEra := s.Eras.Next()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-nextEra:
			cancel()
		case <-ended:
		}
	}()
	return s.Watch(ctx, s.last.Revision, s.watchWait())
}

// watchWait returns how long the next watch waits. After a failure it hardly waits, as its response
// shows that the store is back: a watch without changes responds only when its wait is over.
func (s *state[T]) watchWait() time.Duration {
	if s.failing {
		return min(probeWait, s.Wait)
	}
	return s.Wait
}

// handleFailure records a failed call and waits.
func (s *state[T]) handleFailure(ctx context.Context, began time.Time, err error) {
	if errors.Is(err, ErrHistoryGone) {
		s.listed = false
	}
	s.failing = true
	s.Failed(began, err)
	s.backOff(ctx)
}

// backOff waits, twice as long each time up to maxPause, with jitter.
func (s *state[T]) backOff(ctx context.Context) {
	sleep(ctx, s.pause/2+rand.N(s.pause))
	s.pause = min(2*s.pause, maxPause)
}

// pauseAfterNothingNew waits after a call that returned nothing new, unless the call itself
// took long enough.
func (s *state[T]) pauseAfterNothingNew(ctx context.Context, elapsed time.Duration) {
	if elapsed >= firstPause {
		s.pause = firstPause
		return
	}
	s.backOff(ctx)
}

// accept passes a page on, and reports whether it had anything new.
func (s *state[T]) accept(now, began time.Time, p Page[T]) bool {
	if s.failing {
		s.failing = false
		s.Failed(began, nil)
	}
	if s.listed {
		return s.acceptChanges(began, p)
	}
	// A list is never older than the last page, unless the store was restored from a backup
	// and doesn't report its era.
	if s.listedOnce && p.Era == s.last.Era && p.Revision < s.last.Revision {
		s.Eras.RevisionFell(now, p.Era)
		p.Era = s.Eras.Era()
	}
	p.FirstOfEra = s.listedOnce && p.Era != s.last.Era
	s.last = position.Position{Era: p.Era, Revision: p.Revision}
	s.listed, s.listedOnce = true, true
	s.Listed(began, p)
	return true
}

// acceptChanges passes on the changes of a watch, and reports whether there were any.
func (s *state[T]) acceptChanges(began time.Time, p Page[T]) bool {
	// A watch that returns an older state must not set the process back; a list shows
	// whether the store has nothing newer.
	if p.Era != s.last.Era || p.Revision < s.last.Revision {
		s.listed = false
		return false
	}
	s.last.Revision = p.Revision
	s.Changed(began, p)
	return len(p.Changes) > 0
}

// settlePause returns the pause after a page.
func (s *state[T]) settlePause(p Page[T]) time.Duration {
	if len(p.Changes) == 0 {
		return 0
	}
	return s.PauseAfterChanges
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
