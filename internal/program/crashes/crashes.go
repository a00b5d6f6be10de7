// Package crashes keeps the records of requests that crash targets in step between a process's
// quarantine and the platform's store.
//
// Each entry has one object that only it writes, so that no entry waits for another. An entry
// that starts reads all of them, including its own from an earlier incarnation.
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
	// gatherTime is how long an entry waits for further requests that failed in the same crash
	// before it writes its record.
	gatherTime = 20 * time.Millisecond
	// clearedInterval is how often a record is written that has only become shorter.
	clearedInterval = 10 * time.Second
	// Delays after a failed write. The first is short, as most failures are single lost
	// responses; the longest keeps an outage from costing more than a call a second.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Status is how a write ended.
type Status uint8

// The ways in which a write ends.
const (
	Written  Status = iota + 1 // the store has the record
	Conflict                   // the record was at another revision
	Gone                       // the record no longer exists
	Failed                     // the record may or may not have been written
)

// Stored is a record with its position in the store.
type Stored struct {
	quarantine.Record
	Position position.Position // revision 0 if it does not exist
}

// Keeper keeps a process's own record in the store, and passes the records of other entries to
// the quarantine. Its fields are set before it runs.
type Keeper struct {
	Quarantine *quarantine.Quarantine
	Log        *log.Logger
	// Put writes the own record if it is still at its position, and returns the new position.
	Put func(context.Context, Stored) (position.Position, Status, error)
	// Get reads the own record.
	Get func(context.Context) (Stored, error)
	// Remove removes a record if it is still at its position.
	Remove func(context.Context, Stored) error

	dirty       chan struct{} // the own record must be written
	loaded      chan struct{} // closed once all records were read, so that the own one is known
	once        sync.Once
	ownPosition atomic.Pointer[position.Position] // of the own record in the store; nil if there is none
	known       map[string]bool                   // entries whose records were read
}

// NewKeeper returns a keeper whose functions are not set yet.
func NewKeeper(q *quarantine.Quarantine, l *log.Logger) *Keeper {
	k := &Keeper{
		Quarantine: q, Log: l,
		dirty: make(chan struct{}, 1), loaded: make(chan struct{}), known: make(map[string]bool),
	}
	q.OnReport = k.scheduleWrite
	return k
}

// NoteCrash notes that a target crashed while it ran some requests, and has the own record written.
func (k *Keeper) NoteCrash(now time.Time, incarnation quarantine.Incarnation, runs []quarantine.Run) {
	k.Quarantine.Crashed(now, incarnation, runs)
	k.scheduleWrite()
}

// scheduleWrite has Run write the own record.
func (k *Keeper) scheduleWrite() {
	select {
	case k.dirty <- struct{}{}:
	default: // a write is already scheduled
	}
}

// ApplyList applies the list of all records. If renewed is set the store was restored from a backup:
// absent records are lost, and were not removed by an operator. ApplyList, ApplyChange and ApplyRemoval are
// called by one goroutine.
func (k *Keeper) ApplyList(ctx context.Context, now time.Time, list []Stored, renewed bool) {
	if renewed {
		k.ownPosition.Store(nil) // its position belongs to the store before the restore
		list = k.withoutOthersKnown(list)
	}
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.Entry] = true
		k.ApplyChange(ctx, now, r)
	}
	for entry := range k.known {
		if !listed[entry] && !renewed {
			k.ApplyRemoval(entry)
		}
	}
	if renewed && (k.Quarantine.HasOwnCrashes() || k.ownPosition.Load() != nil) {
		// The crashes that this entry saw still count, whatever the backup has, so its record
		// is written again once.
		k.Quarantine.MarkChanged()
		k.scheduleWrite()
	}
	k.MarkLoaded()
}

// withoutOthersKnown removes the restored records of other entries whose records were read before.
// Each of these entries writes its record again, and the older version from the backup would
// release quarantined requests. The own record stays in the list, as it gives its position.
func (k *Keeper) withoutOthersKnown(list []Stored) []Stored {
	return slices.DeleteFunc(list, func(r Stored) bool {
		return r.Entry != k.Quarantine.Entry && k.known[r.Entry]
	})
}

// MarkLoaded states that all records have been read. From now on the own record may be written: before,
// that could erase the crashes that an earlier incarnation recorded.
func (k *Keeper) MarkLoaded() { k.once.Do(func() { close(k.loaded) }) }

// Loaded reports whether all records have been read.
func (k *Keeper) Loaded() bool {
	select {
	case <-k.loaded:
		return true
	default:
		return false
	}
}

func (k *Keeper) remove(ctx context.Context, r Stored) {
	if err := k.Remove(ctx, r); err != nil {
		// Another entry may have removed it; the next entry that lists the records tries again.
		k.Log.Info().Str("event", "crashRecordNotRemoved").Str("of", r.Entry).Err(err).Msg("")
	}
}

// ApplyChange applies a changed record, or removes one that has long expired. The own record matters
// only if another incarnation of this entry wrote it.
func (k *Keeper) ApplyChange(ctx context.Context, now time.Time, r Stored) {
	own := r.Entry == k.Quarantine.Entry
	if !own && r.Expired(now) {
		k.remove(ctx, r)
		return
	}
	k.known[r.Entry] = true
	if own {
		if !k.currentPosition().Before(r.Position) {
			return
		}
		k.ownPosition.Store(&r.Position)
	}
	k.Quarantine.Merge(now, r.Record)
}

// ApplyRemoval notes that a record is gone. An operator removes records to release the requests that
// they quarantine, so the own record is not written again with the same crashes.
func (k *Keeper) ApplyRemoval(entry string) {
	delete(k.known, entry)
	k.Quarantine.ForgetEntry(time.Now(), entry)
	if entry == k.Quarantine.Entry {
		k.ownPosition.Store(nil)
	}
}

// currentPosition returns the position of the own record; zero if there is none.
func (k *Keeper) currentPosition() position.Position {
	if p := k.ownPosition.Load(); p != nil {
		return *p
	}
	return position.Position{}
}

// Run writes the own record whenever it has changed, until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-k.loaded:
	}
	tick := time.NewTicker(clearedInterval)
	defer tick.Stop()
	delay := minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-k.dirty:
			sleep(ctx, gatherTime)
		}
		record, changed := k.Quarantine.OwnRecord(time.Now())
		if !changed {
			continue
		}
		if k.write(ctx, record) {
			delay = minRetryDelay
			continue
		}
		k.Quarantine.MarkChanged()
		k.scheduleWrite()
		sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// write writes the own record at its last known revision. If the record has changed since, or is
// gone, the next attempt uses the state of the store. It reports whether the record was written.
func (k *Keeper) write(ctx context.Context, r quarantine.Record) bool {
	at, status, err := k.Put(ctx, Stored{Record: r, Position: k.currentPosition()})
	if status == Written {
		k.ownPosition.Store(&at)
		return true
	}
	k.Log.Warn().Str("event", "crashesNotTold").Int("crashes", len(r.Crashes)).Err(err).Msg("")
	switch status {
	case Gone:
		k.ownPosition.Store(nil)
	case Conflict:
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
	k.ownPosition.Store(&stored.Position)
	k.Quarantine.Merge(time.Now(), stored.Record)
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
