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

// faults are the probabilities of the faults, each in thousandths.
type faults struct {
	late, doubled, reordered        int // of each packet
	silent                          int // of each connection, each 100 ms
	lateArrives                     int // of each late packet of a silent connection: that it arrives
	sidecarDies, entryDies          int // of each process, each 100 ms
	staysDown                       int // of each dead sidecar: that its host never returns
	engineBreaks, engineUnreachable int // of each run
	engineStalls, rejected          int
	callerLeaves, claimFailed       int // of each request
	drains                          int // of each sidecar, each 100 ms
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (a eventHeap) Len() int { return len(a) }
func (a eventHeap) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a eventHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventHeap) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventHeap) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world simulates entries, sidecars and engines, joined by an unreliable network, in
// virtual time.
type world struct {
	f                faults
	productionBounds bool // books have the default bounds
	rng              *rand.Rand
	now              time.Time
	seq              int
	events           eventHeap
	entries          []*entry
	sidecars         []*sidecar
	requests         []*clientRequest
	runAnswers       map[request.ID][]string  // the answers of all runs of each request
	claims           map[string]request.Prior // by key
	byKey            map[string]map[request.ID]struct{}
	steps            int
	failure          string // the first violation that was found
}

func newWorld(seed uint64, f faults, roomy bool, entries, sidecars int) *world {
	w := &world{
		f: f, productionBounds: roomy, rng: rand.New(rand.NewPCG(seed, 1)), now: t0,
		runAnswers: make(map[request.ID][]string),
		claims:     make(map[string]request.Prior),
		byKey:      make(map[string]map[request.ID]struct{}),
	}
	for i := range entries {
		w.entries = append(w.entries, &entry{w: w, name: host.Name(fmt.Sprintf("entry-%d", i)), incarnation: 1, conns: make(map[*sidecar]*conn), streams: make(map[streamKey]*clientRequest)})
	}
	for i := range sidecars {
		s := &sidecar{w: w, name: host.Name(fmt.Sprintf("target-%d", i)), keepsRuns: i%2 == 0, runs: make(map[request.ID]string)}
		s.start()
		w.sidecars = append(w.sidecars, s)
	}
	w.after(100*time.Millisecond, w.injectFaults)
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = w.now.Sub(t0).String() + ": " + fmt.Sprintf(format, args...)
	}
}

// chance returns true with a probability of n in a thousand.
func (w *world) chance(n int) bool { return w.rng.IntN(1000) < n }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// run processes events until the time is up or an invariant is violated.
func (w *world) run(d time.Duration) {
	until := t0.Add(d)
	for len(w.events) > 0 && w.failure == "" && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.steps++
		e.run()
	}
}

// injectFaults draws the faults of connections and processes, every 100 ms.
func (w *world) injectFaults() {
	w.after(100*time.Millisecond, w.injectFaults)
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

// conn is one connection between an incarnation of an entry and one of a sidecar.
type conn struct {
	w                  *world
	number             request.Conn
	entry              *entry
	incarnation        int
	sidecar            *sidecar
	sidecarIncarnation host.Incarnation
	silent             bool
	silenceKnown       bool // the entry knows that the connection is silent
	stream             uint64
	lanes              map[string]*lane // by direction and stream
	sent               map[uint64][]request.Message
}

// lane keeps the packets of one direction of a stream in order. Packets behind a late
// one are late too.
type lane struct {
	last    time.Time
	late    bool
	arrives bool // late packets arrive although the connection is silent
}

// goSilent makes the connection lose all packets, also those in transit, except late
// packets that a fault lets arrive. Each end notices the silence after its own delay.
func (c *conn) goSilent() {
	if c.silent {
		return
	}
	c.silent = true
	c.w.after(c.w.between(100*time.Millisecond, 600*time.Millisecond), func() {
		c.silenceKnown = true
		if c.entry.conns[c.sidecar] == c {
			delete(c.entry.conns, c.sidecar)
		}
		c.entry.eachRequest(c.incarnation, func(t *clientRequest) {
			t.handle(request.Event{Kind: request.ConnectionSilent, Conn: c.number})
		})
	})
	c.w.after(c.w.between(time.Second, 5*time.Second), func() {
		if c.sidecar.runsAs(c.sidecarIncarnation) {
			c.sidecar.handle(book.Event{Kind: book.ConnectionClosed, Peer: c.from(0)})
		}
	})
}

// close closes the connection in good order, so that the entry knows at once.
func (c *conn) close() {
	c.silent = true
	delete(c.entry.conns, c.sidecar)
	c.entry.eachRequest(c.incarnation, func(t *clientRequest) {
		t.handle(request.Event{Kind: request.ConnectionSilent, Conn: c.number})
	})
}

func (c *conn) from(stream uint64) book.Peer {
	return book.Peer{Entry: c.entry.name, Incarnation: host.Incarnation(c.incarnation), Conn: c.number, Stream: stream}
}

// transmit delivers a packet to the other end, in order within its stream unless a
// fault reorders or duplicates it.
func (c *conn) transmit(direction string, arrive func()) {
	w := c.w
	if c.silent {
		return
	}
	if c.lanes[direction] == nil {
		c.lanes[direction] = &lane{}
	}
	copies := 1
	if w.chance(w.f.doubled) {
		copies = 2
	}
	for range copies {
		at := c.lanes[direction].next(w)
		late, arrives := c.lanes[direction].late, c.lanes[direction].arrives
		w.after(at.Sub(w.now), func() {
			if !c.silent || late && arrives {
				arrive()
			}
		})
	}
}

// next returns the arrival time of the next packet.
func (l *lane) next(w *world) time.Time {
	at := w.now.Add(w.between(1500*time.Microsecond, 2*time.Millisecond))
	if w.chance(w.f.late) {
		at = w.now.Add(w.between(0, 3*time.Second))
		l.late, l.arrives = true, w.chance(w.f.lateArrives)
	}
	if at.Before(l.last) && !w.chance(w.f.reordered) {
		at = l.last
	}
	if at.After(l.last) {
		l.last = at
	}
	return at
}

// toSidecar sends a message to the sidecar. A fault may also send the complete request
// again, up to 12 s later.
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
	c.transmit(fmt.Sprint("out", stream), func() {
		if c.sidecar.runsAs(c.sidecarIncarnation) {
			c.sidecar.handle(book.Event{Kind: book.Received, Peer: c.from(stream), Message: m})
		}
	})
}

func (c *conn) toEntry(stream uint64, m request.Message) {
	c.transmit(fmt.Sprint("in", stream), func() {
		if t := c.entry.requestOf(c, stream); t != nil {
			t.handle(request.Event{Kind: request.Received, Conn: c.number, Message: m})
		}
	})
}
