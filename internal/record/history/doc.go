// Package history stores every document text that was ever active, for auditors:
// who applied it, when, under which number and digest, and the text itself.
//
// The history of a service is a sequence of objects archives/<service>.<n>, each a
// [Segment]: JSON lines, compressed with gzip, that common tools can read. The
// first line of a segment holds a complete text; each later line states which
// lines of the previous text are kept and which are new. When an entry would make
// a segment larger than an object of the platform may be, a new segment begins.
//
// Before a document is applied, [Keeper.Keep] adds the document that it replaces.
// The history and the applied document together are therefore complete, at
// whatever point an operator's process dies: an entry that is already stored is
// not added again, and if the replaced document could not be stored, the new one
// is not applied.
package history
