package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Defaults of [Config].
const (
	DefaultInterval = time.Second
	DefaultTimeout  = 3 * time.Second
)

// driftPercent is the margin for clocks of different rates.
const driftPercent = 10

// Config sets up [Members].
type Config struct {
	Self     host.Identity
	Seeds    []netip.AddrPort // processes to ask for the list of members at the start
	Interval time.Duration    // between two probes of one neighbour
	Timeout  time.Duration    // contact is lost so long after the last answered probe
}

// Bound is how long others wait until a silent member has surely lost contact:
// longer than its own timeout by more than clocks drift apart.
func (c Config) Bound() time.Duration {
	return c.Timeout + c.Timeout*driftPercent/100
}

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Tick      EventKind = iota + 1 // the time of [Members.Deadline] has come
	Received                       // Event.Message came from another member
	Publish                        // spread Event.Facts
	Settle                         // the binding fact Event.Key is dealt with up to Event.Version
	Refreshed                      // the platform showed at Event.At that all in force here is current
	Listed                         // the platform's list of hosts: Event.Listed
	Rostered                       // the platform's roster has the names with hash Event.Version
	Remember                       // Event.Identities stand in the roster and may be unknown here
	Leave                          // this process begins to leave
	Depart                         // this process ends now
)

// Listing is one host of the platform's list.
type Listing struct {
	Name    host.Name
	Address netip.AddrPort
	Leaving bool
}

// Event is an input of [Members.Handle].
type Event struct {
	Kind    EventKind
	Message *Message
	Facts   []Fact
	Key     string
	Version uint64
	At      time.Time
	Listed  []Listing

	Identities []host.Identity
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Send       ActionKind = iota + 1 // send Action.Message to Action.To
	Changed                          // Action.Record is new or has changed
	Learned                          // Action.Fact is new
	Superseded                       // a later life of this process exists: end this one
	Violate                          // an invariant does not hold: Action.Violation
)

// Action is an output of [Members.Handle].
type Action struct {
	Kind      ActionKind
	To        netip.AddrPort
	Name      host.Name // of the receiver, empty for a seed
	Message   *Message
	Record    Record
	Fact      Fact
	Violation string
}

// Members is the state of one process with regard to its fleet. It is not safe
// for use by several goroutines.
type Members struct {
	cfg     Config
	rng     *rand.Rand
	table   *table
	started time.Time
	nextAt  time.Time

	expireAt time.Time

	peers     map[host.Name]*peer // neighbours and those that probe this member
	order     []host.Name         // the neighbours, the first ones are probed
	layout    int                 // of the table when the neighbours were looked up
	seq       uint64
	refreshed time.Time

	// established tells that the table has once been whole: the same as that of
	// a member that is established, or as the roster in the platform. Before
	// that, hosts that started together could count each other as all there is,
	// and keep contact while the rest of the fleet decides without them.
	established bool
	roster      uint64 // hash of the names in the platform's roster, 0 if not known

	superseded bool
	out        []Action
}

// New returns the state of a process that has just started.
func New(now time.Time, cfg Config, rng *rand.Rand) *Members {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	m := &Members{
		cfg:     cfg,
		rng:     rng,
		table:   newTable(cfg.Self.Name),
		started: now,
		nextAt:  now,
		peers:   make(map[host.Name]*peer),
	}
	m.table.mergeRecord(now, Record{Identity: cfg.Self, State: Alive})
	return m
}

// Deadline returns when the next [Tick] is due.
func (m *Members) Deadline() time.Time { return m.nextAt }

// Config returns the settings with their defaults filled in.
func (m *Members) Config() Config { return m.cfg }

// Handle takes in one event and returns what is to be done.
func (m *Members) Handle(now time.Time, ev Event) []Action {
	m.out = nil
	switch ev.Kind {
	case Received:
		m.receive(now, ev.Message)
	case Publish:
		m.publish(now, ev.Facts)
	case Settle:
		m.table.settle(ev.Key, ev.Version)
	case Refreshed:
		if ev.At.After(m.refreshed) {
			m.refreshed = ev.At
		}
	case Listed:
		m.listed(now, ev.Listed)
	case Rostered:
		m.roster = ev.Version
	case Remember:
		m.remember(now, ev.Identities)
	case Leave:
		m.restate(now, Leaving)
	case Depart:
		m.restate(now, Left)
	}
	m.refreshOrder()
	if m.roster != 0 && m.roster == m.table.roster {
		m.established = true
	}
	if !now.Before(m.nextAt) {
		m.tick(now)
	}
	return m.out
}

func (m *Members) receive(now time.Time, msg *Message) {
	if msg.From == m.cfg.Self.Name {
		if msg.Incarnation > m.cfg.Self.Incarnation {
			m.supersede()
		}
		return
	}
	if r, ok := m.table.records[msg.From]; ok && msg.Incarnation < r.Identity.Incarnation {
		// A message of an earlier life, late. Its sender is gone, and what it
		// says about contact no longer holds.
		return
	}
	switch msg.Kind {
	case Probe:
		m.probed(now, msg)
	case Answered:
		m.answered(now, msg)
	case Indirect:
		m.probeFor(now, msg)
	case Vouched:
		m.vouched(now, msg)
	case Update:
		m.updated(now, msg)
	case Compare:
		m.compared(now, msg)
	}
}

// restate changes the state of this process and tells the others.
func (m *Members) restate(now time.Time, s State) {
	own := m.Self()
	if own.State == Left {
		return
	}
	own.Seq++
	own.State = s
	m.table.mergeRecord(now, own)
	m.spread([]Record{own}, nil)
}

func (m *Members) supersede() {
	if m.superseded {
		return
	}
	m.superseded = true
	m.out = append(m.out, Action{Kind: Superseded})
}

// listed takes in the platform's list. The list lags: a host that is missing may
// be a new one, so only hosts that were on the list before are removed, and only
// if they do not answer.
func (m *Members) listed(now time.Time, hosts []Listing) {
	var changed []Record
	present := make(map[host.Name]bool, len(hosts))
	for _, h := range hosts {
		present[h.Name] = true
		r, ok := m.table.records[h.Name]
		if !ok {
			m.introduce(h)
			continue
		}
		r.listed = true
		if h.Leaving && r.State == Alive && h.Name != m.cfg.Self.Name {
			next := r.Record
			next.State = Leaving
			changed = m.adopt(now, next, changed)
		}
	}
	for _, name := range m.table.sortedNames() {
		r := m.table.records[name]
		if r.listed && !present[name] && r.State == Suspect {
			next := r.Record
			next.State = Left
			changed = m.adopt(now, next, changed)
		}
	}
	m.spread(changed, nil)
}

// remember takes in members that the roster has and this process does not know.
// They count as suspect until they are heard of; those that run refute it.
func (m *Members) remember(now time.Time, identities []host.Identity) {
	var changed []Record
	for _, id := range identities {
		if _, ok := m.table.records[id.Name]; !ok {
			id.Incarnation = 0 // any life of it is newer
			changed = m.adopt(now, Record{Identity: id, State: Suspect}, changed)
		}
	}
	m.spread(changed, nil)
}

func (m *Members) adopt(now time.Time, r Record, changed []Record) []Record {
	if !m.table.mergeRecord(now, r) {
		return changed
	}
	m.out = append(m.out, Action{Kind: Changed, Record: r})
	return append(changed, r)
}

// introduce makes contact with a host that only the platform's list names.
func (m *Members) introduce(h Listing) {
	if !h.Address.IsValid() || h.Name == m.cfg.Self.Name {
		return
	}
	m.send(h.Address, h.Name, m.compareMessage())
}

func (m *Members) send(to netip.AddrPort, name host.Name, msg *Message) {
	msg.From = m.cfg.Self.Name
	msg.Incarnation = m.cfg.Self.Incarnation
	m.out = append(m.out, Action{Kind: Send, To: to, Name: name, Message: msg})
}

func (m *Members) sendTo(name host.Name, msg *Message) {
	r, ok := m.table.records[name]
	if !ok {
		return
	}
	m.send(r.Identity.Address, name, msg)
}
