// Package leaving decides, at an entry or a sidecar, whether a target may get
// new work.
//
// Four sources announce that a target is leaving: the platform's list, the
// service's document, the signal of the target's host, and the target's own
// sidecar (directly, or relayed by other processes). The first announcement
// counts, and that incarnation of the target never gets new work again.
//
// All four announcements can fail to reach an entry: the list may be outdated
// while the entry is partitioned from the sidecar. So an entry gives new work
// only to a target whose sidecar has recently reported that the target isn't
// leaving. Each response, load report and heartbeat of the sidecar is such a
// liveness report. When none arrives for [Config.Silence], the target is
// suspended until the next one.
package leaving
