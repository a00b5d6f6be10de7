package book_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

var t0 = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// faults are the chances of what goes wrong, each in one of a thousand draws.
type faults struct {
	late, doubled, reordered  int // of each packet
	silent                    int // of each connection, each 100 ms
	wakes                     int // of each late packet of a silent connection: it arrives
	sidecarDies, entryDies    int // of each process, each 100 ms
	stays                     int // of each dead sidecar: its host is gone for good
	engineBreaks, engineAway  int // of each run
	engineStalls, rejected    int
	callerLeaves, claimFailed int // of each request
	drains                    int // of each sidecar, each 100 ms
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world joins entries, sidecars and engines by an unreliable network in
// virtual time.
type world struct {
	f        faults
	roomy    bool // books have the bounds of production
	rng      *rand.Rand
	now      time.Time
	seq      int
	agenda   agenda
	entries  []*entry
	sidecars []*sidecar
	trips    []*trip
	ran      map[request.ID][]string  // the answer of each run of each request
	claims   map[string]request.Prior // by key
	byKey    map[string]map[request.ID]struct{}
	steps    int
	failure  string // the first invariant found broken
}

func newWorld(seed uint64, f faults, roomy bool, entries, sidecars int) *world {
	w := &world{
		f: f, roomy: roomy, rng: rand.New(rand.NewPCG(seed, 1)), now: t0,
		ran:    make(map[request.ID][]string),
		claims: make(map[string]request.Prior),
		byKey:  make(map[string]map[request.ID]struct{}),
	}
	for i := range entries {
		w.entries = append(w.entries, &entry{w: w, name: host.Name(fmt.Sprintf("entry-%d", i)), life: 1, conns: make(map[*sidecar]*conn), streams: make(map[streamOf]*trip)})
	}
	for i := range sidecars {
		s := &sidecar{w: w, name: host.Name(fmt.Sprintf("target-%d", i)), keeps: i%2 == 0, runs: make(map[request.ID]string)}
		s.start()
		w.sidecars = append(w.sidecars, s)
	}
	w.after(100*time.Millisecond, w.misfortunes)
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = w.now.Sub(t0).String() + ": " + fmt.Sprintf(format, args...)
	}
}

// chance is true for n in a thousand.
func (w *world) chance(n int) bool { return w.rng.IntN(1000) < n }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.agenda, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// run goes on until the time is up or an invariant is broken.
func (w *world) run(d time.Duration) {
	until := t0.Add(d)
	for len(w.agenda) > 0 && w.failure == "" && !w.agenda[0].at.After(until) {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		w.steps++
		e.run()
	}
}

func (w *world) misfortunes() {
	w.after(100*time.Millisecond, w.misfortunes)
	for _, e := range w.entries {
		for _, s := range w.sidecars {
			if c := e.conns[s]; c != nil && !c.silent && w.chance(w.f.silent) {
				c.goSilent()
			}
		}
		if w.chance(w.f.entryDies) {
			e.die()
		}
	}
	for _, s := range w.sidecars {
		if s.book == nil {
			continue
		}
		if w.chance(w.f.sidecarDies) {
			s.die()
		} else if w.chance(w.f.drains) {
			s.handle(book.Event{Kind: book.Drain})
		}
	}
}

// conn is one connection of an entry's life to a sidecar's life.
type conn struct {
	w      *world
	number request.Conn
	entry  *entry
	life   int
	side   *sidecar
	peer   host.Incarnation
	silent bool
	known  bool // the entry knows that it is silent
	stream uint64
	lanes  map[string]*lane // by stream and direction
	sent   map[uint64][]request.Message
}

// lane keeps the packets of a stream's direction in order. Those behind a late
// packet are late with it.
type lane struct {
	last time.Time
	late bool
	wake bool // late packets arrive although the connection is silent
}

// goSilent drops all that is under way, and tells both ends at their own time.
// Some of what was under way may arrive all the same.
func (c *conn) goSilent() {
	if c.silent {
		return
	}
	c.silent = true
	c.w.after(c.w.between(100*time.Millisecond, 600*time.Millisecond), func() {
		c.known = true
		if c.entry.conns[c.side] == c {
			delete(c.entry.conns, c.side)
		}
		c.entry.each(c.life, func(t *trip) {
			t.handle(request.Event{Kind: request.ConnectionSilent, Conn: c.number})
		})
	})
	c.w.after(c.w.between(time.Second, 5*time.Second), func() {
		if c.side.is(c.peer) {
			c.side.handle(book.Event{Kind: book.ConnectionClosed, Peer: c.from(0)})
		}
	})
}

// close ends the connection in good order, so that the entry learns it at once.
func (c *conn) close() {
	c.silent = true
	delete(c.entry.conns, c.side)
	c.entry.each(c.life, func(t *trip) {
		t.handle(request.Event{Kind: request.ConnectionSilent, Conn: c.number})
	})
}

func (c *conn) from(stream uint64) book.Peer {
	return book.Peer{Entry: c.entry.name, Incarnation: host.Incarnation(c.life), Conn: c.number, Stream: stream}
}

// carry moves a packet to the other end, in order within its stream unless a
// fault says otherwise, and maybe twice.
func (c *conn) carry(way string, arrive func()) {
	w := c.w
	if c.silent {
		return
	}
	if c.lanes[way] == nil {
		c.lanes[way] = &lane{}
	}
	copies := 1
	if w.chance(w.f.doubled) {
		copies = 2
	}
	for range copies {
		at := c.lanes[way].next(w)
		late, wake := c.lanes[way].late, c.lanes[way].wake
		w.after(at.Sub(w.now), func() {
			if !c.silent || late && wake {
				arrive()
			}
		})
	}
}

// next is when the next packet arrives.
func (l *lane) next(w *world) time.Time {
	at := w.now.Add(w.between(1500*time.Microsecond, 2*time.Millisecond))
	if w.chance(w.f.late) {
		at = w.now.Add(w.between(0, 3*time.Second))
		l.late, l.wake = true, w.chance(w.f.wakes)
	}
	if at.Before(l.last) && !w.chance(w.f.reordered) {
		at = l.last
	}
	if at.After(l.last) {
		l.last = at
	}
	return at
}

// toSidecar also repeats a whole request once in a while, much later.
func (c *conn) toSidecar(stream uint64, m request.Message) {
	c.sent[stream] = append(c.sent[stream], m)
	if m.Kind == request.BodyEnd && c.w.chance(c.w.f.doubled) {
		c.w.after(c.w.between(0, 12*time.Second), func() {
			for _, again := range c.sent[stream] {
				c.deliver(stream, again)
			}
		})
	}
	c.deliver(stream, m)
}

func (c *conn) deliver(stream uint64, m request.Message) {
	c.carry(fmt.Sprint("out", stream), func() {
		if c.side.is(c.peer) {
			c.side.handle(book.Event{Kind: book.Received, Peer: c.from(stream), Message: m})
		}
	})
}

func (c *conn) toEntry(stream uint64, m request.Message) {
	c.carry(fmt.Sprint("in", stream), func() {
		if t := c.entry.tripOf(c, stream); t != nil {
			t.handle(request.Event{Kind: request.Received, Conn: c.number, Message: m})
		}
	})
}
