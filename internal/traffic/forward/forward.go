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
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
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

// Attempt is one sending to a target.
type Attempt struct {
	Target string
	Result string
	Reused bool // the connection had carried requests before
	Seen   admission.Seen
	Took   time.Duration
	Rate   ratelimit.Said // that the target named
	Notice notice.Said    // what the target said of itself
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
	stranded atomic.Bool // the host of a target that it was sent to does not answer
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
		if c.heldBack(c.lookUp()) {
			return
		}
		t, ok := c.place()
		if !ok {
			return
		}
		// And after: a copy of it may have crashed targets meanwhile.
		v := c.beginAttempt()
		if v.Held {
			c.f.Admission.Abandon(c.f.Now(), t)
		}
		if c.heldBack(v) || !c.attempt(t, v) {
			return
		}
	}
}

func (c *call) callerLeft() bool {
	if c.r.Context().Err() == nil {
		return false
	}
	c.rec.Outcome, c.rec.Reason = CallerLeft, "callerLeft"
	return true
}
