// Package watch decides how a process follows the objects below a key prefix of
// the platform: read, watch with a bound, read again, so that neither a missed
// event nor a silent connection hides a change for longer than one watch.
//
// It is pure: the present time is an argument, the random source is passed in.
// [Follower] emits actions; the adapter (package internal/wire/platform) carries
// them out and reports how they ended.
//
// # Versions
//
// Reads may lag, and a watch may report what an earlier read already showed. The
// follower keeps the highest version seen of each object and never reports a
// lower one. A deletion is reported by a watch with its own version. An object
// that is missing in a read may be deleted, or the read may be older than its
// creation; it counts as deleted only when reads have missed it for
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
	Pause   time.Duration // between the end of a read and the next watch: bounds the rate under many changes
	Retry   time.Duration // bound of the first wait after a failed read
	MaxWait time.Duration // largest bound of a wait after failed reads
	Confirm time.Duration // reads must miss an object for so long before it counts as deleted
	Keep    time.Duration // a deleted object's version is remembered for so long: longer than reads lag
	Limit   int           // objects held; more are ignored and counted
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

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Tick      EventKind = iota + 1 // the time of [Follower.Deadline] has come
	WatchDone                      // a watch ended: Objects and Next, or Failed
	ReadDone                       // a read ended: Reply
)

// Event is an input of [Follower.Handle].
type Event struct {
	Kind    EventKind
	Objects []object.Object
	Next    object.Version
	Failed  bool
	Reply   object.Reply
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Watch   ActionKind = iota + 1 // watch the prefix from Since on, within the platform's bound
	Read                          // carry out Call
	Changed                       // Objects are new; those with a nil value are deleted
	Current                       // a read has succeeded: what was reported so far is the state as of then
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
	assumed bool      // deleted only because reads missed it
	missed  time.Time // since when reads miss it; zero if the last one showed it
}

// old tells whether a state of the object is no news.
func (k known) old(v object.Version) bool {
	if k.deleted && k.assumed {
		return v < k.version // shown again: it was not deleted
	}
	return v <= k.version
}

// Follower is the state machine. It is not safe for concurrent use.
type Follower struct {
	cfg     Config
	rand    *rand.Rand
	phase   phase
	at      time.Time // of the next step, in phases idle and pausing
	since   object.Version
	failed  int // reads in a row
	objects map[object.Key]known
	ignored int
}

// New returns a follower that reads at its first [Tick].
func New(cfg Config, r *rand.Rand) *Follower {
	return &Follower{cfg: cfg.withDefaults(), rand: r, objects: make(map[object.Key]known)}
}

// Deadline returns when the next [Tick] is due; the zero time while a watch or a
// read is under way.
func (f *Follower) Deadline() time.Time {
	if f.phase == reading || f.phase == watching {
		return time.Time{}
	}
	return f.at
}

// Ignored returns how many objects were left out because of [Config.Limit].
func (f *Follower) Ignored() int { return f.ignored }

// Handle takes in one event and returns what is to be done.
func (f *Follower) Handle(now time.Time, ev Event) []Action {
	switch {
	case ev.Kind == Tick && f.phase == idle && !now.Before(f.at):
		return f.read()
	case ev.Kind == Tick && f.phase == pausing && !now.Before(f.at):
		f.phase = watching
		return []Action{{Kind: Watch, Since: f.since}}
	case ev.Kind == WatchDone && f.phase == watching:
		return f.watched(now, ev)
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

// watched takes in the end of a watch. Whatever it brought, a read follows: the
// watch may have missed events, or have been cut off.
func (f *Follower) watched(now time.Time, ev Event) []Action {
	var out []Action
	if !ev.Failed {
		out = f.report(f.merge(ev.Objects))
		f.since = max(f.since, ev.Next)
	}
	f.phase = idle
	f.at = now
	if ev.Failed {
		f.at = now.Add(budget.Backoff(f.cfg.Retry, f.cfg.MaxWait, 0, f.rand))
		return out
	}
	return append(out, f.read()...)
}

func (f *Follower) readDone(now time.Time, reply object.Reply) []Action {
	if reply.Status != object.Done {
		f.phase = idle
		f.at = now.Add(budget.Backoff(f.cfg.Retry, f.cfg.MaxWait, f.failed, f.rand))
		f.failed++
		return nil
	}
	f.failed = 0
	f.phase = pausing
	f.at = now.Add(f.cfg.Pause)
	changed := f.merge(reply.Objects)
	changed = append(changed, f.missing(now, reply.Objects)...)
	return append(f.report(changed), Action{Kind: Current})
}

func (f *Follower) report(changed []object.Object) []Action {
	if len(changed) == 0 {
		return nil
	}
	return []Action{{Kind: Changed, Objects: changed}}
}

// merge takes in objects that a read or a watch showed, and returns those with a
// higher version than known.
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
		if ok && k.old(o.Version) {
			continue // a lagging read, or an event that a read was ahead of
		}
		f.objects[o.Key] = known{version: o.Version, deleted: o.Value == nil}
		changed = append(changed, o)
	}
	return changed
}

// missing returns the objects that count as deleted because reads have missed
// them for long enough.
func (f *Follower) missing(now time.Time, shown []object.Object) []object.Object {
	in := make(map[object.Key]bool, len(shown))
	for _, o := range shown {
		in[o.Key] = true
	}
	var deleted []object.Object
	for key, k := range f.objects {
		missed := now.Sub(k.missed)
		switch {
		case in[key] && !k.deleted:
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
