// Package administration serves operators over HTTP and JSON: it checks, applies,
// shows and compares documents, and reads their history and status.
//
// All that it says comes from the platform, so that any process, or the command
// line by itself, gives the same answers; see [Records].
//
//	GET  /documents                      the services
//	GET  /documents/SERVICE              the text that is applied, with its ETag; ?ref=REF for another
//	POST /documents/SERVICE/check        findings and changes of a text, nothing is applied
//	PUT  /documents/SERVICE              apply a text; needs If-Match or If-None-Match: *
//	GET  /documents/SERVICE/diff         changes ?from=REF&to=REF
//	GET  /documents/SERVICE/history      accepted documents; ?at=TIME for the one in force then
//	GET  /documents/SERVICE/status       what is in force where
//
// REF is "applied", "inForce" or a number of the history.
//
// Of two operators who edit at once, the second to apply gets the status 412 and
// a [Conflict] with the difference that the first has made.
package administration
