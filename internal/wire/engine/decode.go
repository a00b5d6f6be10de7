package engine

import (
	"encoding/json"
	"fmt"
)

// decode reads a JSON value and checks its bounds.
func decode[T any](b []byte, check func(T) error) (T, error) {
	var v, none T
	if err := json.Unmarshal(b, &v); err != nil {
		return none, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := check(v); err != nil {
		return none, err
	}
	return v, nil
}

// DecodeLoad reads a load report. It returns [ErrInvalid] for values out of bounds.
func DecodeLoad(b []byte) (Load, error) { return decode(b, Load.check) }

// DecodeEvents reads a page of cache events. It returns [ErrInvalid] for values
// out of bounds or out of order.
func DecodeEvents(b []byte) (Events, error) { return decode(b, Events.check) }

// DecodeCounts reads a rank's counts. It returns [ErrInvalid] for values out of bounds.
func DecodeCounts(b []byte) (Counts, error) { return decode(b, Counts.check) }

// DecodeState reads what an engine tells of its orders. It returns [ErrInvalid]
// for values out of bounds or that contradict each other.
func DecodeState(b []byte) (State, error) { return decode(b, State.check) }

// DecodeOrderReply reads the answer to an order. It returns [ErrInvalid] for an
// answer that contradicts itself.
func DecodeOrderReply(b []byte) (OrderReply, error) { return decode(b, OrderReply.check) }
