// Package claim records in the platform's store which request owns an
// Idempotency-Key, so that a repeat of the request is recognised, through any
// entry and at any time within the retention.
//
// Keys are hashed to shards. The objects of a shard, its segments, form a ring,
// and the claims of a shard form one chain of conditional writes: each write
// goes to the segment that the previous write left open, or to the next segment
// if the previous write sealed its segment. Processes that write at the same
// time therefore always write the same object and expect the same version of
// it. All but one of them get a conflict, read the object, and try again.
// Correctness does not depend on which process is believed to own a shard.
//
// A process batches all claims of one shard that arrive during a write, or
// within the window after its start, into the next write.
//
// [Shard] is not safe for concurrent use. It reads no clock.
package claim
