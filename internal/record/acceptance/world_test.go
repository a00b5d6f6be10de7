package acceptance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// world joins processes by links with delays, and to a platform.
type world struct {
	t        failer
	rng      *rand.Rand
	now      time.Time
	nodes    []*node
	byAddr   map[netip.AddrPort]*node
	queue    happenings
	count    int
	platform *shelf

	cut      func(from, to *node) bool
	loss     float64
	accepted map[string][]acceptedAt
	digests  map[string]Digest // by service and number
	lastNote map[string][]host.Name
	rejected []Action
	onForce  func(n *node, d Document)
	spent    time.Duration // processor time in the processes, measured if timed
	timed    bool

	unchecked bool // the promises are not asserted all along, to save time
}

// failer is what a test and a randomised run have in common.
type failer struct {
	Helper func()
	Fatalf func(format string, args ...any)
}

type acceptedAt struct {
	number Number
	at     time.Time
}

// node is one host with its process.
type node struct {
	id        host.Identity
	p         *Process
	skew      float64 // how much faster its clock runs
	born      time.Time
	paused    bool
	waiting   []func()
	gen       int
	numbers   map[string]Number // highest ever in force on this host
	bytes     int
	messages  int
	calls     int
	cutOff    bool // from the platform
	violation string
}

type happening struct {
	at time.Time
	n  int
	do func()
}

type happenings []happening

func (h happenings) Len() int      { return len(h) }
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h happenings) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].n < h[j].n
}

func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = happening{}
	*h = (*h)[:len(*h)-1]
	return last
}

var epoch = time.Unix(1_700_000_000, 0).UTC()

func newWorld(t failer, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		t: t, rng: rng, now: epoch, byAddr: map[netip.AddrPort]*node{},
		accepted: map[string][]acceptedAt{}, digests: map[string]Digest{}, lastNote: map[string][]host.Name{},
	}
	w.platform = newShelf(w)
	return w
}

// addNodes adds hosts over the given number of data centres, three to a region;
// one host in five is an entry.
func (w *world) addNodes(n, centres int) {
	for range n {
		i := len(w.nodes)
		dc := i % centres
		role := host.Sidecar
		if (i/centres)%5 == 0 {
			role = host.Entry
		}
		id := host.Identity{
			Name:       host.Name(fmt.Sprintf("dc%d-%s-%d", dc, role, i)),
			Role:       role,
			DataCentre: host.DataCentre(fmt.Sprintf("dc%d", dc)),
			Region:     host.Region(fmt.Sprintf("region%d", dc/3)),
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 7000),
		}
		nd := &node{id: id, numbers: map[string]Number{}, skew: (w.rng.Float64() - 0.5) / 25}
		w.nodes = append(w.nodes, nd)
		w.byAddr[id.Address] = nd
		w.start(nd)
	}
}

// start begins a new life of a host's process.
func (w *world) start(n *node) {
	n.id.Incarnation++
	n.born = w.now
	n.gen++
	n.paused = false
	n.waiting = nil
	seeds := []netip.AddrPort{w.nodes[0].id.Address, w.nodes[len(w.nodes)/2].id.Address}
	cfg := Config{
		Member: member.Config{Self: n.id, Seeds: seeds},
		Check:  checkText,
	}
	n.p = NewProcess(w.local(n), cfg, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	w.schedule(n)
}

// stop ends a process without a word.
func (w *world) stop(n *node) {
	n.gen++
	n.p = nil
}

type findings = finding.List

func checkText(_ string, text []byte) findings {
	if strings.Contains(string(text), "bad") {
		return findings{{Category: finding.Invalid, Message: "bad text"}}
	}
	return nil
}

// local returns the time on a host's own clock.
func (w *world) local(n *node) time.Time {
	d := w.now.Sub(epoch)
	return epoch.Add(d + time.Duration(float64(d)*n.skew))
}

func (w *world) global(n *node, local time.Time) time.Time {
	d := local.Sub(epoch)
	return epoch.Add(time.Duration(float64(d)/(1+n.skew)) + time.Nanosecond)
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *world) at(at time.Time, do func()) {
	w.count++
	heap.Push(&w.queue, happening{at, w.count, do})
}

// schedule plans the next tick of a process.
func (w *world) schedule(n *node) {
	at := w.global(n, n.p.Deadline())
	gen := n.gen
	w.at(at, func() {
		if n.gen == gen && !n.paused {
			w.feed(n, Event{Kind: Tick})
		}
	})
}

func (w *world) feed(n *node, ev Event) {
	if n.paused {
		life := n.id.Incarnation
		n.waiting = append(n.waiting, func() {
			if n.p != nil && n.id.Incarnation == life {
				w.feed(n, ev)
			}
		})
		return
	}
	n.gen++
	var begin time.Time
	if w.timed {
		begin = time.Now()
	}
	actions := n.p.Handle(w.local(n), ev)
	if w.timed {
		w.spent += time.Since(begin)
	}
	for _, a := range actions {
		w.act(n, a)
	}
	w.schedule(n)
}

func (w *world) pause(n *node) { n.paused = true }

func (w *world) resume(n *node) {
	n.paused = false
	for _, do := range n.waiting {
		w.after(0, do)
	}
	n.waiting = nil
	if n.p != nil {
		w.schedule(n)
	}
}

func (w *world) act(n *node, a Action) {
	switch a.Kind {
	case Send:
		w.send(n, a)
	case Call:
		n.calls++
		w.platform.call(n, a.Call)
	case InForce:
		w.inForce(n, a.Document)
	case Accepted:
		w.accepted[a.Service] = append(w.accepted[a.Service], acceptedAt{a.Entry.Number, w.now})
	case Rejected:
		w.rejected = append(w.rejected, a)
	case Waiting:
		w.lastNote[a.Service] = a.Names
	case Violate:
		w.t.Fatalf("%s at %s: %s", n.id.Name, w.now.Sub(epoch), a.Violation)
	}
}

func (w *world) send(n *node, a Action) {
	var begin time.Time
	if w.timed {
		begin = time.Now()
	}
	b, err := a.Envelope.Encode()
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	n.bytes += len(b)
	n.messages++
	to := w.byAddr[a.To]
	if to == nil || to.p == nil || (w.cut != nil && w.cut(n, to)) || w.rng.Float64() < w.loss {
		return
	}
	e, err := DecodeEnvelope(b)
	if err != nil {
		w.t.Fatalf("decode: %v", err)
	}
	if w.timed {
		w.spent += time.Since(begin)
	}
	w.after(w.delay(n, to), func() {
		if to.p != nil && to.id.Address == a.To {
			w.feed(to, Event{Kind: Received, Envelope: e})
		}
	})
}

// delay is about a quarter of a millisecond in a data centre, one and a half
// within a region, forty between regions.
func (w *world) delay(a, b *node) time.Duration {
	base := 40 * time.Millisecond
	switch {
	case a.id.DataCentre == b.id.DataCentre:
		base = 250 * time.Microsecond
	case a.id.Region == b.id.Region:
		base = 1500 * time.Microsecond
	}
	return base + time.Duration(w.rng.Int64N(int64(base)))
}

// inForce checks the promises that one process can break.
func (w *world) inForce(n *node, d Document) {
	if d.Number <= n.p.numberBefore(d.Service) {
		w.t.Fatalf("%s: number of %s falls to %d", n.id.Name, d.Service, d.Number)
	}
	key := fmt.Sprintf("%s/%d", d.Service, d.Number)
	if other, ok := w.digests[key]; ok && other != d.Digest {
		w.t.Fatalf("two documents under %s", key)
	}
	w.digests[key] = d.Digest
	if strings.Contains(string(d.Text), "bad") {
		w.t.Fatalf("a document that fails its check is in force: %s", key)
	}
	n.numbers[d.Service] = max(n.numbers[d.Service], d.Number)
	if w.onForce != nil {
		w.onForce(n, d)
	}
}

// numberBefore is there for the check above: the process has already stored the
// new document, so it is one less at the least.
func (p *Process) numberBefore(service string) Number {
	return p.replica.copies[service].inForce.Number - 1
}

func (n *node) number(service string) Number {
	if n.p == nil {
		return 0
	}
	return n.p.replica.copyOf(service).inForce.Number
}

func (w *world) takesWork(n *node) bool {
	return n.p != nil && !n.paused && w.local(n).Before(n.p.WorkUntil())
}

// bound is how long after an acceptance a process that takes new work may still
// run an older document: its timeout, with clocks that differ, and a probe.
const bound = member.DefaultTimeout + time.Second

// check asserts the promises that hold between processes.
func (w *world) check() {
	w.t.Helper()
	if w.unchecked {
		return
	}
	for service, all := range w.accepted {
		for _, a := range all {
			if w.now.Sub(a.at) < bound {
				continue
			}
			for _, n := range w.nodes {
				if w.takesWork(n) && n.number(service) < a.number {
					w.t.Fatalf("%s takes work at %s with number %d of %s, %d was accepted at %s", n.id.Name,
						w.now.Sub(epoch), n.number(service), service, a.number, a.at.Sub(epoch))
				}
			}
		}
	}
	for _, n := range w.nodes {
		for service, number := range n.numbers {
			if w.takesWork(n) && n.number(service) < number {
				w.t.Fatalf("%s takes work with number %d of %s after %d", n.id.Name, n.number(service), service, number)
			}
		}
	}
}

// run lets the time pass and checks the promises all along.
func (w *world) run(d time.Duration) {
	w.t.Helper()
	end := w.now.Add(d)
	next := w.now.Add(checkInterval)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		h := heap.Pop(&w.queue).(happening)
		for next.Before(h.at) {
			w.now = next
			w.check()
			next = next.Add(checkInterval)
		}
		if h.at.After(w.now) {
			w.now = h.at
		}
		h.do()
	}
	w.now = end
	w.check()
}

const checkInterval = 100 * time.Millisecond

// apply writes a document as an operator does.
func (w *world) apply(service, text string) {
	w.platform.store(documentKey(service), []byte(text))
}

func (w *world) holder() *node {
	for _, n := range w.nodes {
		if n.p != nil && n.p.Holds(w.local(n)) {
			return n
		}
	}
	return nil
}

// settled returns whether all running processes have the number in force.
func (w *world) settled(service string, number Number) bool {
	for _, n := range w.nodes {
		if n.p != nil && !n.paused && n.number(service) < number {
			return false
		}
	}
	return true
}

// until runs until the condition holds, at most for the given time.
func (w *world) until(limit time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	begin := w.now
	for w.now.Sub(begin) < limit {
		if ok() {
			return w.now.Sub(begin)
		}
		w.run(5 * time.Millisecond)
	}
	w.t.Fatalf("did not come about within %s%s", limit, w.dump())
	return 0
}

// dump tells what each process knows.
func (w *world) dump() string {
	var b strings.Builder
	for _, n := range w.nodes {
		if n.p == nil {
			fmt.Fprintf(&b, "\n%s stopped", n.id.Name)
			continue
		}
		d := n.p.Dump(w.local(n))
		fmt.Fprintf(&b, "\n%s paused=%t work=%s lease=%v docs=%+v changes=%+v", n.id.Name, n.paused, d.WorkLeft, d.Lease, d.Documents, d.Changes)
	}
	return b.String()
}

func ready(t *testing.T, n, centres int) *world {
	t.Helper()
	w := newWorld(failer{t.Helper, t.Fatalf}, 7)
	w.addNodes(n, centres)
	w.run(6 * time.Second)
	w.apply("agenda", "first")
	w.until(3*time.Second, func() bool { return w.settled("agenda", 1) })
	require.NotNil(t, w.holder())
	return w
}
