// Package quarantine decides which requests are not sent to targets because targets crashed
// while they ran them.
//
// A request may crash each target that begins to run it. Its caller gets an error and sends
// it again, to any entry, under a new ID; each attempt crashes one more target, and in an
// expert group all ranks wait for that one. Such a request is recognised by its [Fingerprint],
// which stays the same. Entries record which requests were running when a target crashed,
// share these records, and quarantine a request once two targets crashed while they ran it.
//
// When a target crashes, all its other request slots may be in use by harmless requests. Each
// of them may be sent again. A harmless request is quarantined only if it is also running at
// a second crash, and is no longer suspected as soon as a target has served it.
//
// Requests of which no two are alike may share a part of their prompts that crashes each target. So each
// shared part is suspected too, by the same rule, unless a request with it was answered completely
// within the last two minutes, at any entry: most parts of a crash are in nearly all requests.
//
// Parts that always come together are suspected together. A request that has some of them, and lacks one that
// explains the crashes as well, is sent as a trial: served, it clears those that it has.
package quarantine
