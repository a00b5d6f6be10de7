package request

import (
	"time"
)

// Config bounds the time that a request may take. All durations are elapsed time.
type Config struct {
	MinRemaining time.Duration // no attempt begins with less time left than this
	ResolveWait  time.Duration // longest wait for one connection, or for one reply to Resolve
	ResolveLimit time.Duration // longest wait for all of these together, before the response began; see setResolveDeadline
	JoinWait     time.Duration // wait before the first retry to join the request that owns the key; doubled for each retry
	RetryAfter   time.Duration // retry delay for the caller if no sidecar stated one
}

// DefaultConfig returns a configuration for targets that are a few
// milliseconds away.
func DefaultConfig() Config {
	return Config{
		MinRemaining: 20 * time.Millisecond,
		ResolveWait:  300 * time.Millisecond,
		ResolveLimit: 3 * time.Second,
		JoinWait:     20 * time.Millisecond,
		RetryAfter:   time.Second,
	}
}

// Spec describes a request that the entry has received completely.
type Spec struct {
	ID          ID
	Call        Call // Remaining is set for each message
	Header      []Field
	Claimed     bool      // claim the Idempotency-Key first: the request has one and must not be repeated
	Fingerprint uint64    // hash of the request; distinguishes a repeat from another request with the same key
	Deadline    time.Time // when the caller stops waiting
}
