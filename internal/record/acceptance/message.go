package acceptance

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
)

// MessageKind tells messages apart.
type MessageKind uint8

// The kinds of messages.
const (
	Hold      MessageKind = iota + 1 // to a collector: the sender holds, or refuses, a staged text
	Holds                            // from a collector to the holder of the lease
	StillOpen                        // answers Hold and Holds: the stage was not accepted when asked
	Want                             // asks for a text
	Part                             // a part of a text, or a patch
)

// Bounds of messages.
const (
	MaxServiceBytes  = 64
	MaxReasonBytes   = 1024
	MaxPartBytes     = 48 << 10
	MaxMessageBytes  = 96 << 10
	maxIDs           = 8192
	maxInlinePatch   = 16 << 10 // a larger patch is fetched instead of spread with the stage
	maxDoubtfulNames = 512
)

// Refusal says why a member cannot put a staged text in force.
type Refusal struct {
	Member host.Name `cbor:"1,keyasint"`
	Reason string    `cbor:"2,keyasint"`
}

// Message is what two processes send each other about documents. Which fields
// are set depends on its kind.
type Message struct {
	Kind     MessageKind  `cbor:"1,keyasint"`
	From     host.Name    `cbor:"2,keyasint"`
	Service  string       `cbor:"3,keyasint"`
	Stage    StageVersion `cbor:"4,keyasint,omitempty"`
	Seq      uint64       `cbor:"5,keyasint,omitempty"` // of a question, repeated in its answer
	IDs      []member.ID  `cbor:"6,keyasint,omitempty"` // the members that hold the text
	Answered []member.ID  `cbor:"7,keyasint,omitempty"` // doubtful members whose probes were answered of late
	Refusals []Refusal    `cbor:"8,keyasint,omitempty"`
	Digest   *Digest      `cbor:"10,keyasint,omitempty"` // of the text asked for
	Base     *Digest      `cbor:"11,keyasint,omitempty"` // of the text that a patch is for
	Offset   int          `cbor:"12,keyasint,omitempty"`
	Size     int          `cbor:"13,keyasint,omitempty"` // of the whole text
	Data     []byte       `cbor:"14,keyasint,omitempty"`
	Heard    bool         `cbor:"15,keyasint,omitempty"` // the sender was answered of late
	Whole    bool         `cbor:"16,keyasint,omitempty"` // so was each member of the collector's data centre
}

// Errors of [Message.Check] and of the decoders of facts.
var (
	ErrMessage = errors.New("message is out of bounds")
	ErrFact    = errors.New("fact about a document is out of bounds")
)

// Check tells whether the message is within its bounds.
func (m *Message) Check() error {
	reasons := 0
	for _, r := range m.Refusals {
		reasons += len(r.Reason)
	}
	ok := m.Kind >= Hold && m.Kind <= Part &&
		m.From != "" && m.Service != "" && len(m.Service) <= MaxServiceBytes &&
		len(m.IDs) <= maxIDs && len(m.Answered) <= maxIDs &&
		len(m.Refusals) <= 16 && reasons <= 16*MaxReasonBytes &&
		m.Offset >= 0 && m.Size >= 0 && len(m.Data) <= MaxPartBytes
	if !ok {
		return ErrMessage
	}
	return nil
}

// Envelope is one message between two processes: of package member or of this one.
type Envelope struct {
	Member   *member.Message `cbor:"1,keyasint,omitempty"`
	Document *Message        `cbor:"2,keyasint,omitempty"`
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxIDs, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the envelope as it is sent.
func (e *Envelope) Encode() ([]byte, error) { return cbor.Marshal(e) }

// DecodeEnvelope reads an envelope and checks its bounds.
func DecodeEnvelope(b []byte) (*Envelope, error) {
	if len(b) > MaxMessageBytes {
		return nil, ErrMessage
	}
	var e Envelope
	if err := decoder.Unmarshal(b, &e); err != nil {
		return nil, err
	}
	switch {
	case e.Member != nil && e.Document == nil:
		return &e, e.Member.Check()
	case e.Document != nil && e.Member == nil:
		return &e, e.Document.Check()
	}
	return nil, ErrMessage
}

// StageVersion orders the stages of a service: by fence, then by attempt, then a
// stage that was closed after the same one while open.
type StageVersion uint64

const (
	closedBit   = 1
	attemptBits = 24
)

func newStageVersion(f lease.Fence, attempt uint64) StageVersion {
	return StageVersion(uint64(f)<<attemptBits | attempt<<1)
}

// String formats the version for keys and logs.
func (v StageVersion) String() string { return strconv.FormatUint(uint64(v), 10) }

// Fence returns the fence under which the stage was opened.
func (v StageVersion) Fence() lease.Fence { return lease.Fence(v >> attemptBits) }

func (v StageVersion) closed() StageVersion { return v | closedBit }
func (v StageVersion) isClosed() bool       { return v&closedBit != 0 }

// Keys of the facts of this package, before the name of the service.
const (
	acceptedPrefix = "accepted/"
	stagePrefix    = "stage/"
	desiredPrefix  = "desired/"
)

// acceptedFact tells all members which document is in force. Its version is the
// number. Nothing else is in it: whoever publishes the number says the same.
type acceptedFact struct {
	Digest Digest `cbor:"1,keyasint"`
}

// stageFact offers a text to all members. Its version is a [StageVersion].
type stageFact struct {
	Number   Number      `cbor:"1,keyasint"`
	Digest   Digest      `cbor:"2,keyasint"`
	Holder   host.Name   `cbor:"3,keyasint"`
	Base     Digest      `cbor:"4,keyasint"`           // of the number before this one
	Patch    []byte      `cbor:"5,keyasint,omitempty"` // from Base, if it is small
	Doubtful []member.ID `cbor:"6,keyasint,omitempty"` // members that the holder thinks have failed
}

func newFact(key string, version uint64, v any) member.Fact {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // structs of numbers and bytes always encode
	}
	return member.Fact{Key: key, Version: version, Binding: true, Value: b}
}

func decodeFact(f member.Fact, v any) error {
	_, service, _ := strings.Cut(f.Key, "/")
	if service == "" || len(service) > MaxServiceBytes {
		return ErrFact
	}
	return decoder.Unmarshal(f.Value, v)
}

// DesiredFact tells the holder that a document was applied, so that it reads it
// at once, however late the platform's watch is.
func DesiredFact(service string, version uint64) member.Fact {
	return member.Fact{Key: desiredPrefix + service, Version: version, Life: time.Minute}
}
