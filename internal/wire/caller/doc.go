// Package caller meets the callers of the services over HTTP.
//
// It finds the service, the route and the workspace of a request, reads its
// body within the bound, and passes the answer back. A caller can always tell
// how its request ended:
//
//   - an answer with a Content-Length is whole if all of its bytes came;
//   - a streamed answer is whole if it ends as its encoding prescribes; the
//     trailer [OutcomeHeader] repeats it;
//   - an answer that broke off has no clean end: the connection is reset. An
//     event stream carries an event of type [ErrorEvent] before that;
//   - everything else is a JSON object, [Problem], and its status code is 503
//     for notRun and 502 or 504 for unknown.
package caller
