package sidecar

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

const (
	// deskRing bounds the events that wait for the desk. Readers of streams and
	// of the target's answers wait when it is full, which slows their senders.
	deskRing = 1024

	// lateGrace is how long a request that may not be repeated can run on past
	// its deadline before its connection to the target is cut.
	lateGrace = 30 * time.Second
)

// deskEventKind is the kind of a [deskEvent].
type deskEventKind uint8

const (
	deskBook       deskEventKind = iota + 1 // book
	deskBooks                               // books: several events of one request
	deskQueue                               // queue
	deskOpened                              // line, book.Peer: a stream of an entry
	deskLoad                                // load: asks for the queue's load
	deskState                               // state: asks for the desk's state
	deskLimits                              // limits: new settings of admission
	deskLineFailed                          // line could not be written
	deskSilent                              // the engine does not answer
)

// deskEvent is what the other duties tell the desk.
type deskEvent struct {
	kind   deskEventKind
	book   book.Event
	books  []book.Event
	queue  workspace.Event
	line   *line
	load   chan<- workspace.Load
	state  chan<- DeskState
	limits workspace.Config
}

// desk owns the book and the queue.
type desk struct {
	log    *log.Logger
	counts *counts
	book   *book.Book
	queue  *workspace.Queue
	ring   chan deskEvent
	goOn   func(job) // does so for a run that is there already
	run    func(job) // starts a call to the target; it reports by the ring

	ready func() bool // new work may begin; nil for always

	notices notice.Board // what the target said of itself

	lines      map[book.Peer]*line
	jobs       map[request.ID]*job
	tickets    map[workspace.Ticket]request.ID
	nextTicket workspace.Ticket
	drained    chan struct{}
	isDrained  bool
	settled    chan struct{} // closed when, after that, no stream is open any more
	isSettled  bool
	lastData   time.Time // when the target sent something last
	bookTimer  *time.Timer
	queueTimer *time.Timer
	todo       []deskEvent // events that actions gave rise to
}

// job is a request on its way to the target.
type job struct {
	id        request.ID
	ticket    workspace.Ticket
	call      request.Call
	header    []request.Field
	body      []byte
	deadline  time.Time
	started   time.Time // handed over to the target
	cancel    context.CancelFunc
	begun     bool // the head of its answer has come
	recovered bool // begun by an earlier life of the sidecar
	broken    bool // the target gave no whole answer
}

func newDesk(l *log.Logger, c *counts, bookCfg book.Config, queueCfg workspace.Config) *desk {
	return &desk{
		log:        l,
		counts:     c,
		book:       book.New(bookCfg),
		queue:      workspace.New(queueCfg),
		ring:       make(chan deskEvent, deskRing),
		lines:      make(map[book.Peer]*line),
		jobs:       make(map[request.ID]*job),
		tickets:    make(map[workspace.Ticket]request.ID),
		drained:    make(chan struct{}),
		settled:    make(chan struct{}),
		bookTimer:  time.NewTimer(time.Hour),
		queueTimer: time.NewTimer(time.Hour),
	}
}

// put hands an event to the desk; false if ctx ended first.
func (d *desk) put(ctx context.Context, ev deskEvent) bool {
	// Once an event was dropped none of those after it may be taken: a select that has both
	// chooses either, and a stream went on behind what it had lost.
	if ctx.Err() != nil {
		return false
	}
	select {
	case d.ring <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *desk) putBook(ctx context.Context, ev book.Event) bool {
	return d.put(ctx, deskEvent{kind: deskBook, book: ev})
}

// serve decides on events until ctx ends.
func (d *desk) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case ev := <-d.ring:
			d.handle(time.Now(), ev)
		case <-d.bookTimer.C:
			d.handle(time.Now(), deskEvent{kind: deskBook, book: book.Event{Kind: book.Tick}})
		case <-d.queueTimer.C:
			d.handle(time.Now(), deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Tick}})
		}
	}
}

// handle decides on an event and on all that follow from it. Book and queue ask
// things of each other; a list in place of calls keeps each at rest while the
// other decides.
func (d *desk) handle(now time.Time, ev deskEvent) {
	d.todo = append(d.todo[:0], ev)
	for i := 0; i < len(d.todo); i++ {
		d.handleOne(now, d.todo[i])
	}
	d.checkSettled()
}

func (d *desk) handleOne(now time.Time, ev deskEvent) {
	switch ev.kind {
	case deskBook:
		d.handleBook(now, ev.book)
	case deskBooks:
		for _, b := range ev.books {
			d.handleBook(now, b)
		}
	case deskQueue:
		d.applyQueue(now, d.queue.Handle(now, ev.queue))
	case deskOpened:
		d.lines[ev.line.peer] = ev.line
	case deskLineFailed:
		d.dropLine(ev.line.peer)
	case deskLoad:
		ev.load <- d.queue.Load()
	case deskState:
		ev.state <- d.state()
	case deskLimits:
		d.queue.Configure(ev.limits)
	case deskSilent:
		d.giveUpSilent(now)
	}
}

func (d *desk) handleBook(now time.Time, ev book.Event) {
	switch ev.Kind {
	case book.StreamClosed:
		d.closeLine(ev.Peer)
	case book.EngineHead, book.EngineData:
		d.lastData = now
		if j := d.jobs[ev.ID]; j != nil {
			j.begun = true
		}
		if ev.Kind == book.EngineHead {
			d.hear(now, ev)
		}
	case book.EngineEnd, book.EngineNotReached:
		if ev.Reason == request.EngineCrashed {
			d.notices = notice.Board{} // the next life has asked for nothing
		}
		if j := d.jobs[ev.ID]; j != nil {
			if j.recovered {
				d.forget(ev.ID) // admission does not know it
			}
			j.broken = ev.Reason != request.NoReason || ev.Kind == book.EngineNotReached
		}
	case book.Drain:
		d.later(deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Leave}})
	}
	for _, a := range d.book.Handle(now, ev) {
		d.applyBook(now, a)
	}
}

// giveUpSilent ends the calls that wait in vain for an engine that stands still
// and whose requests can move to another target. Their ends come by the ring.
func (d *desk) giveUpSilent(now time.Time) {
	if now.Sub(d.lastData) < stalledAfter {
		return // it is its reports that stand still
	}
	for _, j := range d.jobs {
		if j.cancel == nil || j.begun || !j.call.Idempotent {
			continue
		}
		if now.Sub(j.started) >= stalledAfter {
			j.cancel()
		}
	}
}

func (d *desk) later(ev deskEvent) {
	d.todo = append(d.todo, ev)
}

func (d *desk) applyBook(now time.Time, a book.Action) {
	switch a.Kind {
	case book.Send:
		d.send(a.Peer, a.Message)
	case book.CloseStream:
		d.dropLine(a.Peer)
	case book.Admit:
		d.admit(now, a)
	case book.Withdraw:
		d.withdraw(a.ID)
	case book.Run:
		d.start(now, a)
	case book.Recover:
		d.recover(a)
	case book.CancelEngine:
		if j := d.jobs[a.ID]; j != nil && j.cancel != nil {
			j.cancel()
		}
	case book.Release:
		d.release(a.ID)
	case book.Drained:
		if !d.isDrained {
			d.isDrained = true
			close(d.drained)
		}
	case book.Wake:
		d.bookTimer.Reset(a.At.Sub(now))
	case book.Violated:
		d.counts.violated(d.log, string(a.Violation.Rule), a.Violation.Error())
	}
}

func (d *desk) admit(now time.Time, a book.Action) {
	if d.ready != nil && !d.ready() {
		d.refuseUnlearnt(a.ID)
		return
	}
	if left, resting := d.resting(now); resting {
		d.refuseResting(a.ID, left)
		return
	}
	d.nextTicket++
	j := &job{id: a.ID, ticket: d.nextTicket, deadline: a.Arrived.Add(a.Call.Remaining)}
	d.jobs[a.ID] = j
	d.tickets[j.ticket] = a.ID
	d.later(deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Arrive, Request: workspace.Request{
		Ticket:    j.ticket,
		Workspace: workspace.Name(a.Call.Workspace),
		Priority:  workspace.Priority(a.Call.Priority),
		Tokens:    max(1, a.Call.Cost),
		Deadline:  j.deadline,
	}}})
}

// withdraw takes a request out of the queue before it was admitted.
func (d *desk) withdraw(id request.ID) {
	if j := d.forget(id); j != nil {
		d.later(deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Cancel, Ticket: j.ticket}})
	}
}

// release gives the place of a request back that was admitted.
func (d *desk) release(id request.ID) {
	if j := d.forget(id); j != nil {
		d.later(deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Finished, Ticket: j.ticket, Failed: j.broken}})
	}
}

func (d *desk) forget(id request.ID) *job {
	j := d.jobs[id]
	if j != nil {
		delete(d.jobs, id)
		delete(d.tickets, j.ticket)
	}
	return j
}

func (d *desk) start(now time.Time, a book.Action) {
	j := d.jobs[a.ID]
	if _, resting := d.resting(now); j == nil || resting { // what waited until the rest began is not sent
		d.later(deskEvent{kind: deskBook, book: book.Event{Kind: book.EngineNotReached, ID: a.ID}})
		return
	}
	j.call, j.header, j.body, j.started = a.Call, a.Header, a.Body, now
	d.run(*j)
}

func (d *desk) applyQueue(now time.Time, actions []workspace.Action) {
	for _, a := range actions {
		switch a.Kind {
		case workspace.Start:
			id := d.tickets[a.Ticket]
			d.later(deskEvent{kind: deskBook, book: book.Event{Kind: book.Admitted, ID: id}})
		case workspace.Refuse:
			d.refuse(a)
		case workspace.SetTimer:
			d.queueTimer.Reset(a.At.Sub(now))
		case workspace.Violated:
			d.counts.violated(d.log, a.Violation.Invariant, a.Violation.Evidence)
		}
	}
}

func (d *desk) refuse(a workspace.Action) {
	id, ok := d.tickets[a.Ticket]
	if !ok {
		return
	}
	d.counts.refused(a.Reason.String())
	d.later(deskEvent{kind: deskBook, book: book.Event{
		Kind: book.Rejected, ID: id, Reason: reasonOf(a.Reason), RetryAfter: a.RetryAfter,
	}})
}

// reasonOf tells callers why admission refused.
func reasonOf(r workspace.Reason) request.Reason {
	switch r {
	case workspace.DeadlineTooClose:
		return request.DeadlinePassed
	case workspace.Leaving:
		return request.Draining
	default:
		return request.Overloaded
	}
}
