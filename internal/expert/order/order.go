package order

import (
	"cmp"
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// SwitchID names one proposed switch of a group from one map to another. The
// switches of an epoch are ordered by fence, then number.
type SwitchID struct {
	Epoch  uint64      `cbor:"1,keyasint,omitempty" json:"epoch"`
	Fence  lease.Fence `cbor:"2,keyasint,omitempty" json:"fence"`
	Number uint64      `cbor:"3,keyasint,omitempty" json:"number"`
}

// Compare orders switches by epoch, fence and number.
func (s SwitchID) Compare(other SwitchID) int {
	return cmp.Or(
		cmp.Compare(s.Epoch, other.Epoch),
		cmp.Compare(s.Fence, other.Fence),
		cmp.Compare(s.Number, other.Number),
	)
}

// IsZero tells whether the id names no switch.
func (s SwitchID) IsZero() bool {
	return s == SwitchID{}
}

// String formats the id as epoch.fence.number.
func (s SwitchID) String() string {
	return fmt.Sprintf("%d.%d.%d", s.Epoch, s.Fence, s.Number)
}

// ID names an order. A repeated order has the same ID. Incarnation is that of
// the sidecar that gives the order, so that ids rise across its restarts.
type ID struct {
	Fence       lease.Fence      `cbor:"1,keyasint" json:"fence"`
	Incarnation host.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Sequence    uint64           `cbor:"3,keyasint" json:"sequence"`
}

// Compare orders ids by fence, incarnation and sequence.
func (i ID) Compare(other ID) int {
	return cmp.Or(
		cmp.Compare(i.Fence, other.Fence),
		cmp.Compare(i.Incarnation, other.Incarnation),
		cmp.Compare(i.Sequence, other.Sequence),
	)
}

// Kind says what an order asks of the engine.
type Kind uint8

// The kinds of orders.
const (
	Prepare   Kind = iota + 1 // remember Order.Map under its digest, as the map to load for
	Load                      // fetch Order.Loads from the weight store and hold them
	Limit                     // begin no step from Order.Step on
	Lift                      // forget the limit, if it is that of Order.Switch or of an earlier switch
	SwitchMap                 // use the prepared map Order.Digest from Order.Step on
	Drop                      // hold only the weights of the map Order.Digest
	Form                      // leave the old lock-step; join that of Order.Epoch with Order.Map
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"none", "prepare", "load", "limit", "lift", "switchMap", "drop", "form"}
	if int(k) >= len(names) {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return names[k]
}

// Order is one order to an engine.
type Order struct {
	ID      ID
	Kind    Kind
	Epoch   uint64
	Switch  SwitchID
	Digest  expertmap.Digest
	Map     *expertmap.Map // for Prepare and Form
	Loads   []expertmap.Placement
	Step    uint64
	Timeout time.Duration // wait for an answer to one copy; 0 stands for the guard's own
}

// Status is how an order ended.
type Status uint8

// The ends of an order.
const (
	Done    Status = iota + 1 // it is in effect
	Refused                   // it is not in effect; Result.Reason says why
	Unknown                   // no answer: it may be in effect, or come into effect
)

// Reason says why an order was refused.
type Reason string

// The reasons for refusing an order.
const (
	StaleFence   Reason = "staleFence"   // a higher fence has been seen
	StaleOrder   Reason = "staleOrder"   // a later order has been taken
	StaleEpoch   Reason = "staleEpoch"   // the engine belongs to a later epoch
	FenceUnknown Reason = "fenceUnknown" // the sidecar has not learnt the current fence yet
	TooLate      Reason = "tooLate"      // the step has begun already
	NotHeld      Reason = "notHeld"      // weights of the map are missing
	StoreFailed  Reason = "storeFailed"  // the weight store did not deliver
	QueueFull    Reason = "queueFull"    // the guard holds too many orders
	Unsupported  Reason = "unsupported"  // the engine doesn't know such orders
)

// Result is the end of an order.
type Result struct {
	ID     ID
	Kind   Kind
	Status Status
	Reason Reason // for Refused
	Next   uint64 // the first step not begun yet, as far as the engine said
}

// Engine says what a kind of engine checks and tells.
type Engine struct {
	ChecksFences bool // refuses an order with a lower fence than it has seen
	ChecksIDs    bool // refuses an order whose ID is below the highest that it has taken
	ReadsBack    bool // tells its State
}

// State is what an engine tells of the orders that it has taken.
type State struct {
	Known    bool // false: the engine can't tell, and nothing else is set
	Epoch    uint64
	Fence    lease.Fence // the highest taken
	Next     uint64      // the first step not begun yet
	InForce  expertmap.Digest
	Prepared expertmap.Digest
	Limit    uint64 // 0 without a limit
	LimitOf  SwitchID
	Switch   uint64 // the step of the last switch ordered, still ahead or not; 0 if there was none in this epoch
	SwitchOf SwitchID
	SwitchTo expertmap.Digest
}
