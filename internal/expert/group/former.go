package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Cause is the cause under which the platform calls of this package are counted.
const Cause object.Cause = "group"

// Kind is the kind of the objects that hold the groups' records.
const Kind = "groups"

// Waits between two tries at the platform. They double up to the longest.
const (
	formerRetry      = 200 * time.Millisecond
	formerRetryMost  = 10 * time.Second
	formerCallWithin = 2 * time.Second
)

// FormerEventKind tells what happened.
type FormerEventKind uint8

// The kinds of events of a [Former].
const (
	FormerTick     FormerEventKind = iota + 1 // the time of [Former.Deadline] has come
	FormerHeld                                // the lease is held with FormerEvent.Fence
	FormerLost                                // the lease is lost
	FormerMembers                             // FormerEvent.Lives are the present sidecars of the ranks' hosts
	FormerAsked                               // FormerEvent.Epoch has to be followed by a new one
	FormerSwitched                            // the group uses map FormerEvent.Number in FormerEvent.Epoch
	FormerReply                               // the platform answered: FormerEvent.Reply
)

// FormerEvent is an input of [Former.Handle].
type FormerEvent struct {
	Kind   FormerEventKind
	Fence  lease.Fence
	Lives  map[host.Name]host.Incarnation
	Epoch  uint64
	Number Number
	Map    *expertmap.Map // nil if only the number is known
	Reply  object.Reply
}

// FormerActionKind tells what is to be done.
type FormerActionKind uint8

// The kinds of actions of a [Former].
const (
	FormerCall     FormerActionKind = iota + 1 // make FormerAction.Call
	FormerAnnounce                             // tell the ranks FormerAction.Record
	FormerViolate                              // an invariant does not hold: FormerAction.Text
)

// FormerAction is an output of [Former.Handle].
type FormerAction struct {
	Kind   FormerActionKind
	Call   object.Call
	Record *Record
	Text   string
}

// Former keeps a group's record in the platform for the holder of the group's
// lease: it forms the group under a new epoch when asked, and writes down the
// map in force after a switch. Neither is on a switch's path. While the platform
// is out it waits, and the group goes on with what it has. It is not safe for
// use by several goroutines.
type Former struct {
	key object.Key

	held    bool
	fence   lease.Fence
	record  *Record
	version object.Version
	lives   map[host.Name]host.Incarnation

	asked    uint64 // the epoch that has to be followed by a new one
	switched FormerEvent

	callID  uint64
	calling object.Op // 0 without a call on its way
	writing *Record
	callAt  time.Time // when the next call may be made, or the present one counts as lost
	wait    time.Duration
	told    uint64 // the last epoch announced

	out []FormerAction
}

// NewFormer returns the keeper of a group's record. A first record is used if
// the platform has none.
func NewFormer(first *Record) *Former {
	return &Former{key: object.Key(Kind + "/" + first.Name), record: first, wait: formerRetry}
}

// Record returns the record as last read or written.
func (f *Former) Record() *Record { return f.record }

// Deadline returns when the next [FormerTick] is due. The zero time means never.
func (f *Former) Deadline() time.Time {
	if !f.held || (f.calling == 0 && f.wanted() == nil && f.version != 0) {
		return time.Time{}
	}
	return f.callAt
}

// Handle takes in one event and returns what is to be done.
func (f *Former) Handle(now time.Time, ev FormerEvent) []FormerAction {
	f.out = nil
	switch ev.Kind {
	case FormerHeld:
		f.hold(now, ev.Fence)
	case FormerLost:
		f.held = false
	case FormerMembers:
		f.lives = ev.Lives
	case FormerAsked:
		f.asked = max(f.asked, ev.Epoch)
	case FormerSwitched:
		if ev.Epoch > f.switched.Epoch || ev.Number > f.switched.Number {
			f.switched = ev
		}
	case FormerReply:
		f.reply(now, ev.Reply)
	}
	f.advance(now)
	return f.out
}

// hold begins to keep the record. It is read first, because the last holder may
// have written it.
func (f *Former) hold(now time.Time, fence lease.Fence) {
	if f.held && f.fence == fence {
		return
	}
	f.held = true
	f.fence = fence
	f.version = 0
	f.calling = 0
	f.callAt = now
	f.wait = formerRetry
}

func (f *Former) advance(now time.Time) {
	if !f.held || now.Before(f.callAt) {
		return
	}
	if f.calling != 0 {
		f.unknown(now)
		return
	}
	if f.version == 0 {
		f.call(now, object.Call{Op: object.Get})
		return
	}
	if r := f.wanted(); r != nil {
		f.write(now, r)
	}
}

// wanted returns the record to write, or nil if it is as it should be.
func (f *Former) wanted() *Record {
	r := *f.record
	if f.switched.Epoch == r.Epoch && f.switched.Number > r.Number && f.switched.Map != nil {
		r.Number, r.Map = f.switched.Number, f.switched.Map
	}
	if f.asked >= r.Epoch {
		lives, ok := f.livesOf(&r)
		if !ok {
			return nil // a rank has no sidecar; there is no group to form
		}
		r.Epoch++
		r.Fence = f.fence
		r.Lives = lives
	}
	if r.Epoch == f.record.Epoch && r.Number == f.record.Number {
		return nil
	}
	return &r
}

func (f *Former) livesOf(r *Record) ([]host.Incarnation, bool) {
	lives := make([]host.Incarnation, len(r.Ranks))
	for rank, name := range r.Ranks {
		lives[rank] = f.lives[name]
		if lives[rank] == 0 {
			return nil, false
		}
	}
	return lives, true
}

func (f *Former) write(now time.Time, r *Record) {
	b, err := r.Encode()
	if err != nil || r.Check() != nil || len(b) > object.MaxValueBytes {
		f.out = append(f.out, FormerAction{Kind: FormerViolate, Text: "a record to write is invalid"})
		f.callAt = now.Add(formerRetryMost)
		return
	}
	f.writing = r
	version := f.version
	if version == missing {
		version = 0
	}
	f.call(now, object.Call{Op: object.Put, Version: version, Value: b})
}

// missing stands for an object that is known not to exist.
const missing object.Version = 1<<64 - 1

func (f *Former) call(now time.Time, c object.Call) {
	f.callID++
	c.ID, c.Key, c.Cause = f.callID, f.key, Cause
	f.calling = c.Op
	f.callAt = now.Add(formerCallWithin)
	f.out = append(f.out, FormerAction{Kind: FormerCall, Call: c})
}

// reply takes in the end of a call. Nobody is told of a write before it is known
// to have taken effect.
func (f *Former) reply(now time.Time, r object.Reply) {
	if f.calling == 0 || r.ID != f.callID {
		return
	}
	op := f.calling
	f.calling = 0
	f.callAt = now
	switch {
	case r.Status == object.Done && op == object.Put:
		f.wait = formerRetry
		f.version = r.Object.Version
		f.learn(f.writing)
	case r.Status == object.Done:
		f.wait = formerRetry
		f.read(now, r.Object)
	case r.Status == object.NotFound:
		f.version = missing
	case r.Status == object.Conflict:
		f.version = 0
		f.callAt = now.Add(formerRetry) // another holder writes; two must not race in a tight loop
	default:
		f.unknown(now)
	}
}

// unknown reads the record back before the next write, after a wait.
func (f *Former) unknown(now time.Time) {
	f.calling = 0
	f.version = 0
	f.callAt = now.Add(f.wait)
	f.wait = min(2*f.wait, formerRetryMost)
}

func (f *Former) read(now time.Time, o object.Object) {
	r, err := DecodeRecord(o.Value)
	if err != nil {
		f.out = append(f.out, FormerAction{Kind: FormerViolate, Text: "record " + string(f.key) + ": " + err.Error()})
		f.callAt = now.Add(formerRetryMost)
		return
	}
	if r.Epoch < f.record.Epoch {
		f.unknown(now) // a lagging read
		return
	}
	f.version = o.Version
	f.learn(r)
}

// learn takes up a record that the platform holds.
func (f *Former) learn(r *Record) {
	f.record = r
	if r.Epoch > f.told {
		f.told = r.Epoch
		f.out = append(f.out, FormerAction{Kind: FormerAnnounce, Record: r})
	}
}
