package member

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// peer is what is kept about a member that this one probes or that probes it.
type peer struct {
	seq        uint64    // of the newest probe
	sentAt     time.Time // of the newest probe
	firstAt    time.Time // of the first probe since the last answer
	full       time.Time // when the newest probe was sent that gave full credit
	weak       time.Time // the same for any credit
	heard      time.Time // when the newest answer came
	vouchedAt  time.Time // when another member last said that this one answers
	indirectAt time.Time // when others were last asked
	answeredAt time.Time // when this member last answered a probe of the other
	apart      bool      // its last answer showed another hash
	askers     []host.Name
}

func (m *Members) peer(name host.Name) *peer {
	p, ok := m.peers[name]
	if !ok {
		p = &peer{}
		m.peers[name] = p
	}
	return p
}

// refreshOrder looks up the neighbours again if the rings have changed.
func (m *Members) refreshOrder() {
	if m.layout == m.table.layout {
		return
	}
	m.layout = m.table.layout
	m.order = nil
	for _, e := range m.table.neighbours(m.cfg.Self.Name) {
		m.order = append(m.order, e.Identity.Name)
	}
}

func (m *Members) tick(now time.Time) {
	spreadOut := m.cfg.Interval / 8
	m.nextAt = now.Add(m.cfg.Interval - spreadOut + time.Duration(m.rng.Int64N(int64(2*spreadOut)+1)))
	m.table.expireFacts(now)
	if !now.Before(m.expireAt) {
		m.expireAt = now.Add(expireInterval)
		m.table.expireRecords(now)
		m.forgetPeers(now)
	}
	m.askSeeds()
	for _, name := range m.due(now) {
		m.probe(now, name, Probe)
	}
	m.suspect(now)
	m.probeFar(now)
}

// expireInterval is how often the whole table is looked through.
const expireInterval = 10 * time.Second

// askSeeds asks the processes of the settings while nobody else is known.
func (m *Members) askSeeds() {
	if len(m.order) > 0 {
		return
	}
	for _, a := range m.cfg.Seeds {
		if a != m.cfg.Self.Address {
			m.send(a, "", m.compareMessage())
		}
	}
}

// due returns the neighbours to probe: the first ones, and for each of these
// that gave no full credit of late a further one.
func (m *Members) due(now time.Time) []host.Name {
	var out []host.Name
	answering := 0
	for _, name := range m.order {
		if answering >= probed {
			break
		}
		out = append(out, name)
		if now.Sub(m.peer(name).full) < m.cfg.Interval*3/2 {
			answering++
		}
	}
	return out
}

func (m *Members) probe(now time.Time, name host.Name, kind MessageKind) {
	m.seq++
	p := m.peer(name)
	unanswered := !p.firstAt.IsZero()
	p.seq = m.seq
	p.sentAt = now
	if !unanswered {
		p.firstAt = now
	}
	msg := &Message{Kind: kind, Seq: m.seq, Known: m.table.known, Binding: m.table.settled}
	if unanswered || m.joining(now) {
		// The other side may have started again and know nobody.
		own := m.Self()
		msg.Joining = &own
	}
	m.sendTo(name, msg)
}

// probeFar sends about one probe an interval from each data centre to another,
// so that what a whole data centre missed is found by comparison.
func (m *Members) probeFar(now time.Time) {
	own := len(m.table.centres[m.cfg.Self.DataCentre])
	if own == 0 || len(m.table.names) < 2 || m.rng.IntN(own) != 0 {
		return
	}
	dc := m.table.names[m.rng.IntN(len(m.table.names))]
	if dc == m.cfg.Self.DataCentre {
		return
	}
	ring := m.table.centres[dc]
	m.probe(now, ring[m.rng.IntN(len(ring))].Identity.Name, Probe)
}

func (m *Members) probed(now time.Time, msg *Message) {
	if msg.Joining != nil && m.takeRecord(now, *msg.Joining) {
		m.spread([]Record{*msg.Joining}, nil)
	}
	if _, ok := m.table.records[msg.From]; !ok {
		return
	}
	out := &Message{Kind: Answered, Seq: msg.Seq, Known: m.table.known, Binding: m.table.binding, Credit: m.credit(now)}
	if msg.Binding != m.table.binding {
		out.Versions = m.table.bindingVersions()
	}
	m.peer(msg.From).answeredAt = now
	m.sendTo(msg.From, out)
}

// credit returns what an answer of this member is worth. One that has just
// started, or has not been established, gives none: a member that decides
// something may not know it yet, and would not count with the contact that it gives.
func (m *Members) credit(now time.Time) Credit {
	if m.joining(now) || !m.established {
		return NoCredit
	}
	if m.Contact(now) {
		return FullCredit
	}
	return WeakCredit
}

// answered takes in the answer to an own probe. It counts from when the probe
// was sent, since no more is known about when it was answered.
func (m *Members) answered(now time.Time, msg *Message) {
	p, ok := m.peers[msg.From]
	if !ok || msg.Seq != p.seq {
		return
	}
	p.heard = now
	p.firstAt = time.Time{}
	m.tellAskers(msg.From, p)
	m.compareIfApart(now, msg, p)
	current := msg.Binding == m.table.settled || (msg.Versions != nil && m.table.settledAll(msg.Versions))
	if !current {
		return
	}
	if msg.Credit >= WeakCredit {
		p.weak = p.sentAt
	}
	if msg.Credit == FullCredit {
		p.full = p.sentAt
	}
}

// compareIfApart starts a comparison if the other side knows something else. One
// difference with a neighbour is most often news on its way, so it takes two in a
// row; not so for a process that has just started, and for a member elsewhere,
// which is hardly ever asked twice.
func (m *Members) compareIfApart(now time.Time, msg *Message, p *peer) {
	apart := msg.Known != m.table.known
	again := p.apart || m.joining(now) || !slices.Contains(m.order, msg.From)
	p.apart = apart
	if !apart && msg.Credit > NoCredit {
		m.established = true
	}
	if apart && again {
		m.sendTo(msg.From, m.compareMessage())
	}
}

// ContactUntil returns when this member loses contact if it hears no more.
func (m *Members) ContactUntil() time.Time {
	last := m.heardAt()
	if m.refreshed.After(last) {
		last = m.refreshed
	}
	if last.IsZero() {
		return last
	}
	return last.Add(m.cfg.Timeout)
}

// Hears tells whether neighbours alone give this member contact at now, without
// what the platform told it.
func (m *Members) Hears(now time.Time) bool {
	last := m.heardAt()
	return !last.IsZero() && now.Before(last.Add(m.cfg.Timeout))
}

// heardAt returns from when on the neighbours' answers give contact.
func (m *Members) heardAt() time.Time {
	full, weak := Quorum(len(m.order))
	if full == 0 && !m.refreshed.IsZero() {
		// A fleet of one process has nobody to lose contact with.
		return m.nextAt
	}
	if !m.established {
		return time.Time{}
	}
	var fulls, weaks []time.Time
	for _, name := range m.order {
		if p, ok := m.peers[name]; ok {
			fulls = append(fulls, p.full)
			weaks = append(weaks, p.weak)
		}
	}
	last := nth(fulls, full)
	if other := nth(weaks, weak); other.After(last) {
		last = other
	}
	return last
}

// nth returns the n-th latest of the times, or the zero time.
func nth(times []time.Time, n int) time.Time {
	if n == 0 || len(times) < n {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

// Contact tells whether this member is in contact with the fleet at now. One
// that is not takes no new work.
func (m *Members) Contact(now time.Time) bool {
	return now.Before(m.ContactUntil())
}

// suspect asks others about neighbours that do not answer, and spreads a
// suspicion if nobody else hears them either. A single broken link thus raises none.
func (m *Members) suspect(now time.Time) {
	var changed []Record
	for _, name := range m.order {
		p, ok := m.peers[name]
		e := m.table.records[name]
		if !ok || p.firstAt.IsZero() || e == nil || e.State >= Suspect {
			continue
		}
		silent := now.Sub(p.firstAt)
		vouched := now.Sub(p.vouchedAt)
		if silent < m.cfg.Interval*3/2 || vouched < m.cfg.Interval {
			continue
		}
		if silent < m.cfg.Timeout || vouched < m.cfg.Timeout {
			m.askOthers(now, name, p)
			continue
		}
		r := e.Record
		r.State = Suspect
		changed = m.adopt(now, r, changed)
	}
	m.spread(changed, nil)
}

// askOthers has two other neighbours probe the silent one.
func (m *Members) askOthers(now time.Time, name host.Name, p *peer) {
	if now.Sub(p.indirectAt) < m.cfg.Interval {
		return
	}
	p.indirectAt = now
	asked := 0
	for _, other := range m.order {
		q, ok := m.peers[other]
		if other == name || !ok || !q.firstAt.IsZero() || asked == 2 {
			continue
		}
		asked++
		m.sendTo(other, &Message{Kind: Indirect, Target: name})
	}
}

func (m *Members) probeFor(now time.Time, msg *Message) {
	if _, ok := m.table.records[msg.Target]; !ok {
		return
	}
	p := m.peer(msg.Target)
	if len(p.askers) < reach {
		p.askers = append(p.askers, msg.From)
	}
	m.probe(now, msg.Target, Probe)
}

func (m *Members) tellAskers(name host.Name, p *peer) {
	for _, asker := range p.askers {
		m.sendTo(asker, &Message{Kind: Vouched, Target: name})
	}
	p.askers = nil
}

func (m *Members) vouched(now time.Time, msg *Message) {
	if p, ok := m.peers[msg.Target]; ok {
		p.vouchedAt = now
	}
}

// rememberTimeouts is for how many timeouts it is remembered that a member was
// answered; package acceptance asks about the last three.
const rememberTimeouts = 4

// forgetPeers drops what is kept about members that are no neighbours any more.
func (m *Members) forgetPeers(now time.Time) {
	keep := rememberTimeouts * m.cfg.Bound()
	for name, p := range m.peers {
		if now.Sub(p.sentAt) > keep && now.Sub(p.answeredAt) > keep && !slices.Contains(m.order, name) {
			delete(m.peers, name)
		}
	}
}
