package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	// exchangeQueue bounds the queued events of one request. The goroutines that read
	// its streams wait while the queue is full, which slows the sidecar's sending.
	exchangeQueue = 8

	// exchangeEnds is how many goroutines of a request can end without blocking before
	// the request awaits them. It covers the streams of a request whose connection
	// went silent once or twice.
	exchangeEnds = 4
)

// exchange carries out the actions of one request's state machine.
type exchange struct {
	entry   *Entry
	router  *router
	call    *caller.Call
	answer  *caller.Answer
	request *request.Request
	events  chan request.Event
	stop    context.CancelFunc

	streams    map[request.Conn]*peer.Stream // the newest stream of each connection
	mu         sync.Mutex                    // guards conns, to which dialling goroutines add
	conns      map[request.Conn]*peer.Conn
	choice     target.Choice   // of the newest attempt
	choices    []pick          // one for each attempt
	pending    []request.Event // the event being handled and those that it caused
	timer      *time.Timer
	result     request.Result
	ended      bool
	crashCheck crashCheck
	ends       chan error // errors of the goroutines that read streams, dial, or await a claim, as they end
	running    int        // goroutines that are not awaited yet
}

// serve handles a caller's request until it has its outcome.
func (e *Entry) serve(r *http.Request, c *caller.Call, a *caller.Answer) {
	router := e.routerOf(c.Service.Document.Service)
	if router == nil {
		a.SendProblem(request.Result{Outcome: request.NotRun, Reason: caller.NotReady, RetryAfter: time.Second}, "")
		return
	}
	check := e.newCrashCheck(c)
	v := check.begin(time.Now())
	if v.Quarantined {
		a.SendProblem(request.Result{Outcome: request.NotRun, Reason: request.Quarantined, RetryAfter: v.After}, "")
		e.logQuarantined(c, v)
		return
	}
	ctx, stop := context.WithCancel(e.ctx)
	x := &exchange{
		crashCheck: check,
		entry:      e,
		router:     router,
		call:       c,
		answer:     a,
		events:     make(chan request.Event, exchangeQueue),
		stop:       stop,
		streams:    make(map[request.Conn]*peer.Stream),
		conns:      make(map[request.Conn]*peer.Conn),
		timer:      time.NewTimer(time.Hour),
		ends:       make(chan error, exchangeEnds),
	}
	x.request = request.New(request.DefaultConfig(), x.spec(), x.decideRetry(ctx))
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	// Retries are allowed in proportion to the first attempts: none may be missed where many requests come at once. It
	// fails only as the entry ends.
	_ = router.send(ctx, routerMessage{kind: firstAttemptMessage, workspace: c.Workspace})
	x.run(ctx, r.Context())
	x.crashCheck.end(time.Now(), v, quarantineResult(x.result.Outcome))
	x.close()
	x.log()
	a.Finish(x.result) // last, because it panics if the caller has to see a broken connection
}

func (x *exchange) spec() request.Spec {
	c := x.call
	spec := request.Spec{
		ID: c.ID,
		Call: request.Call{
			Service:    c.Service.Document.Service,
			Workspace:  c.Workspace,
			Route:      c.Route.Path,
			Method:     c.Method,
			Path:       c.Path,
			Idempotent: c.Route.Idempotent,
			Cost:       int64(c.Route.Cost.Of(int64(len(c.Body)))),
			Priority:   int32(c.Route.Priority),
		},
		Header:   c.Header,
		Claimed:  !c.Route.Idempotent && c.Key != "",
		Deadline: c.Deadline,
	}
	if spec.Claimed {
		spec.Fingerprint = x.callHash()
	}
	return spec
}

func (x *exchange) decideRetry(ctx context.Context) func(time.Time, retry.Attempt) retry.Decision {
	return func(now time.Time, t retry.Attempt) retry.Decision {
		t.Workspace = x.call.Workspace
		if x.crashCheck.quarantined(now) {
			return retry.Decision{Verdict: retry.TooManyCrashes}
		}
		return x.router.requestRetry(ctx, t)
	}
}

// run handles events until the request has its outcome.
func (x *exchange) run(ctx, callerCtx context.Context) {
	x.handle(ctx, request.Event{Kind: request.Started})
	callerDone := callerCtx.Done()
	for !x.ended {
		select {
		case ev := <-x.events:
			x.handle(ctx, ev)
		case <-x.timer.C:
			x.handle(ctx, request.Event{Kind: request.Tick})
		case <-callerDone:
			callerDone = nil
			x.handle(ctx, request.Event{Kind: request.CallerLeft})
		}
	}
}

// handle processes an event and all further events that its actions cause.
func (x *exchange) handle(ctx context.Context, ev request.Event) {
	x.pending = append(x.pending[:0], ev)
	for i := 0; i < len(x.pending); i++ {
		now := time.Now()
		x.noteRefusal(x.pending[i])
		x.noteCrash(now, x.pending[i])
		for _, a := range x.request.Handle(now, x.pending[i]) {
			x.apply(ctx, now, a)
		}
	}
}

func (x *exchange) enqueue(ev request.Event) {
	x.pending = append(x.pending, ev)
}

func (x *exchange) apply(ctx context.Context, now time.Time, a request.Action) {
	switch a.Kind {
	case request.Claim:
		x.claim(ctx, a)
	case request.MoveClaim:
		x.moveClaim(a.Prior)
	case request.ReleaseClaim:
		x.releaseClaim()
	case request.Pick:
		x.pick(ctx, a.Tried)
	case request.Send:
		x.send(ctx, a)
	case request.SendBody:
		x.sendBody(a)
	case request.Connect:
		x.connect(ctx, a)
	case request.DeliverHead:
		x.answer.Head(a.Message.Status, a.Message.Header)
	case request.Deliver:
		x.deliver(a.Message.Data)
	case request.Finish:
		x.result, x.ended = a.Result, true
	case request.Wake:
		x.timer.Reset(a.At.Sub(now))
	case request.Violated:
		x.entry.counts.invariantViolated(x.entry.log, string(a.Violation.Invariant), a.Violation.Error())
	}
}

// deliver passes bytes on to the caller. A caller to which they can't be written has left.
func (x *exchange) deliver(data []byte) {
	if x.answer.Err() != nil {
		return
	}
	x.answer.Write(data)
	if x.answer.Err() != nil {
		x.enqueue(request.Event{Kind: request.CallerLeft})
	}
}

// close ends the request's streams and waits for its goroutines.
func (x *exchange) close() {
	x.endChoice(endOf(x.result))
	x.stop()
	for _, s := range x.streams {
		s.Finish()
	}
	for ; x.running > 0; x.running-- {
		<-x.ends
	}
	x.freeLateClaims(x.entry.ctx)
	x.timer.Stop()
}

func (x *exchange) log() {
	took := time.Since(x.call.Arrived)
	x.entry.counts.requestEnded(x.call.Service.Document.Service, x.result, took)
	line := x.entry.log.Info().
		Str("id", x.call.ID.String()).
		Str("service", x.call.Service.Document.Service).
		Str("workspace", x.call.Workspace).
		Str("method", x.call.Method).
		Str("route", x.call.Route.Path).
		Str("target", string(x.choice.Name)).
		Int("attempts", x.result.Attempts).
		Str("outcome", x.result.Outcome.String()).
		Uint64("bytes", x.result.Delivered).
		Int64("tookMicros", took.Microseconds())
	if x.result.Reason != request.NoReason {
		line = line.Str("reason", string(x.result.Reason))
	}
	line.Msg("request ended")
}
