// Package administration serves operators over HTTP and JSON: it checks, applies,
// shows and compares documents, and reads their history and status.
//
// All that it says comes from the platform, so that any process, or the command
// line by itself, gives the same answers; see [Records]. Only what is in force at a
// process comes from that process.
//
// The platform's answer to the write is the acceptance: what is applied is what all
// processes put in force as soon as they read it.
//
//	GET  /documents                      the services
//	GET  /documents/SERVICE              the text that is applied, with its ETag; ?ref=REF for another
//	POST /documents/SERVICE/check        findings and changes of a text, nothing is applied
//	PUT  /documents/SERVICE              apply a text; needs If-Match or If-None-Match: *
//	GET  /documents/SERVICE/diff         changes ?from=REF&to=REF
//	GET  /documents/SERVICE/history      all documents; ?at=TIME for the one applied then
//	GET  /documents/SERVICE/status       what is applied, and in force at this process
//
// REF is "applied", "before" for the one that it replaced, or a number of the history.
//
// Of two operators who edit at once, the second to apply gets the status 412 and
// a [Conflict] with the difference that the first has made.
package administration
