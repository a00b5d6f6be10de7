package lease

import (
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Cause is the cause under which this package's calls to the platform are counted.
const Cause object.Cause = "lease"

// Defaults of [Config].
const (
	DefaultLength       = 4 * time.Second
	DefaultCallTimeout  = time.Second
	DefaultDriftPercent = 5
)

// Config sets up a [Lease].
type Config struct {
	Key          object.Key    // for example "leases/plan/chat/7", for a service and a group
	Self         host.Identity // the process that seeks the lease
	Length       time.Duration // how long the lease is held after one write; it is renewed after a third of that
	CallTimeout  time.Duration // the outcome of a call without a reply for this long is unknown
	DriftPercent int           // margin for clocks that run at different rates, in percent of Length
}

// EventKind is the kind of an [Event].
type EventKind uint8

// The kinds of events.
const (
	Tick    EventKind = iota + 1 // the time of [Lease.Deadline] has come
	Seek                         // try to get the lease and keep it
	Resign                       // give the lease up, or stop seeking it
	Replied                      // a call has ended with Event.Reply
)

// Event is an input of [Lease.Handle].
type Event struct {
	Kind  EventKind
	Reply object.Reply
}

// ActionKind is the kind of an [Action].
type ActionKind uint8

// The kinds of actions.
const (
	Call     ActionKind = iota + 1 // make Action.Call and pass its reply to Handle
	Gained                         // the lease is held with Action.Fence
	Lost                           // the lease is no longer held
	Violated                       // an invariant does not hold: Action.Violation
)

// Action is an output of [Lease.Handle].
type Action struct {
	Kind      ActionKind
	Call      object.Call
	Fence     Fence
	Violation string
}

// attempt is a write in flight, or one whose reply was lost.
type attempt struct {
	record Record
	sentAt time.Time
}

// maxUnconfirmed bounds the remembered attempts without a reply. If an older
// attempt took effect, the lease counts as not held, which is safe: it is taken
// again.
const maxUnconfirmed = 8

// Lease is the state of one lease in one process. It is not safe for concurrent
// use.
type Lease struct {
	cfg Config
	rng *rand.Rand

	seeking      bool
	held         bool
	until        time.Time // when the holding ends, on this process's clock
	fence        Fence     // of the lease when it was last held
	highestFence Fence     // the highest fence seen so far
	attempts     uint64

	record  Record // as last seen
	version object.Version
	seenAt  time.Time // when this version was first seen

	callID      uint64
	op          object.Op // of the call in flight, 0 if there is none
	sentAt      time.Time
	unconfirmed []attempt // writes whose outcome is not known, the newest last
	failures    int
	nextAt      time.Time
}

// New returns a lease that the process neither holds nor seeks.
func New(cfg Config, rng *rand.Rand) *Lease {
	if cfg.Length <= 0 {
		cfg.Length = DefaultLength
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.DriftPercent <= 0 {
		cfg.DriftPercent = DefaultDriftPercent
	}
	return &Lease{cfg: cfg, rng: rng}
}

// Holds reports whether the process holds the lease at now. A holder calls it
// before each action that needs the lease, because the process may have been
// paused since the last event.
func (l *Lease) Holds(now time.Time) bool {
	return l.held && now.Before(l.until)
}

// Fence returns the fence under which the process last held the lease.
func (l *Lease) Fence() Fence { return l.fence }

// Until returns the time until which the lease is held.
func (l *Lease) Until() time.Time { return l.until }

// Holder returns the holder and its fence, as last read or written.
func (l *Lease) Holder() (host.Name, Fence) { return l.record.Holder, l.record.Fence }

// Deadline returns when the next [Tick] is due. The zero time means never.
func (l *Lease) Deadline() time.Time {
	if l.op != 0 {
		return earliest(l.sentAt.Add(l.cfg.CallTimeout), l.untilIfHeld())
	}
	if !l.seeking {
		return l.untilIfHeld()
	}
	return earliest(l.nextAt, l.untilIfHeld())
}

func (l *Lease) untilIfHeld() time.Time {
	if !l.held {
		return time.Time{}
	}
	return l.until
}

// earliest returns the earlier of two times; the zero time means never.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// Handle processes one event and returns the actions to carry out.
func (l *Lease) Handle(now time.Time, ev Event) []Action {
	var out []Action
	switch ev.Kind {
	case Seek:
		if !l.seeking {
			l.seeking = true
			l.nextAt = now
		}
	case Resign:
		out = l.resign(now, out)
	case Replied:
		out = l.handleReply(now, ev.Reply, out)
	}
	return l.advance(now, out)
}

// advance carries out what is due at now.
func (l *Lease) advance(now time.Time, out []Action) []Action {
	if l.held && !now.Before(l.until) {
		out = l.lose(out)
	}
	if l.op != 0 {
		if now.Sub(l.sentAt) < l.cfg.CallTimeout {
			return out
		}
		l.op = 0
		l.backOff(now)
	}
	if !l.seeking || now.Before(l.nextAt) {
		return out
	}
	if l.held && len(l.unconfirmed) == 0 {
		return l.write(now, l.fence, out)
	}
	return l.read(now, out)
}

func (l *Lease) lose(out []Action) []Action {
	l.held = false
	return append(out, Action{Kind: Lost, Fence: l.fence})
}

// resign frees the lease at once, so that the next holder does not have to wait
// for its end. If the write is lost, the lease expires.
func (l *Lease) resign(now time.Time, out []Action) []Action {
	l.seeking = false
	if !l.Holds(now) {
		return out
	}
	out = l.lose(out)
	if l.op != 0 || len(l.unconfirmed) > 0 {
		return out
	}
	released := Record{Fence: l.fence, Length: l.cfg.Length}
	out = append(out, l.startCall(now, object.Call{Op: object.Put, Version: l.version, Value: released.Encode()}))
	l.op = 0
	return out
}

func (l *Lease) read(now time.Time, out []Action) []Action {
	return append(out, l.startCall(now, object.Call{Op: object.Get}))
}

// write renews the lease or takes it over.
func (l *Lease) write(now time.Time, f Fence, out []Action) []Action {
	l.attempts++
	r := Record{
		Holder:      l.cfg.Self.Name,
		Incarnation: l.cfg.Self.Incarnation,
		Fence:       f,
		Attempt:     l.attempts,
		Length:      l.cfg.Length,
	}
	l.unconfirmed = append(l.unconfirmed, attempt{record: r, sentAt: now})
	if len(l.unconfirmed) > maxUnconfirmed {
		l.unconfirmed = l.unconfirmed[1:]
	}
	return append(out, l.startCall(now, object.Call{Op: object.Put, Version: l.version, Value: r.Encode()}))
}

func (l *Lease) startCall(now time.Time, c object.Call) Action {
	l.callID++
	c.ID = l.callID
	c.Key = l.cfg.Key
	c.Cause = Cause
	l.op = c.Op
	l.sentAt = now
	return Action{Kind: Call, Call: c}
}

// handleReply processes the reply to the call in flight. Replies to older calls are
// ignored: they contain nothing that a later read does not.
func (l *Lease) handleReply(now time.Time, r object.Reply, out []Action) []Action {
	if l.op == 0 || r.ID != l.callID {
		return out
	}
	op := l.op
	l.op = 0
	switch r.Status {
	case object.Done:
		l.failures = 0
		if op == object.Put {
			return l.writeConfirmed(now, r.Object.Version, out)
		}
		return l.recordRead(now, r.Object, out)
	case object.Conflict:
		l.failures = 0
		l.nextAt = now
		if r.Object.Version == 0 {
			return l.read(now, out)
		}
		return l.recordRead(now, r.Object, out)
	case object.NotFound:
		l.failures = 0
		return l.recordAbsent(now, out)
	case object.Refused:
		if op == object.Put {
			l.dropNewest()
		}
	}
	l.backOff(now)
	return out
}

// dropNewest forgets the newest write, which is known not to have taken effect.
func (l *Lease) dropNewest() {
	if n := len(l.unconfirmed); n > 0 {
		l.unconfirmed = l.unconfirmed[:n-1]
	}
}

// writeConfirmed handles a write that is known to have taken effect. Earlier writes
// without a reply can't take effect any more: each was conditional on an older
// version.
func (l *Lease) writeConfirmed(now time.Time, v object.Version, out []Action) []Action {
	a := l.unconfirmed[len(l.unconfirmed)-1]
	return l.hold(now, a, v, out)
}

// hold records that attempt a took effect as version v.
func (l *Lease) hold(now time.Time, a attempt, v object.Version, out []Action) []Action {
	l.unconfirmed = nil
	l.record = a.record
	l.version = v
	l.seenAt = now
	l.until = a.sentAt.Add(l.cfg.Length)
	l.nextAt = a.sentAt.Add(l.cfg.Length / 3)
	l.highestFence = max(l.highestFence, a.record.Fence)
	if l.held && l.fence == a.record.Fence {
		return out
	}
	if !now.Before(l.until) {
		return out
	}
	if a.record.Fence == l.fence {
		// A renewal whose reply was lost is found after this process had given the
		// lease up. The process has discarded its state under this fence, so it
		// takes the lease again under a new one.
		l.nextAt = now
		return out
	}
	l.held = true
	l.fence = a.record.Fence
	return append(out, Action{Kind: Gained, Fence: l.fence})
}

// recordRead processes the record as the platform returned it.
func (l *Lease) recordRead(now time.Time, o object.Object, out []Action) []Action {
	r, err := Decode(o.Value)
	if err != nil {
		l.nextAt = now.Add(l.cfg.Length)
		return append(out, Action{Kind: Violated, Violation: "lease record cannot be read: " + err.Error()})
	}
	if o.Version < l.version {
		// A read that lags behind shows an earlier holder. Using its age as the
		// age of the lease could end the present holder's time early.
		l.backOff(now)
		return out
	}
	if r.Fence < l.highestFence {
		out = append(out, Action{Kind: Violated, Violation: "lease fence fell"})
	}
	l.highestFence = max(l.highestFence, r.Fence)
	for _, a := range l.unconfirmed {
		if a.record == r {
			return l.hold(now, a, o.Version, out)
		}
	}
	if o.Version != l.version {
		// The unconfirmed writes were conditional on older versions.
		l.unconfirmed = nil
		l.version = o.Version
		l.record = r
		l.seenAt = now
	}
	return l.handleOtherRecord(now, out)
}

// handleOtherRecord decides what to do about a record that none of the unconfirmed writes
// wrote.
func (l *Lease) handleOtherRecord(now time.Time, out []Action) []Action {
	own := l.record.Holder == l.cfg.Self.Name && l.record.Incarnation == l.cfg.Self.Incarnation
	if own && l.held && l.record.Fence == l.fence {
		// The renewal has not taken effect. A second one on the same version is
		// safe: at most one of the two takes effect.
		return l.write(now, l.fence, out)
	}
	if l.held {
		out = l.lose(out)
	}
	if !l.seeking {
		return out
	}
	free := own || l.record.Holder == "" || now.Sub(l.seenAt) >= l.takeoverDelay()
	if free {
		return l.write(now, l.highestFence+1, out)
	}
	l.nextAt = now.Add(l.cfg.Length/4 + l.jitter(l.cfg.Length/8))
	return out
}

// takeoverDelay returns how long a record must stay unchanged before another
// process takes the lease over.
func (l *Lease) takeoverDelay() time.Duration {
	length := max(l.record.Length, l.cfg.Length)
	return length + length*time.Duration(l.cfg.DriftPercent)/100
}

// recordAbsent handles an object that does not exist. Unconfirmed writes are
// conditional on the version, so of several attempts to create the object only
// one can take effect.
func (l *Lease) recordAbsent(now time.Time, out []Action) []Action {
	if l.held {
		out = l.lose(out)
	}
	l.version = 0
	l.record = Record{}
	if !l.seeking {
		return out
	}
	return l.write(now, l.highestFence+1, out)
}

// backOff sets the time of the next call after a failure. The wait grows with each
// failure in a row, so that many processes do not all call at once a platform that
// is about to recover. For a holder the wait does not grow, since it has to renew
// the lease before it ends.
func (l *Lease) backOff(now time.Time) {
	l.failures = min(l.failures+1, 4)
	base := l.cfg.Length / 16 << l.failures
	if l.held {
		base = l.cfg.Length / 16
	}
	l.nextAt = now.Add(base/2 + l.jitter(base))
}

// jitter returns a random duration from 0 to d.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return time.Duration(l.rng.Int64N(int64(d) + 1))
}
