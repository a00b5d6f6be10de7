package engine

import (
	"encoding/json"
	"fmt"
)

// decode decodes a JSON value and checks its bounds.
func decode[T any](b []byte, check func(T) error) (T, error) {
	var v, zero T
	if err := json.Unmarshal(b, &v); err != nil {
		return zero, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := check(v); err != nil {
		return zero, err
	}
	return v, nil
}

// DecodeLoad decodes a load report. It returns [ErrInvalid] for values out of bounds.
func DecodeLoad(b []byte) (Load, error) { return decode(b, Load.check) }

// DecodeEvents decodes a page of cache events. It returns [ErrInvalid] for values
// out of bounds or out of order.
func DecodeEvents(b []byte) (Events, error) { return decode(b, Events.check) }

// DecodeCounts decodes a rank's counts. It returns [ErrInvalid] for values out of bounds.
func DecodeCounts(b []byte) (Counts, error) { return decode(b, Counts.check) }

// DecodeState decodes an engine's report of its orders. It returns [ErrInvalid] for
// values that are out of bounds or contradict each other.
func DecodeState(b []byte) (State, error) { return decode(b, State.check) }

// DecodeOrderReply decodes the reply to an order. It returns [ErrInvalid] for a reply
// that contradicts itself.
func DecodeOrderReply(b []byte) (OrderReply, error) { return decode(b, OrderReply.check) }
