// Package request implements the state machine of one caller's request at the
// entry, from its arrival to its single outcome, and defines the messages that
// entry and sidecar exchange about it.
//
// A request is carried out by one or more attempts, in general each at another
// target. The entry begins an attempt with [Open] and the request body. The
// attempt ends in one of three ways:
//
//   - [Refused]: the sidecar guarantees that no engine ran the attempt and that
//     none will. The entry may report [NotRun] only on this proof, or if it
//     never sent the whole body.
//   - [End]: the response was transferred completely, or it was truncated.
//   - No message: the connection went silent. Silence proves nothing, so the
//     entry opens a new connection and sends [Resolve]. The sidecar then
//     continues the response from an offset, replays it, or refuses.
//
// A request that must not be repeated moves to another target only after
// Refused. An idempotent request may also move as long as no byte of a response
// has been passed on. After the first byte no other target is tried, because
// parts of two different responses must never be joined.
//
// [Request] is not safe for concurrent use. It reads no clock.
package request
