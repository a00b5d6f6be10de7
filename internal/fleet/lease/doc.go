// Package lease decides who carries an elected duty. A lease is one object in
// the platform, changed only by conditional writes.
//
// # Safety
//
// The holder counts the lease's length on its own monotonic clock from before
// its write was sent. Another process counts from after it first saw the record
// in its present version, and waits for the length and a margin for clocks that
// run at different rates. So the holder's count ends before any other's, however
// long messages travel, and no clock is compared with another.
//
// Each take-over raises the fence. A holder that was paused finds by
// [Lease.Holds] that its time is over; what it sent before that carries its
// fence, and whoever receives orders refuses a fence lower than the highest that
// it has seen.
//
// A write whose answer was lost may land late. It is conditional on a version,
// so it can take effect only as long as nobody else has written. The record
// carries a number for each attempt, and by that number the holder tells, when
// it reads the record back, which of its writes took effect and from when the
// length has to be counted.
//
// The object is never deleted: its fence would begin again.
package lease
