package engine

import (
	"fmt"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
)

// Bounds of orders to an engine and of its report of them.
const (
	MaxNameBytes = 256
	MaxMapBytes  = 4 << 20
	MaxWeights   = 1 << 16
	maxModels    = 1024
)

// Kind is the name of an order's kind in the JSON of [Order].
type Kind string

// The kinds of orders. The kinds that package order also has mean the same there.
const (
	LoadWeights Kind = "load" // answered when the engine holds the weights
	Prepare     Kind = "prepare"
	CancelMap   Kind = "cancel"
	Limit       Kind = "limit"
	Lift        Kind = "lift"
	SwitchMap   Kind = "switchMap"
	Drop        Kind = "drop"
	Form        Kind = "form"
	LoadModel   Kind = "loadModel"  // Order.Model: a model, an adapter or a version of one
	ChangeRole  Kind = "changeRole" // Order.Role
)

// Order is the JSON form of an order.
type Order struct {
	ID      order.ID              `json:"id"`
	Kind    Kind                  `json:"kind"`
	Epoch   uint64                `json:"epoch,omitempty"`
	Number  uint64                `json:"number,omitempty"` // of the map
	Map     []byte                `json:"map,omitempty"`    // CBOR of the expert map
	Weights []expertmap.Placement `json:"weights,omitempty"`
	Step    uint64                `json:"step,omitempty"`
	Model   string                `json:"model,omitempty"`
	Role    string                `json:"role,omitempty"`
}

// OrderReply is an engine's reply to an order.
type OrderReply struct {
	Accepted bool         `json:"accepted"`
	Reason   order.Reason `json:"reason,omitempty"` // why the order was refused
	Next     uint64       `json:"next"`             // the first step not begun yet
}

// State is an engine's report of the orders that it has accepted. A step or map number is 0
// if there is none.
type State struct {
	Fence    lease.Fence           `json:"fence"` // the highest accepted
	Epoch    uint64                `json:"epoch"`
	Next     uint64                `json:"next"`     // the first step not begun yet
	Map      uint64                `json:"map"`      // number of the active map
	Prepared uint64                `json:"prepared"` // number of the prepared map
	Limit    uint64                `json:"limit"`    // the first step that the engine may not begin
	Switch   uint64                `json:"switch"`   // the first step with the prepared map
	Held     []expertmap.Placement `json:"held"`
	Models   []string              `json:"models"`
	Role     string                `json:"role"`
}

// encodeOrder converts an order of package order to the JSON form.
func encodeOrder(o order.Order) (Order, error) {
	w := Order{
		ID:      o.ID,
		Kind:    Kind(o.Kind.String()),
		Epoch:   o.Epoch,
		Number:  o.Number,
		Weights: o.Weights,
		Step:    o.Step,
	}
	if o.Map == nil {
		return w, nil
	}
	var err error
	w.Map, err = o.Map.MarshalCBOR()
	return w, err
}

// toResult converts an engine's reply to the result type of package order.
func (r OrderReply) toResult(o order.Order) order.Result {
	res := order.Result{ID: o.ID, Kind: o.Kind, Status: order.Done, Next: r.Next}
	if !r.Accepted {
		res.Status = order.Refused
		res.Reason = r.Reason
	}
	return res
}

// toState converts an engine's report to the state type of package order.
func (s State) toState() order.State {
	return order.State{
		Known:    true,
		Epoch:    s.Epoch,
		Fence:    s.Fence,
		Next:     s.Next,
		Map:      s.Map,
		Prepared: s.Prepared,
		Limit:    s.Limit,
		Switch:   s.Switch,
		Held:     s.Held,
	}
}

// refusalReasons are the reasons for which an engine may refuse an order.
var refusalReasons = []order.Reason{
	order.StaleFence, order.StaleOrder, order.StaleEpoch, order.TooLate, order.NotHeld,
	order.NotPrepared, order.InUse, order.StoreFailed, order.QueueFull, order.Unsupported,
}

func (r OrderReply) check() error {
	if r.Accepted && r.Reason != "" {
		return fmt.Errorf("%w: order accepted with reason %.20q", ErrInvalid, r.Reason)
	}
	if !r.Accepted && !slices.Contains(refusalReasons, r.Reason) {
		return fmt.Errorf("%w: order refused with reason %.20q", ErrInvalid, r.Reason)
	}
	return nil
}

func (s State) check() error {
	if len(s.Models) > maxModels || len(s.Held) > MaxWeights {
		return fmt.Errorf("%w: %d models, %d weights", ErrInvalid, len(s.Models), len(s.Held))
	}
	for _, name := range append(slices.Clone(s.Models), s.Role) {
		if len(name) > MaxNameBytes {
			return fmt.Errorf("%w: name of %d bytes", ErrInvalid, len(name))
		}
	}
	if s.Switch != 0 && s.Prepared == 0 {
		return fmt.Errorf("%w: switch at step %d without a prepared map", ErrInvalid, s.Switch)
	}
	return nil
}

// orderTimeout returns how long to wait for the reply to one copy of an order.
func (c *Client) orderTimeout(o order.Order) time.Duration {
	if o.Timeout > 0 {
		return o.Timeout
	}
	return c.cfg.ReportTimeout
}
