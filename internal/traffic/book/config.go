package book

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Config has the bounds of a book. All durations are of elapsed time, not of the
// wall clock.
type Config struct {
	Incarnation     host.Incarnation // of the sidecar
	Recovers        bool             // the engine can resume runs that an earlier incarnation of the sidecar began
	MaxRequests     int              // ids kept; at this number new requests are refused
	MaxBodyBytes    int              // of one request
	MaxAnswerBytes  int              // latest bytes of one answer that are kept for replay
	MaxBytes        int              // of all bodies and answers together
	MaxConnections  int              // connections remembered for each entry; the oldest are retired
	StreamWindow    int              // streams begun out of order that are remembered for each connection
	ReplyMargin     time.Duration    // waiting requests are refused this long before their deadline
	AnswerRetention time.Duration    // how long a finished answer is kept for replay
	JoinRetention   time.Duration    // the same for requests that are not idempotent
	OrphanWait      time.Duration    // how long an idempotent request without listeners runs on
	DrainGrace      time.Duration    // how long waiting requests may still begin after Drain
	RetryAfter      time.Duration    // hint in refusals
	TickEvery       time.Duration    // granularity of the durations above
}

// DefaultConfig returns the bounds of a sidecar of the given incarnation that has
// 128 MB of memory.
func DefaultConfig(i host.Incarnation) Config {
	return Config{
		Incarnation:     i,
		MaxRequests:     20_000,
		MaxBodyBytes:    4 << 20,
		MaxAnswerBytes:  1 << 20,
		MaxBytes:        64 << 20,
		MaxConnections:  16,
		StreamWindow:    1024,
		ReplyMargin:     50 * time.Millisecond,
		AnswerRetention: 30 * time.Second,
		JoinRetention:   2 * time.Minute,
		OrphanWait:      5 * time.Second,
		DrainGrace:      2 * time.Second,
		RetryAfter:      time.Second,
		TickEvery:       100 * time.Millisecond,
	}
}
