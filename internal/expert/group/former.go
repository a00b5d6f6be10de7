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

// Times of an [EpochFormer]. The delay between two attempts at a platform call doubles up
// to the maximum.
const (
	formerRetryDelay     = 200 * time.Millisecond
	formerMaxRetryDelay  = 10 * time.Second
	formerCallTimeout    = 2 * time.Second
	formerSidecarTimeout = 15 * time.Second // a sidecar without a heartbeat for longer counts as down
)

// noRecord is the version of a record that is known not to exist.
const noRecord object.Version = 1<<64 - 1

// EpochFormerEventKind is the kind of an [EpochFormerEvent].
type EpochFormerEventKind uint8

// The kinds of events of an [EpochFormer].
const (
	EpochFormerTick     EpochFormerEventKind = iota + 1 // the time of [EpochFormer.Deadline] has come
	EpochFormerDesired                                  // the document requires the ranks and the shape of EpochFormerEvent.Record
	EpochFormerReceived                                 // EpochFormerEvent.Message, which is Heartbeat or EpochRequest, came from EpochFormerEvent.From
	EpochFormerReply                                    // a platform call ended with EpochFormerEvent.Reply
)

// EpochFormerEvent is an input of [EpochFormer.Handle].
type EpochFormerEvent struct {
	Kind    EpochFormerEventKind
	Record  *Record
	From    host.Name
	Message Message
	Reply   object.Reply
}

// EpochFormerActionKind is the kind of an [EpochFormerAction].
type EpochFormerActionKind uint8

// The kinds of actions of an [EpochFormer].
const (
	EpochFormerCall    EpochFormerActionKind = iota + 1 // make EpochFormerAction.Call
	EpochFormerSend                                     // send EpochFormerAction.Message to EpochFormerAction.To; it may be lost
	EpochFormerViolate                                  // an invariant does not hold: EpochFormerAction.Text
)

// EpochFormerAction is an output of [EpochFormer.Handle].
type EpochFormerAction struct {
	Kind    EpochFormerActionKind
	Call    object.Call
	To      host.Name
	Message Message
	Text    string
}

// EpochFormerConfig sets up an [EpochFormer].
type EpochFormerConfig struct {
	Record object.Key // key of the group's record
	Lease  object.Key // key of the group's planning lease, whose fence a new epoch adopts
}

// sidecar is the state of a sidecar according to its last message.
type sidecar struct {
	incarnation host.Incarnation
	reportedAt  time.Time
}

// EpochFormer forms a group under a new epoch when a rank asks for it or the document
// changes its ranks, and sends the ranks the record. The hosts of a few ranks, the
// keepers, have one each. They need no lease: an epoch exists when the platform
// has accepted its record, which is written on condition that the previous one is
// unchanged, so two formers that write at once only waste a call. While the
// platform is unreachable, the group goes on with its record. An EpochFormer is not safe
// for concurrent use.
type EpochFormer struct {
	cfg EpochFormerConfig

	desired        *Record        // what the document requires
	record         *Record        // the last known record in the platform
	version        object.Version // of record; 0 if unknown, noRecord if it does not exist
	fence          lease.Fence    // highest planning fence read
	fenceRead      bool           // the lease's fence has been read for the next epoch
	sidecars       map[host.Name]sidecar
	replaceEpoch   uint64 // the epoch that a rank wants replaced by a new one
	epochRequested bool   // a rank has asked for a new epoch

	callID         uint64
	pendingOp      object.Op // the operation in progress, 0 if there is none
	pendingKey     object.Key
	pendingRecord  *Record
	callAt         time.Time // when the next call may be made, or the call in progress times out
	retryDelay     time.Duration
	announcedEpoch uint64 // the last epoch whose record was sent to all ranks

	out []EpochFormerAction
}

// NewFormer returns a former that does nothing until the first [EpochFormerDesired].
func NewFormer(cfg EpochFormerConfig) *EpochFormer {
	return &EpochFormer{cfg: cfg, retryDelay: formerRetryDelay, sidecars: make(map[host.Name]sidecar)}
}

// Record returns the last known record in the platform, or nil if none is known.
func (f *EpochFormer) Record() *Record { return f.record }

// Deadline returns when the next [EpochFormerTick] is due. The zero time means never.
func (f *EpochFormer) Deadline() time.Time {
	if f.desired == nil {
		return time.Time{}
	}
	return f.callAt
}

// Handle processes one event and returns the actions to carry out.
func (f *EpochFormer) Handle(now time.Time, ev EpochFormerEvent) []EpochFormerAction {
	f.out = nil
	switch ev.Kind {
	case EpochFormerDesired:
		f.setDesired(now, ev.Record)
	case EpochFormerReceived:
		f.received(now, ev.From, ev.Message)
	case EpochFormerReply:
		f.reply(now, ev.Reply)
	}
	f.advance(now)
	return f.out
}

func (f *EpochFormer) setDesired(now time.Time, r *Record) {
	if f.desired != nil && r.Document <= f.desired.Document {
		return
	}
	f.desired = r
	f.callAt = now
}

func (f *EpochFormer) received(now time.Time, from host.Name, m Message) {
	if m.Check() != nil || f.desired == nil || m.Group != f.desired.Name {
		return
	}
	if m.Kind != Heartbeat && m.Kind != EpochRequest {
		return
	}
	f.sidecars[from] = sidecar{m.Incarnation, now}
	if len(f.sidecars) > 2*expertmap.MaxRanks {
		clear(f.sidecars) // drops hosts of earlier documents; those of this one send their next heartbeat soon
	}
	if m.Kind == EpochRequest && (!f.epochRequested || m.Epoch > f.replaceEpoch) {
		f.replaceEpoch, f.epochRequested = m.Epoch, true
		f.fenceRead = false
	}
	f.checkEpoch(now, from, m.Epoch)
	if f.pendingOp == 0 && f.version != 0 && f.nextRecord(now) != nil {
		f.callAt = now
	}
}

// checkEpoch sends the record to a rank with an older epoch, and reads the record
// again if the rank has a newer one.
func (f *EpochFormer) checkEpoch(now time.Time, from host.Name, epoch uint64) {
	if f.record == nil {
		return
	}
	if epoch < f.record.Epoch && f.record.Epoch > 0 {
		f.sendRecord(from)
		return
	}
	if epoch > f.record.Epoch && f.pendingOp == 0 && f.version != 0 {
		f.version = 0 // another host's former has written a newer record
		f.callAt = now
	}
}

func (f *EpochFormer) advance(now time.Time) {
	if f.desired == nil || now.Before(f.callAt) {
		return
	}
	if f.pendingOp != 0 {
		f.reread(now)
		return
	}
	if f.version == 0 {
		f.call(now, f.cfg.Record, object.Call{Op: object.Get})
		return
	}
	r := f.nextRecord(now)
	switch {
	case r == nil:
		f.callAt = now.Add(formerSidecarTimeout)
	case !f.fenceRead:
		f.call(now, f.cfg.Lease, object.Call{Op: object.Get})
	default:
		f.write(now, r)
	}
}

// nextRecord returns the record of a new epoch, or nil if no new epoch is needed or
// a rank has no sidecar that could join it.
func (f *EpochFormer) nextRecord(now time.Time) *Record {
	r := *f.desired
	if f.record != nil {
		if !f.reshaped() && !(f.epochRequested && f.replaceEpoch >= f.record.Epoch) {
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
	r.Incarnations = make([]host.Incarnation, len(r.Ranks))
	for rank, name := range r.Ranks {
		known := f.sidecars[name]
		if known.incarnation == 0 || now.Sub(known.reportedAt) > formerSidecarTimeout {
			return nil
		}
		r.Incarnations[rank] = known.incarnation
	}
	return &r
}

// reshaped reports whether a newer document requires other ranks or another shape.
func (f *EpochFormer) reshaped() bool {
	if f.desired.Document <= f.record.Document {
		return false
	}
	return !slices.Equal(f.desired.Ranks, f.record.Ranks) || f.desired.Map.Shape() != f.record.Map.Shape()
}

func (f *EpochFormer) write(now time.Time, r *Record) {
	b, err := r.Encode()
	if err != nil || r.Check() != nil || len(b) > object.MaxValueBytes {
		f.violate("a record to write is invalid")
		f.callAt = now.Add(formerMaxRetryDelay)
		return
	}
	f.pendingRecord = r
	version := f.version
	if version == noRecord {
		version = 0
	}
	f.call(now, f.cfg.Record, object.Call{Op: object.Put, Version: version, Value: b})
}

func (f *EpochFormer) call(now time.Time, key object.Key, c object.Call) {
	f.callID++
	c.ID, c.Key, c.Cause = f.callID, key, Cause
	f.pendingOp, f.pendingKey = c.Op, key
	f.callAt = now.Add(formerCallTimeout)
	f.out = append(f.out, EpochFormerAction{Kind: EpochFormerCall, Call: c})
}

// reply handles the end of a call. A written record is sent to nobody before the
// write is known to have taken effect.
func (f *EpochFormer) reply(now time.Time, r object.Reply) {
	if f.pendingOp == 0 || r.ID != f.callID {
		return
	}
	op := f.pendingOp
	f.pendingOp = 0
	f.callAt = now
	switch {
	case r.Status == object.Unknown || r.Status == object.Refused:
		f.reread(now)
	case f.pendingKey == f.cfg.Lease:
		f.readFence(now, r)
	case r.Status == object.Conflict:
		f.version = 0
		f.callAt = now.Add(formerRetryDelay) // another host's former has written the record
	case r.Status == object.NotFound:
		f.version = noRecord
	case op == object.Put:
		f.retryDelay = formerRetryDelay
		f.version = r.Object.Version
		f.adopt(f.pendingRecord)
	default:
		f.retryDelay = formerRetryDelay
		f.readRecord(now, r.Object)
	}
}

// reread makes the former read the record again, after a delay, before it writes.
func (f *EpochFormer) reread(now time.Time) {
	f.pendingOp = 0
	f.version = 0
	f.callAt = now.Add(f.retryDelay)
	f.retryDelay = min(2*f.retryDelay, formerMaxRetryDelay)
}

func (f *EpochFormer) readFence(now time.Time, r object.Reply) {
	if r.Status == object.NotFound {
		f.fenceRead = true
		return
	}
	l, err := lease.Decode(r.Object.Value)
	if err != nil {
		f.violate("lease " + string(f.cfg.Lease) + ": " + err.Error())
		f.callAt = now.Add(formerMaxRetryDelay)
		return
	}
	f.fence = max(f.fence, l.Fence)
	f.fenceRead = true
}

func (f *EpochFormer) readRecord(now time.Time, o object.Object) {
	r, err := DecodeRecord(o.Value)
	if err != nil {
		f.violate("record " + string(f.cfg.Record) + ": " + err.Error())
		f.callAt = now.Add(formerMaxRetryDelay)
		return
	}
	if f.record != nil && r.Epoch < f.record.Epoch {
		f.reread(now) // a stale read
		return
	}
	f.version = o.Version
	f.adopt(r)
}

// adopt records what the platform holds, and sends the record of a new epoch to all
// ranks.
func (f *EpochFormer) adopt(r *Record) {
	f.record = r
	if r.Epoch <= f.announcedEpoch {
		return
	}
	f.announcedEpoch = r.Epoch
	f.fenceRead = false
	for _, name := range r.Ranks {
		f.sendRecord(name)
	}
}

func (f *EpochFormer) sendRecord(to host.Name) {
	m := Message{Kind: Announce, Group: f.record.Name, Epoch: f.record.Epoch, Record: f.record}
	f.out = append(f.out, EpochFormerAction{Kind: EpochFormerSend, To: to, Message: m})
}

func (f *EpochFormer) violate(text string) {
	f.out = append(f.out, EpochFormerAction{Kind: EpochFormerViolate, Text: text})
}
