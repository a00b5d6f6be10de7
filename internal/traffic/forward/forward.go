// Package forward sends a caller's request to a target and returns the target's response.
//
// It guarantees that a request that may not be repeated is sent again only if a target's
// response proves that it did not run, or no byte of it was sent; that a response reaches
// the caller either complete or visibly truncated; and that a caller receives "not run" only
// if no target can have run the request.
package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/delivery"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/internal/wire/witness"
	"wagtailshelf.example/wagtailshelf/platform"
)

// Configuration is the configuration that an entry acts by at some moment.
type Configuration struct {
	Config *routing.Config // nil while none is known
	Age    time.Duration   // time since the store was last known to hold nothing newer
}

// Forwarder serves callers. Its fields are set before the first request.
type Forwarder struct {
	Configuration       func() Configuration
	KeyMaxAge           func() time.Duration // maximum age of a configuration that can prove a key valid
	UnknownMaxAge       func() time.Duration // maximum age of a configuration that can prove a route or key unknown
	Admission           *admission.Controller
	Pool                *upstream.Pool
	Witnesses           *witness.Set  // tell whether targets that end responses without a length still run
	Space               *space.Budget // bounds the bytes of bodies that are held; nil for no bound
	Budget              *Budget
	Now                 func() time.Time
	Drain               *Drain                              // of the process
	OnMisdirected       func(t roster.Target, named string) // called when a target's address refuses a request as misdirected, and may name the server at fault
	OnEnd               func(Record)                        // called at the end of each request
	OnConnectionFailure func(ConnectionFailure)             // called for each connection that failed during a request
	// Quarantine decides which requests are not sent to targets, because they crash them.
	Quarantine        *quarantine.Quarantine
	OtherEntriesFresh func() bool // reports whether other entries have a fresh configuration; nil if that is never known

	numberings delivery.Numberings
	slowest    slowest
}

// Outcome is the way in which a request ended.
type Outcome string

// The outcomes of requests.
const (
	Answered   Outcome = "answered"   // the caller received the target's complete response
	NotRun     Outcome = "notRun"     // the entry refused the request, and no target ran it
	Unknown    Outcome = "unknown"    // a target may have run the request
	Broken     Outcome = "broken"     // the response was truncated after it had begun
	CallerLeft Outcome = "callerLeft" // the caller disconnected
	Denied     Outcome = "denied"     // the configuration does not allow the request
)

// Record describes a request that has ended, for logs and metrics.
type Record struct {
	ID        string
	Route     string
	Kind      routing.Kind
	Service   string
	Workspace string
	Outcome   Outcome
	Reason    string // short cause of the outcome; "" if the outcome is Answered
	Status    int
	Attempts  []Attempt
	Config    int64         // version of the configuration
	Age       time.Duration // age of the configuration when it was used
	Queued    time.Duration // time in the entry's queue
	First     time.Duration // time until the first event, or until the response if it is no stream
	Took      time.Duration
	Events    int
	// LastEvent is the ID of the last event that was sent to the caller.
	LastEvent string
	// Fingerprint identifies the request; it is zero if it was not needed.
	Fingerprint quarantine.Fingerprint
	Crashes     int // known crashes of targets that ran the request, or another one with its part
	// Cause is the fingerprint for which the request was refused; it is that of a part of its prompt
	// if it is not the request's own.
	Cause quarantine.Fingerprint
	Probe bool // an attempt was the probe after a quarantine
	// Parts lists the IDs of the shared parts of the request's prompt.
	Parts []string
}

// Attempt describes one attempt to send the request to a target.
type Attempt struct {
	Target string
	Result string
	Reused bool // the connection had carried requests before
	Seen   admission.Basis
	Sent   time.Duration // from the request's arrival to its writing to the target; 0 if it was not written
	Took   time.Duration
	Rate   ratelimit.Statement // rate limit in the target's response
	Notice notice.Notice       // target notice in the response
	Status int                 // of the response; 0 if none was received
	// Unframed is set if the response stated no length and ended with its connection.
	Unframed bool
	// Witness is what was known of the target at that end.
	Witness witness.Proof
	// Bound is the bound on a response's bytes that ended the attempt; "" if none did.
	Bound  string
	Stream StreamPart
}

// StreamPart describes the events of a stream that one attempt received.
type StreamPart struct {
	ResumeAfter string // ID of the event after which the target was asked to resume; "" for a whole stream
	Events      int
	First, Last string // IDs of the first and the last event
}

const (
	// maxAnswerBytes bounds a response that is buffered until it is known to be complete.
	maxAnswerBytes = 4 << 20
	// maxRetryShare is the largest part of a caller's remaining time that Retry-After may ask
	// it to wait.
	maxRetryShare = 1.0 / 3
	// writeGrace is how much longer than a request may take its response may be written, so that what was
	// ready in time is still delivered.
	writeGrace = 2 * time.Second
	// defaultPatience is the timeout of a request whose caller does not send one.
	defaultPatience = 30 * time.Second
)

// call is one request that is being served.
type call struct {
	f         *Forwarder
	out       *delivery.Delivery
	r         *http.Request
	ctx       context.Context
	in        platform.Incoming
	route     *routing.Route
	config    *routing.Config
	workspace *routing.Workspace
	body      []byte
	held      *space.Hold // of the body
	begin     time.Time
	readAt    time.Time // when the whole request had been read
	deadline  time.Time
	rec       Record
	service   string
	// partPrints are the fingerprints of the shared parts of the prompt; nil until they are needed.
	partPrints []quarantine.Fingerprint
	slot       *admission.Ticket  // holds a place in the queue or a slot at a target; nil if the request has none
	verdict    quarantine.Verdict // of the current attempt
	tried      []string           // IDs of the targets of earlier attempts
	sent       int                // number of times that the request was written to a target
	failure    *targetAnswer      // a target's failure response to pass on if no target gives a better one
	answer     *targetAnswer      // the response to pass on, once the target's slot has been given back
	sentAt     time.Time          // when the current attempt began
	// examined receives whether the target of the current attempt still runs; nil if its connection
	// has not ended.
	examined <-chan presence.Presence
	watch    *witness.Watch // of the target of the current attempt
	unframed bool           // the newest response states no length and ends with its connection
	repeat   bool           // a repeat of the request is reserved in the retry budget
	leftSlow atomic.Bool    // the request moves away from a slow target, and a repeat is reserved for that
	stranded atomic.Bool    // the host of a target that the request was sent to is unreachable
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, r: r, begin: f.Now(), in: platform.ReadIncoming(r.Header)}
	c.out = delivery.New(w, c.in.LastEventID)
	c.rec.ID, c.rec.Parts = c.in.ID, c.in.SharedParts
	defer func() {
		c.held.Release()
		c.failure.release()
		c.answer.release()
		c.rec.Took, c.rec.Events, c.rec.LastEvent = f.Now().Sub(c.begin), c.out.Events(), c.out.LastID()
		f.OnEnd(c.rec)
	}()
	if f.Drain.Begun() {
		c.announceClose()
	}
	if !c.admit() {
		return
	}
	// A caller that does not read would otherwise hold its request, and perhaps a target's slot, for ever.
	_ = c.out.Controller().SetWriteDeadline(c.deadline.Add(writeGrace)) // fails only if it is closed, or can't have deadlines
	if !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.run()
	c.out.Close()
}

// admit finds the route and the workspace of the request. If it returns false, it has sent a
// response to the caller.
func (c *call) admit() bool {
	configuration := c.f.Configuration()
	c.rec.Age = configuration.Age
	patience := c.in.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	c.deadline = c.begin.Add(patience)
	if configuration.Config == nil {
		c.refuse(http.StatusServiceUnavailable, "noRules", c.retryDelayWithin(storeDelay))
		return false
	}
	c.config = configuration.Config
	c.rec.Config = configuration.Config.Version
	// An entry that lost contact with the store may not have the newest routes and keys. It
	// must not report them as unknown, since callers treat that as final.
	stale := configuration.Age > c.f.UnknownMaxAge()
	c.route = configuration.Config.RouteFor(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return c.deny(stale, http.StatusNotFound, "noRoute")
	}
	c.rec.Route = c.route.Name
	c.rec.Kind = c.route.Kind
	if t := c.route.Timeout; t > 0 && t < patience {
		c.deadline = c.begin.Add(t)
	}
	if !c.config.RequiresKeys() || c.route.Public {
		return true
	}
	c.workspace = c.config.WorkspaceOf(c.in.Key)
	if c.workspace == nil {
		return c.deny(stale, http.StatusUnauthorized, "unknownKey")
	}
	c.rec.Workspace = c.workspace.Name
	// The key may have been revoked since; only a fresh configuration proves that it is valid.
	if configuration.Age > c.f.KeyMaxAge() {
		// With a new connection the caller may reach another entry.
		c.out.SetHeader("Connection", "close")
		c.refuse(http.StatusServiceUnavailable, "rulesTooOld", c.staleConfigDelay())
		return false
	}
	return true
}

// readBody reads the request body. If it returns false, it has refused the request because
// its header or body is too large, or because the entry holds too many bytes of other bodies.
func (c *call) readBody() bool {
	limits := c.config.Limits
	if limits.HeaderBytes > 0 && headerSize(c.r) > limits.HeaderBytes {
		c.end(Denied, "headerTooLarge", http.StatusRequestHeaderFieldsTooLarge)
		return false
	}
	c.held = c.f.Space.Hold(space.Callers)
	c.held.MayYield(func() { c.boundBody(time.Now()) })
	c.boundBody(c.bodyDeadline())
	defer c.yieldWhenLate()()
	text, err := space.ReadAll(c.r.Body, c.r.ContentLength, limits.BodyBytes, c.held)
	yielded := c.held.Complete()
	switch {
	case yielded && c.tooLate():
		c.held.Release()
		c.out.SetHeader("Connection", "close")
		c.out.SetHeader("Retry-After", retryAfterText(c.retryDelayWithin(otherEntryDelay)))
		c.endUnread(NotRun, reasonDraining, http.StatusServiceUnavailable)
		return false
	case errors.Is(err, space.ErrTooLong):
		c.out.SetHeader("Connection", "close")
		c.endUnread(Denied, "bodyTooLarge", http.StatusRequestEntityTooLarge)
		return false
	case yielded, errors.Is(err, space.ErrNoSpace):
		c.held.Release() // while the rest of the body is read
		c.out.SetHeader("Connection", "close")
		c.out.SetHeader("Retry-After", retryAfterText(c.retryDelaySpread()))
		c.endUnread(NotRun, reasonNoSpace, http.StatusServiceUnavailable)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.out.SetHeader("Connection", "close")
		c.endUnread(NotRun, "bodyTooSlow", http.StatusRequestTimeout)
		return false
	case err != nil:
		// The caller disconnected or sent a malformed body: nobody waits for a response.
		c.rec.Outcome, c.rec.Reason = CallerLeft, "bodyNotRead"
		panic(http.ErrAbortHandler)
	}
	c.boundBody(time.Time{})
	c.body, c.readAt = text, c.f.Now()
	return true
}

// maxBodyTime bounds the time for a body whose caller claims to wait for longer, on a route without a timeout.
const maxBodyTime = 5 * time.Minute

// bodyDeadline returns when a request's body must have been read: what comes later can't be served. A caller
// that sends slowly, or is gone without its connection having ended, would hold its connection for long.
func (c *call) bodyDeadline() time.Time {
	if latest := c.begin.Add(maxBodyTime); c.deadline.After(latest) {
		return latest
	}
	return c.deadline
}

// boundBody sets the deadline for reading the request's body; the zero time for none.
func (c *call) boundBody(t time.Time) {
	if c.r.ContentLength == 0 {
		return // the server reads ahead, to learn when the caller leaves
	}
	// This fails only for a connection that is closed, or that can't have deadlines.
	_ = c.out.Controller().SetReadDeadline(t)
}

const (
	// maxUnreadBody is how many bytes of a request's body are read after the response.
	maxUnreadBody = 4 << 20
	// unreadBodyTime bounds the time for that.
	unreadBodyTime = time.Second
)

// endUnread ends a request whose body was not read to its end, and then reads the rest of it, within
// bounds. If the connection were closed with bytes unread, it would be reset, and the caller, which
// still writes, would lose the response.
func (c *call) endUnread(o Outcome, reason string, status int) {
	connection := c.out.Controller()
	// These fail only for a connection that is closed or can't have deadlines: the body is then
	// read without a bound in time, or not at all.
	_ = connection.EnableFullDuplex()
	c.end(o, reason, status)
	_ = connection.Flush()
	_ = connection.SetReadDeadline(c.f.Now().Add(unreadBodyTime))
	_, _ = io.CopyN(io.Discard, c.r.Body, maxUnreadBody)
}

// headerSize returns the least bytes that a request's header can have had: a space after a colon is optional.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
	}
	return n
}

// run attempts the request until the caller has a response, or no further attempt is possible.
func (c *call) run() {
	c.service = c.route.Pick(rand.Float64())
	c.rec.Service = c.service
	c.out.SetNumbering(c.f.numberings.Of(c.service))
	c.f.Budget.CountRequest(c.f.Now(), c.service)
	defer c.releaseRepeats()
	defer c.releaseSlot()
	for {
		// Checked before the request is queued, so that a quarantined one is refused at once.
		if c.refuseQuarantined(c.checkQuarantine()) || c.refuseDraining() {
			return
		}
		t, ok := c.acquireTarget()
		if !ok {
			c.slot = nil
			return
		}
		// Checked again after the wait: other copies of the request may have crashed targets
		// meanwhile.
		v := c.beginAttempt()
		c.verdict = v
		c.rec.Probe = c.rec.Probe || v.Probe
		if v.Quarantined {
			c.slot = nil
			c.f.Admission.Abandon(c.f.Now(), t)
		}
		if c.refuseQuarantined(v) || !c.attempt(t, v) {
			return
		}
	}
}

// releaseSlot gives back the slot of a request that a panic ended, and ends its probe.
func (c *call) releaseSlot() {
	if c.slot == nil {
		return
	}
	now := c.f.Now()
	c.f.Admission.Abandon(now, c.slot)
	if c.verdict.Probe {
		c.f.Quarantine.End(now, c.verdict, quarantine.Failed, c.suspects()...)
	}
	if c.rec.Outcome == "" {
		c.rec.Outcome, c.rec.Reason = Unknown, reasonPanic
	}
}

// callerLeft reports whether the caller has disconnected, and records that.
func (c *call) callerLeft() bool {
	if c.r.Context().Err() == nil {
		return false
	}
	c.rec.Outcome, c.rec.Reason = CallerLeft, "callerLeft"
	return true
}
