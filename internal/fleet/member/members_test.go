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

// grow starts members that all know the fleet and have contact.
func grow(t *testing.T, n, centres int) *fleet {
	t.Helper()
	f := newFleet(t)
	f.startAll(n, centres)
	f.run(5 * time.Second)
	f.establish()
	f.run(8 * time.Second)
	assertContact(t, f, true, upTo(n)...)
	f.log = nil
	return f
}

// states returns what a member thinks of another one.
func stateOf(f *fleet, at, of int) State {
	r, _ := f.node(at).Record(f.identity(of, 1).Name)
	return r.State
}

func between(i int, others func(j int) bool) func(host.Name, netip.AddrPort) bool {
	index := func(a netip.AddrPort) int {
		b := a.Addr().As4()
		return int(b[2])<<8 | int(b[3])
	}
	return func(from host.Name, to netip.AddrPort) bool {
		var n int
		_, _ = fmt.Sscanf(string(from), "host-%d", &n)
		return n == i && others(index(to))
	}
}

// A member still hears everybody, but what it sends gets lost. It must not count
// on what it hears: nobody could tell it anything that needs an answer. The others
// find out that it is silent, and it takes no new work.
func TestMemberIsNotHeard(t *testing.T) {
	f := grow(t, 12, 2)
	f.cut = between(3, func(int) bool { return true })
	f.run(8 * time.Second)
	assertContact(t, f, false, 3)
	assert.Equal(t, Suspect, stateOf(f, 7, 3))
	f.cut = nil
	f.run(6 * time.Second)
	assertContact(t, f, true, upTo(12)...)
	assert.Equal(t, Alive, stateOf(f, 7, 3))
}

// One link fails in one direction only. The neighbour at its end would call the
// other side dead; two others that it asks still hear it, so nobody is suspected.
func TestOneLinkFails(t *testing.T) {
	f := grow(t, 12, 1)
	a := 3
	first := f.node(a).Neighbours(f.identity(a, 1).Name)[0]
	f.cut = between(a, func(j int) bool { return f.identity(j, 1).Name == first })
	f.run(20 * time.Second)
	for _, act := range f.log {
		assert.False(t, act.Kind == Changed && act.Record.State == Suspect, "%s is suspected", act.Record.Identity.Name)
	}
	assertContact(t, f, true, upTo(12)...)
}

// All links fail for a while, so that every member loses contact. None of them
// could give contact to the others any more; they must find it again by themselves.
func TestContactReturnsAfterStall(t *testing.T) {
	f := grow(t, 30, 3)
	f.cut = func(host.Name, netip.AddrPort) bool { return true }
	f.run(10 * time.Second)
	assertContact(t, f, false, upTo(30)...)
	f.cut = nil
	f.run(4 * time.Second)
	assertContact(t, f, true, upTo(30)...)
}

// A member learns nothing of a binding fact that all others know, because it never
// settles it. It must lose contact: this is what lets the others decide without it.
func TestContactNeedsBindingFacts(t *testing.T) {
	f := grow(t, 12, 2)
	fact := Fact{Key: "stage/x", Version: 1, Binding: true, Value: []byte("v")}
	f.feed(f.node(0), Event{Kind: Publish, Facts: []Fact{fact}})
	f.run(100 * time.Millisecond)
	for i := range 11 {
		f.feed(f.node(i), Event{Kind: Settle, Key: fact.Key, Version: 1})
	}
	f.run(DefaultTimeout + 2*time.Second)
	assertContact(t, f, true, upTo(11)...)
	assertContact(t, f, false, 11)
	f.feed(f.node(11), Event{Kind: Settle, Key: fact.Key, Version: 1})
	f.run(2 * time.Second)
	assertContact(t, f, true, 11)
}

// The relays of a fact lose every copy of it. The members compare what they know
// with their neighbours and with other data centres, and all learn it.
func TestLostFactsAreRepaired(t *testing.T) {
	f := grow(t, 60, 3)
	rng := rand.New(rand.NewPCG(5, 5))
	f.cut = func(host.Name, netip.AddrPort) bool { return rng.Float64() < 0.7 }
	f.feed(f.node(0), Event{Kind: Publish, Facts: []Fact{{Key: "leaving/x", Version: 3, Value: []byte("y"), Life: time.Hour}}})
	f.run(20 * time.Millisecond)
	f.cut = nil
	f.run(6 * time.Second)
	assertConverged(t, f)
	assert.Len(t, f.node(59).Facts(), 1)
}

// A fact with a life is gone after it everywhere, though members that still have
// it meet members that have dropped it.
func TestFactsExpire(t *testing.T) {
	f := grow(t, 12, 2)
	f.feed(f.node(0), Event{Kind: Publish, Facts: []Fact{{Key: "leaving/x", Version: 3, Life: 20 * time.Second}}})
	f.run(45 * time.Second)
	left := 0
	for i := range 12 {
		left += len(f.node(i).Facts())
	}
	assert.Zero(t, left, "copies of the fact that are left")
}

// A member leaves, and a host that failed vanishes from the platform's list. Both
// are gone from the rings; a late message of their earlier life changes nothing.
func TestMembersAreRemoved(t *testing.T) {
	f := grow(t, 12, 2)
	f.feed(f.node(4), Event{Kind: Depart})
	f.nodes[address(5)] = nil
	f.run(8 * time.Second)
	require.Equal(t, Suspect, stateOf(f, 1, 5))
	all := make([]Listing, 12)
	for i := range all {
		all[i] = Listing{Name: f.identity(i, 2).Name, Address: address(i)}
	}
	f.feed(f.node(1), Event{Kind: Listed, Listed: all})
	f.feed(f.node(1), Event{Kind: Listed, Listed: append(all[:5:5], all[6:]...)})
	f.run(2 * time.Second)
	assert.Equal(t, Left, stateOf(f, 0, 4))
	assert.Equal(t, Left, stateOf(f, 0, 5))
	late := &Message{Kind: Update, From: "host-2", Incarnation: 1, Members: []Record{{Identity: f.identity(5, 2), State: Alive}}}
	f.feed(f.node(0), Event{Kind: Received, Message: late})
	assert.Equal(t, Left, stateOf(f, 0, 5))
}

func TestMessagesAreBounded(t *testing.T) {
	long := host.Name(make([]byte, maxNameBytes+1))
	tests := []struct {
		name string
		msg  Message
		want error
	}{
		{"no kind", Message{From: "a"}, ErrKind},
		{"no sender", Message{Kind: Probe}, ErrName},
		{"long target", Message{Kind: Probe, From: "a", Target: long}, ErrName},
		{"odd buckets", Message{Kind: Compare, From: "a", Buckets: make([]uint64, 3)}, ErrTooLarge},
		{"record without a name", Message{Kind: Update, From: "a", Members: []Record{{State: Alive}}}, ErrRecord},
		{"large fact", Message{Kind: Update, From: "a", Facts: []Fact{{Key: "k", Value: make([]byte, MaxValueBytes+1)}}}, ErrValue},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, err := test.msg.Encode()
			require.NoError(t, err)
			_, err = Decode(b)
			assert.ErrorIs(t, err, test.want)
		})
	}
	_, err := Decode(make([]byte, MaxMessageBytes+1))
	assert.ErrorIs(t, err, ErrTooLarge)
}

// FuzzDecode feeds arbitrary bytes to the decoder; what decodes must not make a
// member panic.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Kind: Probe, From: "a", Seq: 1, Known: 2},
		{Kind: Update, From: "a", Facts: []Fact{{Key: "k", Version: 2, Value: []byte("v")}}, Hop: ToAll},
		{Kind: Compare, From: "a", Buckets: make([]uint64, BucketCount), Joining: &Record{Identity: host.Identity{Name: "a"}, State: Alive}},
	} {
		b, err := m.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		msg, err := Decode(b)
		if err != nil {
			return
		}
		m := New(epoch, Config{Self: host.Identity{Name: "self", DataCentre: "d", Incarnation: 2}}, rand.New(rand.NewPCG(1, 2)))
		m.Handle(epoch, Event{Kind: Received, Message: msg})
		m.Handle(epoch.Add(time.Second), Event{Kind: Tick})
	})
}
