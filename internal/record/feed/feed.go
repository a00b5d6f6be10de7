// Package feed follows the objects of one kind in the platform's store: it lists
// them once, then watches for changes, and lists them anew when a watch can't go
// on.
//
// A watch may be silent for good, cut, or end without what happened meanwhile.
// Each is therefore asked with a bound, and after each loss of history the whole
// list is compared with what was known.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrHistoryGone reports that the store can't tell what happened since a
// revision.
var ErrHistoryGone = merry.New("the store no longer has that part of its history")

// Waits after a failed call. The first is short, as most failures are single lost
// answers; the last keeps twenty processes under a twentieth of the store's rate
// while it is away.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = 500 * time.Millisecond
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
	// Failed hears of each failed call, and of the first success after one as nil.
	Failed func(error)
}

// Run follows until the context ends.
func (f *Feed[T]) Run(ctx context.Context, now func() time.Time) {
	var after int64
	listed := false
	pause := firstPause
	failing := false
	for ctx.Err() == nil {
		asked := now()
		var page Page[T]
		var err error
		if listed {
			page, err = f.Watch(ctx, after)
		} else {
			page, err = f.List(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, ErrHistoryGone) {
				listed = false
			}
			failing = true
			f.Failed(err)
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, lastPause)
			continue
		}
		if failing {
			failing = false
			f.Failed(nil)
		}
		pause = firstPause
		// A store that answers from an older state must not take the process back.
		if page.Revision < after {
			listed = false
			continue
		}
		after = page.Revision
		if listed {
			f.Changed(asked, page)
			if len(page.Changes) > 0 {
				sleep(ctx, f.Settle)
			}
			continue
		}
		listed = true
		f.Listed(asked, page)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
