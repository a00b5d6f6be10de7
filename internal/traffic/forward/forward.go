// Package forward carries a caller's request to a target and its answer back.
//
// The rules that it keeps: a request that may not be repeated is sent again only if
// a target, or the lack of any sent byte, proves that it did not run; an answer is
// passed on only if it is whole, or breaks off visibly; a refusal that says "not
// run" is given only when that is so.
package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/platform"
)

// Rules is the entry's knowledge of the rules at some moment.
type Rules struct {
	Config *routing.Config // nil while none is known
	Age    time.Duration   // since the store was last known to hold nothing newer
}

// Forwarder serves callers. Its fields are set before the first request.
type Forwarder struct {
	Rules     func() Rules
	KeyTrust  func() time.Duration // rules older than that prove no key
	RuleTrust func() time.Duration // rules older than that don't prove that a route or key is unknown
	Admission *admission.Controller
	Pool      *upstream.Pool
	Budget    *Budget
	Now       func() time.Time
	Draining  *atomic.Bool
	Gone      func(id string) // another server answers at a target's address
	Ended     func(Record)    // hears of each request's end
	Broke     func(Break)     // hears of each connection that broke under a request
	// Quarantine holds requests back that crash targets.
	Quarantine *quarantine.Quarantine
	Elsewhere  func() bool // other entries have fresh rules; nil if that is never known
}

// Outcome says how a request ended.
type Outcome string

// The outcomes of requests.
const (
	Answered   Outcome = "answered"   // the target's whole answer was passed on
	NotRun     Outcome = "notRun"     // refused, and it did not run
	Unknown    Outcome = "unknown"    // it may have run
	Broken     Outcome = "broken"     // an answer that had begun was cut
	CallerLeft Outcome = "callerLeft" // the caller gave up
	Denied     Outcome = "denied"     // no rule allows it
)

// Record is the end of a request, for logs and metrics.
type Record struct {
	ID        string
	Route     string
	Kind      routing.Kind
	Service   string
	Workspace string
	Outcome   Outcome
	Reason    string // why, in a word; "" for answers
	Status    int
	Attempts  []Attempt
	Config    int64         // version of the rules
	Age       time.Duration // of the rules when they were used
	Queued    time.Duration // waited at the entry
	First     time.Duration // until the first event, or the answer
	Took      time.Duration
	Events    int
	// Fingerprint of the request; zero if nothing asked for it.
	Fingerprint quarantine.Fingerprint
	Crashes     int // of targets that ran the request, as far as known
}

// Break is a connection to a target that broke while a request was under way on it.
type Break struct {
	Request quarantine.Fingerprint
	Target  roster.Target
}

// Attempt is one sending to a target.
type Attempt struct {
	Target string
	Result string
	Reused bool // the connection had carried requests before
	Seen   admission.Seen
	Took   time.Duration
}

const (
	// maxAnswerBytes bounds an answer that is held until it is proved whole.
	maxAnswerBytes = 4 << 20
	// refuseShare is the largest part of the caller's time left that it waits
	// before it comes back.
	refuseShare = 1.0 / 3
	// defaultPatience is taken for callers that don't say how long they wait.
	defaultPatience = 30 * time.Second
)

// call is one request on its way.
type call struct {
	f        *Forwarder
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	in       platform.Incoming
	route    *routing.Route
	config   *routing.Config
	space    *routing.Workspace
	body     []byte
	begin    time.Time
	deadline time.Time
	rec      Record
	service  string
	tried    []string // targets that were chosen
	sent     int      // times that the request was written to a target
	stream   streamState
	left     atomic.Bool // the request leaves a slow target, and the repeat is counted
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, r: r, begin: f.Now(), in: platform.ReadIncoming(r.Header)}
	c.rec.ID = c.in.ID
	defer func() {
		c.rec.Took = f.Now().Sub(c.begin)
		f.Ended(c.rec)
	}()
	if f.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit() || !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.run()
}

// admit finds the route and the workspace of the request, or answers it.
func (c *call) admit() bool {
	rules := c.f.Rules()
	c.rec.Age = rules.Age
	patience := c.in.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	c.deadline = c.begin.Add(patience)
	if rules.Config == nil {
		c.refuse(http.StatusServiceUnavailable, "noRules", c.comeBackWithin(storeReturn))
		return false
	}
	c.config = rules.Config
	c.rec.Config = rules.Config.Version
	// An entry that was out of touch may not know the newest routes and keys. It
	// must not say "unknown" of them, since callers take that as final.
	stale := rules.Age > c.f.RuleTrust()
	c.route = rules.Config.RouteFor(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return c.deny(stale, http.StatusNotFound, "noRoute")
	}
	c.rec.Route = c.route.Name
	c.rec.Kind = c.route.Kind
	if t := c.route.Timeout; t > 0 && t < patience {
		c.deadline = c.begin.Add(t)
	}
	if !c.config.Keyed() || c.route.Public {
		return true
	}
	c.space = c.config.Holder(c.in.Key)
	if c.space == nil {
		return c.deny(stale, http.StatusUnauthorized, "unknownKey")
	}
	c.rec.Workspace = c.space.Name
	// A key may have been taken away meanwhile; only fresh rules prove that it holds.
	if rules.Age > c.f.KeyTrust() {
		// The caller finds another entry by a new connection.
		c.w.Header().Set("Connection", "close")
		c.refuse(http.StatusServiceUnavailable, "rulesTooOld", c.untilRules())
		return false
	}
	return true
}

func (c *call) deny(stale bool, status int, reason string) bool {
	if stale {
		c.refuse(http.StatusServiceUnavailable, "rulesTooOld", c.untilRules())
		return false
	}
	c.rec.Outcome, c.rec.Reason, c.rec.Status = Denied, reason, status
	c.reply(status)
	return false
}

func (c *call) readBody() bool {
	limits := c.config.Limits
	if limits.HeaderBytes > 0 && headerSize(c.r) > limits.HeaderBytes {
		c.end(Denied, "headerTooLarge", http.StatusRequestHeaderFieldsTooLarge)
		return false
	}
	body := io.Reader(c.r.Body)
	if limits.BodyBytes > 0 {
		body = io.LimitReader(c.r.Body, limits.BodyBytes+1)
	}
	text, err := io.ReadAll(body)
	if err != nil {
		// The caller left, or sent what is no body: nobody waits for an answer.
		c.rec.Outcome, c.rec.Reason = CallerLeft, "bodyNotRead"
		panic(http.ErrAbortHandler)
	}
	if limits.BodyBytes > 0 && int64(len(text)) > limits.BodyBytes {
		c.w.Header().Set("Connection", "close")
		c.end(Denied, "bodyTooLarge", http.StatusRequestEntityTooLarge)
		return false
	}
	c.body = text
	return true
}

// fingerprint names the request by what stays the same when it comes again.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.rec.Fingerprint.IsZero() {
		c.rec.Fingerprint = quarantine.Request{
			Workspace: c.rec.Workspace, Host: c.route.Host, Method: c.r.Method, URI: c.r.RequestURI, Body: c.body,
		}.Fingerprint()
	}
	return c.rec.Fingerprint
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// run sends the request until it is answered, refused or given up.
func (c *call) run() {
	c.service = c.route.Pick(rand.Float64())
	c.rec.Service = c.service
	c.f.Budget.First(c.f.Now(), c.service)
	for {
		// Before it waits: one that is held back is refused at once.
		if c.heldBack(c.verdict((*quarantine.Quarantine).Look)) {
			return
		}
		t, ok := c.place()
		if !ok {
			return
		}
		// And after: a copy of it may have crashed targets meanwhile.
		v := c.verdict((*quarantine.Quarantine).Begin)
		if v.Held {
			c.f.Admission.Done(c.f.Now(), t, admission.End{})
		}
		if c.heldBack(v) || !c.attempt(t, v) {
			return
		}
	}
}

// verdict asks whether the request is held back. While no request is suspected that takes
// no fingerprint.
func (c *call) verdict(ask func(*quarantine.Quarantine, time.Time, quarantine.Fingerprint) quarantine.Verdict) quarantine.Verdict {
	if c.f.Quarantine.Empty() {
		return quarantine.Verdict{}
	}
	v := ask(c.f.Quarantine, c.f.Now(), c.fingerprint())
	c.rec.Crashes = v.Crashes
	return v
}

// heldBack answers a request that crashes its targets. It is refused at once, with the
// time of the next trial: sent on, it would cost one more target, and its group's callers
// some seconds.
func (c *call) heldBack(v quarantine.Verdict) bool {
	if v.Held {
		c.giveUp(http.StatusServiceUnavailable, "crashesTargets", v.After)
	}
	return v.Held
}

// ticket describes the request to admission.
func (c *call) ticket() *admission.Ticket {
	t := &admission.Ticket{Service: c.service, Priority: c.route.Priority, Work: 1, Tried: c.tried, Deadline: c.deadline}
	t.Fresh = time.Duration(freshShare*float64(c.route.Aim)) - c.f.Now().Sub(c.begin)
	if c.space != nil && c.space.Ranked {
		t.Priority = c.space.Priority
	}
	if c.route.Generates {
		t.Work = float64(c.in.Prompt)*readWork + float64(c.expectedAnswer())
	}
	return t
}

// freshShare is the part of its aim that a request may wait for a target and still
// be answered on time: a loaded engine takes some 300 ms to the first event, of an
// aim of 500.
const freshShare = 0.4

// readWork is the work of reading a prompt token, in tokens written. Reading takes
// 1/61 ms a token; writing one takes some 10 ms, shared by about ten requests.
const readWork = 0.016

// expectedAnswer is how many tokens the answer will have, as the caller guesses.
func (c *call) expectedAnswer() int {
	if c.in.Hint > 0 && (c.in.Answer == 0 || c.in.Hint < c.in.Answer) {
		return c.in.Hint
	}
	return c.in.Answer
}

// place waits for a target, or answers the request.
func (c *call) place() (*admission.Ticket, bool) {
	now := c.f.Now()
	t := c.ticket()
	switch c.f.Admission.Arrive(now, t) {
	case admission.Go:
		return t, true
	case admission.Wait:
		return t, c.await(t, now)
	case admission.Full:
		c.giveUp(http.StatusServiceUnavailable, "queueFull", c.comeBackSpread())
	case admission.NoTarget:
		c.giveUp(http.StatusServiceUnavailable, "noTarget", c.comeBack())
	}
	return nil, false
}

// await waits in the queue.
func (c *call) await(t *admission.Ticket, since time.Time) bool {
	limit := c.queueLimit()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.Granted():
		c.rec.Queued += c.f.Now().Sub(since)
		return true
	case <-timer.C:
	case <-c.ctx.Done():
	}
	now := c.f.Now()
	c.rec.Queued += now.Sub(since)
	select {
	case <-t.Granted(): // in the same moment
		if c.ctx.Err() == nil {
			return true
		}
	default:
	}
	c.f.Admission.Abandon(now, t)
	if c.callerLeft() {
		return false
	}
	c.giveUp(http.StatusServiceUnavailable, "queueTooLong", c.comeBackSpread())
	return false
}

// queueLimit is how long the request may wait at the entry: for a quarter of the
// time left there is still enough for the answer and for coming back. Callers leave a
// stream that is silent for too long; one that waits for half of that still gets its
// first event in time, or a refusal that says when to come back.
func (c *call) queueLimit() time.Duration {
	limit := c.deadline.Sub(c.f.Now()) / 4
	if c.route.Kind == routing.Streaming {
		limit = min(limit, c.streamPatience()/2)
	}
	return max(limit, time.Millisecond)
}

// What callers bear between two events of a stream, and before the first: the longest
// of a fixed time and of multiples of the route's aims.
const (
	leastPatience  = 2 * time.Second
	aimsPatience   = 4
	pausesPatience = 8
)

func (c *call) streamPatience() time.Duration {
	return max(leastPatience, aimsPatience*c.route.Aim, pausesPatience*c.route.GapAim)
}

func (c *call) callerLeft() bool {
	if c.r.Context().Err() == nil {
		return false
	}
	c.rec.Outcome, c.rec.Reason = CallerLeft, "callerLeft"
	return true
}

// giveUp ends a request that has no target now. Only one that never ran is refused: an
// earlier try may have run, and "not run" must be true of all of them.
func (c *call) giveUp(status int, reason string, back time.Duration) {
	switch {
	case c.stream.held != nil:
		c.deliverHeld()
	case c.stream.begun || c.ranOnce():
		c.fail(reason)
	default:
		c.refuse(status, reason, back)
	}
}

// comeBack is when a refused caller should try again.
func (c *call) comeBack() time.Duration {
	left := c.deadline.Sub(c.f.Now())
	return max(time.Duration(float64(left)*refuseShare), 10*time.Millisecond)
}

// comeBackSpread is the same for callers that are refused since too many came at once:
// those that are refused together would come back together.
func (c *call) comeBackSpread() time.Duration {
	share := leastReturn + (1-leastReturn)*rand.Float64()
	return time.Duration(share * float64(c.comeBack()))
}

// leastReturn is the part of the longest wait that a refused caller waits at the least.
const leastReturn = 0.4

// comeBackWithin is the same where the reason is likely to last for a known time.
func (c *call) comeBackWithin(d time.Duration) time.Duration { return min(d, c.comeBack()) }

// untilRules is when a caller should come back whom old rules don't serve: at once if
// other entries have fresh ones, as callers come back through another entry.
func (c *call) untilRules() time.Duration {
	if c.f.Elsewhere != nil && c.f.Elsewhere() {
		return c.comeBackWithin(elsewhereReturn)
	}
	return c.comeBackWithin(storeReturn)
}

// elsewhereReturn spreads callers that go to another entry at once.
const elsewhereReturn = 20 * time.Millisecond

// storeReturn is when an entry that lost the store can be expected to have fresh
// rules: most losses are over within a second or two, and other entries have them.
const storeReturn = time.Second

// refuse says that the request did not run, and when to come back.
func (c *call) refuse(status int, reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.end(NotRun, reason, status)
}

// end gives an answer of the entry's own.
func (c *call) end(o Outcome, reason string, status int) {
	c.rec.Outcome, c.rec.Reason, c.rec.Status = o, reason, status
	c.reply(status)
}

func (c *call) reply(status int) {
	platform.NameRequest(c.w.Header(), c.in.ID)
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

// breakOff cuts an answer that has begun, so that it can't be taken for a whole one.
func (c *call) breakOff(reason string) {
	c.rec.Outcome, c.rec.Reason = Broken, reason
	panic(http.ErrAbortHandler)
}
