package member

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// graveLife is how long the record of a member that left is kept, so that a late
// copy of an older record does not bring it back.
const graveLife = 2 * time.Hour

// ID names one life of one member in few bytes.
type ID uint64

// IDOf returns the ID of the given life.
func IDOf(name host.Name, inc host.Incarnation) ID {
	return ID(mix(hashText(string(name)), uint64(inc)))
}

// hashText hashes a text; all processes get the same result.
func hashText(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64(), 0)
}

// mix is the finaliser of SplitMix64 over two words.
func mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// entry is a member with what is kept beside its record.
type entry struct {
	Record
	id     ID
	nameID uint64
	hash   uint64
	leftAt time.Time
	listed bool // was on the platform's list
}

// held is a fact with what is kept beside it.
type held struct {
	Fact
	keyID   uint64
	hash    uint64
	expires time.Time // zero for never

	settledVersion uint64
	settledHash    uint64
}

// table is all that a member knows, with hashes kept up to date, so that
// comparing two tables costs no pass over them.
type table struct {
	self    host.Name
	records map[host.Name]*entry
	facts   map[string]*held
	buckets [BucketCount]uint64
	known   uint64 // of all buckets
	binding uint64 // of binding facts as known
	settled uint64 // of binding facts as settled

	nextExpiry time.Time // of the facts with a life, zero if there is none

	centres map[host.DataCentre][]*entry // members that have not left, in ring order
	names   []host.DataCentre            // the keys of centres, in order
	layout  int                          // counts the changes of the rings
	roster  uint64                       // hash of the names on the rings
}

func newTable(self host.Name) *table {
	return &table{
		self:    self,
		records: make(map[host.Name]*entry),
		facts:   make(map[string]*held),
		centres: make(map[host.DataCentre][]*entry),
	}
}

func (t *table) flip(keyID, hash uint64) {
	t.buckets[keyID%BucketCount] ^= hash
	t.known ^= hash
}

// mergeRecord takes in a record if it is newer than the known one.
func (t *table) mergeRecord(now time.Time, r Record) bool {
	e, ok := t.records[r.Identity.Name]
	if !ok {
		if r.State == Left || len(t.records) >= MaxMembers {
			return false
		}
		e = &entry{nameID: hashText(string(r.Identity.Name))}
		t.records[r.Identity.Name] = e
	} else if !r.newer(&e.Record) {
		return false
	}
	if ok && e.State != Left {
		t.unplace(e)
	}
	t.flip(e.nameID, e.hash)
	if r.State == Left {
		e.leftAt = now
	}
	e.Record = r
	e.id = IDOf(r.Identity.Name, r.Identity.Incarnation)
	e.hash = mix(uint64(e.id), uint64(r.Seq)<<8|uint64(r.State))
	t.flip(e.nameID, e.hash)
	if r.State != Left {
		t.place(e)
	}
	return true
}

// place puts a member on the ring of its data centre.
func (t *table) place(e *entry) {
	t.layout++
	t.roster ^= e.nameID
	dc := e.Identity.DataCentre
	ring := t.centres[dc]
	at, _ := slices.BinarySearchFunc(ring, e, compareOnRing)
	t.centres[dc] = slices.Insert(ring, at, e)
	if len(ring) == 0 {
		i, _ := slices.BinarySearch(t.names, dc)
		t.names = slices.Insert(t.names, i, dc)
	}
}

func (t *table) unplace(e *entry) {
	t.layout++
	dc := e.Identity.DataCentre
	ring := t.centres[dc]
	at, ok := slices.BinarySearchFunc(ring, e, compareOnRing)
	if !ok {
		return
	}
	t.roster ^= e.nameID
	t.centres[dc] = slices.Delete(ring, at, at+1)
	if len(ring) == 1 {
		delete(t.centres, dc)
		i, _ := slices.BinarySearch(t.names, dc)
		t.names = slices.Delete(t.names, i, i+1)
	}
}

// merged is the result of taking in a fact.
type merged uint8

const (
	stale    merged = iota // older than what is known, or the same
	fresh                  // taken in
	clashing               // another value under the same version
)

// mergeFact takes in a fact if it is newer than the known one.
func (t *table) mergeFact(now time.Time, f Fact) merged {
	h, ok := t.facts[f.Key]
	if ok && f.Version < h.Version {
		return stale
	}
	keyID := hashText(f.Key)
	hash := mix(mix(keyID, f.Version), hashText(string(f.Value)))
	switch {
	case !ok && len(t.facts) >= MaxFacts:
		return stale
	case !ok:
		h = &held{keyID: keyID}
		t.facts[f.Key] = h
	case f.Version == h.Version && hash == h.hash:
		return stale
	case f.Version == h.Version && f.Binding:
		return clashing
	case f.Version == h.Version && hash < h.hash:
		return stale // both sides keep the same one of the two
	}
	t.forgetHash(h)
	h.Fact = f
	h.hash = hash
	h.expires = time.Time{}
	if f.Life > 0 {
		h.expires = now.Add(f.Life)
		t.noteExpiry(h.expires)
	}
	t.flip(keyID, hash)
	if f.Binding {
		t.binding ^= hash
	}
	return fresh
}

func (t *table) forgetHash(h *held) {
	t.flip(h.keyID, h.hash)
	if h.Binding {
		t.binding ^= h.hash
	}
}

// settle notes that a binding fact is dealt with up to the given version.
func (t *table) settle(key string, version uint64) {
	h, ok := t.facts[key]
	if !ok || !h.Binding || version <= h.settledVersion {
		return
	}
	t.settled ^= h.settledHash
	h.settledVersion = version
	h.settledHash = 0
	if version == h.Version {
		h.settledHash = h.hash
	}
	t.settled ^= h.settledHash
}

// settledAll tells whether each of the given versions is settled.
func (t *table) settledAll(versions []KeyVersion) bool {
	have := make(map[uint64]uint64, len(t.facts))
	for _, h := range t.facts {
		if h.Binding {
			have[h.keyID] = h.settledVersion
		}
	}
	for _, v := range versions {
		if have[v.Key] < v.Version {
			return false
		}
	}
	return true
}

// bindingVersions lists the binding facts as known.
func (t *table) bindingVersions() []KeyVersion {
	var out []KeyVersion
	for _, h := range t.facts {
		if h.Binding {
			out = append(out, KeyVersion{Key: h.keyID, Version: h.Version})
		}
	}
	slices.SortFunc(out, func(a, b KeyVersion) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// expireFacts drops facts whose life is over.
func (t *table) expireFacts(now time.Time) {
	if t.nextExpiry.IsZero() || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for key, h := range t.facts {
		switch {
		case h.expires.IsZero():
		case now.Before(h.expires):
			t.noteExpiry(h.expires)
		default:
			t.forgetHash(h)
			delete(t.facts, key)
		}
	}
}

func (t *table) noteExpiry(at time.Time) {
	if t.nextExpiry.IsZero() || at.Before(t.nextExpiry) {
		t.nextExpiry = at
	}
}

// expireRecords drops records of members long gone.
func (t *table) expireRecords(now time.Time) {
	for name, e := range t.records {
		if e.State == Left && name != t.self && now.Sub(e.leftAt) > graveLife {
			t.flip(e.nameID, e.hash)
			delete(t.records, name)
		}
	}
}

// outgoing returns the fact with the life that is left of it. One whose life is
// over is not sent: the receiver may have dropped it, and would bring it back.
func (h *held) outgoing(now time.Time) (Fact, bool) {
	f := h.Fact
	if !h.expires.IsZero() {
		f.Life = h.expires.Sub(now)
	}
	return f, h.expires.IsZero() || f.Life > 0
}

// sortedNames returns the names of all members in order.
func (t *table) sortedNames() []host.Name {
	names := make([]host.Name, 0, len(t.records))
	for name := range t.records {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// compareOnRing orders by a hash of the name, so that hosts of one rack, whose
// names are alike, are not neighbours more often than by chance.
func compareOnRing(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.nameID, b.nameID), cmp.Compare(a.Identity.Name, b.Identity.Name))
}
