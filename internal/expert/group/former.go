package group

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Cause is the cause under which the platform calls of this package are counted.
const Cause object.Cause = "group"

// Times of a [Former]. Waits between two tries at the platform double up to the
// longest.
const (
	formerRetry      = 200 * time.Millisecond
	formerRetryMost  = 10 * time.Second
	formerCallWithin = 2 * time.Second
	formerLifeTime   = 15 * time.Second // a sidecar silent for longer is not there
)

// missing stands for the version of a record that is known not to exist.
const missing object.Version = 1<<64 - 1

// FormerEventKind tells what happened.
type FormerEventKind uint8

// The kinds of events of a [Former].
const (
	FormerTick     FormerEventKind = iota + 1 // the time of [Former.Deadline] has come
	FormerDesired                             // the document wants the ranks and the shape of FormerEvent.Record
	FormerReceived                            // FormerEvent.Message, Alive or Renew, came from FormerEvent.From
	FormerReply                               // the platform answered: FormerEvent.Reply
)

// FormerEvent is an input of [Former.Handle].
type FormerEvent struct {
	Kind    FormerEventKind
	Record  *Record
	From    host.Name
	Message Message
	Reply   object.Reply
}

// FormerActionKind tells what is to be done.
type FormerActionKind uint8

// The kinds of actions of a [Former].
const (
	FormerCall    FormerActionKind = iota + 1 // make FormerAction.Call
	FormerSend                                // send FormerAction.Message to FormerAction.To; it may be lost
	FormerViolate                             // an invariant does not hold: FormerAction.Text
)

// FormerAction is an output of [Former.Handle].
type FormerAction struct {
	Kind    FormerActionKind
	Call    object.Call
	To      host.Name
	Message Message
	Text    string
}

// FormerConfig sets up a [Former].
type FormerConfig struct {
	Record object.Key // of the group
	Lease  object.Key // of the planning of the group, whose fence a new epoch takes over
}

// life is a sidecar as it was last heard of.
type life struct {
	incarnation host.Incarnation
	at          time.Time
}

// Former forms a group under a new epoch when a rank asks for it or the document
// changes its ranks, and tells the ranks. A few ranks' hosts have one each. They
// need no lease: an epoch exists when the platform has taken its record, which is
// written on condition of the one before, and two that try at once cost a call.
// While the platform is out, the group goes on with the record it has. It is not
// safe for use by several goroutines.
type Former struct {
	cfg FormerConfig

	desired *Record
	record  *Record // as the platform holds it, as far as known
	version object.Version
	fence   lease.Fence
	fenced  bool // the fence has been read for the epoch to be written
	lives   map[host.Name]life
	asked   uint64 // the epoch that has to be followed by a new one, and
	renew   bool   // whether there is one

	callID  uint64
	calling object.Op // 0 without a call on its way
	key     object.Key
	writing *Record
	callAt  time.Time // when the next call may be made, or the present one counts as lost
	wait    time.Duration
	told    uint64 // the last epoch that all ranks were told of

	out []FormerAction
}

// NewFormer returns a former that waits for a document.
func NewFormer(cfg FormerConfig) *Former {
	return &Former{cfg: cfg, wait: formerRetry, lives: make(map[host.Name]life)}
}

// Record returns the record as the platform holds it, or nil if it isn't known.
func (f *Former) Record() *Record { return f.record }

// Deadline returns when the next [FormerTick] is due. The zero time means never.
func (f *Former) Deadline() time.Time {
	if f.desired == nil {
		return time.Time{}
	}
	return f.callAt
}

// Handle takes in one event and returns what is to be done.
func (f *Former) Handle(now time.Time, ev FormerEvent) []FormerAction {
	f.out = nil
	switch ev.Kind {
	case FormerDesired:
		f.desire(now, ev.Record)
	case FormerReceived:
		f.received(now, ev.From, ev.Message)
	case FormerReply:
		f.reply(now, ev.Reply)
	}
	f.advance(now)
	return f.out
}

func (f *Former) desire(now time.Time, r *Record) {
	if f.desired != nil && r.Document <= f.desired.Document {
		return
	}
	f.desired = r
	f.callAt = now
}

func (f *Former) received(now time.Time, from host.Name, m Message) {
	if m.Check() != nil || f.desired == nil || m.Group != f.desired.Name {
		return
	}
	if m.Kind != Alive && m.Kind != Renew {
		return
	}
	f.lives[from] = life{m.Incarnation, now}
	if len(f.lives) > 2*expertmap.MaxRanks {
		clear(f.lives) // hosts of earlier documents; those of this one are heard again
	}
	if m.Kind == Renew && (!f.renew || m.Epoch > f.asked) {
		f.asked, f.renew = m.Epoch, true
		f.fenced = false
	}
	f.compare(now, from, m.Epoch)
	if f.calling == 0 && f.version != 0 && f.wanted(now) != nil {
		f.callAt = now
	}
}

// compare brings a rank up to date that is behind, or itself.
func (f *Former) compare(now time.Time, from host.Name, epoch uint64) {
	if f.record == nil {
		return
	}
	if epoch < f.record.Epoch && f.record.Epoch > 0 {
		f.tell(from)
		return
	}
	if epoch > f.record.Epoch && f.calling == 0 && f.version != 0 {
		f.version = 0 // another host's former has written a newer record
		f.callAt = now
	}
}

func (f *Former) advance(now time.Time) {
	if f.desired == nil || now.Before(f.callAt) {
		return
	}
	if f.calling != 0 {
		f.unknown(now)
		return
	}
	if f.version == 0 {
		f.call(now, f.cfg.Record, object.Call{Op: object.Get})
		return
	}
	r := f.wanted(now)
	switch {
	case r == nil:
		f.callAt = now.Add(formerLifeTime)
	case !f.fenced:
		f.call(now, f.cfg.Lease, object.Call{Op: object.Get})
	default:
		f.write(now, r)
	}
}

// wanted returns the record of a new epoch, or nil if none is wanted or a rank
// has no sidecar that could join it.
func (f *Former) wanted(now time.Time) *Record {
	r := *f.desired
	if f.record != nil {
		if !f.reshaped() && !(f.renew && f.asked >= f.record.Epoch) {
			return nil
		}
		r = *f.record
	}
	if f.record == nil || f.reshaped() {
		r.Ranks, r.Document = f.desired.Ranks, f.desired.Document
	}
	if r.Map.Shape() != f.desired.Map.Shape() && r.Document == f.desired.Document {
		r.Map = f.desired.Map
	}
	r.Epoch++
	r.Fence = max(r.Fence, f.fence)
	r.Number = max(r.Number, 1)
	r.Lives = make([]host.Incarnation, len(r.Ranks))
	for rank, name := range r.Ranks {
		l := f.lives[name]
		if l.incarnation == 0 || now.Sub(l.at) > formerLifeTime {
			return nil
		}
		r.Lives[rank] = l.incarnation
	}
	return &r
}

// reshaped tells whether a newer document wants other ranks or another shape.
func (f *Former) reshaped() bool {
	if f.desired.Document <= f.record.Document {
		return false
	}
	return !slices.Equal(f.desired.Ranks, f.record.Ranks) || f.desired.Map.Shape() != f.record.Map.Shape()
}

func (f *Former) write(now time.Time, r *Record) {
	b, err := r.Encode()
	if err != nil || r.Check() != nil || len(b) > object.MaxValueBytes {
		f.violate("a record to write is invalid")
		f.callAt = now.Add(formerRetryMost)
		return
	}
	f.writing = r
	version := f.version
	if version == missing {
		version = 0
	}
	f.call(now, f.cfg.Record, object.Call{Op: object.Put, Version: version, Value: b})
}

func (f *Former) call(now time.Time, key object.Key, c object.Call) {
	f.callID++
	c.ID, c.Key, c.Cause = f.callID, key, Cause
	f.calling, f.key = c.Op, key
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
	case r.Status == object.Unknown || r.Status == object.Refused:
		f.unknown(now)
	case f.key == f.cfg.Lease:
		f.readFence(now, r)
	case r.Status == object.Conflict:
		f.version = 0
		f.callAt = now.Add(formerRetry) // another host's former writes too
	case r.Status == object.NotFound:
		f.version = missing
	case op == object.Put:
		f.wait = formerRetry
		f.version = r.Object.Version
		f.learn(f.writing)
	default:
		f.wait = formerRetry
		f.readRecord(now, r.Object)
	}
}

// unknown reads the record back before the next write, after a wait.
func (f *Former) unknown(now time.Time) {
	f.calling = 0
	f.version = 0
	f.callAt = now.Add(f.wait)
	f.wait = min(2*f.wait, formerRetryMost)
}

func (f *Former) readFence(now time.Time, r object.Reply) {
	if r.Status == object.NotFound {
		f.fenced = true
		return
	}
	l, err := lease.Decode(r.Object.Value)
	if err != nil {
		f.violate("lease " + string(f.cfg.Lease) + ": " + err.Error())
		f.callAt = now.Add(formerRetryMost)
		return
	}
	f.fence = max(f.fence, l.Fence)
	f.fenced = true
}

func (f *Former) readRecord(now time.Time, o object.Object) {
	r, err := DecodeRecord(o.Value)
	if err != nil {
		f.violate("record " + string(f.cfg.Record) + ": " + err.Error())
		f.callAt = now.Add(formerRetryMost)
		return
	}
	if f.record != nil && r.Epoch < f.record.Epoch {
		f.unknown(now) // a lagging read
		return
	}
	f.version = o.Version
	f.learn(r)
}

// learn takes up a record that the platform holds, and tells all ranks of a new
// epoch.
func (f *Former) learn(r *Record) {
	f.record = r
	if r.Epoch <= f.told {
		return
	}
	f.told = r.Epoch
	f.fenced = false
	for _, name := range r.Ranks {
		f.tell(name)
	}
}

func (f *Former) tell(to host.Name) {
	m := Message{Kind: Announce, Group: f.record.Name, Epoch: f.record.Epoch, Record: f.record}
	f.out = append(f.out, FormerAction{Kind: FormerSend, To: to, Message: m})
}

func (f *Former) violate(text string) {
	f.out = append(f.out, FormerAction{Kind: FormerViolate, Text: text})
}
