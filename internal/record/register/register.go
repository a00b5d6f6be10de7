// Package register keeps the platform's records about documents up to date: it
// passes what the process that accepts documents does on to the history and to
// the status.
//
// Each process has a [Register]. It writes only while its process holds the lease.
package register

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
)

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Acted    EventKind = iota + 1 // the process's part for acceptance returned Event.Action
	Moved                         // Event.Changes is what its holder does about the services
	Holding                       // Event.Host has Event.Number of Event.Service in force
	Answered                      // Event.Reply is the end of a call
	Tick                          // the time of [Register.Deadline] has come
)

// Event is an input of [Register.Handle].
type Event struct {
	Kind    EventKind
	Action  acceptance.Action
	Changes []acceptance.ChangeDump
	Service string
	Host    host.Name
	Number  acceptance.Number
	Reply   object.Reply
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Call    ActionKind = iota + 1 // make Action.Call and hand back its reply
	Violate                       // Action.Err: the history is damaged, or one number has two digests
)

// Action is an output of [Register.Handle].
type Action struct {
	Kind    ActionKind
	Service string
	Call    object.Call
	Err     error
}

// The parts that make calls; a call's number names its part.
const (
	historyPart = iota
	statusPart
	partCount
)

// copyInForce is what this process has in force of one service.
type copyInForce struct {
	document acceptance.Document
	entry    history.Entry      // of that number, if this process has accepted it
	since    time.Time          // when it came in force here
	routing  *document.Document // where its requests come from; nil if not read yet
}

// Register joins the history and the status to the acceptance. It is not safe
// for use by several goroutines.
type Register struct {
	self    host.Name
	held    bool
	archive *history.Archive
	board   *status.Board
	copies  map[string]copyInForce
	waits   map[string]status.Wait
	members map[host.Name]presence
	settled settling
	out     []Action
}

// New returns the register of a process.
func New(self host.Name, rng *rand.Rand) *Register {
	r := &Register{
		self:    self,
		archive: history.NewArchive(rng),
		board:   status.NewBoard(self, rng),
		copies:  make(map[string]copyInForce),
		waits:   make(map[string]status.Wait),
		members: make(map[host.Name]presence),
	}
	r.join(time.Time{}, self, member.Alive)
	return r
}

// Status returns the status of a service as this process knows it.
func (r *Register) Status(now time.Time, service string) (status.Status, bool) {
	return r.board.Status(now, service)
}

// Deadline returns when the next Tick is due, or the zero time.
func (r *Register) Deadline() time.Time {
	next := sooner(r.archive.Deadline(), r.board.Deadline())
	if r.held {
		next = sooner(next, r.settled.dueAt)
	}
	return next
}

func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Handle takes in one event and returns what is to be done.
func (r *Register) Handle(now time.Time, ev Event) []Action {
	r.out = nil
	switch ev.Kind {
	case Acted:
		r.acted(now, &ev.Action)
	case Moved:
		r.moved(now, ev.Changes)
	case Holding:
		r.toBoard(now, status.Event{Kind: status.Holding, Service: ev.Service, Host: ev.Host, Number: uint64(ev.Number)})
	case Answered:
		r.answered(now, ev.Reply)
	case Tick:
		r.toBoard(now, status.Event{Kind: status.Tick})
		r.toArchive(now, history.Event{Kind: history.Tick})
	}
	r.settle(now)
	r.readRouting()
	return r.out
}

func (r *Register) acted(now time.Time, a *acceptance.Action) {
	switch a.Kind {
	case acceptance.Gained:
		r.gained(now, uint64(a.Fence))
	case acceptance.Lost:
		r.lost(now)
	case acceptance.InForce:
		r.inForce(now, a.Document)
	case acceptance.Accepted:
		r.accepted(now, a.Service, a.Entry)
	case acceptance.Rejected:
		r.rejected(now, a)
	case acceptance.Waiting:
		w := r.waits[a.Service]
		w.For = a.Names
		r.waits[a.Service] = w
	case acceptance.Changed:
		r.changed(now, a.Record)
	case acceptance.Learned:
		r.learned(now, a.Fact)
	}
}

// gained offers the documents in force to the history: the holder before this
// one may have ended between an acceptance and its entry there. An entry that
// the history has already is not written again.
func (r *Register) gained(now time.Time, fence uint64) {
	r.held = true
	r.settled.await(now)
	r.toArchive(now, history.Event{Kind: history.Gained})
	r.toBoard(now, status.Event{Kind: status.Gained, Fence: fence})
	for _, service := range slices.Sorted(maps.Keys(r.copies)) {
		e := entryOf(now, r.copies[service])
		r.toArchive(now, history.Event{Kind: history.Accepted, Service: service, Entry: e})
	}
}

// lost forgets what this process was doing as the holder: another one does it.
func (r *Register) lost(now time.Time) {
	r.held = false
	r.toBoard(now, status.Event{Kind: status.Lost})
	r.toArchive(now, history.Event{Kind: history.Lost})
	for service := range r.waits {
		r.toBoard(now, status.Event{Kind: status.Waiting, Service: service})
	}
	clear(r.waits)
}

// entryOf returns the entry of what is in force here. Who applied it is not
// known to a process that did not accept it; the record of the acceptance has it,
// and goes before this entry where both are read.
func entryOf(now time.Time, c copyInForce) history.Entry {
	if c.entry.Number == uint64(c.document.Number) {
		return c.entry
	}
	return history.Entry{
		Number: uint64(c.document.Number), Digest: document.Digest(c.document.Digest),
		At: now.UTC(), Text: c.document.Text,
	}
}

func (r *Register) inForce(now time.Time, d acceptance.Document) {
	c := r.copies[d.Service]
	c.document = d
	c.since = now
	c.routing = nil
	r.copies[d.Service] = c
	r.settled.await(now)
	r.record(now, d.Service)
	r.toBoard(now, status.Event{
		Kind: status.Accept, Service: d.Service,
		Accepted: status.Accepted{Number: uint64(d.Number), Digest: document.Digest(d.Digest), At: now.UTC()},
	})
	r.toBoard(now, status.Event{Kind: status.Holding, Service: d.Service, Host: r.self, Number: uint64(d.Number)})
}

func (r *Register) accepted(now time.Time, service string, accepted acceptance.Entry) {
	c := r.copies[service]
	c.entry = EntryOf(accepted)
	r.copies[service] = c
	delete(r.waits, service)
	r.toBoard(now, status.Event{Kind: status.Waiting, Service: service})
	r.toBoard(now, status.Event{Kind: status.Accept, Service: service, Accepted: AcceptedOf(accepted)})
	r.record(now, service)
}

// record offers what this process has accepted to the history once it has both
// parts: the entry and the text come one after the other, in either order.
func (r *Register) record(now time.Time, service string) {
	c := r.copies[service]
	if c.entry.Number == 0 || c.entry.Number != uint64(c.document.Number) {
		return
	}
	c.entry.Text = c.document.Text
	r.copies[service] = c
	r.toArchive(now, history.Event{Kind: history.Accepted, Service: service, Entry: c.entry})
}

func (r *Register) rejected(now time.Time, a *acceptance.Action) {
	delete(r.waits, a.Service)
	findings := a.Findings
	if a.Reason != "" {
		f := finding.Finding{Category: finding.Invalid, Message: a.Reason}
		for _, name := range a.Names {
			f.Message = string(name) + ": " + f.Message
		}
		findings = append(findings, f)
	}
	refusal := status.Refusal{Version: a.Version, At: now.UTC(), Count: len(findings), Findings: findings}
	r.toBoard(now, status.Event{Kind: status.Waiting, Service: a.Service})
	r.toBoard(now, status.Event{Kind: status.Refused, Service: a.Service, Refusal: refusal})
}

func (r *Register) changed(now time.Time, rec member.Record) {
	name := rec.Identity.Name
	if rec.State == member.Left {
		delete(r.members, name)
		r.toBoard(now, status.Event{Kind: status.Gone, Host: name})
		return
	}
	r.join(now, name, rec.State)
}

func (r *Register) join(now time.Time, name host.Name, state member.State) {
	p, known := r.members[name]
	answers := state != member.Suspect
	if known && answers == p.answers {
		return
	}
	r.members[name] = presence{answers: answers, since: now}
	r.settled.await(now)
	r.toBoard(now, status.Event{Kind: status.Joined, Host: name})
}

// moved takes in how far the holder has come with each service. What it began
// before it lost the lease is not its to tell any more.
func (r *Register) moved(now time.Time, changes []acceptance.ChangeDump) {
	if !r.held {
		return
	}
	for _, c := range changes {
		w, waiting := r.waits[c.Service]
		if c.Phase == "idle" {
			delete(r.waits, c.Service)
			if waiting {
				r.toBoard(now, status.Event{Kind: status.Waiting, Service: c.Service})
			}
			continue
		}
		if w.Version != c.Desired {
			w = status.Wait{Version: c.Desired, Since: now.UTC(), For: w.For}
		}
		w.Holding, w.Of = c.Holding, len(r.members)
		r.waits[c.Service] = w
		r.toBoard(now, status.Event{Kind: status.Waiting, Service: c.Service, Wait: &w})
	}
}

func (r *Register) answered(now time.Time, reply object.Reply) {
	part := reply.ID % partCount
	reply.ID /= partCount
	if part == statusPart {
		r.toBoard(now, status.Event{Kind: status.Answered, Reply: reply})
		return
	}
	r.toArchive(now, history.Event{Kind: history.Answered, Reply: reply})
}

func (r *Register) toBoard(now time.Time, ev status.Event) {
	for _, a := range r.board.Handle(now, ev) {
		a.Call.ID = a.Call.ID*partCount + statusPart
		r.out = append(r.out, Action{Kind: Call, Call: a.Call})
	}
}

func (r *Register) toArchive(now time.Time, ev history.Event) {
	for _, a := range r.archive.Handle(now, ev) {
		switch a.Kind {
		case history.Call:
			a.Call.ID = a.Call.ID*partCount + historyPart
			r.out = append(r.out, Action{Kind: Call, Service: a.Service, Call: a.Call})
		case history.Damage:
			r.out = append(r.out, Action{Kind: Violate, Service: a.Service, Err: a.Err})
		}
	}
}
