package acceptance

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Config sets up a [Process].
type Config struct {
	Member member.Config
	Lease  lease.Config // Key and Self are filled in

	// Check checks a text before it is staged, and at each member before it
	// says that it holds it. Nil accepts every text.
	Check CheckFunc
	// Desired takes text and author out of the value of documents/<service>.
	// Nil takes the value as the text.
	Desired func(value []byte) (text []byte, author string, err error)
}

func (c *Config) check(service string, text []byte) finding.List {
	if c.Check == nil {
		return nil
	}
	return c.Check(service, text)
}

func (c *Config) leaseLength() time.Duration {
	if c.Lease.Length > 0 {
		return c.Lease.Length
	}
	return lease.DefaultLength
}

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Tick     EventKind = iota + 1 // the time of [Process.Deadline] has come
	Received                      // Event.Envelope came from another process
	Answer                        // Event.Reply is the end of a call
	Observed                      // the platform's watch shows Event.Object
	Listed                        // the platform's list of hosts: Event.Hosts
	Publish                       // spread Event.Facts for another duty
	Leave                         // this process begins to leave
	Depart                        // this process ends now
)

// Event is an input of [Process.Handle].
type Event struct {
	Kind     EventKind
	Envelope *Envelope
	Reply    object.Reply
	Object   object.Object
	Hosts    []member.Listing
	Facts    []member.Fact
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Send       ActionKind = iota + 1 // send Action.Envelope to Action.To
	Call                             // make Action.Call and hand back its reply
	Watch                            // begin or end, as Action.On says, to watch the documents
	InForce                          // Action.Document is in force from now on
	Changed                          // Action.Record of a member is new or has changed
	Learned                          // Action.Fact of another duty is new
	Accepted                         // this holder has accepted Action.Entry
	Rejected                         // the document of Action.Version failed a check
	Waiting                          // acceptance waits for the members Action.Names
	Gained                           // this process holds the lease with Action.Fence
	Lost                             // it does not any more
	Superseded                       // a later life of this process exists: end this one
	Violate                          // an invariant does not hold: Action.Violation

	// Actions between the parts of a process.
	settle
	publish
	stillOpen
	resign
	remember
	writeRoster
)

// Action is an output of [Process.Handle].
type Action struct {
	Kind      ActionKind
	To        netip.AddrPort
	Name      host.Name // of the receiver, empty if it is not known
	Envelope  *Envelope
	Call      object.Call
	On        bool
	Document  Document
	Record    member.Record
	Fact      member.Fact
	Service   string
	Entry     Entry
	Version   object.Version
	Findings  finding.List
	Reason    string
	Names     []host.Name
	Fence     lease.Fence
	Violation string

	stage      StageVersion
	at         time.Time
	identities []host.Identity
}

// The parts of a process that make platform calls; a call's number names its part.
const (
	leasePart = iota
	replicaPart
	holderPart
	partCount
)

// candidates is how many processes seek the lease. Their polling is all that the
// election costs the platform, however large the fleet is.
const candidates = 3

// Process joins the parts of one process of the fleet: its view of the members,
// its documents, the lease and the duty that comes with it. It is not safe for
// use by several goroutines.
type Process struct {
	cfg       Config
	members   *member.Members
	lease     *lease.Lease
	replica   *Replica
	collector *collector
	holder    *Holder
	leaving   bool
	seeking   bool
	seekAt    time.Time // when the candidates are next looked at
	contact   bool      // as of the last look
	heardAt   time.Time // when neighbours last heard this process, or it began to seek
	restUntil time.Time // up to when it leaves the lease to others
	local     []Action  // actions of the parts for each other
	out       []Action
}

// NewProcess returns the state of a process that has just started.
func NewProcess(now time.Time, cfg Config, rng *rand.Rand) *Process {
	if cfg.Desired == nil {
		cfg.Desired = func(value []byte) ([]byte, string, error) { return value, "", nil }
	}
	cfg.Lease.Key = LeaseKey
	cfg.Lease.Self = cfg.Member.Self
	p := &Process{cfg: cfg}
	p.members = member.New(now, cfg.Member, rng)
	p.lease = lease.New(cfg.Lease, rng)
	p.replica = newReplica(now, cfg, p.members, rng)
	p.collector = newCollector(p.replica)
	p.holder = newHolder(cfg, p.lease, p.members, p.replica, rng)
	p.seekAt = now
	return p
}

// Members returns the process's view of the fleet, for reading.
func (p *Process) Members() *member.Members { return p.members }

// Holds tells whether this process holds the lease at now.
func (p *Process) Holds(now time.Time) bool { return p.lease.Holds(now) }

// WorkUntil returns until when this process may take new work if nothing more
// happens. The caller compares it with its clock at each request, so that a
// process that was paused does not act on what it knew before.
func (p *Process) WorkUntil() time.Time { return p.replica.workUntil() }

// Documents returns the documents in force, ordered by service.
func (p *Process) Documents() []Document {
	var out []Document
	for _, service := range p.replica.services() {
		if c := p.replica.copies[service]; c.inForce.Number > 0 {
			out = append(out, c.inForce)
		}
	}
	return out
}

// Deadline returns when the next [Tick] is due.
func (p *Process) Deadline() time.Time {
	next := p.members.Deadline()
	for _, at := range []time.Time{p.lease.Deadline(), p.replica.deadline(), p.collector.deadline(), p.holder.deadline(), p.seekAt} {
		next = sooner(next, at)
	}
	return next
}

// Handle takes in one event and returns what is to be done.
func (p *Process) Handle(now time.Time, ev Event) []Action {
	p.out = nil
	switch ev.Kind {
	case Received:
		p.receive(now, ev.Envelope)
	case Answer:
		p.answer(now, ev.Reply)
	case Observed:
		p.holder.observed(now, ev.Object)
	case Listed:
		p.toMembers(now, member.Event{Kind: member.Listed, Listed: ev.Hosts})
	case Publish:
		p.toMembers(now, member.Event{Kind: member.Publish, Facts: ev.Facts})
	case Leave:
		p.leave(now, member.Leave)
	case Depart:
		p.leave(now, member.Depart)
	}
	p.settleParts(now)
	p.tick(now)
	p.settleParts(now)
	if !p.Deadline().After(now) {
		// A part that is due again at once would keep a core busy for nothing.
		p.out = append(p.out, Action{Kind: Violate, Violation: "a deadline does not move on"})
	}
	return p.out
}

func (p *Process) leave(now time.Time, kind member.EventKind) {
	p.leaving = true
	p.seeking = false
	p.toLease(now, lease.Event{Kind: lease.Resign})
	p.toMembers(now, member.Event{Kind: kind})
}

func (p *Process) receive(now time.Time, e *Envelope) {
	if e.Member != nil {
		p.toMembers(now, member.Event{Kind: member.Received, Message: e.Member})
		return
	}
	p.document(now, e.Document)
}

func (p *Process) document(now time.Time, msg *Message) {
	switch msg.Kind {
	case Hold:
		p.collector.held(now, msg)
	case Holds:
		p.holder.held(now, msg)
	case StillOpen:
		p.collector.stillOpen(now, msg)
		p.replica.stillOpen(now, msg)
	case Want:
		p.replica.wanted(msg)
	case Part:
		p.replica.part(now, msg)
	}
}

func (p *Process) answer(now time.Time, r object.Reply) {
	part := r.ID % partCount
	r.ID /= partCount
	switch part {
	case leasePart:
		p.toLease(now, lease.Event{Kind: lease.Answer, Reply: r})
	case replicaPart:
		p.replica.replied(now, r)
	case holderPart:
		p.holder.replied(now, r)
	}
}

func (p *Process) tick(now time.Time) {
	if !now.Before(p.members.Deadline()) {
		p.toMembers(now, member.Event{Kind: member.Tick})
	}
	if at := p.lease.Deadline(); !at.IsZero() && !now.Before(at) {
		p.toLease(now, lease.Event{Kind: lease.Tick})
	}
	p.settleParts(now)
	p.replica.tick(now)
	p.collector.tick(now)
	p.settleParts(now)
	p.holder.tick(now)
	if at := p.replica.refreshed(); !at.IsZero() {
		p.toMembers(now, member.Event{Kind: member.Refreshed, At: at})
	}
	if contact := p.members.Contact(now); !now.Before(p.seekAt) || contact != p.contact {
		p.contact = contact
		p.seek(now)
	}
}

const (
	// lonelyFor is how long a holder that no neighbour hears keeps the lease, and
	// restFor how long it then leaves it to others. It may be the one that is cut
	// off; but if the whole fleet has just started, somebody has to begin.
	lonelyFor = 6 * time.Second
	restFor   = 15 * time.Second
)

// seek tries to get the lease if this process is one of the candidates. A holder
// keeps it though others would be preferred by now, since each change of holder
// costs time.
func (p *Process) seek(now time.Time) {
	p.seekAt = now.Add(p.cfg.leaseLength() / 4)
	if p.members.Hears(now) || !p.seeking {
		p.heardAt = now
	}
	if p.seeking && now.Sub(p.heardAt) > lonelyFor {
		p.restUntil = now.Add(restFor)
	}
	want := !p.leaving && !now.Before(p.restUntil) &&
		(p.members.Contact(now) || p.replica.platformAnswers(now)) &&
		(p.lease.Holds(now) || p.candidate())
	if want == p.seeking {
		return
	}
	p.seeking = want
	kind := lease.Resign
	if want {
		kind = lease.Seek
	}
	p.toLease(now, lease.Event{Kind: kind})
}

func (p *Process) candidate() bool {
	return slices.Contains(p.members.Candidates(host.Entry, string(LeaseKey), candidates), p.cfg.Member.Self.Name)
}

// settleParts carries actions between the parts until none is left.
func (p *Process) settleParts(now time.Time) {
	for {
		p.local = append(p.local, p.replica.out...)
		p.replica.out = nil
		p.local = append(p.local, p.holder.out...)
		p.holder.out = nil
		if len(p.local) == 0 {
			return
		}
		a := p.local[0]
		p.local = p.local[1:]
		p.perform(now, a)
	}
}

func (p *Process) perform(now time.Time, a Action) {
	switch a.Kind {
	case settle:
		p.toMembers(now, member.Event{Kind: member.Settle, Key: a.Fact.Key, Version: a.Fact.Version})
	case publish:
		p.toMembers(now, member.Event{Kind: member.Publish, Facts: []member.Fact{a.Fact}})
	case stillOpen:
		p.collector.openAt(a.Service, a.stage, a.at)
	case resign:
		p.seeking = false
		p.toLease(now, lease.Event{Kind: lease.Resign})
	case remember:
		p.toMembers(now, member.Event{Kind: member.Remember, Identities: a.identities})
	case writeRoster:
		p.holder.writeRoster(now)
	case Send:
		p.send(now, a)
	default:
		p.out = append(p.out, a)
	}
}

// send looks up the receiver's address. A message to the process itself, which
// may be relay, collector and holder at once, is taken in directly.
func (p *Process) send(now time.Time, a Action) {
	if a.Name == p.cfg.Member.Self.Name {
		p.document(now, a.Envelope.Document)
		return
	}
	to, ok := p.members.Address(a.Name)
	if !ok {
		return
	}
	a.To = to
	p.out = append(p.out, a)
}

func (p *Process) toMembers(now time.Time, ev member.Event) {
	for _, a := range p.members.Handle(now, ev) {
		switch a.Kind {
		case member.Send:
			p.out = append(p.out, Action{Kind: Send, To: a.To, Name: a.Name, Envelope: &Envelope{Member: a.Message}})
		case member.Learned:
			p.learned(now, a.Fact)
		case member.Changed:
			p.out = append(p.out, Action{Kind: Changed, Record: a.Record})
		case member.Superseded:
			p.out = append(p.out, Action{Kind: Superseded})
		case member.Violate:
			p.out = append(p.out, Action{Kind: Violate, Violation: a.Violation + ": " + a.Fact.Key})
		}
	}
}

func (p *Process) learned(now time.Time, f member.Fact) {
	switch {
	case f.Key == rosterFactKey:
		p.rostered(now, f)
	case f.Binding:
		p.replica.learned(now, f)
	case len(f.Key) > len(desiredPrefix) && f.Key[:len(desiredPrefix)] == desiredPrefix:
		p.holder.applied(serviceOfKey(f.Key), object.Version(f.Version))
	default:
		p.out = append(p.out, Action{Kind: Learned, Fact: f})
	}
}

func (p *Process) rostered(now time.Time, f member.Fact) {
	var hash uint64
	if err := json.Unmarshal(f.Value, &hash); err != nil {
		p.out = append(p.out, Action{Kind: Violate, Violation: "roster fact cannot be read: " + err.Error()})
		return
	}
	p.toMembers(now, member.Event{Kind: member.Rostered, Version: hash})
}

func (p *Process) toLease(now time.Time, ev lease.Event) {
	for _, a := range p.lease.Handle(now, ev) {
		switch a.Kind {
		case lease.Call:
			a.Call.ID = a.Call.ID*partCount + leasePart
			p.out = append(p.out, Action{Kind: Call, Call: a.Call})
		case lease.Gained:
			p.out = append(p.out, Action{Kind: Gained, Fence: a.Fence})
			p.holder.gained(now, a.Fence)
		case lease.Lost:
			p.out = append(p.out, Action{Kind: Lost, Fence: a.Fence})
			p.holder.lost()
		case lease.Violate:
			p.out = append(p.out, Action{Kind: Violate, Violation: a.Violation})
		}
	}
}
