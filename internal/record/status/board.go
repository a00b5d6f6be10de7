package status

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// How often a status is written.
const (
	shortest     = time.Second      // between two writes of one service
	refreshEvery = 30 * time.Second // when nothing changed, so that its age tells something
	maxBackoff   = 30 * time.Second // after calls that failed
)

// Causes under which the board's calls are counted.
const (
	CauseRead  object.Cause = "statusRead"
	CauseWrite object.Cause = "statusWrite"
)

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Gained    EventKind = iota + 1 // this process holds the lease with Event.Fence
	Lost                           // another one may hold it
	Accept                         // Event.Accepted of Event.Service is accepted
	Joined                         // Event.Host should have all documents in force, unless it is Event.Silent
	Gone                           // Event.Host need not any more
	Holding                        // Event.Host has Event.Number of Event.Service in force
	Waiting                        // Event.Wait is under way, or nil: nothing is
	Refused                        // Event.Refusal says why a document was refused
	Requested                      // Event.Outcomes of Event.Host, since it started
	Answered                       // Event.Reply is the end of a call
	Tick                           // the time of [Board.Deadline] has come
)

// Event is an input of [Board.Handle].
type Event struct {
	Kind     EventKind
	Service  string
	Fence    uint64
	Host     host.Name
	Silent   bool
	Number   uint64
	Accepted Accepted
	Wait     *Wait
	Refusal  Refusal
	Outcomes Outcomes
	Reply    object.Reply
}

// Action asks for a call to the platform, whose reply is handed back.
type Action struct {
	Call object.Call
}

// Board keeps the status of all services and decides when each is written. It
// is not safe for use by several goroutines.
type Board struct {
	self    host.Name
	rng     *rand.Rand
	held    bool
	fence   uint64
	members map[host.Name]bool // whether it is silent
	panels  map[string]*panel
	calls   map[uint64]*panel
	lastID  uint64
	out     []Action
}

// panel is the status of one service.
type panel struct {
	service  string
	accepted *Accepted
	wait     *Wait
	refused  *Refusal
	numbers  map[host.Name]uint64
	outcomes map[host.Name]Outcomes

	known   bool // the version is
	version object.Version
	changed bool      // since the last write began, but for the counts of requests
	asked   uint64    // call that is under way, 0 for none
	dueAt   time.Time // not to be called for before
	wroteAt time.Time
	backoff time.Duration
}

// NewBoard returns the board of a process.
func NewBoard(self host.Name, rng *rand.Rand) *Board {
	return &Board{
		self: self, rng: rng,
		members: make(map[host.Name]bool),
		panels:  make(map[string]*panel),
		calls:   make(map[uint64]*panel),
	}
}

// Deadline returns when the next Tick is due, or the zero time.
func (b *Board) Deadline() time.Time {
	var next time.Time
	if !b.held {
		return next
	}
	for _, p := range b.panels {
		if p.asked != 0 {
			continue
		}
		at := p.due()
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Status returns the status of a service as this process knows it.
func (b *Board) Status(now time.Time, service string) (Status, bool) {
	p, ok := b.panels[service]
	if !ok {
		return Status{}, false
	}
	s := b.status(p)
	s.At = now.UTC()
	return s, true
}

// Holds returns the number of a service that a process is known to have in force.
func (b *Board) Holds(service string, name host.Name) uint64 {
	p, ok := b.panels[service]
	if !ok {
		return 0
	}
	return p.numbers[name]
}

// Handle takes in one event and returns the calls to be made.
func (b *Board) Handle(now time.Time, ev Event) []Action {
	b.out = nil
	switch ev.Kind {
	case Gained:
		b.gained(ev.Fence)
	case Lost:
		b.held = false
		clear(b.calls)
	case Joined:
		b.joined(ev.Host, ev.Silent)
	case Gone:
		b.gone(ev.Host)
	case Answered:
		b.answered(now, ev.Reply)
	case Tick:
	case Holding:
		// Reports come in bunches. The Tick that is due at once writes them all;
		// a write for the first would make the others wait for the next.
		b.panel(ev.Service).holds(ev.Host, ev.Number)
		return nil
	default:
		b.observed(ev)
	}
	if b.held {
		b.write(now)
	}
	return b.out
}

func (b *Board) gained(fence uint64) {
	b.held, b.fence = true, fence
	clear(b.calls)
	for _, p := range b.panels {
		p.known, p.changed, p.asked, p.dueAt = false, true, 0, time.Time{}
	}
}

func (b *Board) joined(name host.Name, silent bool) {
	if was, known := b.members[name]; known && was == silent {
		return
	}
	b.members[name] = silent
	for _, p := range b.panels {
		p.changed = true
	}
}

func (b *Board) gone(name host.Name) {
	delete(b.members, name)
	for _, p := range b.panels {
		delete(p.numbers, name)
		p.changed = true
	}
}

// observed takes in what is known about a service. Counts of requests change
// all the time and wait for the next refresh.
func (b *Board) observed(ev Event) {
	p := b.panel(ev.Service)
	if ev.Kind == Requested {
		p.outcomes[ev.Host] = ev.Outcomes
		return
	}
	p.changed = true
	switch ev.Kind {
	case Accept:
		p.accept(ev.Accepted)
	case Waiting:
		p.wait = ev.Wait
	case Refused:
		if p.accepted == nil || ev.Refusal.Version > p.accepted.Version {
			p.refused = &ev.Refusal
		}
	}
}

// holds takes in what a member has in force. Reports can come out of order;
// what is in force never goes back.
func (p *panel) holds(name host.Name, number uint64) {
	if number > p.numbers[name] {
		p.numbers[name] = number
		p.changed = true
	}
}

// accept takes in an accepted document. A lower number is old news. The same one
// may come again with more about it: first as being in force, then as accepted.
func (p *panel) accept(a Accepted) {
	if p.accepted != nil && (a.Number < p.accepted.Number || a.Number == p.accepted.Number && a.Version == 0) {
		return
	}
	p.accepted = &a
	p.wait = nil
	if p.refused != nil && p.refused.Version <= a.Version {
		p.refused = nil
	}
}

func (b *Board) panel(service string) *panel {
	p, ok := b.panels[service]
	if !ok {
		p = &panel{service: service, numbers: make(map[host.Name]uint64), outcomes: make(map[host.Name]Outcomes)}
		b.panels[service] = p
	}
	return p
}

// status returns the status without the time at which it is written.
func (b *Board) status(p *panel) Status {
	s := Status{Service: p.service, Fence: b.fence, Holder: b.self, Waiting: p.wait, Refused: p.refused, Accepted: p.accepted}
	for _, o := range p.outcomes {
		s.Outcomes.Add(o)
	}
	if p.accepted == nil {
		return s
	}
	s.Of = len(b.members)
	for name, silent := range b.members {
		n := p.numbers[name]
		if n >= p.accepted.Number {
			continue
		}
		s.Lagging = append(s.Lagging, Lag{Host: name, Number: n, Silent: silent})
		if silent {
			s.Silent++
		}
	}
	s.InForce = s.Of - len(s.Lagging)
	slices.SortFunc(s.Lagging, func(x, y Lag) int {
		// Those that may be looked into come first.
		return cmp.Or(compareBool(x.Silent, y.Silent), cmp.Compare(x.Number, y.Number), cmp.Compare(x.Host, y.Host))
	})
	return s
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// due returns when a panel is written next.
func (p *panel) due() time.Time {
	at := p.wroteAt.Add(refreshEvery)
	if p.changed {
		at = p.wroteAt.Add(shortest)
	}
	if at.Before(p.dueAt) {
		return p.dueAt
	}
	return at
}

// write begins the calls that are due. A service's object is read before its
// first write, so that the write has a version.
func (b *Board) write(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(b.panels)) {
		p := b.panels[name]
		if p.asked != 0 || now.Before(p.due()) {
			continue
		}
		if !p.known {
			b.call(p, object.Call{Op: object.Get, Key: Key(p.service), Cause: CauseRead})
			continue
		}
		s := b.status(p)
		s.At = now.UTC()
		p.changed = false
		b.call(p, object.Call{Op: object.Put, Key: Key(p.service), Version: p.version, Value: s.Encode(), Cause: CauseWrite})
	}
}

func (b *Board) call(p *panel, c object.Call) {
	b.lastID++
	c.ID = b.lastID
	p.asked = c.ID
	b.calls[c.ID] = p
	b.out = append(b.out, Action{Call: c})
}

func (b *Board) answered(now time.Time, r object.Reply) {
	p := b.calls[r.ID]
	delete(b.calls, r.ID)
	if p == nil || p.asked != r.ID {
		return
	}
	p.asked = 0
	switch {
	case r.Op == object.Get && (r.Status == object.Done || r.Status == object.NotFound):
		b.read(p, r.Object)
	case r.Status == object.Done:
		p.version, p.wroteAt, p.backoff = r.Object.Version, now, 0
	default:
		// A status that is lost is only late. The next write begins with a read.
		p.known, p.changed = false, true
		p.backoff = min(max(2*p.backoff, shortest), maxBackoff)
		p.dueAt = now.Add(p.backoff/2 + time.Duration(b.rng.Int64N(int64(p.backoff))))
	}
}

// read takes in the stored status. If it is of a later holder, this process has
// lost the lease without knowing it yet: what it would write is older.
func (b *Board) read(p *panel, o object.Object) {
	stored, err := Decode(o.Value)
	if o.Version != 0 && err == nil && stored.Fence > b.fence {
		b.held = false
		return
	}
	p.known, p.version = true, o.Version
}
