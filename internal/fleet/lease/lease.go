package lease

import (
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Cause is the cause under which the calls of this package are counted.
const Cause object.Cause = "lease"

// Defaults of [Config].
const (
	DefaultLength       = 4 * time.Second
	DefaultCallTimeout  = time.Second
	DefaultDriftPercent = 5
)

// Config sets up a [Lease].
type Config struct {
	Key          object.Key    // for example "leases/plan/chat/7", of a service and a group
	Self         host.Identity // the process that seeks the lease
	Length       time.Duration // how long one write holds the lease; it is renewed after a third
	CallTimeout  time.Duration // a call without a reply for so long counts as unknown
	DriftPercent int           // margin for clocks of different rates, in percent of Length
}

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Tick   EventKind = iota + 1 // the time of [Lease.Deadline] has come
	Seek                        // try to get the lease and keep it
	Resign                      // give the lease up, or stop seeking it
	Answer                      // Event.Reply holds the end of a call
)

// Event is an input of [Lease.Handle].
type Event struct {
	Kind  EventKind
	Reply object.Reply
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Call    ActionKind = iota + 1 // make Action.Call and hand back its reply
	Gained                        // the lease is held with Action.Fence
	Lost                          // the lease is no longer held
	Violate                       // an invariant does not hold: Action.Violation
)

// Action is an output of [Lease.Handle].
type Action struct {
	Kind      ActionKind
	Call      object.Call
	Fence     Fence
	Violation string
}

// attempt is a write on its way, or one whose answer was lost.
type attempt struct {
	record Record
	sentAt time.Time
}

// maxDoubtful bounds the remembered attempts without an answer. Older ones are
// counted as not held, which is safe: the lease is then taken again.
const maxDoubtful = 8

// Lease is the state of one process with regard to one lease. It is not safe
// for use by several goroutines.
type Lease struct {
	cfg Config
	rng *rand.Rand

	seeking  bool
	held     bool
	until    time.Time // the end of the held time on the own clock
	fence    Fence     // of the held lease
	highest  Fence     // the highest fence ever seen
	attempts uint64

	record  Record // as last seen
	version object.Version
	seenAt  time.Time // when this version was first seen

	callID   uint64
	op       object.Op // of the call on its way, 0 if there is none
	sentAt   time.Time
	doubtful []attempt // writes not known to have failed, the newest last
	failures int
	nextAt   time.Time
}

// New returns a lease that is neither held nor sought.
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

// Holds tells whether the lease is held at now. A holder asks before each act
// that needs the lease, because it may have been paused since the last event.
func (l *Lease) Holds(now time.Time) bool {
	return l.held && now.Before(l.until)
}

// Fence returns the fence of the lease as last held.
func (l *Lease) Fence() Fence { return l.fence }

// Until returns the time up to which the lease is held.
func (l *Lease) Until() time.Time { return l.until }

// Holder returns the holder and its fence as last read.
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

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// Handle takes in one event and returns what is to be done.
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
	case Answer:
		out = l.answer(now, ev.Reply, out)
	}
	return l.advance(now, out)
}

// advance does what is due at now.
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
	if l.held && len(l.doubtful) == 0 {
		return l.write(now, l.fence, out)
	}
	return l.read(now, out)
}

func (l *Lease) lose(out []Action) []Action {
	l.held = false
	return append(out, Action{Kind: Lost, Fence: l.fence})
}

// resign frees the lease at once, so that the next holder need not wait for its
// end. If the write is lost, the lease simply lapses.
func (l *Lease) resign(now time.Time, out []Action) []Action {
	l.seeking = false
	if !l.Holds(now) {
		return out
	}
	out = l.lose(out)
	if l.op != 0 || len(l.doubtful) > 0 {
		return out
	}
	free := Record{Fence: l.fence, Length: l.cfg.Length}
	out = append(out, l.call(now, object.Call{Op: object.Put, Version: l.version, Value: free.Encode()}))
	l.op = 0
	return out
}

func (l *Lease) read(now time.Time, out []Action) []Action {
	return append(out, l.call(now, object.Call{Op: object.Get}))
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
	l.doubtful = append(l.doubtful, attempt{record: r, sentAt: now})
	if len(l.doubtful) > maxDoubtful {
		l.doubtful = l.doubtful[1:]
	}
	return append(out, l.call(now, object.Call{Op: object.Put, Version: l.version, Value: r.Encode()}))
}

func (l *Lease) call(now time.Time, c object.Call) Action {
	l.callID++
	c.ID = l.callID
	c.Key = l.cfg.Key
	c.Cause = Cause
	l.op = c.Op
	l.sentAt = now
	return Action{Kind: Call, Call: c}
}

// answer takes in the end of the call on its way. Replies to older calls say
// nothing that a later read does not.
func (l *Lease) answer(now time.Time, r object.Reply, out []Action) []Action {
	if l.op == 0 || r.ID != l.callID {
		return out
	}
	op := l.op
	l.op = 0
	switch r.Status {
	case object.Done:
		l.failures = 0
		if op == object.Put {
			return l.landed(now, r.Object.Version, out)
		}
		return l.seen(now, r.Object, out)
	case object.Conflict:
		l.failures = 0
		l.nextAt = now
		if r.Object.Version == 0 {
			return l.read(now, out)
		}
		return l.seen(now, r.Object, out)
	case object.NotFound:
		l.failures = 0
		return l.absent(now, out)
	case object.Refused:
		if op == object.Put {
			l.dropNewest()
		}
	}
	l.backOff(now)
	return out
}

// dropNewest forgets a write that is known not to have taken effect.
func (l *Lease) dropNewest() {
	if n := len(l.doubtful); n > 0 {
		l.doubtful = l.doubtful[:n-1]
	}
}

// landed handles a confirmed write. Lost answers before it are settled too:
// each write was conditional on the version before.
func (l *Lease) landed(now time.Time, v object.Version, out []Action) []Action {
	a := l.doubtful[len(l.doubtful)-1]
	return l.hold(now, a, v, out)
}

func (l *Lease) hold(now time.Time, a attempt, v object.Version, out []Action) []Action {
	l.doubtful = nil
	l.record = a.record
	l.version = v
	l.seenAt = now
	l.until = a.sentAt.Add(l.cfg.Length)
	l.nextAt = a.sentAt.Add(l.cfg.Length / 3)
	l.highest = max(l.highest, a.record.Fence)
	if l.held && l.fence == a.record.Fence {
		return out
	}
	if !now.Before(l.until) {
		return out
	}
	if a.record.Fence == l.fence {
		// A renewal whose answer was lost turns up after the lease was given up.
		// Whoever held it has forgotten what it did under this fence, so it
		// begins again under a new one.
		l.nextAt = now
		return out
	}
	l.held = true
	l.fence = a.record.Fence
	return append(out, Action{Kind: Gained, Fence: l.fence})
}

// seen takes in the record as the platform has it.
func (l *Lease) seen(now time.Time, o object.Object, out []Action) []Action {
	r, err := Decode(o.Value)
	if err != nil {
		l.nextAt = now.Add(l.cfg.Length)
		return append(out, Action{Kind: Violate, Violation: "lease record cannot be read: " + err.Error()})
	}
	if o.Version < l.version {
		// A read that lags behind shows a holder of the past. Taking its age
		// for the age of the lease could end a living holder's time early.
		l.backOff(now)
		return out
	}
	if r.Fence < l.highest {
		out = append(out, Action{Kind: Violate, Violation: "lease fence fell"})
	}
	l.highest = max(l.highest, r.Fence)
	for _, a := range l.doubtful {
		if a.record == r {
			return l.hold(now, a, o.Version, out)
		}
	}
	if o.Version != l.version {
		// The writes in doubt were conditional on older versions.
		l.doubtful = nil
		l.version = o.Version
		l.record = r
		l.seenAt = now
	}
	return l.foreign(now, out)
}

// foreign decides what to do about a record that none of the writes in doubt made.
func (l *Lease) foreign(now time.Time, out []Action) []Action {
	own := l.record.Holder == l.cfg.Self.Name && l.record.Incarnation == l.cfg.Self.Incarnation
	if own && l.held && l.record.Fence == l.fence {
		// The renewal has not landed. A second one on the same version is safe:
		// at most one of the two takes effect.
		return l.write(now, l.fence, out)
	}
	if l.held {
		out = l.lose(out)
	}
	if !l.seeking {
		return out
	}
	free := own || l.record.Holder == "" || now.Sub(l.seenAt) >= l.patience()
	if free {
		return l.write(now, l.highest+1, out)
	}
	l.nextAt = now.Add(l.cfg.Length/4 + l.jitter(l.cfg.Length/8))
	return out
}

// patience is how long a record must stay unchanged before it is taken over.
func (l *Lease) patience() time.Duration {
	length := max(l.record.Length, l.cfg.Length)
	return length + length*time.Duration(l.cfg.DriftPercent)/100
}

// absent handles an object that does not exist. Writes in doubt are conditional
// on the version, so a second attempt to create it cannot take effect twice.
func (l *Lease) absent(now time.Time, out []Action) []Action {
	if l.held {
		out = l.lose(out)
	}
	l.version = 0
	l.record = Record{}
	if !l.seeking {
		return out
	}
	return l.write(now, l.highest+1, out)
}

// backOff waits longer after each failure in a row, so that many processes do
// not call a platform that is about to return all at once. A holder goes on
// trying at the pace of its lease.
func (l *Lease) backOff(now time.Time) {
	l.failures = min(l.failures+1, 4)
	base := l.cfg.Length / 16 << l.failures
	if l.held {
		base = l.cfg.Length / 16
	}
	l.nextAt = now.Add(base/2 + l.jitter(base))
}

func (l *Lease) jitter(d time.Duration) time.Duration {
	return time.Duration(l.rng.Int64N(int64(d) + 1))
}
