// Package history keeps every text that was ever in force, for the auditor: who
// changed it, when, under which number and digest, and the text itself.
//
// The history of a service is a row of objects archives/<service>.<n>, each a
// [Segment]: JSON lines, compressed with gzip, that common tools can read. The
// first line of a segment has its text whole; each later one says which lines of
// the text before it are kept and which are new. A segment that would outgrow
// an object of the platform is followed by a new one.
//
// The history is written by the process that holds the lease for accepting, after
// the acceptance: [Archive] decides what to write. Entries are added in the order
// of their numbers by conditional writes, and an entry that is there already is
// not added again; so a holder that dies in between loses nothing, since the next
// one offers it the documents in force, and two holders at once do no harm.
package history
