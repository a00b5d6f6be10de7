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
	MaxChanges  = 4000             // a proposal with more changes carries the complete map
	MaxPatience = 30 * time.Minute // longest time allowed for loading weights
)

// ErrMessage reports an invalid message.
var ErrMessage = merry.New("group message is invalid")

// MessageKind is the kind of a [Message].
type MessageKind uint8

// The kinds of messages. A keeper is a host whose [EpochFormer] writes the epochs of
// the group.
const (
	Ask          MessageKind = iota + 1 // to a rank: send a Report on switch Message.Number, or only on the rank if it is 0
	Prepare                             // to a rank: load the weights of the proposed map
	Promise                             // to a rank: promise that its engine stops before Message.Step
	Report                              // from a rank: its vote and its state
	Outcome                             // to a rank: the switch is Message.Vote, which is Refused, Committed or Finished
	Heartbeat                           // to a keeper: heartbeat of the sidecar Message.Incarnation, which is in Message.Epoch
	EpochRequest                        // to a keeper: a request for an epoch after Message.Epoch
	Announce                            // to a rank: the record of the epoch, Message.Record
)

// Vote is the state of a map switch on a rank.
type Vote uint8

// The votes. A rank that has voted Refused or Promised never votes the other;
// Committed to Finished follow from the promises of all ranks.
const (
	Unseen    Vote = iota // the rank doesn't know the switch and can still refuse it
	Loading               // the rank is loading weights
	Loaded                // the engine holds all weights and has prepared the map
	Promised              // the engine stops before the step until the rank knows the outcome
	Refused               // the rank refuses for good, or knows that another rank does
	Committed             // the rank knows that all ranks have promised
	Passed                // the engine has begun the step with the new map
	Finished              // the rank knows that all ranks have voted Passed
	Unsure                // the sidecar restarted, and its engine can't report what was promised
)

// String returns the name of the vote.
func (v Vote) String() string {
	names := [...]string{"unseen", "loading", "loaded", "promised", "refused", "committed", "passed", "finished", "unsure"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Reason is why a rank refused a switch.
type Reason string

// The reasons for refusing a switch.
const (
	StaleNumber      Reason = "staleNumber"    // the rank knows a higher number or fence
	StaleEpoch       Reason = "staleEpoch"     // the group has formed again under a higher epoch
	OtherIncarnation Reason = "otherLife"      // the proposal names an earlier incarnation of the sidecar
	Busy             Reason = "busy"           // another switch is not finished on the rank
	BaseUnknown      Reason = "baseUnknown"    // the changes are relative to a map that the rank doesn't have
	MapInvalid       Reason = "mapInvalid"     // the map is inconsistent, for example with an expert without replica
	LoadingTooLong   Reason = "loadingTooLong" // weights were not loaded, or the limit not confirmed, in time
	StepBegun        Reason = "stepBegun"      // the engine has already begun the step
	OrderFailed      Reason = "orderFailed"    // the engine refused an order
	Superseded       Reason = "superseded"     // a newer proposal or planner replaces the switch
	AskedToEnd       Reason = "askedToEnd"     // a rank or planner that waits for the outcome asked to end the switch
	NotPrepared      Reason = "notPrepared"    // a promise was asked for before the map was loaded
)

// Message is sent between the processes of a group. The fields that a kind
// doesn't use are zero.
type Message struct {
	Kind   MessageKind `cbor:"1,keyasint"`
	Group  string      `cbor:"2,keyasint"`
	Epoch  uint64      `cbor:"3,keyasint"`
	Number Number      `cbor:"4,keyasint,omitempty"`

	// Prepare: the map, as changes to map Base or complete. Incarnation is that of
	// the sidecar that the proposal is meant for.
	Base        Number                 `cbor:"5,keyasint,omitempty"`
	Changes     []expertmap.SlotChange `cbor:"6,keyasint,omitempty"`
	Map         *expertmap.Map         `cbor:"7,keyasint,omitempty"`
	Digest      expertmap.Digest       `cbor:"8,keyasint,omitzero"`
	Rate        int64                  `cbor:"9,keyasint,omitempty"`  // the rank's share of the weight store's rate, bytes per second
	ExpertBytes int64                  `cbor:"10,keyasint,omitempty"` // size of the weights of one expert in one layer
	Remaining   time.Duration          `cbor:"11,keyasint,omitempty"` // time after which the rank refuses
	Incarnation host.Incarnation       `cbor:"12,keyasint,omitempty"` // Prepare, Report

	Step  uint64 `cbor:"13,keyasint,omitempty"` // Promise, Report, Outcome: first step with the new map
	Final bool   `cbor:"14,keyasint,omitempty"` // Ask: the rank refuses for good if it has not promised

	// Report and Outcome.
	Vote         Vote        `cbor:"15,keyasint,omitempty"`
	Reason       Reason      `cbor:"16,keyasint,omitempty"`
	Next         uint64      `cbor:"17,keyasint,omitempty"` // first step that the engine has not begun
	ActiveNumber Number      `cbor:"18,keyasint,omitempty"` // number of the active map
	Open         Number      `cbor:"19,keyasint,omitempty"` // the switch that is open on the rank
	OpenVote     Vote        `cbor:"20,keyasint,omitempty"` // the vote on switch Open
	Floor        Number      `cbor:"21,keyasint,omitempty"` // the rank refuses switches up to this number for good
	Fence        lease.Fence `cbor:"22,keyasint,omitempty"` // highest fence that the rank knows
	NeedsMap     bool        `cbor:"23,keyasint,omitempty"` // the rank knows only the number of the active map

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

// Encode returns the message in its wire format.
func (m *Message) Encode() ([]byte, error) {
	return cbor.Marshal(m)
}

// Decode reads a message and checks it. It returns [ErrMessage] or [ErrRecord] if
// the message or its record is invalid.
func Decode(b []byte) (Message, error) {
	var m Message
	if err := decoder.Unmarshal(b, &m); err != nil {
		return m, merry.Appendf(ErrMessage, "%v", err)
	}
	return m, m.Check()
}

// Check returns [ErrMessage] if the message is invalid, and [ErrRecord] if its
// record is.
func (m *Message) Check() error {
	switch {
	case m.Kind < Ask || m.Kind > Announce:
		return merry.Appendf(ErrMessage, "kind %d", m.Kind)
	case m.Group == "" || len(m.Group) > MaxNameBytes || len(m.Reason) > MaxNameBytes:
		return merry.Append(ErrMessage, "name or reason out of bounds")
	case m.Vote > Unsure || m.OpenVote > Unsure:
		return merry.Appendf(ErrMessage, "vote %d, %d", m.Vote, m.OpenVote)
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
