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
	// deskRing is the largest number of events that wait for the desk. Readers of
	// streams and of the target's answers block when the ring is full, which slows
	// their senders.
	deskRing = 1024

	// lateGrace is how long a request that is not idempotent may run on past its
	// deadline before its connection to the target is closed.
	lateGrace = 30 * time.Second
)

// deskEventKind is the kind of a [deskEvent].
type deskEventKind uint8

const (
	deskBook         deskEventKind = iota + 1 // book
	deskBooks                                 // books: several events of one request
	deskQueue                                 // queue
	deskStreamOpened                          // stream: an entry has opened it
	deskLoad                                  // load: receives the queue's load
	deskState                                 // state: receives the desk's state
	deskLimits                                // limits: new admission settings
	deskStreamFailed                          // stream: writing to it failed
	deskEngineSilent                          // the engine does not answer or makes no steps
)

// deskEvent is an input of the desk from the other goroutines. The comment of each
// kind names the fields that it uses.
type deskEvent struct {
	kind   deskEventKind
	book   book.Event
	books  []book.Event
	flow   *flow // counts the data of book
	queue  workspace.Event
	stream *entryStream
	load   chan<- workspace.Load
	state  chan<- DeskState
	limits workspace.Config
}

// desk owns the book and the admission queue.
type desk struct {
	log           *log.Logger
	counts        *counts
	book          *book.Book
	queue         *workspace.Queue
	ring          chan deskEvent
	startRecovery func(job) // asks the target for a run that an earlier incarnation began; reports by events on the ring
	startCall     func(job) // starts a call to the target, which reports by events on the ring

	ready func() bool // reports whether new requests may begin; nil means always

	notices notice.Board // the target's notices

	streams    map[book.Peer]*entryStream
	jobs       map[request.ID]*job
	tickets    map[workspace.Ticket]request.ID
	nextTicket workspace.Ticket
	drained    chan struct{}
	isDrained  bool
	settled    chan struct{} // closed when the desk is drained and no stream is open any more
	isSettled  bool
	lastData   time.Time // time at which the target last sent data
	bookTimer  *time.Timer
	queueTimer *time.Timer
	todo       []deskEvent // the event that is handled and those that its actions caused
}

// job is a request from its arrival at admission to its end at the target.
type job struct {
	id           request.ID
	ticket       workspace.Ticket
	call         request.Call
	header       []request.Field
	body         []byte
	deadline     time.Time
	dispatchedAt time.Time // when it was sent to the target
	cancel       context.CancelFunc
	answerBegun  bool // the target has sent the head of its answer
	recovered    bool // begun by an earlier incarnation of the sidecar
	failed       bool // the target gave no complete answer
	flow         *flow
}

func newDesk(l *log.Logger, c *counts, bookCfg book.Config, queueCfg workspace.Config) *desk {
	return &desk{
		log:        l,
		counts:     c,
		book:       book.New(bookCfg),
		queue:      workspace.New(queueCfg),
		ring:       make(chan deskEvent, deskRing),
		streams:    make(map[book.Peer]*entryStream),
		jobs:       make(map[request.ID]*job),
		tickets:    make(map[workspace.Ticket]request.ID),
		drained:    make(chan struct{}),
		settled:    make(chan struct{}),
		bookTimer:  time.NewTimer(time.Hour),
		queueTimer: time.NewTimer(time.Hour),
	}
}

// put puts an event on the desk's ring; false if ctx ended first.
func (d *desk) put(ctx context.Context, ev deskEvent) bool {
	// Once an event has been dropped, no later one may be accepted, or a stream continues
	// after a gap. A select with both cases ready would choose either.
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

// putData puts a part of a target's answer on the ring, once the parts before it are far enough on their way. The wait
// ends with callCtx, and the reading of the answer then too.
func (d *desk) putData(ctx, callCtx context.Context, j job, data []byte) {
	j.flow.await(callCtx)
	j.flow.add(len(data))
	d.put(ctx, deskEvent{kind: deskBook, book: book.Event{Kind: book.EngineData, ID: j.id, Data: data}, flow: j.flow})
}

// serve handles events until ctx ends.
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

// handle handles an event and all events that follow from it. Actions of the book
// cause events of the queue and the reverse; they are appended to a list, so that
// neither is called while it is handling an event itself.
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
		ev.flow.remove(len(ev.book.Data))
	case deskBooks:
		for _, b := range ev.books {
			d.handleBook(now, b)
		}
	case deskQueue:
		d.applyQueue(now, d.queue.Handle(now, ev.queue))
	case deskStreamOpened:
		d.streams[ev.stream.peer] = ev.stream
	case deskStreamFailed:
		d.resetStream(ev.stream.peer)
	case deskLoad:
		ev.load <- d.queue.Load()
	case deskState:
		ev.state <- d.state()
	case deskLimits:
		d.queue.Configure(ev.limits)
	case deskEngineSilent:
		d.cancelStalledCalls(now)
	}
}

func (d *desk) handleBook(now time.Time, ev book.Event) {
	switch ev.Kind {
	case book.StreamClosed:
		d.closeStream(ev.Peer)
	case book.EngineHead, book.EngineData:
		d.lastData = now
		if j := d.jobs[ev.ID]; j != nil {
			j.answerBegun = true
		}
		if ev.Kind == book.EngineHead {
			d.noteBackoff(now, ev)
		}
	case book.EngineEnd, book.EngineNotReached:
		if ev.Reason == request.EngineCrashed {
			d.notices = notice.Board{} // the target's next incarnation has sent no notice
		}
		if j := d.jobs[ev.ID]; j != nil {
			if j.recovered {
				d.forget(ev.ID) // admission does not know the request
			}
			j.failed = ev.Reason != request.NoReason || ev.Kind == book.EngineNotReached
		}
	case book.Drain:
		d.enqueue(deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.TargetLeaving}})
	}
	for _, a := range d.book.Handle(now, ev) {
		d.applyBook(now, a)
	}
}

// cancelStalledCalls cancels the calls that wait for an engine that makes no progress,
// if their requests can move to another target. Their ends arrive on the ring.
func (d *desk) cancelStalledCalls(now time.Time) {
	if now.Sub(d.lastData) < stalledAfter {
		return // only the engine's load reports have stopped
	}
	for _, j := range d.jobs {
		if j.cancel == nil || j.answerBegun || !j.call.Idempotent {
			continue
		}
		if now.Sub(j.dispatchedAt) >= stalledAfter {
			j.cancel()
		}
	}
}

// enqueue adds an event to be handled after the current one.
func (d *desk) enqueue(ev deskEvent) {
	d.todo = append(d.todo, ev)
}

func (d *desk) applyBook(now time.Time, a book.Action) {
	switch a.Kind {
	case book.Send:
		d.send(a)
	case book.CloseStream:
		d.resetStream(a.Peer)
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
		d.counts.violated(d.log, string(a.Violation.Invariant), a.Violation.Error())
	}
}

// admit refuses a request or puts it into the admission queue.
func (d *desk) admit(now time.Time, a book.Action) {
	if d.ready != nil && !d.ready() {
		d.refuseWithoutDocuments(a.ID)
		return
	}
	if left, backingOff := d.backingOff(now); backingOff {
		d.refuseBackingOff(a.ID, left)
		return
	}
	d.nextTicket++
	j := &job{id: a.ID, ticket: d.nextTicket, deadline: a.Arrived.Add(a.Call.Remaining), flow: newFlow()}
	d.jobs[a.ID] = j
	d.tickets[j.ticket] = a.ID
	d.enqueue(deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Arrive, Request: workspace.Request{
		Ticket:    j.ticket,
		Workspace: workspace.Name(a.Call.Workspace),
		Priority:  workspace.Priority(a.Call.Priority),
		Tokens:    max(1, a.Call.Cost),
		Deadline:  j.deadline,
	}}})
}

// withdraw removes a request that was not admitted from the queue.
func (d *desk) withdraw(id request.ID) {
	if j := d.forget(id); j != nil {
		d.enqueue(deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Cancel, Ticket: j.ticket}})
	}
}

// release gives back the request slot of an admitted request.
func (d *desk) release(id request.ID) {
	if j := d.forget(id); j != nil {
		d.enqueue(deskEvent{kind: deskQueue, queue: workspace.Event{Kind: workspace.Finished, Ticket: j.ticket, Failed: j.failed}})
	}
}

// forget removes a job and returns it; nil if there is none.
func (d *desk) forget(id request.ID) *job {
	j := d.jobs[id]
	if j != nil {
		delete(d.jobs, id)
		delete(d.tickets, j.ticket)
	}
	return j
}

// start starts the call of an admitted request. A request that was queued when the
// target's back-off began is not sent.
func (d *desk) start(now time.Time, a book.Action) {
	j := d.jobs[a.ID]
	if _, backingOff := d.backingOff(now); j == nil || backingOff {
		d.enqueue(deskEvent{kind: deskBook, book: book.Event{Kind: book.EngineNotReached, ID: a.ID}})
		return
	}
	j.call, j.header, j.body, j.dispatchedAt = a.Call, a.Header, a.Body, now
	d.startCall(*j)
}

func (d *desk) applyQueue(now time.Time, actions []workspace.Action) {
	for _, a := range actions {
		switch a.Kind {
		case workspace.Start:
			id := d.tickets[a.Ticket]
			d.enqueue(deskEvent{kind: deskBook, book: book.Event{Kind: book.Admitted, ID: id}})
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
	d.enqueue(deskEvent{kind: deskBook, book: book.Event{
		Kind: book.Rejected, ID: id, Reason: reasonOf(a.Reason), RetryAfter: a.RetryAfter,
	}})
}

// reasonOf returns the reason for callers when admission refused a request.
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
