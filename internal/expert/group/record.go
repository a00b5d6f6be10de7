package group

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// MaxNameBytes bounds the name of a group and of a host in it.
const MaxNameBytes = 256

// numberBits is the number of bits of a [Number] below the fence.
const numberBits = 24

// ErrRecord reports a record that can't be decoded or is inconsistent.
var ErrRecord = merry.New("group record is invalid")

// Number identifies a proposed map within an epoch, and the switch to it. The bits
// above the 24 lowest hold the fence of the planner that proposed the map, so no
// two planners choose the same number, and all numbers of a later planner are
// higher.
type Number uint64

// NumberOf returns the nth number of the planner with fence f.
func NumberOf(f lease.Fence, n uint32) Number {
	return Number(f)<<numberBits | Number(n&(1<<numberBits-1))
}

// Fence returns the fence of the planner that proposed the map.
func (n Number) Fence() lease.Fence {
	return lease.Fence(n >> numberBits)
}

// Record is a group's record in the platform: the ranks in lock-step, and the map
// that is active when the group forms. Its map may be older than the active one,
// because a switch doesn't wait for the platform.
type Record struct {
	Name   string         `cbor:"1,keyasint" json:"name"`
	Epoch  uint64         `cbor:"2,keyasint" json:"epoch"` // increases each time the group forms; 0 if it has never formed
	Fence  lease.Fence    `cbor:"3,keyasint" json:"fence"` // highest planning fence known when the epoch was formed
	Number Number         `cbor:"4,keyasint" json:"number"`
	Ranks  []host.Name    `cbor:"5,keyasint" json:"ranks"` // rank r runs on Ranks[r]
	Map    *expertmap.Map `cbor:"6,keyasint" json:"-"`

	// Incarnations are the sidecars' incarnations when the epoch was formed. Only these
	// may order their engine to join it: a later incarnation can't know whether its
	// engine joined the epoch before, died and forgot a switch.
	Incarnations []host.Incarnation `cbor:"7,keyasint" json:"lives"`

	// Document is the number under which the document with these ranks and this map
	// shape was accepted.
	Document uint64 `cbor:"8,keyasint" json:"document"`
}

// RankOf returns the rank that runs on a host, or -1 if none does.
func (r *Record) RankOf(name host.Name) int {
	for i, n := range r.Ranks {
		if n == name {
			return i
		}
	}
	return -1
}

// Check returns [ErrRecord] if the record is inconsistent.
func (r *Record) Check() error {
	if r.Name == "" || len(r.Name) > MaxNameBytes {
		return merry.Appendf(ErrRecord, "name of %d bytes", len(r.Name))
	}
	if r.Map == nil {
		return merry.Append(ErrRecord, "no map")
	}
	if len(r.Ranks) != r.Map.Shape().Ranks || len(r.Incarnations) != len(r.Ranks) {
		return merry.Appendf(ErrRecord, "%d hosts, %d incarnations for %d ranks", len(r.Ranks), len(r.Incarnations), r.Map.Shape().Ranks)
	}
	seen := make(map[host.Name]bool, len(r.Ranks))
	for _, n := range r.Ranks {
		if n == "" || len(n) > MaxNameBytes || seen[n] {
			return merry.Appendf(ErrRecord, "host %.20q", n)
		}
		seen[n] = true
	}
	if found := r.Map.Problems(); len(found) > 0 {
		return merry.Appendf(ErrRecord, "map: %v", found[0])
	}
	return nil
}

// Encode returns the record in its stored format.
func (r *Record) Encode() ([]byte, error) {
	return cbor.Marshal(r)
}

// DecodeRecord reads a record and checks it.
func DecodeRecord(b []byte) (*Record, error) {
	r := new(Record)
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, merry.Appendf(ErrRecord, "%v", err)
	}
	return r, r.Check()
}
