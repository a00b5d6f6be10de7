// Package history keeps every text that was ever in force, for the auditor: who
// changed it, when, under which number and digest, and the text itself.
//
// The history of a service is a row of objects archives/<service>.<n>, each a
// [Segment]: JSON lines, compressed with gzip, that common tools can read. The
// first line of a segment has its text whole; each later one says which lines of
// the text before it are kept and which are new. A segment that would outgrow
// an object of the platform is followed by a new one.
//
// Whoever applies a document first has [Keeper.Keep] add the one that it replaces.
// So the history and the document that is applied have all there is between them,
// whenever an operator's process dies: an entry that is there already is not added
// again, and an apply that could not keep the one before does not take place.
package history
