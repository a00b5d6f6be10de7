package claim

import "time"

// Config bounds a shard. All processes of a deployment must use the same
// Segments, since it places the segments.
type Config struct {
	Service      string        // whose claims these are
	Shard        int           // this shard's number
	Segments     int           // objects in the ring
	SegmentBytes int           // a segment of at least this size is sealed
	MaxBatch     int           // claims in one write
	MaxPending   int           // claims that wait; above it they are refused
	Retention    time.Duration // a claim holds its key for so long
	Window       time.Duration // between the starts of two writes
	Wait         time.Duration // a claim waits for the platform at most so long
	Backoff      time.Duration // after a call that failed
	RetryAfter   time.Duration // hint in refusals
}

// DefaultConfig returns the bounds of a shard: at most five writes a second,
// and 256 segments of 64 KB, some 170,000 claims of 97 bytes. With a retention
// of ten minutes that is 280 claims a second; more are refused.
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
