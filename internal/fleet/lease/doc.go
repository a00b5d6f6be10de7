// Package lease elects a leader with a lease. A lease is one object
// in the platform, changed only by conditional writes.
//
// # Safety
//
// The holder measures the lease's length on its own monotonic clock, starting
// before it sent its write. Another process measures from when it first saw the
// present version of the record, and waits for the length plus a margin for
// clocks that run at different rates. So the holder's time ends before any other
// process takes over, however long messages travel, and clocks of different
// processes are never compared.
//
// Each take-over raises the fence. A holder that was paused finds with
// [Lease.Holds] that its time is over. What it sent before that carries its
// fence, and the receivers of its orders refuse a fence lower than the highest
// that they have seen.
//
// A write whose reply was lost may take effect late. It is conditional on a
// version, so it can take effect only as long as no other process has written.
// The record carries a number for each attempt. When the holder reads the record
// back, this number shows which of its writes took effect, and from when the
// length has to be measured.
//
// The object is never deleted, because its fence would start again from the
// beginning.
package lease
