package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Self returns the record of this process.
func (m *Members) Self() Record {
	return m.table.records[m.cfg.Self.Name].Record
}

// Record returns what is known about a member.
func (m *Members) Record(name host.Name) (Record, bool) {
	e, ok := m.table.records[name]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// Records returns all members, those that left included, ordered by name.
func (m *Members) Records() []Record {
	names := m.table.sortedNames()
	out := make([]Record, len(names))
	for i, name := range names {
		out[i] = m.table.records[name].Record
	}
	return out
}

// Roster returns a hash of the names of all members that have not left.
func (m *Members) Roster() uint64 { return m.table.roster }

// Established tells whether this process has once known the whole fleet.
func (m *Members) Established() bool { return m.established }

// Address returns where a member can be reached.
func (m *Members) Address(name host.Name) (netip.AddrPort, bool) {
	e, ok := m.table.records[name]
	if !ok {
		return netip.AddrPort{}, false
	}
	return e.Identity.Address, true
}

// Facts returns all facts, ordered by key.
func (m *Members) Facts() []Fact {
	keys := m.table.sortedKeys()
	out := make([]Fact, len(keys))
	for i, key := range keys {
		out[i] = m.table.facts[key].Fact
	}
	return out
}

// Neighbours returns the names of the members that the given one may probe.
func (m *Members) Neighbours(name host.Name) []host.Name {
	var out []host.Name
	for _, e := range m.table.neighbours(name) {
		out = append(out, e.Identity.Name)
	}
	return out
}

// Relays returns the members of a data centre that carry the work for a key, by
// rendezvous hash, the first choice first.
func (m *Members) Relays(dc host.DataCentre, key string) []host.Name {
	var out []host.Name
	for _, e := range m.table.relays(dc, hashText(key)) {
		out = append(out, e.Identity.Name)
	}
	return out
}

// Candidates returns the n members of the given role that should carry an
// elected duty, the first choice first.
func (m *Members) Candidates(role host.Role, key string, n int) []host.Name {
	var all []*entry
	for _, dc := range m.table.names {
		for _, e := range m.table.centres[dc] {
			if e.Identity.Role == role && e.State == Alive {
				all = append(all, e)
			}
		}
	}
	var out []host.Name
	for _, e := range rendezvous(all, hashText(key), n) {
		out = append(out, e.Identity.Name)
	}
	return out
}

// AnsweredPeers returns the members of which this one has answered a probe at or
// after the given time.
func (m *Members) AnsweredPeers(since time.Time) []ID {
	var out []ID
	for name, p := range m.peers {
		e, ok := m.table.records[name]
		if ok && !p.answeredAt.IsZero() && !p.answeredAt.Before(since) {
			out = append(out, e.id)
		}
	}
	slices.Sort(out)
	return out
}

func (t *table) sortedKeys() []string {
	return slices.Sorted(maps.Keys(t.facts))
}
