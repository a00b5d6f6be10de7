package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

var epoch = time.Unix(1_700_000_000, 0)

// delivery is a message on its way.
type delivery struct {
	at   time.Time
	n    int
	from host.Name
	to   netip.AddrPort
	msg  *Message
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].n < d[j].n
}

func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// fleet joins members by links with a fixed delay.
type fleet struct {
	t     *testing.T
	now   time.Time
	nodes map[netip.AddrPort]*Members
	order []netip.AddrPort
	queue deliveries
	sent  int
	cut   func(from host.Name, to netip.AddrPort) bool // a link that loses all
	log   []Action
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, now: epoch, nodes: map[netip.AddrPort]*Members{}}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
}

func (f *fleet) identity(i, centres int) host.Identity {
	dc := i % centres
	return host.Identity{
		Name:        host.Name(fmt.Sprintf("host-%d", i)),
		Role:        host.Sidecar,
		DataCentre:  host.DataCentre(fmt.Sprintf("dc-%d", dc)),
		Region:      "r",
		Incarnation: 1,
		Address:     address(i),
	}
}

func (f *fleet) start(id host.Identity, seeds ...netip.AddrPort) *Members {
	m := New(f.now, Config{Self: id, Seeds: seeds}, rand.New(rand.NewPCG(1, uint64(id.Address.Addr().As4()[3]))))
	if _, ok := f.nodes[id.Address]; !ok {
		f.order = append(f.order, id.Address)
	}
	f.nodes[id.Address] = m
	return m
}

// startAll starts n members that know the first one.
func (f *fleet) startAll(n, centres int) {
	for i := range n {
		f.start(f.identity(i, centres), address(0))
	}
}

// establish tells the first member that it knows the whole fleet.
func (f *fleet) establish() {
	m := f.node(0)
	f.feed(m, Event{Kind: Rostered, Version: m.Roster()})
}

func (f *fleet) feed(m *Members, ev Event) {
	for _, a := range m.Handle(f.now, ev) {
		f.log = append(f.log, a)
		assert.NotEqual(f.t, Violate, a.Kind, a.Violation)
		if a.Kind != Send {
			continue
		}
		b, err := a.Message.Encode()
		require.NoError(f.t, err)
		msg, err := Decode(b)
		require.NoError(f.t, err)
		f.sent++
		heap.Push(&f.queue, delivery{f.now.Add(2 * time.Millisecond), f.sent, m.cfg.Self.Name, a.To, msg})
	}
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for {
		next, tick := end, netip.AddrPort{}
		for _, a := range f.order {
			if m := f.nodes[a]; m != nil && m.Deadline().Before(next) {
				next, tick = m.Deadline(), a
			}
		}
		if len(f.queue) > 0 && !f.queue[0].at.After(next) {
			f.deliver(heap.Pop(&f.queue).(delivery))
			continue
		}
		if !next.Before(end) {
			f.now = end
			return
		}
		if next.After(f.now) {
			f.now = next
		}
		f.feed(f.nodes[tick], Event{Kind: Tick})
	}
}

func (f *fleet) deliver(d delivery) {
	if d.at.After(f.now) {
		f.now = d.at
	}
	m := f.nodes[d.to]
	if m == nil || (f.cut != nil && f.cut(d.from, d.to)) {
		return
	}
	f.feed(m, Event{Kind: Received, Message: d.msg})
}

func (f *fleet) node(i int) *Members { return f.nodes[address(i)] }

func assertConverged(t *testing.T, f *fleet) {
	t.Helper()
	want := f.node(0).table.known
	var apart []netip.AddrPort
	for _, a := range f.order {
		if m := f.nodes[a]; m != nil && m.table.known != want {
			apart = append(apart, a)
		}
	}
	assert.Empty(t, apart, "members that know something else than the first one")
}

func assertContact(t *testing.T, f *fleet, want bool, members ...int) {
	t.Helper()
	var wrong []int
	for _, i := range members {
		if f.node(i).Contact(f.now) != want {
			wrong = append(wrong, i)
		}
	}
	assert.Empty(t, wrong, "members whose contact is not %t", want)
}

func TestMembersFindEachOther(t *testing.T) {
	f := newFleet(t)
	f.startAll(40, 3)
	f.run(5 * time.Second)
	f.establish()
	f.run(8 * time.Second)
	assertConverged(t, f)
	assert.Len(t, f.node(7).Records(), 40)
	assertContact(t, f, true, upTo(40)...)
}

func upTo(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
