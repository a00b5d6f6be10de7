// Package claim records in the platform which request owns an
// Idempotency-Key, so that a repeat of it through any entry, at any time
// within the retention, is recognised.
//
// Keys are hashed to shards. A shard is a ring of objects, its segments, and
// the claims of a shard form one chain of conditional writes: each write goes
// to the segment that the write before it left open, or to the next one if
// that write sealed its segment. Two processes that write at the same time
// therefore always write the same object with the same expected version, and
// all but one of them get a conflict, read, and try again. Nothing depends on
// who is believed to own a shard.
//
// A process groups all claims of one shard that arrive while a write is under
// way, or within its window, into the next write.
//
// [Shard] is not safe for concurrent use. It reads no clock.
package claim
