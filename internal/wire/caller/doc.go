// Package caller is the HTTP interface to the callers of the services.
//
// It finds the service, the route and the workspace of a request, reads its
// body up to the size limit, and passes the answer back. A caller can always find out
// how its request ended:
//
//   - an answer with a Content-Length is complete if all of its bytes arrived;
//   - a streamed answer is complete if it ends as its encoding prescribes; the
//     trailer [OutcomeHeader] confirms it;
//   - a truncated answer has no clean end: the connection is reset. An
//     event stream carries an event of type [ErrorEvent] before that;
//   - everything else is a JSON object, [Problem], and its status code is 503
//     for notRun and 502 or 504 for unknown.
package caller
