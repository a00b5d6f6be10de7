package member

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// MessageKind tells messages apart.
type MessageKind uint8

// The kinds of messages.
const (
	Probe    MessageKind = iota + 1 // are you there?
	Answered                        // the answer to a probe
	Indirect                        // probe Message.Target for me
	Vouched                         // Message.Target answered a probe
	Update                          // records and facts
	Compare                         // hashes of all buckets; asks for what differs
)

// Hop tells how far an update has to travel from its receiver.
type Hop uint8

// The hops of an update.
const (
	Final    Hop = iota // to nobody
	ToOthers            // to the members of the receiver's data centre
	ToAll               // to these and to the relays of the other data centres
	Repair              // found missing by comparison
)

// Credit is how much contact an answer gives.
type Credit uint8

// The levels of credit.
const (
	NoCredit   Credit = iota // the answering member has just started
	WeakCredit               // the answering member has no contact itself
	FullCredit               // the answering member has contact
)

// Bounds of messages; larger ones are refused.
const (
	MaxMessageBytes = 96 << 10
	MaxKeyBytes     = 128
	MaxValueBytes   = 1 << 10  // of a fact
	MaxBindingBytes = 32 << 10 // of a binding fact
	MaxFacts        = 8192
	MaxMembers      = 8192
	maxNameBytes    = 128
	maxVersions     = 2048
	batchBytes      = 48 << 10 // an update is cut before it grows beyond this
)

// BucketCount is the number of parts in which tables are compared.
const BucketCount = 64

// KeyVersion names the version of a binding fact that a member knows.
type KeyVersion struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64   // hash of the fact's key
	Version uint64
}

// Message is what two members send each other. Which fields are set depends on
// its kind.
type Message struct {
	Kind        MessageKind      `cbor:"1,keyasint"`
	From        host.Name        `cbor:"2,keyasint"`
	Incarnation host.Incarnation `cbor:"3,keyasint"`
	Seq         uint64           `cbor:"4,keyasint,omitempty"` // of a probe, repeated in its answer
	Known       uint64           `cbor:"5,keyasint,omitempty"` // hash of all that the sender knows
	Binding     uint64           `cbor:"6,keyasint,omitempty"` // hash of binding facts: settled in a probe, known in an answer
	Credit      Credit           `cbor:"7,keyasint,omitempty"`
	Versions    []KeyVersion     `cbor:"8,keyasint,omitempty"` // binding facts, if the hashes differ
	Target      host.Name        `cbor:"9,keyasint,omitempty"`
	Buckets     []uint64         `cbor:"10,keyasint,omitempty"`
	Members     []Record         `cbor:"11,keyasint,omitempty"`
	Facts       []Fact           `cbor:"12,keyasint,omitempty"`
	Hop         Hop              `cbor:"13,keyasint,omitempty"`
	Joining     *Record          `cbor:"14,keyasint,omitempty"` // the sender, if the receiver may not know it
}

// Errors of [Decode] and [Message.Check].
var (
	ErrTooLarge = errors.New("message is too large")
	ErrKind     = errors.New("message kind is unknown")
	ErrName     = errors.New("name is empty or too long")
	ErrValue    = errors.New("fact is out of bounds")
	ErrRecord   = errors.New("record is out of bounds")
)

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: MaxFacts, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the message as it is sent.
func (m *Message) Encode() ([]byte, error) {
	return cbor.Marshal(m)
}

// Decode reads a message and checks its bounds.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	var m Message
	if err := decoder.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	return &m, m.Check()
}

// Check tells whether the message is within its bounds.
func (m *Message) Check() error {
	if m.Kind < Probe || m.Kind > Compare {
		return ErrKind
	}
	if !validName(m.From) || len(m.Target) > maxNameBytes {
		return ErrName
	}
	if len(m.Buckets) != 0 && len(m.Buckets) != BucketCount {
		return ErrTooLarge
	}
	if len(m.Versions) > maxVersions {
		return ErrTooLarge
	}
	for i := range m.Members {
		if !m.Members[i].valid() {
			return ErrRecord
		}
	}
	if m.Joining != nil && !m.Joining.valid() {
		return ErrRecord
	}
	for i := range m.Facts {
		if err := m.Facts[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

func validName(n host.Name) bool {
	return n != "" && len(n) <= maxNameBytes
}

// State is the condition of a member. A higher state wins over a lower one with
// the same incarnation and sequence number.
type State uint8

// The states of a member.
const (
	Alive   State = iota + 1
	Leaving       // finishes what it has and takes nothing new
	Suspect       // does not answer some of its neighbours
	Left          // has ended, or the platform's list no longer has it
)

// Record is what the fleet knows about one member.
type Record struct {
	Identity host.Identity `cbor:"1,keyasint"`
	Seq      uint32        `cbor:"2,keyasint,omitempty"` // raised by the member itself to refute a suspicion
	State    State         `cbor:"3,keyasint"`
}

func (r *Record) valid() bool {
	id := &r.Identity
	return validName(id.Name) && len(id.DataCentre) <= maxNameBytes && len(id.Region) <= maxNameBytes &&
		len(id.Role) <= maxNameBytes && r.State >= Alive && r.State <= Left
}

// newer tells whether r replaces other.
func (r *Record) newer(other *Record) bool {
	if r.Identity.Incarnation != other.Identity.Incarnation {
		return r.Identity.Incarnation > other.Identity.Incarnation
	}
	if r.Seq != other.Seq {
		return r.Seq > other.Seq
	}
	return r.State > other.State
}

// Fact is a small versioned value that all members learn. Of two facts with one
// key the one with the higher version wins.
type Fact struct {
	Key     string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Binding bool          `cbor:"3,keyasint,omitempty"` // contact depends on having settled it
	Value   []byte        `cbor:"4,keyasint,omitempty"`
	Life    time.Duration `cbor:"5,keyasint,omitempty"` // how much longer it is kept, 0 for good
}

// Check tells whether the fact is within its bounds.
func (f *Fact) Check() error {
	limit := MaxValueBytes
	if f.Binding {
		limit = MaxBindingBytes
	}
	if f.Key == "" || len(f.Key) > MaxKeyBytes || len(f.Value) > limit || f.Life < 0 {
		return ErrValue
	}
	return nil
}
