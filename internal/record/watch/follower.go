// Package watch decides how a process follows the objects below a key prefix of
// the platform: it reads them, watches for a bounded time, and reads again, so
// that neither a missed event nor a silent connection hides a change for longer
// than one watch.
//
// The package is pure: the present time is an argument, the random source is
// passed in. [Follower] emits actions; the adapter (package
// internal/wire/platform) carries them out and reports how they ended.
//
// # Versions
//
// Reads may lag, and a watch may report what an earlier read already returned. The
// follower keeps the highest version seen of each object and never reports a
// lower one. A watch reports a deletion with the deletion's own version. An object
// that is missing from a read may be deleted, or the read may be older than its
// creation; it counts as deleted only when it has been missing from reads for
// [Config.Confirm].
package watch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Defaults of a [Config].
const (
	DefaultPause   = 200 * time.Millisecond
	DefaultRetry   = 500 * time.Millisecond
	DefaultMaxWait = 5 * time.Second
	DefaultConfirm = 5 * time.Second
	DefaultKeep    = time.Minute
	DefaultLimit   = 1 << 16
)

// Config sets up a [Follower]. Zero fields take the defaults.
type Config struct {
	Prefix  object.Key
	Cause   object.Cause
	Pause   time.Duration // between the end of a read and the next watch: bounds the rate of calls when there are many changes
	Retry   time.Duration // upper bound of the first wait after a failed read
	MaxWait time.Duration // upper bound of any wait after failed reads
	Confirm time.Duration // an object must be missing from reads for so long before it counts as deleted
	Keep    time.Duration // a deleted object's version is remembered for so long; must exceed the lag of reads
	Limit   int           // largest number of objects that are followed; more are ignored and counted
}

func (c Config) withDefaults() Config {
	c.Pause = cmp.Or(c.Pause, DefaultPause)
	c.Retry = cmp.Or(c.Retry, DefaultRetry)
	c.MaxWait = cmp.Or(c.MaxWait, DefaultMaxWait)
	c.Confirm = cmp.Or(c.Confirm, DefaultConfirm)
	c.Keep = cmp.Or(c.Keep, DefaultKeep)
	c.Limit = cmp.Or(c.Limit, DefaultLimit)
	return c
}

// EventKind is the kind of an [Event].
type EventKind uint8

// The kinds of events.
const (
	Tick      EventKind = iota + 1 // the time of [Follower.Deadline] has come
	WatchDone                      // a watch ended: Objects and Next are set, or Failed
	ReadDone                       // a read ended: Reply is set
)

// Event is an input of [Follower.Handle].
type Event struct {
	Kind    EventKind
	Objects []object.Object
	Next    object.Version
	Failed  bool
	Reply   object.Reply
}

// ActionKind is the kind of an [Action].
type ActionKind uint8

// The kinds of actions.
const (
	Watch         ActionKind = iota + 1 // watch the prefix for changes after Since, within the platform's time bound
	Read                                // carry out Call
	Changed                             // Objects have new versions; those with a nil value are deleted
	ReadSucceeded                       // a read has succeeded: the changes reported so far make up the state at that time
)

// Action is an output of [Follower.Handle].
type Action struct {
	Kind    ActionKind
	Since   object.Version
	Call    object.Call
	Objects []object.Object
}

type phase uint8

const (
	idle phase = iota
	reading
	pausing
	watching
)

// known is what the follower remembers of one object.
type known struct {
	version object.Version
	deleted bool
	assumed bool      // deleted only because it was missing from reads
	missed  time.Time // since when it is missing from reads; zero if the last one returned it
}

// isOld reports whether the follower has already seen version v of the object.
func (k known) isOld(v object.Version) bool {
	if k.deleted && k.assumed {
		return v < k.version // returned again: it was not deleted
	}
	return v <= k.version
}

// Follower is the state machine. It is not safe for concurrent use.
type Follower struct {
	cfg         Config
	rand        *rand.Rand
	phase       phase
	nextAt      time.Time // when the next read or watch begins, in phases idle and pausing
	since       object.Version
	failedReads int // consecutive failed reads
	objects     map[object.Key]known
	ignored     int
}

// New returns a follower that emits a [Read] at its first [Tick].
func New(cfg Config, r *rand.Rand) *Follower {
	return &Follower{cfg: cfg.withDefaults(), rand: r, objects: make(map[object.Key]known)}
}

// Deadline returns when the next [Tick] is due, or the zero time while a watch or
// a read is in progress.
func (f *Follower) Deadline() time.Time {
	if f.phase == reading || f.phase == watching {
		return time.Time{}
	}
	return f.nextAt
}

// Ignored returns how many objects were left out because of [Config.Limit].
func (f *Follower) Ignored() int { return f.ignored }

// Handle processes one event and returns the actions to carry out.
func (f *Follower) Handle(now time.Time, ev Event) []Action {
	switch {
	case ev.Kind == Tick && f.phase == idle && !now.Before(f.nextAt):
		return f.read()
	case ev.Kind == Tick && f.phase == pausing && !now.Before(f.nextAt):
		f.phase = watching
		return []Action{{Kind: Watch, Since: f.since}}
	case ev.Kind == WatchDone && f.phase == watching:
		return f.watchDone(now, ev)
	case ev.Kind == ReadDone && f.phase == reading:
		return f.readDone(now, ev.Reply)
	}
	return nil
}

func (f *Follower) read() []Action {
	f.phase = reading
	call := object.Call{Op: object.List, Key: f.cfg.Prefix, Cause: f.cfg.Cause}
	return []Action{{Kind: Read, Call: call}}
}

// watchDone handles the end of a watch. A read always follows, since the watch may
// have missed events or have been cut short.
func (f *Follower) watchDone(now time.Time, ev Event) []Action {
	var out []Action
	if !ev.Failed {
		out = f.report(f.merge(ev.Objects))
		f.since = max(f.since, ev.Next)
	}
	f.phase = idle
	f.nextAt = now
	if ev.Failed {
		f.nextAt = now.Add(budget.Backoff(f.cfg.Retry, f.cfg.MaxWait, 0, f.rand))
		return out
	}
	return append(out, f.read()...)
}

func (f *Follower) readDone(now time.Time, reply object.Reply) []Action {
	if reply.Status != object.Done {
		f.phase = idle
		f.nextAt = now.Add(budget.Backoff(f.cfg.Retry, f.cfg.MaxWait, f.failedReads, f.rand))
		f.failedReads++
		return nil
	}
	f.failedReads = 0
	f.phase = pausing
	f.nextAt = now.Add(f.cfg.Pause)
	changed := f.merge(reply.Objects)
	changed = append(changed, f.findDeleted(now, reply.Objects)...)
	return append(f.report(changed), Action{Kind: ReadSucceeded})
}

func (f *Follower) report(changed []object.Object) []Action {
	if len(changed) == 0 {
		return nil
	}
	return []Action{{Kind: Changed, Objects: changed}}
}

// merge records the objects that a read or a watch returned. It returns those with
// a higher version than known.
func (f *Follower) merge(objs []object.Object) []object.Object {
	var changed []object.Object
	for _, o := range objs {
		if !strings.HasPrefix(string(o.Key), string(f.cfg.Prefix)) {
			continue
		}
		k, ok := f.objects[o.Key]
		if !ok && len(f.objects) >= f.cfg.Limit {
			f.ignored++
			continue
		}
		f.since = max(f.since, o.Version)
		if ok && k.isOld(o.Version) {
			continue // a lagging read, or an event older than an earlier read
		}
		f.objects[o.Key] = known{version: o.Version, deleted: o.Value == nil}
		changed = append(changed, o)
	}
	return changed
}

// findDeleted returns the objects that count as deleted because they have been
// missing from reads for [Config.Confirm].
func (f *Follower) findDeleted(now time.Time, read []object.Object) []object.Object {
	inRead := make(map[object.Key]bool, len(read))
	for _, o := range read {
		inRead[o.Key] = true
	}
	var deleted []object.Object
	for key, k := range f.objects {
		missed := now.Sub(k.missed)
		switch {
		case inRead[key] && !k.deleted:
			k.missed = time.Time{}
		case k.missed.IsZero():
			k.missed = now
		case k.deleted && missed >= f.cfg.Keep:
			delete(f.objects, key)
			continue
		case !k.deleted && missed >= f.cfg.Confirm:
			k.deleted, k.assumed, k.missed = true, true, now
			deleted = append(deleted, object.Object{Key: key, Version: k.version})
		}
		f.objects[key] = k
	}
	slices.SortFunc(deleted, func(a, b object.Object) int { return cmp.Compare(a.Key, b.Key) })
	return deleted
}
