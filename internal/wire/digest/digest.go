// Package digest carries what the planner of a group knows of its ranks to the
// entries, in datagrams.
//
// Answers tell an entry how full their own target was, but an entry hears from each
// target only every few seconds; the planner looks at all of them several times a
// second. Entries make themselves known by a hello to the planner, or to all sidecars
// while they hear from none. A lost datagram is made up for by the next.
package digest

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

const (
	// HelloInterval between the hellos of an entry to a sidecar.
	HelloInterval = time.Second
	// HelloLasts is how long a hello counts: two of them may be lost.
	HelloLasts = 3500 * time.Millisecond
	// maxRanks of one datagram, so that it stays within an Ethernet frame.
	maxRanks = 48
	// maxDatagram bounds what is read.
	maxDatagram = 4 << 10
)

// Rank is how full a target is.
type Rank struct {
	Target string `cbor:"1,keyasint"`
	Load   int    `cbor:"2,keyasint"` // requests that run or wait there
	Grant  int    `cbor:"3,keyasint"` // requests that the entry may send there until it is told again
	// Lost tells that the target's host does not answer, though its group goes on.
	Lost bool `cbor:"4,keyasint,omitempty"`
	// Slow tells that the whole group waits for what runs there.
	Slow bool `cbor:"5,keyasint,omitempty"`
}

// Digest is what the planner saw in one look.
type Digest struct {
	Term    int64  `cbor:"1,keyasint"` // of the planner; a later one has a higher one
	Look    uint64 `cbor:"2,keyasint"` // counts the planner's looks
	Service string `cbor:"3,keyasint"`
	// Group of the service that the planner plans for.
	Group   roster.GroupName `cbor:"10,keyasint"`
	Open    bool             `cbor:"4,keyasint"` // the group takes requests
	Entries int              `cbor:"5,keyasint"` // that the planner hears from
	Fresh   int              `cbor:"9,keyasint"` // of these, those whose rules are fresh
	Limit   int              `cbor:"7,keyasint"` // requests that a rank should have at the same time
	// Slow tells that the group's passes take longer than the pauses that are on time.
	Slow bool `cbor:"11,keyasint,omitempty"`
	// Age is how long before the sending the ranks were looked at. What an entry sent
	// since is in none of the loads.
	Age time.Duration `cbor:"8,keyasint"`
	// Place of the entry that it is sent to among the entries, from 1 on.
	Place int `cbor:"12,keyasint"`
	// Rates that targets in need take, of any service, as entries heard.
	Rates []Rate `cbor:"13,keyasint,omitempty"`
	// Rules is the newest version of the rules that an entry has.
	Rules int64 `cbor:"14,keyasint,omitempty"`
	// Ranks of the group, or a part of them if they don't fit into one datagram. While the
	// group is closed they say only which targets it has.
	Ranks []Rank `cbor:"6,keyasint"`
}

// Rate is what an entry heard a target say of the rate of requests that it takes.
type Rate struct {
	Target string        `cbor:"1,keyasint"`
	Named  bool          `cbor:"2,keyasint,omitempty"` // false if it ceased to name one
	Rate   float64       `cbor:"3,keyasint,omitempty"` // requests a second
	Age    time.Duration `cbor:"4,keyasint"`
}

// MostRates of one datagram: some 700 bytes, once a second, while targets are in need.
const MostRates = 16

// Rates puts words into a datagram.
func Rates(words []ratelimit.Word) []Rate {
	var list []Rate
	for _, w := range words {
		list = append(list, Rate{Target: w.Target, Named: w.Said.Kind == ratelimit.Named, Rate: float64(w.Said.Rate), Age: w.Age})
	}
	return list
}

// Words takes them out again. What is no rate is left out.
func Words(rates []Rate) []ratelimit.Word {
	var list []ratelimit.Word
	for _, r := range rates {
		w := ratelimit.Word{Target: r.Target, Age: max(r.Age, 0)}
		if r.Named {
			w.Said = ratelimit.NewSaid(r.Rate)
		}
		if w.Said.Kind != ratelimit.Unreadable {
			list = append(list, w)
		}
	}
	return list
}

// Hello makes an entry known.
type Hello struct {
	// Rates that targets in need take, as the entry heard from themselves lately.
	Rates  []Rate  `cbor:"3,keyasint,omitempty"`
	Demand float64 `cbor:"1,keyasint"` // requests that came in the last second, and that wait
	Fresh  bool    `cbor:"2,keyasint"` // the entry's rules are fresh enough to serve all callers
	Rules  int64   `cbor:"4,keyasint"` // version of the entry's rules
}

// message is a datagram.
type message struct {
	Digest *Digest `cbor:"1,keyasint,omitempty"`
	Hello  *Hello  `cbor:"2,keyasint,omitempty"`
	Ping   uint64  `cbor:"3,keyasint,omitempty"` // number of a question whether a process runs
	Pong   uint64  `cbor:"4,keyasint,omitempty"` // of the question that is answered
}

// Socket sends and receives datagrams.
type Socket struct {
	conn  *net.UDPConn
	pings pings
}

// Open opens a socket at an address.
func Open(at netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return &Socket{conn: conn, pings: newPings()}, nil
}

// Addr is the socket's address.
func (s *Socket) Addr() netip.AddrPort {
	at := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
}

// Serve hands over hellos and digests, and answers pings, until the context ends.
func (s *Socket) Serve(ctx context.Context, hello func(from netip.AddrPort, h Hello), take func(from netip.AddrPort, d Digest)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue // an earlier datagram found no listener; that says nothing of the next
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			continue // not of the system's own making
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if m.Hello != nil {
			hello(from, *m.Hello)
		}
		if m.Digest != nil {
			take(from, *m.Digest)
		}
		if m.Ping != 0 {
			s.send(from, message{Pong: m.Ping})
		}
		if m.Pong != 0 {
			s.pings.answered(from, m.Pong)
		}
	}
}

// Hello makes this process known.
func (s *Socket) Hello(to netip.AddrPort, h Hello) {
	s.send(to, message{Hello: &h})
}

// Send sends a digest, in parts if it is large.
func (s *Socket) Send(to netip.AddrPort, d Digest) {
	for _, part := range parts(d) {
		s.send(to, message{Digest: &part})
	}
}

// parts divides a digest so that each part stays within an Ethernet frame. The first one has
// all rates, and fewer ranks for that.
func parts(d Digest) []Digest {
	var list []Digest
	ranks, room := d.Ranks, maxRanks
	if len(d.Rates) > 0 {
		room = maxRanks / 2
	}
	for {
		part := d
		part.Ranks = ranks[:min(len(ranks), room)]
		ranks = ranks[len(part.Ranks):]
		list = append(list, part)
		if len(ranks) == 0 {
			return list
		}
		d.Rates, room = nil, maxRanks
	}
}

func (s *Socket) send(to netip.AddrPort, m message) {
	text, err := cbor.Marshal(m)
	if err != nil {
		return // the types have no value that does not encode
	}
	// A datagram that is not sent is one that is lost.
	_, _ = s.conn.WriteToUDPAddrPort(text, to)
}
