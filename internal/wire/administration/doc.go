// Package administration serves operators over HTTP and JSON: it checks, applies,
// shows and compares documents, and reads their history and status.
//
// All data comes from the platform, so that any process, or the command line without
// a process, returns the same; see [Records]. Only the documents that are active at a
// process come from that process.
//
// A document is applied once the platform has confirmed the write: all processes
// activate it as soon as they read it.
//
//	GET  /documents                      the services
//	GET  /documents/SERVICE              the applied text, with its ETag; ?ref=REF for another one
//	POST /documents/SERVICE/check        findings and changes of a text; applies nothing
//	PUT  /documents/SERVICE              apply a text; needs If-Match or If-None-Match: *
//	GET  /documents/SERVICE/diff         changes ?from=REF&to=REF
//	GET  /documents/SERVICE/history      all documents; ?at=TIME for the one applied at that time
//	GET  /documents/SERVICE/status       the applied document, and the one active at this process
//
// REF is "applied", "before" for the document that the applied one replaced, or a
// number of the history.
//
// If two operators edit a document at the same time, the second one to apply gets
// the status 412 and a [Conflict] with the changes that the first one has made.
package administration
