package book_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
)

// connKey identifies a connection of an entry over all its incarnations.
type connKey struct {
	incarnation int
	number      request.Conn
}

// streamKey identifies a stream of an entry.
type streamKey struct {
	conn   *conn
	stream uint64
}

// entry is one entry process: its connections and its requests.
type entry struct {
	w           *world
	name        host.Name
	incarnation int
	next        request.Conn
	conns       map[*sidecar]*conn // the connection in use for each sidecar
	all         map[connKey]*conn
	requests    []*clientRequest
	streams     map[streamKey]*clientRequest
}

// die ends the process without notice and starts its next incarnation.
func (e *entry) die() {
	for _, c := range e.conns {
		c.goSilent()
	}
	e.incarnation++
	e.next = 0
	e.conns = make(map[*sidecar]*conn)
	for _, t := range e.requests {
		t.lost = true
	}
	e.requests = nil
}

// eachRequest calls do for all requests of an incarnation, if it still runs.
func (e *entry) eachRequest(incarnation int, do func(*clientRequest)) {
	if e.incarnation != incarnation {
		return
	}
	for _, t := range slices.Clone(e.requests) {
		do(t)
	}
}

// requestOf returns the request that a stream belongs to; nil if the connection is
// that of an earlier incarnation.
func (e *entry) requestOf(c *conn, stream uint64) *clientRequest {
	if e.incarnation != c.incarnation {
		return nil
	}
	return e.streams[streamKey{c, stream}]
}

func (e *entry) connect(s *sidecar) *conn {
	e.next++
	c := &conn{w: e.w, number: e.next, entry: e, incarnation: e.incarnation, sidecar: s, sidecarIncarnation: s.incarnation, lanes: make(map[string]*lane), sent: make(map[uint64][]request.Message)}
	if e.all == nil {
		e.all = make(map[connKey]*conn)
	}
	e.all[connKey{e.incarnation, e.next}] = c
	e.conns[s] = c
	return c
}

// clientRequest is one request of a caller, with the answer that the caller got.
type clientRequest struct {
	e          *entry
	r          *request.Request
	id         request.ID
	key        string
	idempotent bool
	prior      request.ID              // the request that it joined
	current    map[request.Conn]uint64 // the latest stream on each connection
	wake       time.Time
	got        []byte
	result     *request.Result
	finishes   int
	lost       bool // its entry has died
	sidecar    *sidecar
	conn       *conn
	headSeen   bool
	affected   bool // by the failure under measurement
	partial    bool // its answer had begun when the failure came
	began      time.Time
	took       time.Duration
}

func (w *world) arrive(e *entry, idempotent bool, key string, patience time.Duration) *clientRequest {
	t := &clientRequest{
		e: e, key: key, idempotent: idempotent, began: w.now,
		current: make(map[request.Conn]uint64),
	}
	binary.BigEndian.PutUint64(t.id[:], uint64(len(w.requests)+1))
	spec := request.Spec{
		ID: t.id, Claimed: key != "", Deadline: w.now.Add(patience),
		Call: request.Call{Service: "s", Method: "POST", Path: "/", Idempotent: idempotent},
	}
	budget := retry.NewBudget(w.now, retry.Config{Ratio: 1}, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	t.r = request.New(request.DefaultConfig(), spec, budget.Next)
	w.requests = append(w.requests, t)
	e.requests = append(e.requests, t)
	if key != "" {
		if w.byKey[key] == nil {
			w.byKey[key] = make(map[request.ID]struct{})
		}
		w.byKey[key][t.id] = struct{}{}
	}
	t.handle(request.Event{Kind: request.Started})
	if w.chance(w.f.callerLeaves) {
		t.later(w.between(0, time.Second), request.Event{Kind: request.CallerLeft})
	}
	return t
}

func (t *clientRequest) handle(ev request.Event) {
	if t.lost {
		return
	}
	for _, a := range t.r.Handle(t.e.w.now, ev) {
		t.act(a)
	}
}

func (t *clientRequest) later(d time.Duration, ev request.Event) {
	t.e.w.after(d, func() { t.handle(ev) })
}

func (t *clientRequest) act(a request.Action) {
	w := t.e.w
	if t.finishes > 0 && (a.Kind == request.Deliver || a.Kind == request.DeliverHead) {
		w.fail("request %s: data delivered after its outcome", t.id)
	}
	switch a.Kind {
	case request.Pick:
		w.after(0, func() { t.pick(a.Tried) })
	case request.Claim:
		w.after(w.between(3*time.Millisecond, 50*time.Millisecond), func() { t.claim(a.Prior) })
	case request.MoveClaim:
		if w.claims[t.key].ID == t.id {
			w.claims[t.key] = a.Prior
		}
	case request.ReleaseClaim:
		if w.claims[t.key].ID == t.id {
			delete(w.claims, t.key)
		}
	case request.Send:
		t.send(a.Conn, a.Message)
	case request.SendBody:
		t.sendBody(a)
	case request.Connect:
		t.connect(a)
	case request.DeliverHead:
		t.headSeen = true
	case request.Deliver:
		t.deliver(a.Message)
	case request.Finish:
		t.finish(a.Result)
	case request.Wake:
		t.later(a.At.Sub(w.now), request.Event{Kind: request.Tick})
	case request.Violated:
		w.fail("%v", a.Violation)
	}
}

func (t *clientRequest) pick(tried []host.Name) {
	w := t.e.w
	var open []*sidecar
	for _, s := range w.sidecars {
		if s.book != nil && !s.draining && !slices.Contains(tried, s.name) {
			open = append(open, s)
		}
	}
	if len(open) == 0 || t.lost {
		t.handle(request.Event{Kind: request.NothingPicked, RetryAfter: time.Second})
		return
	}
	s := open[w.rng.IntN(len(open))]
	c := t.e.conns[s]
	if c == nil {
		c = t.e.connect(s)
	}
	t.sidecar, t.conn = s, c
	t.handle(request.Event{Kind: request.Picked, Target: s.name, Conn: c.number, Incarnation: c.sidecarIncarnation})
}

func (t *clientRequest) claim(p request.Prior) {
	w := t.e.w
	if w.chance(w.f.claimFailed) {
		t.handle(request.Event{Kind: request.ClaimRefused, Reason: request.ClaimUnavailable, RetryAfter: time.Second})
		return
	}
	if held, ok := w.claims[t.key]; ok && held.ID != t.id {
		t.prior = held.ID
		t.handle(request.Event{Kind: request.ClaimTaken, Prior: held})
		return
	}
	w.claims[t.key] = p
	t.prior = request.ID{}
	t.handle(request.Event{Kind: request.ClaimGranted})
}

func (t *clientRequest) send(n request.Conn, m request.Message) {
	c := t.e.all[connKey{t.e.incarnation, n}]
	if c == nil || t.lost {
		return
	}
	if m.Kind == request.Open || m.Kind == request.Resolve {
		t.current[n] = c.stream
		t.e.streams[streamKey{c, c.stream}] = t
		c.stream++
	}
	stream, ok := t.current[n]
	if ok {
		c.toSidecar(stream, m)
	}
}

func (t *clientRequest) sendBody(a request.Action) {
	body := request.Message{Kind: request.Body, ID: a.Message.ID, Attempt: a.Message.Attempt, Data: []byte("body")}
	t.send(a.Conn, body)
	end := request.Message{Kind: request.BodyEnd, ID: a.Message.ID, Attempt: a.Message.Attempt, Offset: 4}
	t.send(a.Conn, end)
}

// connect opens a connection newer than a.Conn, or uses an existing newer one.
func (t *clientRequest) connect(a request.Action) {
	w := t.e.w
	i := slices.IndexFunc(w.sidecars, func(s *sidecar) bool { return s.name == a.Target })
	s := w.sidecars[i]
	w.after(w.between(3*time.Millisecond, 6*time.Millisecond), func() {
		if t.lost {
			return
		}
		if s.book == nil {
			t.later(50*time.Millisecond, request.Event{Kind: request.ConnectFailed, Target: a.Target})
			return
		}
		c := t.e.conns[s]
		if c == nil || c.number <= a.Conn {
			c = t.e.connect(s)
		}
		t.handle(request.Event{Kind: request.Connected, Target: a.Target, Conn: c.number, Incarnation: c.sidecarIncarnation})
	})
}

// ownAnswers returns the answers of all runs of the request, or of the one it joined.
func (t *clientRequest) ownAnswers() []string {
	if t.prior != (request.ID{}) {
		return t.e.w.runAnswers[t.prior]
	}
	return t.e.w.runAnswers[t.id]
}

func (t *clientRequest) deliver(m request.Message) {
	t.got = append(t.got, m.Data...)
	if !slices.ContainsFunc(t.ownAnswers(), func(s string) bool { return strings.HasPrefix(s, string(t.got)) }) {
		t.e.w.fail("request %s: %q is not a prefix of any of its own answers", t.id, t.got)
	}
}

func (t *clientRequest) finish(res request.Result) {
	w := t.e.w
	t.finishes++
	if t.finishes > 1 {
		w.fail("request %s: a second outcome", t.id)
	}
	t.result, t.took = &res, w.now.Sub(t.began)
	t.closeStreams()
	if res.Outcome == request.Answered && !slices.Contains(t.ownAnswers(), string(t.got)) {
		w.fail("request %s: answered, but with %q", t.id, t.got)
	}
	if res.Outcome == request.NotRun && len(w.runAnswers[t.id]) > 0 {
		w.fail("request %s: reported as not run, but it ran: %s", t.id, res.Reason)
	}
	if !w.now.Before(t.began.Add(time.Minute)) {
		w.fail("request %s: outcome after %s", t.id, t.took)
	}
}

// closeStreams closes all streams of the request in good order.
func (t *clientRequest) closeStreams() {
	for n := range t.e.next {
		c := t.e.all[connKey{t.e.incarnation, n + 1}]
		stream, ok := t.current[c.number]
		if !ok {
			continue
		}
		c.transmit(fmt.Sprint("out", stream), func() {
			if c.sidecar.runsAs(c.sidecarIncarnation) {
				c.sidecar.handle(book.Event{Kind: book.StreamClosed, Peer: c.from(stream), Settled: true})
			}
		})
	}
}

// checkRuns checks each run when it begins, so that a run after the request's outcome
// is found too.
func (w *world) checkRuns(id request.ID) {
	t := w.requests[binary.BigEndian.Uint64(id[:])-1]
	if t.result != nil && t.result.Outcome == request.NotRun {
		w.fail("request %s: ran after it was reported as not run", id)
	}
	if t.idempotent {
		return
	}
	runs := len(w.runAnswers[id])
	for other := range w.byKey[t.key] {
		if other != id {
			runs += len(w.runAnswers[other])
		}
	}
	if runs > 1 {
		w.fail("request %s, key %q: ran %d times", id, t.key, runs)
	}
}
