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

type connKey struct {
	life   int
	number request.Conn
}

type streamOf struct {
	conn   *conn
	stream uint64
}

// entry is one entry process: its connections and the trips of its requests.
type entry struct {
	w       *world
	name    host.Name
	life    int
	next    request.Conn
	conns   map[*sidecar]*conn // the one in use
	all     map[connKey]*conn
	trips   []*trip
	streams map[streamOf]*trip
}

func (e *entry) die() {
	for _, c := range e.conns {
		c.goSilent()
	}
	e.life++
	e.next = 0
	e.conns = make(map[*sidecar]*conn)
	for _, t := range e.trips {
		t.lost = true
	}
	e.trips = nil
}

func (e *entry) each(life int, do func(*trip)) {
	if e.life != life {
		return
	}
	for _, t := range slices.Clone(e.trips) {
		do(t)
	}
}

// tripOf returns the request that a stream belongs to, if this life has it.
func (e *entry) tripOf(c *conn, stream uint64) *trip {
	if e.life != c.life {
		return nil
	}
	return e.streams[streamOf{c, stream}]
}

func (e *entry) connect(s *sidecar) *conn {
	e.next++
	c := &conn{w: e.w, number: e.next, entry: e, life: e.life, side: s, peer: s.life, lanes: make(map[string]*lane), sent: make(map[uint64][]request.Message)}
	if e.all == nil {
		e.all = make(map[connKey]*conn)
	}
	e.all[connKey{e.life, e.next}] = c
	e.conns[s] = c
	return c
}

// trip is one request on its way, and what its caller got.
type trip struct {
	e          *entry
	r          *request.Request
	id         request.ID
	key        string
	idempotent bool
	prior      request.ID              // joined
	current    map[request.Conn]uint64 // the stream of the attempt on each connection
	wake       time.Time
	got        []byte
	result     *request.Result
	finishes   int
	lost       bool // its entry died
	at         *sidecar
	on         *conn
	headSeen   bool
	touched    bool // by the failure that is measured
	partial    bool // its answer had begun by then
	began      time.Time
	took       time.Duration
}

func (w *world) arrive(e *entry, idempotent bool, key string, patience time.Duration) *trip {
	t := &trip{
		e: e, key: key, idempotent: idempotent, began: w.now,
		current: make(map[request.Conn]uint64),
	}
	binary.BigEndian.PutUint64(t.id[:], uint64(len(w.trips)+1))
	spec := request.Spec{
		ID: t.id, Claimed: key != "", Deadline: w.now.Add(patience),
		Call: request.Call{Service: "s", Method: "POST", Path: "/", Idempotent: idempotent},
	}
	budget := retry.NewBudget(w.now, retry.Config{Ratio: 1}, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	t.r = request.New(request.DefaultConfig(), spec, budget.Next)
	w.trips = append(w.trips, t)
	e.trips = append(e.trips, t)
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

func (t *trip) handle(ev request.Event) {
	if t.lost {
		return
	}
	for _, a := range t.r.Handle(t.e.w.now, ev) {
		t.act(a)
	}
}

func (t *trip) later(d time.Duration, ev request.Event) {
	t.e.w.after(d, func() { t.handle(ev) })
}

func (t *trip) act(a request.Action) {
	w := t.e.w
	if t.finishes > 0 && (a.Kind == request.Deliver || a.Kind == request.DeliverHead) {
		w.fail("request %s: output after its outcome", t.id)
	}
	switch a.Kind {
	case request.Pick:
		w.after(0, func() { t.pick(a.Tried) })
	case request.Claim:
		w.after(w.between(3*time.Millisecond, 50*time.Millisecond), func() { t.claim(a.Prior) })
	case request.Reclaim:
		if w.claims[t.key].ID == t.id {
			w.claims[t.key] = a.Prior
		}
	case request.Unclaim:
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

func (t *trip) pick(tried []host.Name) {
	w := t.e.w
	var open []*sidecar
	for _, s := range w.sidecars {
		if s.book != nil && !s.drains && !slices.Contains(tried, s.name) {
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
	t.at, t.on = s, c
	t.handle(request.Event{Kind: request.Picked, Target: s.name, Conn: c.number, Incarnation: c.peer})
}

func (t *trip) claim(p request.Prior) {
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

func (t *trip) send(n request.Conn, m request.Message) {
	c := t.e.all[connKey{t.e.life, n}]
	if c == nil || t.lost {
		return
	}
	if m.Kind == request.Open || m.Kind == request.Resolve {
		t.current[n] = c.stream
		t.e.streams[streamOf{c, c.stream}] = t
		c.stream++
	}
	stream, ok := t.current[n]
	if ok {
		c.toSidecar(stream, m)
	}
}

func (t *trip) sendBody(a request.Action) {
	body := request.Message{Kind: request.Body, ID: a.Message.ID, Attempt: a.Message.Attempt, Data: []byte("body")}
	t.send(a.Conn, body)
	end := request.Message{Kind: request.BodyEnd, ID: a.Message.ID, Attempt: a.Message.Attempt, Offset: 4}
	t.send(a.Conn, end)
}

// connect opens a connection newer than a.Conn, or takes one that is.
func (t *trip) connect(a request.Action) {
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
		t.handle(request.Event{Kind: request.Connected, Target: a.Target, Conn: c.number, Incarnation: c.peer})
	})
}

func (t *trip) answers() []string {
	if t.prior != (request.ID{}) {
		return t.e.w.ran[t.prior]
	}
	return t.e.w.ran[t.id]
}

func (t *trip) deliver(m request.Message) {
	t.got = append(t.got, m.Data...)
	if !slices.ContainsFunc(t.answers(), func(s string) bool { return strings.HasPrefix(s, string(t.got)) }) {
		t.e.w.fail("request %s: %q is no prefix of an answer of its own", t.id, t.got)
	}
}

func (t *trip) finish(res request.Result) {
	w := t.e.w
	t.finishes++
	if t.finishes > 1 {
		w.fail("request %s: a second outcome", t.id)
	}
	t.result, t.took = &res, w.now.Sub(t.began)
	t.closeStreams()
	if res.Outcome == request.Answered && !slices.Contains(t.answers(), string(t.got)) {
		w.fail("request %s: answered, but with %q", t.id, t.got)
	}
	if res.Outcome == request.NotRun && len(w.ran[t.id]) > 0 {
		w.fail("request %s: called not run, but it ran: %s", t.id, res.Reason)
	}
	if !w.now.Before(t.began.Add(time.Minute)) {
		w.fail("request %s: outcome after %s", t.id, t.took)
	}
}

// closeStreams ends all streams in good order.
func (t *trip) closeStreams() {
	for n := range t.e.next {
		c := t.e.all[connKey{t.e.life, n + 1}]
		stream, ok := t.current[c.number]
		if !ok {
			continue
		}
		c.carry(fmt.Sprint("out", stream), func() {
			if c.side.is(c.peer) {
				c.side.handle(book.Event{Kind: book.StreamClosed, Peer: c.from(stream), Settled: true})
			}
		})
	}
}

// checkRuns looks at each run as it begins: a late one breaks the promises too.
func (w *world) checkRuns(id request.ID) {
	t := w.trips[binary.BigEndian.Uint64(id[:])-1]
	if t.result != nil && t.result.Outcome == request.NotRun {
		w.fail("request %s: ran after it was called not run", id)
	}
	if t.idempotent {
		return
	}
	runs := len(w.ran[id])
	for other := range w.byKey[t.key] {
		if other != id {
			runs += len(w.ran[other])
		}
	}
	if runs > 1 {
		w.fail("request %s, key %q: ran %d times", id, t.key, runs)
	}
}
