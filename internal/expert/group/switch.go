package group

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// phase is what a rank knows of its group.
type phase uint8

const (
	unformed phase = iota // no record has been seen
	reading               // waits for what the engine has been ordered
	unsure                // the engine can't tell; another rank may know
	forming               // joins an epoch
	settled               // takes part
)

var phaseNames = [...]string{"unformed", "reading", "unsure", "forming", "settled"}

// Switch is one rank's part in its group. It is not safe for use by several
// goroutines.
type Switch struct {
	cfg   Config
	phase phase

	record   *Record // of the epoch that the rank takes part in
	rank     int
	inForce  Number
	current  *expertmap.Map        // of inForce; nil if only its number is known
	switched uint64                // first step with the map in force, if known
	floor    Number                // refused for good up to here, but for inForce and open
	fence    lease.Fence           // highest known
	next     uint64                // first step that the engine has not begun
	open     *open                 // the switch that the rank takes part in
	held     weights               // what the engine is known to hold or to be loading
	heldMore bool                  // the engine may hold others, from an earlier life of the sidecar
	extra    []expertmap.Placement // without an open switch: what the engine may let go of
	dropAt   time.Time             // and when

	load    loading     // for forming
	waiting order.Order // given and not ended

	waitingFor uint64 // the epoch that it was given in
	sequence   uint64
	retryAt    time.Time
	askAt      time.Time // reading and unsure: when to ask next
	since      time.Time // unsure: since when
	unsures    []bool    // unsure: which ranks are unsure too
	reformAt   time.Time // not before this another Reform is asked for
	keepers    []host.Name
	aliveAt    time.Time // when to tell the keepers next

	out []Action
}

// New returns the part of a rank that knows nothing of its group yet.
func New(cfg Config) *Switch {
	return &Switch{cfg: cfg.withDefaults(), held: weights{}}
}

// Handle takes in one event and returns what is to be done.
func (s *Switch) Handle(now time.Time, ev Event) []Action {
	s.out = nil
	switch ev.Kind {
	case Formed:
		s.formed(now, ev.Record)
	case Kept:
		s.keepers = ev.Keepers
		s.aliveAt = now
	case Received:
		s.received(now, ev.From, ev.Message)
	case OrderDone:
		s.orderDone(now, ev.Result)
	case ReadBack:
		s.readBack(now, ev.State)
	case Stepped:
		s.stepped(now, ev.Next)
	case Fenced:
		s.fenced(now, ev.Fence)
	}
	s.advance(now)
	return s.out
}

// advance does what is due at now.
func (s *Switch) advance(now time.Time) {
	s.sayAlive(now)
	switch s.phase {
	case reading:
		s.readAgain(now)
	case unsure:
		s.askOthers(now)
	case settled:
		s.expire(now)
		s.collect(now)
	}
	s.giveOrder(now)
}

// Deadline returns when the next [Tick] is due. The zero time means never.
func (s *Switch) Deadline() time.Time {
	d := s.aliveAt
	if s.phase == reading || s.phase == unsure {
		d = earliest(d, s.askAt)
	}
	if s.open != nil {
		d = earliest(d, s.open.deadline())
	}
	if s.waiting.Kind == 0 {
		d = earliest(d, s.orderAt())
	}
	return d
}

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// formed takes in the group's record.
func (s *Switch) formed(now time.Time, r *Record) {
	if r == nil || r.Check() != nil || r.RankOf(s.cfg.Self) < 0 {
		return
	}
	if s.record != nil && r.Epoch <= s.record.Epoch {
		s.refresh(r)
		return
	}
	s.record = r
	s.rank = r.RankOf(s.cfg.Self)
	s.open = nil
	s.reformAt = time.Time{}
	s.fence = max(s.fence, r.Fence)
	if r.Lives[s.rank] == s.cfg.Incarnation {
		s.form(now)
		return
	}
	s.begin(now)
}

// refresh learns the contents of the map in force, which a restarted rank may
// know by number only.
func (s *Switch) refresh(r *Record) {
	if s.current == nil && r.Epoch == s.record.Epoch && r.Number == s.inForce {
		s.current = r.Map
		s.extra = s.surplus()
	}
}

// closeAt leaves the rank without an open switch. What the map in force doesn't
// need is dropped at the given time, unless a next switch needs it.
func (s *Switch) closeAt(drop time.Time) {
	s.open = nil
	s.dropAt = drop
	s.extra = s.surplus()
}

// form leaves whatever the rank took part in and joins the record's epoch. The
// record names this life of the sidecar, so no earlier one has joined it. A
// promise of the old epoch needs no outcome: its lock-step can't make a step
// without this rank, whose engine is limited until it leaves.
func (s *Switch) form(now time.Time) {
	s.phase = forming
	s.open = nil
	s.load = s.loadingOf(s.record.Map, s.cfg.Rate, s.cfg.ExpertBytes)
	s.retryAt = now
}

func (s *Switch) joined(now time.Time, next uint64) {
	s.phase = settled
	s.inForce = s.record.Number
	s.current = s.record.Map
	s.floor = s.record.Number
	s.next = next
	s.switched = next
	s.closeAt(now.Add(s.cfg.Keep))
	s.emit(Action{Kind: InForce, Record: *s.record})
}

// stepped takes in how far the engine has come.
func (s *Switch) stepped(now time.Time, next uint64) {
	if next <= s.next {
		return
	}
	s.next = next
	s.checkStep(now)
}

// checkStep sees whether the engine has begun the step of the open switch.
func (s *Switch) checkStep(now time.Time) {
	next := s.next
	o := s.open
	if o == nil || o.step == 0 || next <= o.step {
		return
	}
	switch o.stage {
	case promised:
		// The engine went past the limit that it had confirmed. Other ranks may
		// have switched, so a step may have seen two maps.
		s.violate("engine began step %d with a limit at %d and no outcome", next-1, o.step)
	case committed:
		s.passed(now)
	}
}

func (s *Switch) passed(now time.Time) {
	o := s.open
	o.enter(now, passed)
	s.inForce = o.number
	s.current = o.m
	s.switched = o.step
	s.report(o.proposer, o.number, "")
	s.emit(Action{Kind: InForce, Record: Record{
		Name: s.record.Name, Epoch: s.record.Epoch, Fence: o.number.Fence(), Number: o.number, Ranks: s.record.Ranks, Map: o.m,
	}})
}

// fenced takes in a fence. A newer planner is there, so nothing of an older one
// is promised any more. What has been promised goes on: its outcome belongs to
// the group and not to the planner.
func (s *Switch) fenced(now time.Time, f lease.Fence) {
	if f <= s.fence {
		return
	}
	s.fence = f
	if o := s.open; o != nil && o.undecided() && o.number.Fence() < f {
		s.refuse(now, Superseded)
	}
}

func (s *Switch) emit(a Action) {
	s.out = append(s.out, a)
}

func (s *Switch) violate(format string, args ...any) {
	s.emit(Action{Kind: Violate, Text: fmt.Sprintf(format, args...)})
}

// reform asks for a new epoch, and again if none comes.
func (s *Switch) reform(now time.Time, format string, args ...any) {
	if now.Before(s.reformAt) {
		return
	}
	s.reformAt = now.Add(s.cfg.DeadAfter)
	s.emit(Action{Kind: Reform, Record: *s.record, Text: fmt.Sprintf(format, args...)})
	for _, name := range s.keepers {
		s.send(name, Message{Kind: Renew, Incarnation: s.cfg.Incarnation})
	}
}

// sayAlive tells the keepers which life of the sidecar is there and which epoch
// it knows. A keeper answers with the record if there is a newer one, so a rank
// that missed it needs no platform.
func (s *Switch) sayAlive(now time.Time) {
	if s.aliveAt.IsZero() || now.Before(s.aliveAt) {
		return
	}
	s.aliveAt = now.Add(s.cfg.Heartbeat)
	for _, name := range s.keepers {
		s.send(name, Message{Kind: Alive, Incarnation: s.cfg.Incarnation})
	}
}

func (s *Switch) send(to host.Name, m Message) {
	m.Group = s.cfg.Group
	if s.record != nil {
		m.Group, m.Epoch = s.record.Name, s.record.Epoch
	}
	s.emit(Action{Kind: Send, To: to, Message: m})
}
