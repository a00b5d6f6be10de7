// Package digest carries the planner updates of a group in UDP datagrams: the planner
// sends the load and state of the group's ranks to the entries.
//
// A response reports the load of the target that sent it, but an entry gets a response
// from each target only every few seconds; the planner polls all of them several times a
// second. Entries announce themselves by heartbeats to the planner, or to all sidecars
// while they receive updates from no planner. The next datagram makes up for a lost one.
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
	// HeartbeatInterval is the time between the heartbeats of an entry to a sidecar.
	HeartbeatInterval = time.Second
	// HeartbeatLifetime is how long a heartbeat is valid: two in a row may be lost.
	HeartbeatLifetime = 3500 * time.Millisecond
	// maxRanks bounds the ranks in one datagram, so that it fits into an Ethernet frame.
	maxRanks = 48
	// maxDatagram bounds the bytes that are read of a datagram.
	maxDatagram = 4 << 10
)

// Rank is the load and state of one target.
type Rank struct {
	Target string `cbor:"1,keyasint"`
	Load   int    `cbor:"2,keyasint"` // requests that run or are queued at the target
	Grant  int    `cbor:"3,keyasint"` // requests that the entry may send to the target until the next update
	// Lost reports that the target's host does not answer, while its group continues without it.
	Lost bool `cbor:"4,keyasint,omitempty"`
	// Slow reports that the whole group waits for the requests that run at the target.
	Slow bool `cbor:"5,keyasint,omitempty"`
}

// Update is a planner update: the result of one poll of the group's ranks.
type Update struct {
	Term    int64  `cbor:"1,keyasint"` // of the planner; a later planner has a higher term
	Poll    uint64 `cbor:"2,keyasint"` // number of the planner's poll
	Service string `cbor:"3,keyasint"`
	// Group is the group of the service that the planner plans for.
	Group        roster.GroupName `cbor:"10,keyasint"`
	Open         bool             `cbor:"4,keyasint"` // the group accepts requests
	Entries      int              `cbor:"5,keyasint"` // entries whose heartbeats the planner receives
	FreshEntries int              `cbor:"9,keyasint"` // entries among these whose configuration is recent
	Limit        int              `cbor:"7,keyasint"` // requests that a rank should have at the same time
	// Slow reports that the group's steps take longer than the longest pause between events of
	// a response that counts as on time.
	Slow bool `cbor:"11,keyasint,omitempty"`
	// Age is the time from the poll of the ranks to the sending of the update. The loads
	// don't include requests that an entry sent since the poll.
	Age time.Duration `cbor:"8,keyasint"`
	// Index is the index, from 1, of the receiving entry among all entries.
	Index int `cbor:"12,keyasint"`
	// Rates are the request rates that rate-limited targets of any service accept, as entries
	// received them.
	Rates []Rate `cbor:"13,keyasint,omitempty"`
	// ConfigVersion is the newest configuration version that any entry has.
	ConfigVersion int64 `cbor:"14,keyasint,omitempty"`
	// Ranks are the ranks of the group, or a part of them if they don't fit into one datagram.
	// While the group is closed they state only which targets it has.
	Ranks []Rank `cbor:"6,keyasint"`
}

// Rate is the request rate that a target accepts, as the target reported it to an entry.
type Rate struct {
	Target string        `cbor:"1,keyasint"`
	Named  bool          `cbor:"2,keyasint,omitempty"` // false if the target no longer reports a rate
	Rate   float64       `cbor:"3,keyasint,omitempty"` // requests a second
	Age    time.Duration `cbor:"4,keyasint"`
}

// MaxRates bounds the rates in one datagram: some 700 bytes, once a second, while targets
// are rate-limited.
const MaxRates = 16

// FromReports converts rate reports for a datagram.
func FromReports(reports []ratelimit.Report) []Rate {
	var list []Rate
	for _, w := range reports {
		list = append(list, Rate{Target: w.Target, Named: w.Statement.Kind == ratelimit.Named, Rate: float64(w.Statement.Rate), Age: w.Age})
	}
	return list
}

// ToReports converts the rates of a datagram back to rate reports. It leaves out values that are
// not valid rates.
func ToReports(rates []Rate) []ratelimit.Report {
	var list []ratelimit.Report
	for _, r := range rates {
		w := ratelimit.Report{Target: r.Target, Age: max(r.Age, 0)}
		if r.Named {
			w.Statement = ratelimit.NewStatement(r.Rate)
		}
		if w.Statement.Kind != ratelimit.Unreadable {
			list = append(list, w)
		}
	}
	return list
}

// Heartbeat is the heartbeat of an entry.
type Heartbeat struct {
	// Rates are the request rates that rate-limited targets recently reported to the entry itself.
	Rates         []Rate  `cbor:"3,keyasint,omitempty"`
	Demand        float64 `cbor:"1,keyasint"` // requests that arrived in the last second, and queued ones
	Fresh         bool    `cbor:"2,keyasint"` // the entry's configuration is recent enough to serve all callers
	ConfigVersion int64   `cbor:"4,keyasint"` // version of the entry's configuration
}

// message is the content of a datagram.
type message struct {
	Digest *Update    `cbor:"1,keyasint,omitempty"`
	Hello  *Heartbeat `cbor:"2,keyasint,omitempty"`
	Ping   uint64     `cbor:"3,keyasint,omitempty"` // number of a round of pings, which ask whether a process runs
	Pong   uint64     `cbor:"4,keyasint,omitempty"` // number of the ping that is answered
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

// Addr returns the socket's local address.
func (s *Socket) Addr() netip.AddrPort {
	at := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
}

// Serve passes heartbeats and planner updates to its callbacks, and answers pings, until the
// context ends.
func (s *Socket) Serve(ctx context.Context, heartbeat func(from netip.AddrPort, h Heartbeat), update func(from netip.AddrPort, d Update)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue // an earlier datagram reached no listener; the next ones may still arrive
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			continue // not sent by a process of the system
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if m.Hello != nil {
			heartbeat(from, *m.Hello)
		}
		if m.Digest != nil {
			m.Digest.Age = max(m.Digest.Age, 0) // anybody can send a datagram; the shortest duration can't be logged
			update(from, *m.Digest)
		}
		if m.Ping != 0 {
			s.send(from, message{Pong: m.Ping})
		}
		if m.Pong != 0 {
			s.pings.answered(from, m.Pong)
		}
	}
}

// SendHeartbeat sends a heartbeat of this process.
func (s *Socket) SendHeartbeat(to netip.AddrPort, h Heartbeat) {
	s.send(to, message{Hello: &h})
}

// SendUpdate sends a planner update, in several datagrams if it is large.
func (s *Socket) SendUpdate(to netip.AddrPort, d Update) {
	for _, part := range split(d) {
		s.send(to, message{Digest: &part})
	}
}

// split divides a planner update so that each part fits into an Ethernet frame. The first part
// has all rates, and therefore fewer ranks.
func split(d Update) []Update {
	var list []Update
	ranks, limit := d.Ranks, maxRanks
	if len(d.Rates) > 0 {
		limit = maxRanks / 2
	}
	for {
		part := d
		part.Ranks = ranks[:min(len(ranks), limit)]
		ranks = ranks[len(part.Ranks):]
		list = append(list, part)
		if len(ranks) == 0 {
			return list
		}
		d.Rates, limit = nil, maxRanks
	}
}

func (s *Socket) send(to netip.AddrPort, m message) {
	text, err := cbor.Marshal(m)
	if err != nil {
		return // the types have no value that does not encode
	}
	// A failed send counts as a lost datagram.
	_, _ = s.conn.WriteToUDPAddrPort(text, to)
}
