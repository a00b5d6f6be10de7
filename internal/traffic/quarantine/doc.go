// Package quarantine decides which requests are kept from targets, since targets crashed
// while they ran them.
//
// A request may crash each target that begins to run it. Its caller gets an error and sends
// it again, to any entry, under a new id; with each attempt one more target is lost, and in
// an expert group all ranks wait for it. What stays the same of such a request is its
// [Fingerprint]. Entries note under which requests a target crashed, tell each other by
// their records, and hold a request back once two targets crashed under it.
//
// Up to all slots of a target are in use as it crashes, by requests that did nothing. Each
// of them may be sent again; to be held back one has to be there at a second crash, and it
// is cleared as soon as a target has answered it.
package quarantine
