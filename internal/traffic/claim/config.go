package claim

import "time"

// Config is the configuration of a shard. All processes of a deployment must use
// the same Segments, since it determines the object of each segment.
type Config struct {
	Service      string        // the service that the claims belong to
	Shard        int           // number of this shard
	Segments     int           // number of objects in the ring
	SegmentBytes int           // a segment that has reached this size is sealed
	MaxBatch     int           // a write has at most so many releases and moves, and at most twice as many entries in all
	MaxPending   int           // most claims that wait; further ones are refused
	Retention    time.Duration // how long a claim keeps its key
	Window       time.Duration // time between the starts of two writes; shorter after a conflict
	Wait         time.Duration // longest time that a claim waits for the platform
	Backoff      time.Duration // pause after a failed platform call
	RetryAfter   time.Duration // retry delay in refusals
}

// DefaultConfig returns the default configuration of a shard: at most five
// writes per second, and 256 segments of 64 KB, which hold about 170,000 claims
// of 97 bytes. With a retention of ten minutes that is 280 claims per second;
// further ones are refused.
func DefaultConfig(service string, shard int) Config {
	return Config{
		Service:      service,
		Shard:        shard,
		Segments:     256,
		SegmentBytes: 64 << 10,
		MaxBatch:     512,
		MaxPending:   4096,
		Retention:    10 * time.Minute,
		Window:       200 * time.Millisecond,
		Wait:         time.Second,
		Backoff:      100 * time.Millisecond,
		RetryAfter:   time.Second,
	}
}
