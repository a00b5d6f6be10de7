package group

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// phase is the state of a rank in its group.
type phase uint8

const (
	unformed phase = iota // the rank has no record of the group
	reading               // waits for the engine's state
	unsure                // the engine can't report its state; asks the other ranks
	forming               // the engine loads weights and joins the epoch
	settled               // the rank is in the epoch and takes part in switches
)

var phaseNames = [...]string{"unformed", "reading", "unsure", "forming", "settled"}

// Switch is one rank's part in the map switches of its group. It is not safe for
// concurrent use.
type Switch struct {
	cfg   Config
	phase phase

	record       *Record // of the epoch that the rank is in or joins
	rank         int
	activeNumber Number                // of the active map
	activeMap    *expertmap.Map        // the active map; nil if only its number is known
	activeSince  uint64                // first step with the active map; 0 if unknown
	floor        Number                // numbers up to this are refused for good, except activeNumber and that of open
	fence        lease.Fence           // highest fence known
	next         uint64                // first step that the engine has not begun
	open         *open                 // the switch in progress; nil if there is none
	held         weights               // what the engine is known to hold or to be loading
	mayHoldMore  bool                  // the engine may hold more, from an earlier incarnation of the sidecar
	toDrop       []expertmap.Placement // without an open switch: what the engine is to drop
	dropAt       time.Time             // when the engine is to drop it

	load         loading     // in forming
	pendingOrder order.Order // the order without a result; Kind is 0 if there is none

	pendingEpoch   uint64    // the epoch in which that order was given
	sequence       uint64    // of the last order
	retryAt        time.Time // no order is given before this
	askAt          time.Time // in reading and unsure: when to ask next
	unsureSince    time.Time // when the rank became unsure
	unsureRanks    []bool    // in unsure: which ranks are unsure
	requestEpochAt time.Time // no RequestEpoch is repeated before this
	keepers        []host.Name
	heartbeatAt    time.Time // when to send the next heartbeat to the keepers

	out []Action
}

// New returns the switch of a rank that has no record of its group yet.
func New(cfg Config) *Switch {
	return &Switch{cfg: cfg.withDefaults(), held: weights{}}
}

// Handle processes one event and returns the actions to carry out.
func (s *Switch) Handle(now time.Time, ev Event) []Action {
	s.out = nil
	switch ev.Kind {
	case Formed:
		s.formed(now, ev.Record)
	case KeepersChanged:
		s.keepers = ev.Keepers
		s.heartbeatAt = now
	case Received:
		s.received(now, ev.From, ev.Message)
	case OrderDone:
		s.orderDone(now, ev.Result)
	case ReadBack:
		s.readBack(now, ev.State)
	case StepRead:
		s.stepped(now, ev.Next)
	case FenceRead:
		s.learnFence(now, ev.Fence)
	}
	s.advance(now)
	return s.out
}

// advance does what is due at now.
func (s *Switch) advance(now time.Time) {
	s.sendHeartbeats(now)
	switch s.phase {
	case reading:
		s.requestReadBack(now)
	case unsure:
		s.askOthers(now)
	case settled:
		s.expire(now)
		s.collect(now)
	}
	s.submitOrder(now)
}

// Deadline returns when the next [Tick] is due. The zero time means never.
func (s *Switch) Deadline() time.Time {
	d := s.heartbeatAt
	if s.phase == reading || s.phase == unsure {
		d = earliest(d, s.askAt)
	}
	if s.open != nil {
		d = earliest(d, s.open.deadline())
	}
	if s.pendingOrder.Kind == 0 {
		d = earliest(d, s.nextOrderAt())
	}
	return d
}

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// formed handles a record of the group.
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
	s.requestEpochAt = time.Time{}
	s.fence = max(s.fence, r.Fence)
	if r.Incarnations[s.rank] == s.cfg.Incarnation {
		s.form(now)
		return
	}
	s.startRecovery(now)
}

// refresh learns the contents of the active map, of which a restarted rank may know
// only the number.
func (s *Switch) refresh(r *Record) {
	if s.activeMap == nil && r.Epoch == s.record.Epoch && r.Number == s.activeNumber {
		s.activeMap = r.Map
		s.toDrop = s.surplus()
	}
}

// closeOpen ends the open switch. Weights that the active map doesn't need are
// dropped at dropAt, unless a switch that begins before then needs them.
func (s *Switch) closeOpen(dropAt time.Time) {
	s.open = nil
	s.dropAt = dropAt
	s.toDrop = s.surplus()
}

// form ends the rank's part in the old epoch and begins to join the record's. The
// record names this incarnation of the sidecar, so no earlier one has joined the
// epoch. A promise of the old epoch needs no outcome: its lock-step can't make a
// step without this rank, whose engine keeps the limit until it leaves.
func (s *Switch) form(now time.Time) {
	s.phase = forming
	s.open = nil
	s.load = s.loadingOf(s.record.Map, s.cfg.Rate, s.cfg.ExpertBytes)
	s.retryAt = now
}

func (s *Switch) joined(now time.Time, next uint64) {
	s.phase = settled
	s.activeNumber = s.record.Number
	s.activeMap = s.record.Map
	s.floor = s.record.Number
	s.next = next
	s.activeSince = next
	s.closeOpen(now.Add(s.cfg.Keep))
	s.emit(Action{Kind: MapActivated, Record: *s.record})
}

// stepped records the first step that the engine has not begun.
func (s *Switch) stepped(now time.Time, next uint64) {
	if next <= s.next {
		return
	}
	s.next = next
	s.checkStep(now)
}

// checkStep checks whether the engine has begun the step of the open switch.
func (s *Switch) checkStep(now time.Time) {
	next := s.next
	o := s.open
	if o == nil || o.step == 0 || next <= o.step {
		return
	}
	switch o.stage {
	case promised:
		// The engine went past the limit that it had confirmed. Other ranks may
		// have switched, so a step may have used two maps.
		s.violate("engine began step %d with a limit at %d and no outcome", next-1, o.step)
	case committed:
		s.passed(now)
	}
}

func (s *Switch) passed(now time.Time) {
	o := s.open
	o.enter(now, passed)
	s.activeNumber = o.number
	s.activeMap = o.newMap
	s.activeSince = o.step
	s.report(o.proposer, o.number, "")
	s.emit(Action{Kind: MapActivated, Record: Record{
		Name: s.record.Name, Epoch: s.record.Epoch, Fence: o.number.Fence(),
		Number: o.number, Ranks: s.record.Ranks, Map: o.newMap,
	}})
}

// learnFence handles a planning fence. A higher one means that there is a newer
// planner, so no switch of an older one is promised any more. A promised switch
// goes on: its outcome depends on the ranks and not on the planner.
func (s *Switch) learnFence(now time.Time, f lease.Fence) {
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

// requestEpoch asks for a new epoch. It repeats the request only after ReformAfter.
func (s *Switch) requestEpoch(now time.Time, format string, args ...any) {
	if now.Before(s.requestEpochAt) {
		return
	}
	s.requestEpochAt = now.Add(s.cfg.ReformAfter)
	s.emit(Action{Kind: RequestEpoch, Record: *s.record, Text: fmt.Sprintf(format, args...)})
	for _, name := range s.keepers {
		s.send(name, Message{Kind: EpochRequest, Incarnation: s.cfg.Incarnation})
	}
}

// sendHeartbeats sends the keepers the sidecar's incarnation and its epoch. A
// keeper answers with the record if it has a newer one, so a rank that missed it
// needs no platform call.
func (s *Switch) sendHeartbeats(now time.Time) {
	if s.heartbeatAt.IsZero() || now.Before(s.heartbeatAt) {
		return
	}
	s.heartbeatAt = now.Add(s.cfg.Heartbeat)
	for _, name := range s.keepers {
		s.send(name, Message{Kind: Heartbeat, Incarnation: s.cfg.Incarnation})
	}
}

func (s *Switch) send(to host.Name, m Message) {
	m.Group = s.cfg.Group
	if s.record != nil {
		m.Group, m.Epoch = s.record.Name, s.record.Epoch
	}
	s.emit(Action{Kind: Send, To: to, Message: m})
}
