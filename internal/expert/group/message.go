package group

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// Bounds of a message.
const (
	MaxChanges  = 4000             // a proposal with more carries the whole map
	MaxPatience = 30 * time.Minute // longest time allowed for loading weights
)

// ErrMessage reports a message that is out of bounds.
var ErrMessage = merry.New("group message is invalid")

// MessageKind says what a message is.
type MessageKind uint8

// The kinds of messages.
const (
	Ask      MessageKind = iota + 1 // to a rank: report on switch Message.Number, or on yourself if it is 0
	Prepare                         // to a rank: load the weights of the proposed map
	Promise                         // to a rank: promise to stop before Message.Step
	Report                          // from a rank
	Outcome                         // to a rank: Message.Vote is Refused, Committed or Finished
	Alive                           // to a keeper: this life of the rank's sidecar is there, in Message.Epoch
	Renew                           // to a keeper: Message.Epoch has to be followed by a new one
	Announce                        // to a rank: Message.Record
)

// Vote is how far a rank has come with a switch.
type Vote uint8

// The votes. A rank that has said Refused or Promised never says the other;
// Committed to Finished follow from the promises of all.
const (
	Unseen    Vote = iota // it doesn't know the switch and can still refuse it
	Loading               // it loads weights
	Loaded                // it holds all weights and knows the map
	Promised              // it stops before the step until it knows the outcome
	Refused               // it refuses for good, or knows that another does
	Committed             // it knows that all promised
	Passed                // its engine has begun the step with the new map
	Finished              // it knows that all have passed
	Unsure                // it restarted, and its engine can't tell what was promised
)

// String returns the name of the vote.
func (v Vote) String() string {
	names := [...]string{"unseen", "loading", "loaded", "promised", "refused", "committed", "passed", "finished", "unsure"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Reason says why a rank refused.
type Reason string

// The reasons for refusing a switch.
const (
	StaleNumber    Reason = "staleNumber"    // a higher number or fence is known
	StaleEpoch     Reason = "staleEpoch"     // the group has been formed again
	OtherLife      Reason = "otherLife"      // meant for an earlier life of the sidecar
	Busy           Reason = "busy"           // another switch is not finished
	BaseUnknown    Reason = "baseUnknown"    // the changes are to a map that it doesn't have
	MapInvalid     Reason = "mapInvalid"     // the map would leave an expert without replica
	LoadingTooLong Reason = "loadingTooLong" // weights or promise did not come in time
	StepBegun      Reason = "stepBegun"      // the engine has begun the step already
	OrderFailed    Reason = "orderFailed"    // the engine did not take an order
	Superseded     Reason = "superseded"     // a later planner proposes another map
	AskedToEnd     Reason = "askedToEnd"     // another rank waits for the outcome
	NotPrepared    Reason = "notPrepared"    // asked to promise what it hasn't loaded
)

// Message is what the processes of a group send each other. The fields that a
// kind doesn't name are zero.
type Message struct {
	Kind   MessageKind `cbor:"1,keyasint"`
	Group  string      `cbor:"2,keyasint"`
	Epoch  uint64      `cbor:"3,keyasint"`
	Number Number      `cbor:"4,keyasint,omitempty"`

	// Prepare: the map as changes to map Base, or whole. Incarnation is the life
	// of the sidecar that it is meant for.
	Base        Number             `cbor:"5,keyasint,omitempty"`
	Changes     []expertmap.Change `cbor:"6,keyasint,omitempty"`
	Map         *expertmap.Map     `cbor:"7,keyasint,omitempty"`
	Digest      expertmap.Digest   `cbor:"8,keyasint,omitzero"`
	Rate        int64              `cbor:"9,keyasint,omitempty"`  // bytes a second from the weight store
	ExpertBytes int64              `cbor:"10,keyasint,omitempty"` // weights of one expert of one layer
	Remaining   time.Duration      `cbor:"11,keyasint,omitempty"` // until the rank may give up waiting
	Incarnation host.Incarnation   `cbor:"12,keyasint,omitempty"` // Prepare, Report

	Step  uint64 `cbor:"13,keyasint,omitempty"` // Promise, Report, Outcome: first step with the new map
	Final bool   `cbor:"14,keyasint,omitempty"` // Ask: refuse for good what isn't promised

	// Report and Outcome.
	Vote    Vote        `cbor:"15,keyasint,omitempty"`
	Reason  Reason      `cbor:"16,keyasint,omitempty"`
	Next    uint64      `cbor:"17,keyasint,omitempty"` // first step that the engine has not begun
	InForce Number      `cbor:"18,keyasint,omitempty"`
	Open    Number      `cbor:"19,keyasint,omitempty"` // the switch that the rank takes part in
	OpenAt  Vote        `cbor:"20,keyasint,omitempty"` // how far it has come with it
	Floor   Number      `cbor:"21,keyasint,omitempty"` // refuses for good all up to this
	Fence   lease.Fence `cbor:"22,keyasint,omitempty"` // highest known
	Whole   bool        `cbor:"23,keyasint,omitempty"` // it knows the map in force by number only

	Record *Record `cbor:"24,keyasint,omitempty"` // Announce
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: max(MaxChanges, expertmap.MaxRanks),
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant; a failure is a defect of this file
	}
	return mode
}

// Encode returns the message as it travels.
func (m *Message) Encode() ([]byte, error) {
	return cbor.Marshal(m)
}

// Decode reads a message and checks it. It returns [ErrMessage] or [ErrRecord]
// for what is out of bounds.
func Decode(b []byte) (Message, error) {
	var m Message
	if err := decoder.Unmarshal(b, &m); err != nil {
		return m, merry.Appendf(ErrMessage, "%v", err)
	}
	return m, m.Check()
}

// Check returns [ErrMessage] if the message is out of bounds.
func (m *Message) Check() error {
	switch {
	case m.Kind < Ask || m.Kind > Announce:
		return merry.Appendf(ErrMessage, "kind %d", m.Kind)
	case m.Group == "" || len(m.Group) > MaxNameBytes || len(m.Reason) > MaxNameBytes:
		return merry.Append(ErrMessage, "name or reason out of bounds")
	case m.Vote > Unsure || m.OpenAt > Unsure:
		return merry.Appendf(ErrMessage, "vote %d, %d", m.Vote, m.OpenAt)
	case len(m.Changes) > MaxChanges:
		return merry.Appendf(ErrMessage, "%d changes", len(m.Changes))
	case m.Remaining < 0 || m.Remaining > MaxPatience:
		return merry.Appendf(ErrMessage, "remaining time %v", m.Remaining)
	case m.Rate < 0 || m.ExpertBytes < 0:
		return merry.Append(ErrMessage, "negative rate or size")
	}
	return m.checkKind()
}

func (m *Message) checkKind() error {
	switch m.Kind {
	case Prepare:
		if m.Number == 0 || m.Rate == 0 || m.ExpertBytes == 0 {
			return merry.Append(ErrMessage, "prepare without number, rate or size")
		}
	case Promise:
		if m.Number == 0 || m.Step == 0 {
			return merry.Append(ErrMessage, "promise without number or step")
		}
	case Announce:
		if m.Record == nil || m.Record.Name != m.Group || m.Record.Epoch != m.Epoch {
			return merry.Append(ErrMessage, "announcement without a record of the group and epoch")
		}
		return m.Record.Check()
	case Outcome:
		if m.Number == 0 || (m.Vote != Refused && m.Vote != Committed && m.Vote != Finished) {
			return merry.Appendf(ErrMessage, "outcome %v of switch %d", m.Vote, m.Number)
		}
	}
	return nil
}
