// Package leaving decides, at an entry or a sidecar, whether a target may get
// new work.
//
// Four sources tell that a target is leaving: the platform's list, the
// service's document, its host's signal, and its own sidecar (directly or by
// way of other processes). The first to say so counts, and the incarnation it
// was said of doesn't come back.
//
// All four can fail to reach an entry: the list may be frozen and the way from
// the sidecar cut. So no word is also an answer. An entry gives work only to a
// target whose sidecar said lately that it isn't leaving. Every answer, load
// report and heartbeat says that. When none arrives for [Config.Silence], the
// target is suspended until one does.
package leaving
