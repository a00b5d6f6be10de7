package book

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Config bounds a book. All durations are of elapsed time.
type Config struct {
	Incarnation     host.Incarnation // of the sidecar
	Recovers        bool             // the engine resumes runs that an earlier life began
	MaxRequests     int              // ids kept; above it new work is refused
	MaxBodyBytes    int              // of one request
	MaxAnswerBytes  int              // kept of one answer for replay; the latest
	MaxBytes        int              // of all bodies and answers together
	MaxConnections  int              // remembered for each entry; the oldest are retired
	StreamWindow    int              // streams remembered out of order for each connection
	ReplyMargin     time.Duration    // waiting requests are refused so long before their deadline
	AnswerRetention time.Duration    // a finished answer is kept for replay
	JoinRetention   time.Duration    // the same, for requests that may not be repeated
	OrphanWait      time.Duration    // an idempotent request that nobody listens to runs on so long
	DrainGrace      time.Duration    // after Drain, waiting requests may still begin
	RetryAfter      time.Duration    // hint in refusals
	TickEvery       time.Duration    // coarseness of the bounds above
}

// DefaultConfig returns bounds for a sidecar of the given incarnation with 128 MB.
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
