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
	// crashesWait is how long a watch of the entries' crash records waits. Watches sometimes
	// end without an error; a record that is missed for that long costs one more target at
	// the most, as a request that is sent again takes seconds to crash the next one.
	crashesWait = 5 * time.Second
	// crashesSettle is the pause between reads of changed records: many entries see a server
	// crash within some milliseconds. The first change is read at once.
	crashesSettle = 300 * time.Millisecond
)

// setUpCrashStore sets the functions that keep the entry's crash record in the store.
func (g *Gateway) setUpCrashStore() {
	entry := g.crashes.Quarantine.Entry
	g.crashes.Put = func(ctx context.Context, r crashes.Stored) (position.Position, crashes.Status, error) {
		at, err := g.store.WriteCrashRecord(ctx, platform.CrashRecord(r))
		return at, statusOf(err), err
	}
	g.crashes.Get = func(ctx context.Context) (crashes.Stored, error) {
		r, err := g.store.ReadCrashRecord(ctx, entry)
		if errors.Is(err, platform.ErrMalformed) {
			// Another writer wrote it: the entry's own record replaces it.
			g.malformed.Report(entry, err)
			return crashes.Stored{Record: quarantine.Record{Entry: entry}, Position: r.Position}, nil
		}
		return crashes.Stored(r), err
	}
	g.crashes.Remove = func(ctx context.Context, r crashes.Stored) error {
		return g.store.RemoveCrashRecord(ctx, platform.CrashRecord(r))
	}
}

func statusOf(err error) crashes.Status {
	switch {
	case err == nil:
		return crashes.Written
	case errors.Is(err, platform.ErrNotFound):
		return crashes.Gone
	case errors.Is(err, platform.ErrConflict):
		return crashes.Conflict
	}
	return crashes.Failed
}

// followCrashes reads the crash records of other entries and of earlier incarnations of this
// one.
func (g *Gateway) followCrashes(ctx context.Context) error {
	f := g.store.FollowCrashRecords(crashesWait, g.malformed.Report)
	f.PauseAfterChanges = crashesSettle
	f.Failed = g.storeFailed("crashes")
	f.Listed = func(_ time.Time, p feed.Page[platform.CrashRecord]) {
		list := make([]crashes.Stored, 0, len(p.Changes))
		for _, r := range p.Changes {
			if !r.Unreadable {
				list = append(list, crashes.Stored(r.Object))
			}
		}
		g.crashes.ApplyList(ctx, time.Now(), list, p.FirstOfEra)
	}
	f.Changed = func(_ time.Time, p feed.Page[platform.CrashRecord]) {
		for _, r := range p.Changes {
			switch {
			case r.Removed:
				g.crashes.ApplyRemoval(r.Name)
			case !r.Unreadable: // its last readable version stays in use
				g.crashes.ApplyChange(ctx, time.Now(), crashes.Stored(r.Object))
			}
		}
	}
	f.Run(ctx, time.Now)
	return nil
}
