package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/feed"
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
	// crashGather is how long an entry waits for what else it sees of a crash before it
	// writes its record.
	crashGather = 20 * time.Millisecond
	// clearedInterval is how often a record is written that has only become shorter.
	clearedInterval = 10 * time.Second
	// Waits after a failed write; the first is short, as most failures are single lost
	// answers.
	firstTellPause = 50 * time.Millisecond
	lastTellPause  = time.Second
)

// crashRecords carry what entries know of crashes to and from the store. Each entry has one
// record that only it writes, so that none waits for another.
type crashRecords struct {
	quarantine *quarantine.Quarantine
	news       chan struct{} // a crash was noted
	listed     chan struct{} // closed once the records were read: the own one is known
	revision   atomic.Int64  // of the own record; 0 if there is none
	told       map[string]bool
}

func newCrashRecords(entry string) *crashRecords {
	return &crashRecords{
		quarantine: quarantine.New(entry), news: make(chan struct{}, 1),
		listed: make(chan struct{}), told: make(map[string]bool),
	}
}

// noted has the own record written.
func (c *crashRecords) noted() {
	select {
	case c.news <- struct{}{}:
	default: // it is due already
	}
}

// followCrashes takes what other entries, and earlier lives of this one, saw.
func (g *Gateway) followCrashes(ctx context.Context) error {
	c := g.crashes
	f := g.store.FollowCrashes(crashesWait, g.malformed)
	f.Settle = crashesSettle
	f.Failed = g.storeFailed("crashes")
	f.Listed = func(_ time.Time, p feed.Page[platform.CrashRecord]) {
		g.listCrashes(ctx, time.Now(), p)
		select {
		case <-c.listed:
		default:
			close(c.listed)
		}
	}
	f.Changed = func(_ time.Time, p feed.Page[platform.CrashRecord]) {
		for _, r := range p.Changes {
			c.change(time.Now(), r)
		}
	}
	f.Run(ctx, time.Now)
	return nil
}

// listCrashes takes the list of all records, and removes those that are long over.
func (g *Gateway) listCrashes(ctx context.Context, now time.Time, p feed.Page[platform.CrashRecord]) {
	c := g.crashes
	listed := make(map[string]bool)
	for _, r := range p.Changes {
		listed[r.Name] = true
		if r.Name != c.quarantine.Entry && r.Object.Spent(now) {
			if err := g.store.RemoveCrashes(ctx, r.Object); err != nil {
				// Another entry may have removed it; who lists next tries again.
				g.log.Info().Str("event", "crashRecordNotRemoved").Str("of", r.Name).Err(err).Msg("")
			}
			continue
		}
		c.change(now, r)
	}
	for entry := range c.told {
		if !listed[entry] {
			c.change(now, feed.Change[platform.CrashRecord]{Name: entry, Removed: true})
		}
	}
}

// change takes one record. The own one is news only if another life of this entry wrote it,
// or if an operator removed it to free what is held back.
func (c *crashRecords) change(now time.Time, r feed.Change[platform.CrashRecord]) {
	own := r.Name == c.quarantine.Entry
	if r.Removed {
		delete(c.told, r.Name)
		c.quarantine.Removed(r.Name)
		if own {
			c.revision.Store(0)
		}
		return
	}
	c.told[r.Name] = true
	if own {
		if r.Object.Revision <= c.revision.Load() {
			return
		}
		c.revision.Store(r.Object.Revision)
	}
	c.quarantine.Take(now, r.Object.Record)
}

// tellCrashes writes the own record when it has changed.
func (g *Gateway) tellCrashes(ctx context.Context) error {
	c := g.crashes
	select {
	case <-ctx.Done():
		return nil
	case <-c.listed:
	}
	tick := time.NewTicker(clearedInterval)
	defer tick.Stop()
	pause := firstTellPause
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-c.news:
			pauseFor(ctx, crashGather)
		}
		record, changed := c.quarantine.Own(time.Now())
		if !changed {
			continue
		}
		if err := g.writeCrashes(ctx, record); err != nil {
			g.log.Warn().Str("event", "crashesNotTold").Int("crashes", len(record.Crashes)).Err(err).Msg("")
			c.quarantine.NotKept()
			c.noted()
			pauseFor(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, lastTellPause)
			continue
		}
		pause = firstTellPause
	}
}

// writeCrashes writes the own record at its last known revision. If that was not the last,
// or the record is gone, the next try goes by what the store has.
func (g *Gateway) writeCrashes(ctx context.Context, r quarantine.Record) error {
	c := g.crashes
	revision, err := g.store.PutCrashes(ctx, platform.CrashRecord{Record: r, Revision: c.revision.Load()})
	switch {
	case err == nil:
		c.revision.Store(revision)
	case errors.Is(err, platform.ErrNotFound):
		c.revision.Store(0)
	case errors.Is(err, platform.ErrConflict):
		known, readErr := g.store.Crashes(ctx, r.Entry)
		if readErr != nil {
			return readErr
		}
		c.revision.Store(known.Revision)
		c.quarantine.Take(time.Now(), known.Record)
	}
	return err
}

// pauseFor waits, unless the context ends.
func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
