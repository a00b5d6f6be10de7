// Package crashes carries what entries know of requests that crash targets between a
// process's quarantine and the platform's store.
//
// Each entry has one object that only it writes, so that none waits for another. An entry
// that is new reads them all, its own from an earlier life included.
package crashes

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
)

const (
	// gather is how long an entry waits for what else it sees of a crash before it writes
	// its record.
	gather = 20 * time.Millisecond
	// clearedInterval is how often a record is written that has only become shorter.
	clearedInterval = 10 * time.Second
	// Waits after a failed write. The first is short, as most failures are single lost
	// answers; the last keeps an outage from costing more than a call a second.
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
)

// Status is how a write ended.
type Status uint8

// The ways in which a write ends.
const (
	Kept    Status = iota + 1 // the store has the record
	Changed                   // it was at another revision
	Gone                      // there is none any more
	Failed                    // it may have been written, or not
)

// Stored is a record as it lies in the store.
type Stored struct {
	quarantine.Record
	Position position.Position // revision 0 if it does not exist
}

// Keeper keeps a process's record in the store, and takes those of the others. Its fields
// are set before it runs.
type Keeper struct {
	Quarantine *quarantine.Quarantine
	Log        *log.Logger
	// Put writes the own record if it is still at its position, and returns the new one.
	Put func(context.Context, Stored) (position.Position, Status, error)
	// Get reads the own record.
	Get func(context.Context) (Stored, error)
	// Remove removes a record if it is still at its position.
	Remove func(context.Context, Stored) error

	news   chan struct{} // a crash was noted
	listed chan struct{} // closed once the records were read: the own one is known
	once   sync.Once
	own    atomic.Pointer[position.Position] // of the own record; nil if there is none
	told   map[string]bool
}

// NewKeeper returns a keeper whose functions are yet to be set.
func NewKeeper(q *quarantine.Quarantine, l *log.Logger) *Keeper {
	return &Keeper{
		Quarantine: q, Log: l,
		news: make(chan struct{}, 1), listed: make(chan struct{}), told: make(map[string]bool),
	}
}

// Crashed notes that a target crashed while it ran some requests, and has it told.
func (k *Keeper) Crashed(now time.Time, life quarantine.Life, runs []quarantine.Run) {
	k.Quarantine.Crashed(now, life, runs)
	k.due()
}

// due has the own record written.
func (k *Keeper) due() {
	select {
	case k.news <- struct{}{}:
	default: // it is due already
	}
}

// Listed takes all records that there are. Renewed says that the store has come back from a
// copy: records that aren't there are lost, and not removed by an operator. It, Changed and
// Removed are called by one goroutine.
func (k *Keeper) Listed(ctx context.Context, now time.Time, list []Stored, renewed bool) {
	if renewed {
		k.own.Store(nil) // its position was of the store before
		list = k.withoutOld(list)
	}
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.Entry] = true
		k.Changed(ctx, now, r)
	}
	for entry := range k.told {
		if !listed[entry] && !renewed {
			k.Removed(entry)
		}
	}
	if renewed && (k.Quarantine.Noted() || k.own.Load() != nil) {
		// What this entry saw holds, whatever the copy has of it: written again once.
		k.Quarantine.NotKept()
		k.due()
	}
	k.Learnt()
}

// withoutOld leaves out what a copy has of other entries: each tells what it saw since, and
// its older word would free requests that are held back. The own record shows where it lies.
func (k *Keeper) withoutOld(list []Stored) []Stored {
	return slices.DeleteFunc(list, func(r Stored) bool {
		return r.Entry != k.Quarantine.Entry && k.told[r.Entry]
	})
}

// Learnt says that all records there are have been taken. The own one may be written now:
// before, that could wipe what an earlier life told.
func (k *Keeper) Learnt() { k.once.Do(func() { close(k.listed) }) }

func (k *Keeper) remove(ctx context.Context, r Stored) {
	if err := k.Remove(ctx, r); err != nil {
		// Another entry may have removed it; who lists next tries again.
		k.Log.Info().Str("event", "crashRecordNotRemoved").Str("of", r.Entry).Err(err).Msg("")
	}
}

// Changed takes a record, or removes one that is long over. The own one is news only if
// another life of this entry wrote it.
func (k *Keeper) Changed(ctx context.Context, now time.Time, r Stored) {
	own := r.Entry == k.Quarantine.Entry
	if !own && r.Spent(now) {
		k.remove(ctx, r)
		return
	}
	k.told[r.Entry] = true
	if own {
		if !k.at().Before(r.Position) {
			return
		}
		k.own.Store(&r.Position)
	}
	k.Quarantine.Take(now, r.Record)
}

// Removed takes note that a record is gone. An operator removes records to free the requests
// that they hold back, so the own one is not written again for what it told.
func (k *Keeper) Removed(entry string) {
	delete(k.told, entry)
	k.Quarantine.Removed(entry)
	if entry == k.Quarantine.Entry {
		k.own.Store(nil)
	}
}

// at is the position of the own record; zero if there is none.
func (k *Keeper) at() position.Position {
	if p := k.own.Load(); p != nil {
		return *p
	}
	return position.Position{}
}

// Tell writes the own record whenever it has changed, until the context ends.
func (k *Keeper) Tell(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-k.listed:
	}
	tick := time.NewTicker(clearedInterval)
	defer tick.Stop()
	pause := firstPause
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-k.news:
			sleep(ctx, gather)
		}
		record, changed := k.Quarantine.Own(time.Now())
		if !changed {
			continue
		}
		if k.write(ctx, record) {
			pause = firstPause
			continue
		}
		k.Quarantine.NotKept()
		k.due()
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, lastPause)
	}
}

// write writes the own record at its last known revision. If that was not the last, or the
// record is gone, the next try goes by what the store has.
func (k *Keeper) write(ctx context.Context, r quarantine.Record) bool {
	at, status, err := k.Put(ctx, Stored{Record: r, Position: k.at()})
	if status == Kept {
		k.own.Store(&at)
		return true
	}
	k.Log.Warn().Str("event", "crashesNotTold").Int("crashes", len(r.Crashes)).Err(err).Msg("")
	switch status {
	case Gone:
		k.own.Store(nil)
	case Changed:
		k.readOwn(ctx)
	}
	return false
}

func (k *Keeper) readOwn(ctx context.Context) {
	stored, err := k.Get(ctx)
	if err != nil {
		k.Log.Warn().Str("event", "ownCrashesNotRead").Err(err).Msg("")
		return
	}
	k.own.Store(&stored.Position)
	k.Quarantine.Take(time.Now(), stored.Record)
}

// sleep waits, unless the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
