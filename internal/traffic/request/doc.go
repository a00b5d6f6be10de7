// Package request decides the life of one caller's request at the entry, from
// its arrival to its only outcome, and names the messages that entry and
// sidecar exchange about it.
//
// A request is carried by one or more attempts, each at another target. An
// attempt is begun by [Open] and its body, and ends in one of three ways:
//
//   - [Refused]: the sidecar has proved that no engine ran it and that none
//     will. Only this, or never having sent the whole body, lets the entry
//     report [NotRun].
//   - [End]: the whole answer has been carried, or it broke off.
//   - nothing: the connection went silent. Silence proves nothing, so the entry
//     opens a fresh connection and sends [Resolve]. The sidecar then
//     re-attaches the answer from an offset, replays it, or refuses.
//
// A request that may not be repeated moves to another target only after
// Refused. An idempotent one may also move while no byte of an answer has been
// passed on. After the first byte no other target is asked, since two
// generations of one answer must never be joined.
//
// [Request] is not safe for concurrent use. It reads no clock.
package request
