package request

import (
	"time"
)

// Config bounds what a request may spend. All durations are of elapsed time.
type Config struct {
	MinRemaining time.Duration // an attempt with less time than this is not begun
	ResolveWait  time.Duration // wait for one connection, or for one reply to Resolve
	ResolveLimit time.Duration // wait for all of that together, before the answer began
	JoinWait     time.Duration // before asking again for the request that holds the key; doubled each time
	RetryAfter   time.Duration // hint for the caller where no sidecar gave one
}

// DefaultConfig suits targets within a few milliseconds.
func DefaultConfig() Config {
	return Config{
		MinRemaining: 20 * time.Millisecond,
		ResolveWait:  300 * time.Millisecond,
		ResolveLimit: 3 * time.Second,
		JoinWait:     20 * time.Millisecond,
		RetryAfter:   time.Second,
	}
}

// Spec is what the entry knows of a request once its caller has sent it whole.
type Spec struct {
	ID       ID
	Call     Call // Remaining is set at each sending
	Header   []Field
	Claimed  bool      // not repeatable and with an Idempotency-Key: claim it first
	Print    uint64    // digest of what the caller sent; tells a repeat from another request with the same key
	Deadline time.Time // when the caller has waited long enough
}
