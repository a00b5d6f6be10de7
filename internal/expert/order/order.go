package order

import (
	"cmp"
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// ID identifies an order. A repeated order has the same ID. Incarnation is that of
// the sidecar that sends the order, so that ids increase across its restarts.
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

// Kind is what an order asks the engine to do.
type Kind uint8

// The kinds of orders.
const (
	Load        Kind = iota + 1 // load Order.Weights from the weight store
	Prepare                     // store Order.Map as map Order.Number; refused while its weights are not loaded
	Cancel                      // discard the prepared map and a switch to it
	Limit                       // begin no step from Order.Step on
	RemoveLimit                 // remove the limit
	SwitchMap                   // use the prepared map Order.Number from Order.Step on
	Unload                      // unload Order.Weights
	JoinGroup                   // leave the old lock-step; join that of Order.Epoch with Order.Map
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"none", "load", "prepare", "cancel", "limit", "lift", "switchMap", "drop", "form"}
	if int(k) >= len(names) {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return names[k]
}

// Order is one order to an engine. Fields that its kind doesn't use are zero.
type Order struct {
	ID      ID
	Kind    Kind
	Epoch   uint64 // of the group's lock-step; Load and JoinGroup may be ahead of the engine's
	Number  uint64 // of the map, for Prepare, SwitchMap and JoinGroup
	Map     *expertmap.Map
	Weights []expertmap.Placement // all on the engine's own rank
	Step    uint64
	Timeout time.Duration // how long to wait for the answer to one copy; 0 stands for Config.Timeout
}

// Status is how an order ended.
type Status uint8

// The ends of an order.
const (
	Done    Status = iota + 1 // the order is in effect
	Refused                   // the order is not in effect; Result.Reason is why
	Unknown                   // no answer: the order may be in effect, or take effect later
)

// Reason is why an order was refused.
type Reason string

// The reasons for refusing an order.
const (
	StaleFence   Reason = "staleFence"   // a higher fence has been seen
	StaleOrder   Reason = "staleOrder"   // a later order has been accepted
	StaleEpoch   Reason = "staleEpoch"   // the engine belongs to another epoch
	FenceUnknown Reason = "fenceUnknown" // the sidecar has not learnt the current fence yet
	TooLate      Reason = "tooLate"      // the step has begun already
	NotHeld      Reason = "notHeld"      // weights of the map are missing, or being loaded
	NotPrepared  Reason = "notPrepared"  // the map to switch to is not prepared
	InUse        Reason = "inUse"        // the weights belong to the active or the prepared map
	StoreFailed  Reason = "storeFailed"  // the weight store did not return the weights
	QueueFull    Reason = "queueFull"    // too many orders are queued
	Unsupported  Reason = "unsupported"  // the engine doesn't support this kind of order
)

// Result is the outcome of an order.
type Result struct {
	ID     ID
	Kind   Kind
	Status Status
	Reason Reason      // for Refused
	Next   uint64      // the first step not begun yet, if the engine stated it
	Fence  lease.Fence // the highest that the engine or its guard knows
}

// Capabilities describes what a kind of engine checks and reports.
type Capabilities struct {
	ChecksFences bool // refuses an order with a lower fence than it has seen
	ChecksIDs    bool // refuses an order whose ID is below the highest that it has accepted
	ReadsBack    bool // reports its State
}

// State is an engine's report of the orders that it has accepted. Steps and
// numbers are 0 if there is none.
type State struct {
	Known    bool // false: the engine doesn't report its state, and nothing else is set
	Epoch    uint64
	Fence    lease.Fence // the highest accepted
	Next     uint64      // the first step not begun yet
	Map      uint64      // number of the active map
	Prepared uint64      // number of the prepared map
	Limit    uint64      // the first step that it may not begin
	Switch   uint64      // the first step with the prepared map
	Held     []expertmap.Placement
}
