package engine

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of values that an engine sends.
const (
	MaxEvents     = 4096
	MaxNameBytes  = 256
	MaxMapBytes   = 4 << 20
	MaxWeights    = 1 << 16
	MaxLayers     = 256
	MaxExperts    = 4096
	maxMicros     = uint64(time.Hour / time.Microsecond)
	maxLoadNumber = 1 << 30
)

// Header names of a generation call.
const (
	RequestIDHeader = "X-Request-Id"    // identity of the request; counted by the engine
	PriorityHeader  = "X-Priority"      // a higher number goes first; 0 by default
	ResumeHeader    = "X-Resume-Offset" // first token wanted of a run that is already there
	KeepHeader      = "X-Keep-Running"  // "true": a closed connection does not cancel the run
)

// ErrInvalid tells that an engine's reply has a value out of bounds.
var ErrInvalid = errors.New("engine: invalid reply")

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	LoadModel    OrderKind = "loadModel"    // Model
	LoadWeights  OrderKind = "loadWeights"  // Weights; carried out in the background
	DropWeights  OrderKind = "dropWeights"  // Weights
	PrepareMap   OrderKind = "prepareMap"   // Map, Number; its weights must be loaded
	CancelMap    OrderKind = "cancelMap"    // forgets the prepared map and its switch
	SetStepLimit OrderKind = "setStepLimit" // Step: the first step that is not begun; 0 for none
	SwitchMap    OrderKind = "switchMap"    // Number, Step: the first step with the prepared map
	ChangeRole   OrderKind = "changeRole"   // Role
	FormGroup    OrderKind = "formGroup"    // Map, Number, Epoch: starts a new life of the group
)

// Weight names the weights of one expert in one layer.
type Weight struct {
	Layer  uint16 `json:"layer"`
	Expert uint16 `json:"expert"`
}

// Order is a command to an engine.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Fence   uint64    `json:"fence"`             // fencing number of the lease it is given under
	Epoch   uint64    `json:"epoch"`             // life of the group that it is meant for; 0 for any
	Model   string    `json:"model,omitempty"`   // for LoadModel
	Weights []Weight  `json:"weights,omitempty"` // for LoadWeights and DropWeights
	Number  uint64    `json:"number,omitempty"`  // number of the map
	Map     []byte    `json:"map,omitempty"`     // for PrepareMap and FormGroup: the whole map in CBOR
	Step    uint64    `json:"step,omitempty"`    // for SetStepLimit and SwitchMap
	Role    string    `json:"role,omitempty"`    // for ChangeRole
}

// Refusal says why an engine refused an order.
type Refusal string

// The refusals that an engine gives.
const (
	StaleFence     Refusal = "staleFence"     // it has seen a higher fence
	WrongEpoch     Refusal = "wrongEpoch"     // the group has been formed again
	MissingWeights Refusal = "missingWeights" // a map needs weights that aren't loaded
	NotPrepared    Refusal = "notPrepared"    // a switch to a map that isn't prepared
	PassedStep     Refusal = "passedStep"     // the step has begun already
	InUse          Refusal = "inUse"          // the weights are part of the map in force or prepared
	BadOrder       Refusal = "badOrder"       // it can't be read or isn't known
)

// OrderReply is an engine's answer to an order.
type OrderReply struct {
	Accepted bool    `json:"accepted"`
	Refusal  Refusal `json:"refusal,omitempty"`
	Fence    uint64  `json:"fence"` // highest fence seen; 0 if fences are ignored
	Step     uint64  `json:"step"`  // next step when the order took effect
}

// State is what an engine tells about the orders it carried out.
type State struct {
	Fence      uint64   `json:"fence"`
	Epoch      uint64   `json:"epoch"`
	Step       uint64   `json:"step"`       // next step to begin
	StepLimit  uint64   `json:"stepLimit"`  // first step not begun; 0 for none
	Map        uint64   `json:"map"`        // number of the map in force
	Prepared   uint64   `json:"prepared"`   // number of the prepared map; 0 for none
	SwitchStep uint64   `json:"switchStep"` // first step with the prepared map; 0 for none
	Loaded     []Weight `json:"loaded"`
	Loading    []Weight `json:"loading"`
	Models     []string `json:"models"`
	Role       string   `json:"role"`
}

// Load is an engine's report of its load. It lags.
type Load struct {
	Running      int    `json:"running"`      // requests in the batch
	Waiting      int    `json:"waiting"`      // requests before the batch
	QueuedTokens int    `json:"queuedTokens"` // tokens still to be made for both
	CacheBlocks  int    `json:"cacheBlocks"`  // prefix blocks in the cache
	CacheLimit   int    `json:"cacheLimit"`   // prefix blocks that it can hold
	Step         uint64 `json:"step"`
	AgeMicros    uint64 `json:"ageMicros"` // how old the report is, if the engine knows
}

// EventKind tells what happened to a block of the prefix cache.
type EventKind string

// The kinds of cache events.
const (
	Stored  EventKind = "stored"
	Evicted EventKind = "evicted"
)

// Event is one change of the prefix cache. A gap in Seq means lost events.
type Event struct {
	Seq   uint64    `json:"seq"`
	Kind  EventKind `json:"kind"`
	Block uint64    `json:"block"` // hash of the prefix up to the block's end
}

// Events is a page of cache events.
type Events struct {
	Events []Event `json:"events"`
	Next   uint64  `json:"next"` // sequence number to ask from next time
}

// Counts is what a rank did since its start.
type Counts struct {
	Steps   uint64     `json:"steps"`
	Tokens  uint64     `json:"tokens"`
	Micros  uint64     `json:"micros"`  // time spent in steps by this rank alone
	Map     uint64     `json:"map"`     // number of the map in force
	Experts [][]uint64 `json:"experts"` // tokens of this rank's own batch by layer and expert
}

func (l Load) check() error {
	for _, n := range []int{l.Running, l.Waiting, l.QueuedTokens, l.CacheBlocks, l.CacheLimit} {
		if n < 0 || n > maxLoadNumber {
			return fmt.Errorf("%w: load number %d", ErrInvalid, n)
		}
	}
	if l.AgeMicros > maxMicros {
		return fmt.Errorf("%w: load age %d us", ErrInvalid, l.AgeMicros)
	}
	return nil
}

func (e Events) check() error {
	if len(e.Events) > MaxEvents {
		return fmt.Errorf("%w: %d events", ErrInvalid, len(e.Events))
	}
	last := uint64(0)
	for i, ev := range e.Events {
		if ev.Kind != Stored && ev.Kind != Evicted {
			return fmt.Errorf("%w: event kind %.20q", ErrInvalid, ev.Kind)
		}
		if i > 0 && ev.Seq <= last {
			return fmt.Errorf("%w: event %d after %d", ErrInvalid, ev.Seq, last)
		}
		last = ev.Seq
	}
	if len(e.Events) > 0 && e.Next <= last {
		return fmt.Errorf("%w: next event %d after %d", ErrInvalid, e.Next, last)
	}
	return nil
}

func (s State) check() error {
	if len(s.Loaded) > MaxWeights || len(s.Loading) > MaxWeights || len(s.Models) > MaxWeights {
		return fmt.Errorf("%w: too many weights or models", ErrInvalid)
	}
	if len(s.Role) > MaxNameBytes {
		return fmt.Errorf("%w: role of %d bytes", ErrInvalid, len(s.Role))
	}
	for _, m := range s.Models {
		if len(m) > MaxNameBytes {
			return fmt.Errorf("%w: model name of %d bytes", ErrInvalid, len(m))
		}
	}
	if s.SwitchStep != 0 && s.Prepared == 0 {
		return fmt.Errorf("%w: switch at step %d without a prepared map", ErrInvalid, s.SwitchStep)
	}
	return nil
}

func (r OrderReply) check() error {
	if r.Accepted == (r.Refusal != "") {
		return fmt.Errorf("%w: order accepted %t with refusal %.20q", ErrInvalid, r.Accepted, r.Refusal)
	}
	return nil
}

func (c Counts) check() error {
	if c.Micros > maxMicros*24*365 {
		return fmt.Errorf("%w: %d us in steps", ErrInvalid, c.Micros)
	}
	if len(c.Experts) > MaxLayers {
		return fmt.Errorf("%w: %d layers", ErrInvalid, len(c.Experts))
	}
	for _, layer := range c.Experts {
		if len(layer) > MaxExperts {
			return fmt.Errorf("%w: %d experts in a layer", ErrInvalid, len(layer))
		}
	}
	return nil
}
