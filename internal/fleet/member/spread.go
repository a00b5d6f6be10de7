package member

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// publish takes in facts of this process and spreads those that are new.
func (m *Members) publish(now time.Time, facts []Fact) {
	var news []Fact
	for _, f := range facts {
		if m.learn(now, f) {
			news = append(news, f)
		}
	}
	m.spread(nil, news)
}

// learn takes in one fact and reports it if it is new.
func (m *Members) learn(now time.Time, f Fact) bool {
	switch m.table.mergeFact(now, f) {
	case fresh:
		m.out = append(m.out, Action{Kind: Learned, Fact: f})
		return true
	case clashing:
		m.out = append(m.out, Action{Kind: Violate, Fact: f, Violation: "two values under one version of a binding fact"})
	}
	return false
}

// spread hands news of this process to the relays of its data centre. Where this
// process is a relay itself it does the relay's part at once.
func (m *Members) spread(records []Record, facts []Fact) {
	for _, r := range records {
		m.spreadOne(recordKey(&r), &Message{Kind: Update, Members: []Record{r}}, ToAll, "")
	}
	for _, f := range facts {
		m.spreadOne(factKey(&f), &Message{Kind: Update, Facts: []Fact{f}}, ToAll, "")
	}
}

// recordKey and factKey choose the relays. The version is part of it, so that
// the many changes of one fact are not all passed on by the same members.
func recordKey(r *Record) uint64 {
	return mix(uint64(IDOf(r.Identity.Name, r.Identity.Incarnation)), uint64(r.Seq))
}

func factKey(f *Fact) uint64 { return mix(hashText(f.Key), f.Version) }

func (m *Members) spreadOne(keyID uint64, msg *Message, hop Hop, from host.Name) {
	relays := m.table.relays(m.cfg.Self.DataCentre, keyID)
	for _, r := range relays {
		if r.Identity.Name == m.cfg.Self.Name {
			m.relay(keyID, msg, hop, from)
			return
		}
	}
	for _, r := range relays {
		if r.Identity.Name != from {
			m.forward(r, msg, hop)
		}
	}
}

// relay does the part of a relay: to the relays of other data centres, and to
// all members of its own. The relays of a data centre send to those of the same
// rank elsewhere, so that each gets one copy in the usual case.
func (m *Members) relay(keyID uint64, msg *Message, hop Hop, from host.Name) {
	if hop == ToAll {
		m.relayAcross(keyID, msg)
	}
	for _, e := range m.table.centres[m.cfg.Self.DataCentre] {
		if e.Identity.Name != from && e.Identity.Name != m.cfg.Self.Name {
			m.forward(e, msg, Final)
		}
	}
}

func (m *Members) relayAcross(keyID uint64, msg *Message) {
	rank := 0
	for i, r := range m.table.relays(m.cfg.Self.DataCentre, keyID) {
		if r.Identity.Name == m.cfg.Self.Name {
			rank = i
		}
	}
	for _, dc := range m.table.names {
		if dc == m.cfg.Self.DataCentre {
			continue
		}
		relays := m.table.relays(dc, keyID)
		if len(relays) > 0 {
			m.forward(relays[min(rank, len(relays)-1)], msg, ToOthers)
		}
	}
}

func (m *Members) forward(e *entry, msg *Message, hop Hop) {
	next := *msg
	next.Hop = hop
	m.send(e.Identity.Address, e.Identity.Name, &next)
}

// updated takes in an update and passes on what is new, as far as it has to go.
func (m *Members) updated(now time.Time, msg *Message) {
	for _, r := range msg.Members {
		if !m.takeRecord(now, r) {
			continue
		}
		m.passOn(now, recordKey(&r), &Message{Kind: Update, Members: []Record{r}}, msg)
	}
	for _, f := range msg.Facts {
		if !m.learn(now, f) {
			continue
		}
		m.passOn(now, factKey(&f), &Message{Kind: Update, Facts: []Fact{f}}, msg)
	}
	if len(msg.Buckets) > 0 {
		m.compared(now, &Message{Kind: Update, From: msg.From, Buckets: msg.Buckets})
	}
}

func (m *Members) passOn(now time.Time, keyID uint64, news, got *Message) {
	switch got.Hop {
	case ToOthers, ToAll:
		m.relay(keyID, news, got.Hop, got.From)
	case Repair:
		// What is found by comparison was missed by a relay, perhaps for a whole
		// data centre: let the relays of today pass it on. They ignore what they know.
		if !m.joining(now) {
			m.spreadOne(keyID, news, ToOthers, got.From)
		}
	}
}

// joining tells whether this process is still filling its table, when all that
// it learns is old news to the others.
func (m *Members) joining(now time.Time) bool {
	return now.Sub(m.started) < m.cfg.Timeout
}

// takeRecord takes in a record; one about this process itself is answered.
func (m *Members) takeRecord(now time.Time, r Record) bool {
	if r.Identity.Name == m.cfg.Self.Name {
		m.refute(now, r)
		return false
	}
	if !m.table.mergeRecord(now, r) {
		return false
	}
	m.out = append(m.out, Action{Kind: Changed, Record: r})
	return true
}

// refute answers a record that says of this process what is not so.
func (m *Members) refute(now time.Time, r Record) {
	own := m.Self()
	if r.Identity.Incarnation > own.Identity.Incarnation {
		m.supersede()
		return
	}
	if !r.newer(&own) {
		return
	}
	own.Seq = r.Seq + 1
	if r.State == Leaving && own.State == Alive {
		own.State = Leaving
	}
	m.table.mergeRecord(now, own)
	m.out = append(m.out, Action{Kind: Changed, Record: own})
	m.spread([]Record{own}, nil)
}

func (m *Members) compareMessage() *Message {
	own := m.Self()
	return &Message{Kind: Compare, Buckets: slices.Clone(m.table.buckets[:]), Joining: &own}
}

// compared answers with all that differs. To a comparison it adds the own
// hashes, so that the other side sends its part; to an answer it does not, so
// that the exchange ends.
func (m *Members) compared(now time.Time, msg *Message) {
	if msg.Joining != nil && m.takeRecord(now, *msg.Joining) {
		m.spread([]Record{*msg.Joining}, nil)
	}
	to := m.address(msg)
	batches := m.differences(now, msg.Buckets)
	if msg.Kind == Compare {
		if len(batches) == 0 {
			batches = []*Message{{Kind: Update, Hop: Repair}}
		}
		batches[len(batches)-1].Buckets = slices.Clone(m.table.buckets[:])
	}
	for _, b := range batches {
		m.send(to.Address, to.Name, b)
	}
}

func (m *Members) address(msg *Message) host.Identity {
	if r, ok := m.table.records[msg.From]; ok {
		return r.Identity
	}
	return host.Identity{Name: msg.From}
}

// differences returns what stands in buckets with other hashes, in batches.
func (m *Members) differences(now time.Time, theirs []uint64) []*Message {
	var batches []*Message
	size := batchBytes
	place := func(n int) *Message {
		if size+n > batchBytes {
			batches = append(batches, &Message{Kind: Update, Hop: Repair})
			size = 0
		}
		size += n
		return batches[len(batches)-1]
	}
	differs := func(keyID uint64) bool {
		b := keyID % BucketCount
		return len(theirs) == BucketCount && theirs[b] != m.table.buckets[b]
	}
	for _, name := range m.table.sortedNames() {
		e := m.table.records[name]
		if differs(e.nameID) {
			b := place(recordBytes)
			b.Members = append(b.Members, e.Record)
		}
	}
	for _, key := range m.table.sortedKeys() {
		h := m.table.facts[key]
		if f, ok := h.outgoing(now); ok && differs(h.keyID) {
			b := place(len(f.Key) + len(f.Value) + 32)
			b.Facts = append(b.Facts, f)
		}
	}
	return batches
}

// recordBytes is about how many bytes a record takes in a message.
const recordBytes = 96
