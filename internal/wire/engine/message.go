package engine

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of the values that an engine sends.
const (
	MaxEvents     = 4096
	MaxLayers     = 256
	MaxExperts    = 4096
	maxMicros     = uint64(time.Hour / time.Microsecond)
	maxLoadNumber = 1 << 30
)

// Header fields of an inference call.
const (
	RequestIDHeader   = "X-Request-Id"    // identity of the request, by which the engine counts its runs
	PriorityHeader    = "X-Priority"      // a request with a higher number is served first; 0 by default
	ResumeHeader      = "X-Resume-Offset" // first token to send of a run that already exists
	KeepRunningHeader = "X-Keep-Running"  // "true": a closed connection does not cancel the run
)

// ErrInvalid reports that an engine's reply has a value out of bounds.
var ErrInvalid = errors.New("engine: invalid reply")

// Load is an engine's report of its load. It lags behind the actual load.
type Load struct {
	Running      int    `json:"running"`      // requests in the batch
	Waiting      int    `json:"waiting"`      // requests queued for the batch
	QueuedTokens int    `json:"queuedTokens"` // tokens still to be generated for both
	CacheBlocks  int    `json:"cacheBlocks"`  // prefix blocks in the cache
	CacheLimit   int    `json:"cacheLimit"`   // prefix blocks that the cache can hold
	Step         uint64 `json:"step"`
	AgeMicros    uint64 `json:"ageMicros"` // how old the report is, if the engine knows
}

// EventKind is the kind of change to a block of the prefix cache.
type EventKind string

// The kinds of cache events.
const (
	Stored  EventKind = "stored"
	Evicted EventKind = "evicted"
)

// Event is one change of the prefix cache. A gap in Seq means that events were lost.
type Event struct {
	Seq   uint64    `json:"seq"`
	Kind  EventKind `json:"kind"`
	Block uint64    `json:"block"` // hash of the prefix up to the block's end
}

// Events is a page of cache events.
type Events struct {
	Events []Event `json:"events"`
	Next   uint64  `json:"next"` // sequence number at which the next page begins
}

// Counts holds the totals of a rank since its start.
type Counts struct {
	Steps   uint64     `json:"steps"`
	Tokens  uint64     `json:"tokens"`
	Micros  uint64     `json:"micros"`  // time that this rank itself spent in steps
	Map     uint64     `json:"map"`     // number of the active map
	Experts [][]uint64 `json:"experts"` // tokens of this rank's own batches by layer and expert
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
