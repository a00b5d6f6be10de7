package gateway

import (
	"context"
	"errors"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/program/crashes"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/platform"
)

const (
	// crashesWait of a watch of the entries' records. It is cut without a sign now and
	// then; a record that is missed for that long costs one more target at the most, as
	// a request that comes again takes seconds to crash the next.
	crashesWait = 5 * time.Second
	// crashesSettle between changes of records: a server that crashes is seen by many
	// entries within some milliseconds. The first word is taken at once.
	crashesSettle = 300 * time.Millisecond
)

// keepCrashes has the entry's record kept in the store.
func (g *Gateway) keepCrashes() {
	entry := g.crashes.Quarantine.Entry
	g.crashes.Put = func(ctx context.Context, r crashes.Stored) (position.Position, crashes.Status, error) {
		at, err := g.store.PutCrashes(ctx, platform.CrashRecord(r))
		return at, statusOf(err), err
	}
	g.crashes.Get = func(ctx context.Context) (crashes.Stored, error) {
		r, err := g.store.Crashes(ctx, entry)
		if errors.Is(err, platform.ErrMalformed) {
			// Another writer's: the own one is written in its place.
			g.bad.Note(entry, err)
			return crashes.Stored{Record: quarantine.Record{Entry: entry}, Position: r.Position}, nil
		}
		return crashes.Stored(r), err
	}
	g.crashes.Remove = func(ctx context.Context, r crashes.Stored) error {
		return g.store.RemoveCrashes(ctx, platform.CrashRecord(r))
	}
}

func statusOf(err error) crashes.Status {
	switch {
	case err == nil:
		return crashes.Kept
	case errors.Is(err, platform.ErrNotFound):
		return crashes.Gone
	case errors.Is(err, platform.ErrConflict):
		return crashes.Changed
	}
	return crashes.Failed
}

// followCrashes takes what other entries, and earlier lives of this one, saw.
func (g *Gateway) followCrashes(ctx context.Context) error {
	f := g.store.FollowCrashes(crashesWait, g.bad.Note)
	f.Settle = crashesSettle
	f.Failed = g.storeFailed("crashes")
	f.Listed = func(_ time.Time, p feed.Page[platform.CrashRecord]) {
		list := make([]crashes.Stored, 0, len(p.Changes))
		for _, r := range p.Changes {
			if !r.Unreadable {
				list = append(list, crashes.Stored(r.Object))
			}
		}
		g.crashes.Listed(ctx, time.Now(), list, p.Renewed)
	}
	f.Changed = func(_ time.Time, p feed.Page[platform.CrashRecord]) {
		for _, r := range p.Changes {
			switch {
			case r.Removed:
				g.crashes.Removed(r.Name)
			case !r.Unreadable: // what it told before holds on
				g.crashes.Changed(ctx, time.Now(), crashes.Stored(r.Object))
			}
		}
	}
	f.Run(ctx, time.Now)
	return nil
}
